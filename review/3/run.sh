#!/usr/bin/env bash
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: without trouble.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3 -c "import review.harness" || exit 2
exec python3 -m review.3.case
