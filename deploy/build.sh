#!/bin/sh
# Places the sources of all packages, compiled, and their libraries in target/deps.
# A whole tree replaces the one before, so that hosts can start during a build and
# after one that was interrupted.
set -eu
umask 022

deps=target/deps
new=target/deps.new
tree=$deps
old=target/deps.old
libraries=target/libraries
stamp=target/libraries.stamp

fail() {
    printf 'deploy/build.sh: %s\n' "$1" >&2
    exit 1
}

# Runs the interpreter that runs hosts. They get none of the other variables.
run_as_host() {
    env -i PATH="$PATH" HOME="${HOME-}" PYTHONPATH="$PWD/$tree" "$@"
}

list_files() {
    (cd "$1" && find . -type f ! -name '*.pyc' -exec cksum {} + | LC_ALL=C sort)
}

# The libraries depend on the requirements, the interpreter and the kind of machine.
describe_libraries() {
    cat deploy/requirements.txt constraints.txt
    "$python" -E -c '
import platform, sysconfig
print(sysconfig.get_platform(), sysconfig.get_config_var("EXT_SUFFIX"))
print(*platform.libc_ver())'
    list_files "$libraries"
}

# Renames the folders in one process, because there is no tree in between.
replace_tree() {
    "$python" -E - "$new" "$deps" "$old" << 'END'
import os, sys
new, deps, old = sys.argv[1:]
if os.path.exists(deps):
    os.rename(deps, old)
os.rename(new, deps)
END
}

python=$(run_as_host python3 -c 'import sys; print(sys.executable)') ||
    fail "python3 does not start; install Python 3.11 or later, with pip"
"$python" -E -c 'import sys; sys.exit(sys.version_info < (3, 11))' ||
    fail "$python is too old; put Python 3.11 or later first on PATH"

# One build at a time, where the file system has locks. The system releases the lock
# when the build ends.
mkdir -p target
exec 9> target/lock
"$python" -E -c 'import fcntl; fcntl.flock(0, fcntl.LOCK_EX)' <&9 ||
    printf 'deploy/build.sh: target/lock has no effect; run one build at a time\n' >&2

# An interrupted build may have left these, the last one between the two renames.
if [ -d "$old" ] && [ ! -d "$deps" ]; then
    mv "$old" "$deps"
fi
rm -rf "$new" "$old"
trap 'rm -rf "$new"' EXIT

mkdir -p "$libraries"
if [ "$(describe_libraries)" != "$(cat "$stamp" 2> /dev/null)" ]; then
    rm -rf "$libraries" "$stamp"
    mkdir "$libraries"
    "$python" -E -m pip install -q --no-compile --target "$libraries" \
        -r deploy/requirements.txt ||
        fail "the libraries cannot be installed; $python needs pip and a package index"
    describe_libraries > "$stamp"
fi

cp -R "$libraries" "$new"
for package in common http log routing gateway fleet node; do
    cp -R "packages/$package/src/." "$new"
done
cp -R platform/src/. "$new"

# Hosts that run keep the tree that they started from, unless it differs.
if [ -d "$deps" ] && [ "$(list_files "$new")" = "$(list_files "$deps")" ]; then
    rm -rf "$new"
else
    tree=$new
fi
"$python" -E -m compileall -q -f "$tree"

# Everything that a host imports, also what it imports only when it is needed. Hosts run
# without the packages of the machine, too.
run_as_host "$python" -S -c '
import kingcuplug_platform._main
from kingcuplug_common import Metrics, render_metrics
from kingcuplug_fleet import ControlReplica
render_metrics(Metrics(), {})' ||
    fail "no host can start from this tree with $python; remove target and build \
again, with the python3 of the hosts first on PATH"

if [ "$tree" = "$new" ]; then
    replace_tree
    rm -rf "$old"
fi
