#!/bin/sh
# Builds what the scripts of the cases start beside the programs of the deploy file.
# All stand-ins are Python of the standard library, so it only checks them.
cd "$(dirname "$0")/.." || exit 1
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
for file in review/standins/*.py review/*/run.py scripts/soak/http_wire.py scripts/soak/standins.py; do
  [ -e "$file" ] || continue
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read(), sys.argv[1])" "$file" || exit 1
done
