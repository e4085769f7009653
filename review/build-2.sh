#!/usr/bin/env bash
# Prepares the stand-ins of the cases from 6 on, after the build of the deploy file. They are scripts for Python 3 that use
# its standard library alone, so there is nothing to compile: this checks that they can run.
set -euo pipefail
cd "$(dirname "$0")/.."
test -x target/rosemarylane/rosemarylane
for file in review/kit2/*.py review/*/case.py; do
  python3 - "$file" <<'END'
import ast
import sys
ast.parse(open(sys.argv[1]).read(), sys.argv[1])
END
done
python3 -c 'import base64, hashlib, http.client, http.server, json, socket, subprocess, threading'
