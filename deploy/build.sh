#!/bin/sh
# Installs the pinned libraries if requirements.txt has changed since the last
# build, and copies the project's packages, which share one namespace package,
# into the same folder.
#
# requirements.txt names every library that the job service imports, so pip
# resolves no further ones.  Optional libraries that others import if they find
# them, such as rich, would only take memory in each process.
set -eu
target=target/deps
if ! cmp -s deploy/requirements.txt "$target/requirements.txt"; then
    rm -rf "$target"
    mkdir -p "$target"
    python3 -m pip install -q --disable-pip-version-check --no-deps \
        --target "$target" -r deploy/requirements.txt
    cp deploy/requirements.txt "$target/requirements.txt"
fi
rm -rf "$target/persimmonyard"
for source in packages/*/src platform/src; do
    cp -r "$source/persimmonyard" "$target/"
done
find "$target/persimmonyard" -name __pycache__ -type d -prune -exec rm -rf {} +
