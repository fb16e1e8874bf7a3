#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
export TROUBLE="${TROUBLE:-1}"
PYTHONPATH="$root/target/deps:$root/review/lib-2" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$folder/case.py"
