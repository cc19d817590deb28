#!/bin/sh
# The stand-ins are Python of the standard library: nothing is downloaded or installed. This compiles every file in memory, so
# that no bytecode is left in review/, and imports the stand-ins.
cd "$(dirname "$0")" || exit 1
../.venv/bin/python -B -c '
import pathlib, standins
for path in sorted(pathlib.Path().glob("*/*.py")):
    compile(path.read_text(), str(path), "exec")
'
