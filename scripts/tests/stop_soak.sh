#!/usr/bin/env bash
# Checks that no request is lost and no process ends badly while entries are
# stopped, also twice, reloaded and given configurations.
set -u
soak=$(dirname "$0")/../soak/stop_soak.py
code=0
"$soak" "$1" --seed 7 --seconds 20 --rate 80 || code=1
"$soak" "$1" --seed 13 --seconds 25 --rate 100 --once \
  --only series --only all --only configs --routes 3000 || code=1
exit "$code"
