#!/usr/bin/env bash
# The stand-ins of the scripts are Python programs that use the standard library only; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/standins.py [1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
