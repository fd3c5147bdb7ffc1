#!/usr/bin/env bash
# Runs the library's tests and the tests with real processes, and prints how
# many passed and failed.
# Tests named in KNOWN-RED.txt may fail; they are printed.
set -u
cd "$(dirname "$0")/.."
build=$1
passed=0
failed=0
output=$("$build/cactusmast-test" 2>&1)
code=$?
echo "$output"
counts=$(echo "$output" | grep -a 'test cases:' | tail -1)
p=$(echo "$counts" | sed -E 's/.*test cases: *[0-9]+ \| *([0-9]+) passed.*/\1/')
f=$(echo "$counts" | sed -E 's/.*passed \| *([0-9]+) failed.*/\1/')
if [[ $p =~ ^[0-9]+$ && $f =~ ^[0-9]+$ ]]; then
  passed=$((passed + p))
  failed=$((failed + f))
  [ "$code" -ne 0 ] && [ "$f" -eq 0 ] && failed=$((failed + 1))
else
  failed=$((failed + 1))
fi
for script in scripts/tests/*.sh; do
  [ -e "$script" ] || continue
  if "$script" "$build" >"$build/$(basename "$script").log" 2>&1; then
    echo "ok    $script"
    passed=$((passed + 1))
  else
    echo "FAIL  $script"
    cat "$build/$(basename "$script").log"
    failed=$((failed + 1))
  fi
done
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
