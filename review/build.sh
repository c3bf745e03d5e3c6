#!/bin/sh
# Builds the stand-ins that the scripts start: checks that their sources compile.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
PYTHON
