#!/bin/sh
# The stand-ins are Python of the standard library: nothing is downloaded; this compiles them and checks the imports.
cd "$(dirname "$0")/.." || exit 1
.venv/bin/python -m compileall -q review || exit 1
cd review && ../.venv/bin/python -c 'import standins'
