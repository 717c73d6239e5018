#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# With TROUBLE=0 it does the same without the disruption.
cd "$(dirname "$0")" || exit 2
export PYTHONPATH="../../target/deps:.."
python3 -c "import standins.cluster" || exit 2
if [ "${TROUBLE:-1}" = 0 ]; then
    exec python3 case.py calm
fi
exec python3 case.py trouble
