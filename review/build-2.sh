#!/bin/bash
# Builds what the scripts of 6 to 10 start beside the daemon. The stand-ins are
# Python modules of packages/standin and review/harness-2, which need only the
# packages that the build of the deploy file has installed.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
export PYTHONPATH=target/deps:packages/standin/src:review/harness-2/tests
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import crowd_case, deployment
from lavendershed.standin import platform_engine, platform_store'
