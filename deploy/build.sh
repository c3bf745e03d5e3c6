#!/bin/sh
# Places the sources of all packages, compiled, and their libraries in target/deps.
# The sources are copied at every build, so that nothing stale can be measured.
set -eu
umask 022

deps=target/deps
libraries=target/libraries
stamp=target/libraries.stamp

fail() {
    printf 'deploy/build.sh: %s\n' "$1" >&2
    exit 1
}

# Runs the interpreter that runs hosts. They get none of the other variables.
run_as_host() {
    env -i PATH="$PATH" HOME="${HOME-}" PYTHONPATH="$PWD/$deps" "$@"
}

# The libraries depend on the requirements, the interpreter and the kind of machine.
describe_libraries() {
    cat deploy/requirements.txt constraints.txt
    "$python" -E -c '
import platform, sysconfig
print(sysconfig.get_platform(), sysconfig.get_config_var("EXT_SUFFIX"))
print(*platform.libc_ver())'
    (cd "$libraries" && find . -type f ! -name '*.pyc' -exec cksum {} + | LC_ALL=C sort)
}

python=$(run_as_host python3 -c 'import sys; print(sys.executable)') ||
    fail "python3 does not start; install Python 3.11 or later, with pip"
"$python" -E -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    fail "$python is too old; put Python 3.11 or later first on PATH"

mkdir -p "$libraries"
if [ "$(describe_libraries)" != "$(cat "$stamp" 2> /dev/null)" ]; then
    rm -rf "$libraries" "$stamp"
    mkdir "$libraries"
    "$python" -E -m pip install -q --no-compile --target "$libraries" \
        -r deploy/requirements.txt ||
        fail "the libraries cannot be installed; $python needs pip and a package index"
    describe_libraries > "$stamp"
fi

rm -rf "$deps"
cp -R "$libraries" "$deps"
for package in common http log routing gateway fleet node; do
    cp -R "packages/$package/src/." "$deps"
done
cp -R platform/src/. "$deps"
"$python" -E -m compileall -q "$deps"

# Everything that a host imports, also what it imports only when it is needed.
run_as_host "$python" -c '
import kingcuplug_platform._main
from kingcuplug_common import Metrics, render_metrics
from kingcuplug_fleet import ControlReplica
render_metrics(Metrics(), {})' ||
    fail "no host can start from $deps with $python; remove target and build again, \
with the python3 of the hosts first on PATH"
