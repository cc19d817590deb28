#!/bin/sh
# Builds what the scripts of the second review start. Run it after the build of deploy/balancer.toml.
# The stand-ins are Python modules that need the standard library only: nothing is left to build, so it checks them.
cd "$(dirname "$0")" || exit 1
test -x ../.venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 1; }
PYTHONPATH=. ../.venv/bin/python -B -c 'import platform2.case'
