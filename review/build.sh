#!/usr/bin/env bash
# Builds what the cases start: the stand-ins are Python and use the node's libraries, so this checks
# that they can be loaded with the libraries that the deploy file's build has put into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:." PYTHONPYCACHEPREFIX=target/review-pyc
python3 -m compileall -q standins review
python3 -c "import review.harness"
