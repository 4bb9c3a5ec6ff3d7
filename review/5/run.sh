#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption and does all else.
export TROUBLE="${TROUBLE:-1}"
cd "$(dirname "$0")" && PYTHONPATH=../common exec python3 -B case.py
