#!/usr/bin/env bash
# Runs the case; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
# Without the disruption if it is 0.
export TROUBLE="${TROUBLE:-1}"
export PYTHONDONTWRITEBYTECODE=1
export PYTHONPATH="$PWD/target/deps:$PWD/packages/standin/src:$PWD/review/standins"
python3 -c "import deployment" || exit 2
exec python3 review/5/case.py
