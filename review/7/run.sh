#!/usr/bin/env bash
# Runs this case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 case.py
