#!/usr/bin/env bash
# Builds the stand-ins of the cases. They are Python programs that use only the
# standard library, so this checks that the interpreter can load them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import ast
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 or newer is needed")
for file in sorted(pathlib.Path(".").glob("*/*.py")):
    ast.parse(file.read_text(), str(file))
    print(file, "ok")
PYTHON
