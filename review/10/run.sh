#!/bin/sh
# Plays the case; with TROUBLE=0 without the disruption. 1: the rule was broken, 0: it held, 2: it could not run.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
test -x .venv/bin/python || exit 2
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python "$here/case.py" "$here"
