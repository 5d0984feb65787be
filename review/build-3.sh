#!/bin/sh
# Builds the stand-in of the platform's store that the cases 11 to 15 start, after the build of the deploy file. Their
# workers and consumers are Python programs of the standard library and need no build.
set -e
cd "$(dirname "$0")/.."
cmake --build target --target standin-platform
