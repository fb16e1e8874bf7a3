#!/bin/sh
# Runs the case.  With TROUBLE=0 it does the same without the disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if it couldn't run.
case "${TROUBLE:=1}" in
0 | 1) ;;
*)
    echo "TROUBLE is $TROUBLE; give 0 or 1" >&2
    exit 2
    ;;
esac
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
PYTHONPATH="$here/../lib:target/deps" PYTHONDONTWRITEBYTECODE=1 exec python3 -S "$here/case.py"
