#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python, of its standard library alone, and need no build.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins/*.py */case.py <<'CHECK'
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
CHECK
