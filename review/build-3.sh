#!/bin/bash
# Builds the stand-ins that the scripts of the third review start: the
# project's own executors and those of lib_3, which extend them.
set -e
cd "$(dirname "$0")/.."
test -d target/deps || {
    echo "build-3: the build of the deploy file comes first" >&2
    exit 1
}
python3 -m compileall -q standins review/lib_3
