#!/bin/sh
# Prepares the stand-ins of the cases, which need nothing but the packages of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m py_compile review/rig.py review/[0-9]*/case.py
