#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.  They are Python that runs from
# its source with the libraries in target/deps, which deploy/build.sh installs;
# so this only checks that the libraries and the sources are there and load.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
PYTHONPATH="$root/target/deps:$root/review/lib-2" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c "import starving, yard"
for number in 6 7 8 9 10; do
    case="$root/review/$number/case.py"
    [ -f "$case" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$case"
done
