#!/usr/bin/env bash
# Measures one entry on the whole path with real processes: throughput and
# processor time per task compared with a bare HTTP handler, added latency,
# bytes and messages per task, and memory. Usage:
#   scripts/measure_path.sh BUILD [OUT.json]
set -eu
trap 'echo "failed at line $LINENO" >&2' ERR
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "$1" "${MEASURE_PORT:-25000}"
out=${2:-/dev/stdout}
start_table
start_entry 1
guards="1 2 3 4"
for n in $guards; do
  start_guard "$n"
  start_backend "$n" 1 --slots=64
done
wait_for 20 workers_ready 4
sed 's/max_wait_ms: .*/max_wait_ms: 60000/' examples/profile_quote.yaml \
  >"$DIR/quote.yaml"
cli 1 profile create "$DIR/quote.yaml" --reason=measure >/dev/null
entry=$(entry_url 1)
load() { "$BUILD/cactusmast-load" "$@"; }
field() { json_field "d['$1']"; }
cpu() { metric "$1" process_cpu_seconds_total; }
memory() { metric "$1" process_resident_memory_bytes; }
guards_sum() { # METRIC
  local sum=0 n
  for n in $guards; do
    sum=$(echo "$sum $(metric "$(guard_url "$n")" "$1")" | awk '{print $1+$2}')
  done
  echo "$sum"
}
idle_entry=$(memory "$entry")
idle_guard=$(memory "$(guard_url 1)")

before=$(cpu "$entry")
bare=$(load bare --entries="$entry" --jobs=60000)
bare_cpu=$(echo "$before $(cpu "$entry")" | awk '{print ($2-$1)/60000*1e6}')

# Idle processor time in percent of a core: 10 s, times 100.
before=$(cpu "$entry")
guard_before=$(cpu "$(guard_url 1)")
sleep 10
idle_entry_cpu=$(echo "$before $(cpu "$entry")" | awk '{print ($2-$1)*10}')
idle_guard_cpu=$(echo "$guard_before $(cpu "$(guard_url 1)")" |
  awk '{print ($2-$1)*10}')

# Latency added to jobs of a single task of 50 ms, at 16 jobs a second, for a
# profile that prefers response time and for one that prefers few messages.
sed 's/service: .*/service: ordering/' examples/profile_door_check.yaml \
  >"$DIR/door.yaml"
cli 1 profile create "$DIR/door.yaml" --reason=measure >/dev/null
alone=$(load jobs --entries="$entry" --profile=door-check --jobs=400 \
  --rate=16 --min-ms=50 --max-ms=50 --prefix=alone)
lingering=$(load jobs --entries="$entry" --profile=quote --jobs=400 \
  --rate=16 --min-ms=50 --max-ms=50 --prefix=lingering)

# Throughput: tasks of 0.1 ms in jobs of 100, first a warm-up of 100 jobs and
# then the measured load.
load jobs --entries="$entry" --profile=quote --jobs=100 --rate=100 \
  --tasks=100 --min-ms=0.1 --max-ms=0.1 --prefix=warm >&2
tasks=60000
before=$(cpu "$entry")
guard_before=$(guards_sum process_cpu_seconds_total)
messages=$(metric "$entry" cactusmast_peer_messages_sent_total)
bytes=$(metric "$entry" cactusmast_peer_bytes_sent_total)
messages_in=$(metric "$entry" cactusmast_peer_messages_received_total)
bytes_in=$(metric "$entry" cactusmast_peer_bytes_received_total)
loaded=$(load jobs --entries="$entry" --profile=quote --jobs=$((tasks / 100)) \
  --rate=400 --tasks=100 --min-ms=0.1 --max-ms=0.1 --prefix=loaded)
per_task() { echo "$1 $2" | awk -v n="$tasks" -v s="${3:-1}" \
  '{printf "%.3f", ($2-$1)/n*s}'; }
python3 - "$out" <<EOF
import json, sys
report = {
    "bare_requests_per_s": $(echo "$bare" | field per_second),
    "bare_cpu_us_per_request": $bare_cpu,
    "alone_p50_ms": $(echo "$alone" | field response_p50_ms),
    "alone_p99_ms": $(echo "$alone" | field response_p99_ms),
    "lingering_p50_ms": $(echo "$lingering" | field response_p50_ms),
    "idle_entry_cpu_percent": $idle_entry_cpu,
    "idle_guard_cpu_percent": $idle_guard_cpu,
    "loaded_tasks_per_s": $(echo "$loaded" | field per_second) * 100,
    "loaded_not_complete": $(echo "$loaded" | field not_complete),
    "entry_cpu_us_per_task": $(per_task "$before" "$(cpu "$entry")" 1e6),
    "guard_cpu_us_per_task":
        $(per_task "$guard_before" "$(guards_sum process_cpu_seconds_total)" 1e6),
    "messages_sent_per_task":
        $(per_task "$messages" "$(metric "$entry" cactusmast_peer_messages_sent_total)"),
    "messages_received_per_task":
        $(per_task "$messages_in" "$(metric "$entry" cactusmast_peer_messages_received_total)"),
    "bytes_sent_per_task":
        $(per_task "$bytes" "$(metric "$entry" cactusmast_peer_bytes_sent_total)"),
    "bytes_received_per_task":
        $(per_task "$bytes_in" "$(metric "$entry" cactusmast_peer_bytes_received_total)"),
    "entry_memory_idle_mb": $idle_entry / 1e6,
    "entry_memory_loaded_mb": $(memory "$entry") / 1e6,
    "guard_memory_idle_mb": $idle_guard / 1e6,
    "guard_memory_loaded_mb": $(memory "$(guard_url 1)") / 1e6,
}
report["entry_tasks_per_s_by_cpu"] = 1e6 / report["entry_cpu_us_per_task"]
report["ratio_to_bare"] = (
    report["entry_cpu_us_per_task"] / report["bare_cpu_us_per_request"])
report["added_p50_ms"] = report["alone_p50_ms"] - 50
report["added_p99_ms"] = report["alone_p99_ms"] - 50
with open(sys.argv[1], "w") as file:
    json.dump(report, file, indent=1)
    file.write("\n")
EOF
