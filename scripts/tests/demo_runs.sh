#!/usr/bin/env bash
# The demonstration as a test.
DEMO_PORT="${DEMO_TEST_PORT:-21500}" exec "$(dirname "$0")/../demo.sh" "$1"
