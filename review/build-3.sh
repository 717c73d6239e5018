#!/bin/sh
# Builds the stand-ins of the cases from 11 on: checks that they compile, and that their only library
# is there, which the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
PYTHONPYCACHEPREFIX=target/review-3 python3 -m compileall -q review/standins-3
PYTHONPATH=target/deps python3 -c "import aiohttp"
