#!/bin/sh
# The stand-ins are Python modules that need only what the deploy file's build installs; compiles
# them, so that a fault in one of them shows here.
set -eu
cd "$(dirname "$0")"
PYTHONPATH="../target/deps:." python3 -m compileall -q standins
PYTHONPATH="../target/deps:." python3 -c "import standins.cluster"
