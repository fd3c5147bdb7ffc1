#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 python3 -B review/2/run.py
code=$?
case $code in
  0|1) [ -s review/2/record.txt ] && exit $code ;;
esac
exit 2
