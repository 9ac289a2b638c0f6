#!/usr/bin/env bash
# Builds what the scripts of the cases start: the stand-ins of this folder and
# those of the project. They need only target/deps, which the build of the
# deploy file has made, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps/lavendershed
# An own folder for the compiled files keeps the sources as they are.
export PYTHONPYCACHEPREFIX="$PWD/target/review-pycache"
python3 -m compileall -q review/standins packages/standin/src
export PYTHONPATH="$PWD/target/deps:$PWD/packages/standin/src:$PWD/review/standins"
python3 -c "import deployment, lavendershed.standin.platform_store"
