#!/usr/bin/env bash
# Real processes under load and faults for a short while.
CHAOS_PORT="${CHAOS_TEST_PORT:-24500}" \
  exec "$(dirname "$0")/../chaos.sh" "$1" 15 5
