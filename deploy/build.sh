#!/bin/sh
# Places the sources of all packages, compiled, and their libraries in target/deps.
# The sources are copied at every build, so that nothing stale can be measured.
set -eu
deps=target/deps
mkdir -p "$deps"
stamp="$deps/.requirements"
if ! cat deploy/requirements.txt constraints.txt | cmp -s - "$stamp"; then
    python3 -m pip install -q -U --target "$deps" -r deploy/requirements.txt
    cat deploy/requirements.txt constraints.txt > "$stamp"
fi
rm -rf "$deps"/kingcuplug_*
for package in common http log routing gateway fleet node; do
    cp -r "packages/$package/src/." "$deps"
done
cp -r platform/src/. "$deps"
python3 -m compileall -q "$deps"
