#!/bin/sh
# See claim.txt.  TROUBLE=0 plays the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
PYTHONPATH="$here/../lib-3:target/deps" PYTHONDONTWRITEBYTECODE=1 \
    exec timeout 115 python3 -S "$here/case.py"
