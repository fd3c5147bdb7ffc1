#!/usr/bin/env bash
# Checks that the soak makes up no exit codes.
exec "$(dirname "$0")/soak_exit_codes.py"
