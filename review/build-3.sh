#!/bin/sh
# Compiles the stand-ins of the third review. They use the standard library alone, and
# start the hosts from target/deps, which the build of the deploy file places there.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins3
