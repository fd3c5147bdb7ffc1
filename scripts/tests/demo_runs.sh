#!/usr/bin/env bash
# Runs the demonstration as a test, on ports of its own.
DEMO_PORT="${DEMO_TEST_PORT:-21500}" exec "$(dirname "$0")/../demo.sh" "$1"
