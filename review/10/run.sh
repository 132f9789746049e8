#!/bin/sh
# 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || { echo "run deploy/build first" >&2; exit 2; }
PYTHONPATH=review PYTHONDONTWRITEBYTECODE=1 exec .venv/bin/python review/10/case.py review/10
