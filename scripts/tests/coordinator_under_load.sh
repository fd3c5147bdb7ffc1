#!/usr/bin/env bash
# Checks that a real coordinator with 20 executors answers every job at 60 jobs
# a second for three seconds, and that it then drains in time and exits with 0.
set -eu
build=$1
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
cat >"$dir/coordinator.yaml" <<'YAML'
role: coordinator
name: edge-1
data_center: a
region: r
host: 127.0.0.1
peer_port: 7702
seeds: []
store: 127.0.0.1:8703
metrics: 127.0.0.1:8704
shared_key: load
stop_within_ms: 6000
front: 127.0.0.1:8701
readiness: 127.0.0.1:8702
YAML
CACTUSMAST_BOOT="$dir/coordinator.yaml" "$build/cactusmast-coordinator" \
  >"$dir/coordinator.log" 2>&1 &
coordinator=$!
sleep 1
result=$("$build/cactusmast-platform-load" --executors=20 --rate=60 \
  --seconds=3 --pid="$coordinator")
echo "$result"
kill -TERM "$coordinator"
code=0
wait "$coordinator" || code=$?
answered=$(echo "$result" | sed -E 's/.*answered ([0-9]+),.*/\1/')
otherwise=$(echo "$result" | sed -E 's/.*otherwise ([0-9]+),.*/\1/')
if [ "$answered" -lt 150 ] || [ "$otherwise" -ne 0 ] || [ "$code" -ne 0 ]; then
  echo "answered $answered, otherwise $otherwise, exit code $code"
  tail -20 "$dir/coordinator.log"
  exit 1
fi
