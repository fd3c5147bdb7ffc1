#!/usr/bin/env bash
# Runs real processes under load and injects faults: processes are killed,
# paused and replaced, and the table becomes unavailable or loses replies. Then
# checks the guarantees against the starts that the backend servers recorded and
# the answers that the callers got. Usage:
#   scripts/chaos.sh BUILD SECONDS SEED
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "$1" "${CHAOS_PORT:-24000}"
seconds=$2
RANDOM=$3
# Callers stop resubmitting (--patience-ms) before their jobs leave retention.
# Both times are short, so that a shard that loses its owner and a worker at
# once is not in doubt for long.
COMMON_EXTRA="retention_ms: 30000"
start_table
for n in 1 2 3; do start_entry "$n"; done
for n in 1 2 3 4 5; do
  start_guard "$n"
  start_backend "$n" $((n % 3 + 1))
done
wait_for 20 workers_ready 5 || exit 1
sed 's/deadline_ms: .*/deadline_ms: 30000/' examples/profile_quote.yaml \
  >"$DIR/quote.yaml"
cli 1 profile create "$DIR/quote.yaml" --reason=chaos >/dev/null || exit 1
cli 1 profile create examples/profile_confirm_cut.yaml --reason=chaos \
  >/dev/null || exit 1
urls="$(entry_url 1),$(entry_url 2),$(entry_url 3)"
rate=15
for profile in quote confirm-cut; do
  "$BUILD/cactusmast-load" jobs --entries="$urls" --profile="$profile" \
    --jobs=$((rate * seconds)) --rate=$rate --tasks=4 --prefix="$profile" \
    --patience-ms=25000 \
    --history="$DIR/answers-$profile" >"$DIR/load-$profile" 2>&1 &
  PIDS[load-$profile]=$!
done

pick() { eval "set -- $*"; shift $((RANDOM % $#)); echo "$1"; }
control() { curl -s -d "$1" "$TABLE_URL/control" >/dev/null; }
faults=0
started=$SECONDS
while [ $((SECONDS - started)) -lt "$seconds" ]; do
  sleep $((1 + RANDOM % 3))
  faults=$((faults + 1))
  case $((RANDOM % 7)) in
    0) # kill and replace an entry
      n=$(pick 1 2 3)
      kill -KILL "${PIDS[entry-$n]}" 2>/dev/null
      wait "${PIDS[entry-$n]}" 2>/dev/null
      sleep 1
      start_entry "$n"
      ;;
    1) # kill and replace a guard; its backend server continues
      n=$(pick 1 2 3 4 5)
      kill -KILL "${PIDS[guard-$n]}" 2>/dev/null
      wait "${PIDS[guard-$n]}" 2>/dev/null
      start_guard "$n"
      ;;
    2) # kill and replace a backend server
      n=$(pick 1 2 3 4 5)
      kill -KILL "${PIDS[backend-$n]}" 2>/dev/null
      wait "${PIDS[backend-$n]}" 2>/dev/null
      start_backend "$n" 2
      ;;
    3) # pause a process for some seconds
      name=$(pick entry-1 entry-2 entry-3 guard-1 guard-2 guard-3)
      kill -STOP "${PIDS[$name]}" 2>/dev/null
      sleep $((1 + RANDOM % 6))
      kill -CONT "${PIDS[$name]}" 2>/dev/null
      ;;
    4) # drain and replace a process
      name=$(pick entry-1 entry-2 entry-3 guard-4 guard-5)
      stop_process "$name"
      "start_${name%-*}" "${name#*-}"
      ;;
    5) # the table is unavailable for some seconds
      control '{"down":true}'
      sleep $((1 + RANDOM % 5))
      control '{}'
      ;;
    6) # the table loses replies while an operator changes a profile
      control '{"lose_reply":0.5}'
      cli 1 profile set quote priority=$((RANDOM % 10)) --reason=chaos \
        >/dev/null 2>&1
      control '{}'
      ;;
  esac
done
for profile in quote confirm-cut; do
  wait "${PIDS[load-$profile]}"
  unset "PIDS[load-$profile]"
done
python3 scripts/check_chaos.py "$DIR" "$faults" $((rate * seconds * 2)) 4
