#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program in C++ into review/bin/, with
# the packages of the deploy file. The others are Python programs that use only
# the standard library; for them this checks that the interpreter loads them.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
g++ -std=c++20 -O2 -DBOOST_ASIO_NO_DEPRECATED -o bin/swarm rig/swarm.cc -pthread
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
