#!/bin/sh
# Checks the stand-ins that the scripts start.  They are Python modules in
# review/lib and need only the libraries of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
for source in review/lib/yard.py review/*/case.py; do
    PYTHONPATH=review/lib:target/deps python3 -S -c \
        'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$source"
done
PYTHONPATH=review/lib:target/deps PYTHONDONTWRITEBYTECODE=1 python3 -S -c 'import yard'
