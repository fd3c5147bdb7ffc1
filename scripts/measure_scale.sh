#!/usr/bin/env bash
# Measures the control traffic, processor time and memory of real processes by
# their number: three idle entries and a growing number of guards, which have
# no backend servers.
# Environment: SCALE_COUNTS, numbers of guards (default "10 50 150"). Usage:
#   scripts/measure_scale.sh BUILD [OUT.json]
set -eu
cd "$(dirname "$0")/.."
. scripts/cluster.sh
out=${2:-/dev/stdout}
rows=()
for count in ${SCALE_COUNTS:-10 50 150}; do
  cluster_init "$1" $((27000 + count * 3))
  shards=$(((count + 31) / 32))
  ENTRY_EXTRA="initial_shards: $shards"
  start_table
  for n in 1 2 3; do start_entry "$n"; done
  for n in $(seq 1 "$count"); do
    name="guard-$n"
    {
      common_settings guard "$name" $((BASE + 1300 + n)) $((BASE + 1600 + n))
      echo "shard: $((n % shards))"
    } >"$DIR/$name.yaml"
    run_process "$name" "$BUILD/cactusmast-guard" --settings="$DIR/$name.yaml"
  done
  all_leased() {
    cli 1 status --json |
      json_field "sum(s['workers'] for s in d['shards']) >= $count" |
      grep -qx True
  }
  wait_for 60 all_leased
  sleep 5
  snapshot() { # URL: processor seconds, bytes sent and received, memory
    curl -s "$1/metrics" | awk '
      /^process_cpu_seconds_total/ { cpu = $2 }
      /^cactusmast_peer_bytes_(sent|received)_total/ { bytes += $2 }
      /^process_resident_memory_bytes/ { memory = $2 }
      END { printf "%f %d %d\n", cpu, bytes, memory }'
  }
  urls=("$(entry_url 1)" "$(entry_url 2)" "$(entry_url 3)"
    "http://127.0.0.1:$((BASE + 1601))" "http://127.0.0.1:$((BASE + 1602))")
  reads=$(curl -s "$TABLE_URL/counters")
  before=()
  for url in "${urls[@]}"; do before+=("$(snapshot "$url")"); done
  sleep 20
  after=()
  for url in "${urls[@]}"; do after+=("$(snapshot "$url")"); done
  rows+=("$(python3 - "$count" "$reads" "$(curl -s "$TABLE_URL/counters")" \
    "${before[@]}" "${after[@]}" <<'EOF'
import json, sys
count, first, last = int(sys.argv[1]), *map(json.loads, sys.argv[2:4])
lines = [tuple(map(float, line.split())) for line in sys.argv[4:]]
half = len(lines) // 2
def mean(rows, index, scale):
    return sum((b[index] - a[index]) / 20 * scale for a, b in rows) / len(rows)
pairs = list(zip(lines[:half], lines[half:]))
entries, guards = pairs[:3], pairs[3:]
print(json.dumps({
    "guards": count,
    "entry_cpu_percent": round(mean(entries, 0, 100), 3),
    "entry_bytes_s": round(mean(entries, 1, 1)),
    "entry_memory_mb": round(max(b[2] for _, b in entries) / 1e6, 1),
    "guard_cpu_percent": round(mean(guards, 0, 100), 3),
    "guard_bytes_s": round(mean(guards, 1, 1)),
    "guard_memory_mb": round(max(b[2] for _, b in guards) / 1e6, 1),
    "table_reads_s": (last["reads"] - first["reads"]) / 20,
    "table_writes_s": (last["commits"] - first["commits"]) / 20,
}))
EOF
)")
  echo "${rows[-1]}"
  cluster_abort
  PIDS=()
done
printf '%s\n' "${rows[@]}" | python3 -c '
import json, sys
rows = [json.loads(line) for line in sys.stdin]
json.dump(rows, open(sys.argv[1], "w"), indent=1)' "$out"
