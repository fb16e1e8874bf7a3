#!/bin/sh
# Installs the pinned libraries if requirements.txt has changed since the last
# build, and copies the project's packages, which share one namespace package,
# into the same folder.
set -eu
target=target/deps
mkdir -p "$target"
if ! cmp -s deploy/requirements.txt "$target/requirements.txt"; then
    python3 -m pip install -q --disable-pip-version-check -U --target "$target" \
        -r deploy/requirements.txt
    cp deploy/requirements.txt "$target/requirements.txt"
fi
rm -rf "$target/persimmonyard"
for source in packages/*/src platform/src; do
    cp -r "$source/persimmonyard" "$target/"
done
find "$target/persimmonyard" -name __pycache__ -type d -prune -exec rm -rf {} +
