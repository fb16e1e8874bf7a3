#!/bin/sh
# Checks the stand-ins of the cases 11 to 15.  They are Python that runs from
# its source with the libraries in target/deps, which deploy/build.sh installs.
set -eu
cd "$(dirname "$0")/.."
for source in review/lib-3/stage.py review/1[1-5]/case.py; do
    [ -f "$source" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$source"
done
PYTHONPATH=review/lib-3:target/deps PYTHONDONTWRITEBYTECODE=1 \
    python3 -S -c 'import stage'
