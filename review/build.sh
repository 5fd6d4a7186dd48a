#!/usr/bin/env bash
# Checks what the scripted cases need. Their stand-ins are in Python and need no build; the programs
# under test come from the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
python3 -B - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 9):
    sys.exit("Python 3.9 or newer is needed")
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="ascii"), str(path))
PYTHON
