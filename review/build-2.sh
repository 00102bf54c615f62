#!/usr/bin/env bash
# Builds what the scripts of review/4 to review/6 start besides the programs of the deploy file's build.
# Their stand-ins are part of each case.py and need only Python 3, which .ci/vocabulary needs as well:
# there is nothing to compile, so this only checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for case in 4 5 6; do
  if [ -f "$case/case.py" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$case/case.py"
  fi
done
python3 -c 'import json, socket, subprocess, threading; print("Python 3 has what the cases need")'
