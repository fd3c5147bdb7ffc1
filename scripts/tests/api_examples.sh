#!/usr/bin/env bash
# Tests the HTTP interface with real processes: runs the curl examples of
# docs/API.md, and checks that invalid requests are refused.
set -eu
trap 'echo "failed at line $LINENO"' ERR
cd "$(dirname "$0")/../.."
. scripts/cluster.sh
cluster_init "$1" "${API_TEST_PORT:-22000}"
fail() {
  echo "FAILED: $*"
  exit 1
}
start_table
start_entry 1
start_guard 1
start_backend 1 1
wait_for 15 workers_ready 1
for profile in quote confirm_cut; do
  cli 1 profile create "examples/profile_$profile.yaml" --reason=test
done
export ENTRY
ENTRY=$(entry_url 1)

# Runs all examples of the page unchanged in one shell.
awk '/^```sh$/{on=1;next} /^```$/{on=0} on' docs/API.md >"$DIR/examples.sh"
[ "$(grep -c curl "$DIR/examples.sh")" -ge 6 ] || fail "examples are missing"
bash -eu "$DIR/examples.sh" >"$DIR/examples.out" || fail "an example failed"
cat "$DIR/examples.out"

status() { curl -s -o "$DIR/body" -w '%{http_code}' "$@"; }
expect_error() { # STATUS CODE RUN ARGUMENTS...
  local status=$1 code=$2 run=$3 got
  shift 3
  got=$(status "$@")
  [ "$got" = "$status" ] || fail "$got, not $status: $* $(cat "$DIR/body")"
  [ "$(json_field "d['error']['code']" <"$DIR/body")" = "$code" ] ||
    fail "not $code: $(cat "$DIR/body")"
  [ "$(json_field "d['error']['run']" <"$DIR/body")" = "$run" ] ||
    fail "not $run: $(cat "$DIR/body")"
}
expect_error 400 bad_request not_run -d '{' "$ENTRY/v1/jobs"
expect_error 404 not_found not_run -d '{"profile":"none","tasks":[1]}' \
  "$ENTRY/v1/jobs"
expect_error 400 bad_request not_run \
  -d '{"profile":"confirm-cut","tasks":[1]}' "$ENTRY/v1/jobs"
expect_error 401 unauthorized not_run -X PUT -d '{}' \
  "$ENTRY/v1/profiles/quote"
expect_error 401 unauthorized not_run -H 'Authorization: Bearer wrong' \
  "$ENTRY/v1/audit"
expect_error 404 not_found not_run "$ENTRY/v1/nothing"
expect_error 404 not_found not_run \
  "$ENTRY/v1/jobs/00000000000000000000000000000000"
expect_error 400 bad_request not_run "$ENTRY/v1/jobs/xyz"
# A team cannot read the job of another team, even with the job's id.
job=$(curl -s -H 'X-Team: bench' -H 'Idempotency-Key: secret' \
  -d '{"profile":"quote","tasks":[{"sleep_ms":1}]}' \
  "$ENTRY/v1/jobs?wait_ms=5000" | json_field "d['job']")
expect_error 404 not_found not_run -H 'X-Team: other' "$ENTRY/v1/jobs/$job"
# The same idempotency key with other content is a conflict.
expect_error 409 conflict not_run -H 'X-Team: bench' \
  -H 'Idempotency-Key: secret' -d '{"profile":"quote","tasks":[2]}' \
  "$ENTRY/v1/jobs?wait_ms=1000"
# A body over the size limit is refused, with and without Content-Length.
head -c 9000000 /dev/zero >"$DIR/large"
[ "$(status --data-binary @"$DIR/large" "$ENTRY/v1/jobs")" = 413 ] ||
  fail "a large body was not refused"
status -H 'Transfer-Encoding: chunked' --data-binary @"$DIR/large" \
  "$ENTRY/v1/jobs" >/dev/null || true
# Invalid data on the port of the internal protocol closes only the connection
# of its sender.
head -c 100000 /dev/urandom >/dev/tcp/127.0.0.1/$((BASE + 101)) || true
sleep 0.3
curl -sf "$ENTRY/healthz" >/dev/null || fail "the entry does not answer /healthz"
errors=$(metric "$ENTRY" cactusmast_peer_protocol_errors_total)
[ "$errors" -ge 1 ] || fail "the invalid data was not counted as a protocol error"
# Exit codes of the command line.
code=0
cli 1 profile set quote deadline_ms=1 --reason=x 2>/dev/null || code=$?
[ "$code" = 1 ] || fail "exit code $code for a value out of range"
code=0
cli 1 profile set quote deadline_ms=9000 --reason=x --revision=7 \
  2>/dev/null || code=$?
[ "$code" = 4 ] || fail "exit code $code for a conflict"
code=0
"$BUILD/cactusmast" --entry=http://127.0.0.1:1 status 2>/dev/null || code=$?
[ "$code" = 1 ] || fail "exit code $code without an entry"
for name in backend-1 guard-1 entry-1 table; do
  stop_process "$name" || fail "$name did not stop cleanly"
done
echo "all as documented"
