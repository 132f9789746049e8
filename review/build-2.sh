#!/bin/sh
# Builds what the cases 6 to 10 start beside the program. Their stand-ins are Python of the standard library and run
# with the interpreter that deploy/build has made, so there is nothing to compile: this checks that they can run.
set -eu
cd "$(dirname "$0")/.."
test -x .venv/bin/python || { echo "run deploy/build first" >&2; exit 2; }
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 .venv/bin/python -c 'import rig_2'
