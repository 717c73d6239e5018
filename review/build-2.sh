#!/bin/sh
# Builds the stand-ins of the cases 6 to 10: checks that they compile, and that their only library
# is there, which the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
PYTHONPATH=target/deps PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q review/standins-2
PYTHONPATH=target/deps python3 -c "import aiohttp, attrs, msgspec"
