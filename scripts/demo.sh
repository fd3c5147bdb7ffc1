#!/usr/bin/env bash
# Demonstrates the whole path on 127.0.0.1 with two entries, three backend
# servers of different speeds with their guards, and the stand-in for the
# platform's table. Exits with 0 only if every check succeeds.
set -u
cd "$(dirname "$0")/.."
. scripts/cluster.sh
cluster_init "${1:-build}" "${DEMO_PORT:-21000}"
FAILED=0
expect() { # TEXT ACTUAL WANTED
  if [ "$2" = "$3" ]; then
    echo "ok    $1: $2"
  else
    echo "WRONG $1: $2, not $3"
    FAILED=1
  fi
}

start_table
for n in 1 2; do start_entry "$n"; done
for n in 1 2 3; do start_guard "$n"; done
start_backend 1 1
start_backend 2 2
start_backend 3 4
wait_for 15 workers_ready 3 || exit 1
echo "--- running"
cli 1 status

echo "--- a profile is created"
cli 1 profile create examples/profile_quote.yaml --reason="first quotes" ||
  FAILED=1
in_force_everywhere() {
  cli 1 status --json | json_field \
    "all(p['config_version'] >= $1 for p in d['processes'])" | grep -qx True
}
wait_for 4 in_force_everywhere 2 || FAILED=1

echo "--- a job of 200 tasks through entry 1, again through entry 2"
cli 1 submit examples/quotes_200.yaml --key=demo-1 --json >"$DIR/first.json"
expect "exit code of the submission" $? 0
cli 2 submit examples/quotes_200.yaml --key=demo-1 --json >"$DIR/second.json"
expect "exit code of the resubmission" $? 0
expect "state" "$(json_field "d['state']" <"$DIR/first.json")" complete
expect "tasks in the answer" \
  "$(json_field "len([t for t in d['tasks'] if t['outcome'] == 'succeeded'])" \
    <"$DIR/first.json")" 200
expect "both answers are equal" \
  "$(cmp -s "$DIR/first.json" "$DIR/second.json" && echo yes)" yes
expect "starts on the backend servers" "$(cat "$DIR"/starts-* | wc -l)" 200
expect "different tasks started" "$(sort -u "$DIR"/starts-* | wc -l)" 200

sleep 1.2 # until the last results are acknowledged
sum() { # METRIC: its sum over both entries
  echo $(($(metric "$(entry_url 1)" "cactusmast_$1_total") + \
    $(metric "$(entry_url 2)" "cactusmast_$1_total")))
}
echo "--- messages"
for kind in dispatch_messages result_messages ack_messages tasks_dispatched \
  tasks_repeated tasks_refused results_duplicate settle_messages \
  cancel_messages fetch_messages requests_forwarded lease_messages; do
  printf '%-22s %s\n' "$kind" "$(sum "$kind")"
done
wasted=$(($(sum tasks_repeated) + $(sum tasks_refused) + \
  $(sum results_duplicate) + $(sum settle_messages) + \
  $(sum cancel_messages) + $(sum fetch_messages)))
expect "wasted messages" "$wasted" 0

echo "--- an operator changes the profile"
cli 2 profile set quote deadline_ms=15000 --reason="shorter evenings" ||
  FAILED=1
wait_for 4 in_force_everywhere 3 || FAILED=1
cli 1 status
cli 1 audit
expect "deadline in force" \
  "$(cli 1 profile show quote --json | json_field "d['deadline_ms']")" 15000

echo "--- drain"
for name in backend-1 backend-2 backend-3 guard-1 guard-2 guard-3 entry-1 \
  entry-2 table; do
  stop_process "$name"
  expect "exit code of $name" $? 0
done
exit "$FAILED"
