#!/usr/bin/env bash
# Runs chaos.sh for 15 seconds.
CHAOS_PORT="${CHAOS_TEST_PORT:-24500}" \
  exec "$(dirname "$0")/../chaos.sh" "$1" 15 5
