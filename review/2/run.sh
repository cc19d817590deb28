#!/bin/sh
# Plays case 2 and writes review/2/record.txt: what was sent, answered and run. TROUBLE=0: without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
record=review/2/record.txt
PYTHONPATH=review .venv/bin/python -B -c 'import standins' >"$record" 2>&1 || exit 2 # not built
exec .venv/bin/python -B review/2/case.py "$record"
