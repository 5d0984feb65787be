#!/bin/sh
# Builds the stand-ins that the cases 6 to 10 start, after the build of the deploy file. The workers and consumers of
# the cases are Python programs of the standard library in review/kit2 and need no build.
set -e
cd "$(dirname "$0")/.."
cmake --build target --target standin-platform
