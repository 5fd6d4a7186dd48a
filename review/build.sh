#!/usr/bin/env bash
# Checks what the scripted cases need: their stand-ins are Python and need no build. The programs
# under test come from the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="ascii"), str(path))
PYTHON
