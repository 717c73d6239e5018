#!/bin/sh
# Installs the dependencies if deploy/requirements.txt has changed since the last build, then copies
# and compiles the project's packages. Everything goes into target/deps.
set -eu
target=target/deps
if [ ! -e "$target/installed" ] || [ deploy/requirements.txt -nt "$target/installed" ]; then
    rm -rf "$target"
    python3 -m pip install --quiet --target "$target" -c constraints.txt -r deploy/requirements.txt
    touch "$target/installed"
fi
for package in packages/core/cranberryshore packages/daemon/cranberryshored \
    platform/cranberryshore_platform; do
    rm -rf "$target/$(basename "$package")"
    cp -r "$package" "$target/"
done
python3 -m compileall -q "$target"
