#!/usr/bin/env bash
# The stand-ins of the cases 4 and later are Python, the project's own and those beside the cases:
# nothing is compiled. Cron tables need the project's own list of libraries for them, which the
# deploy file's build leaves out; it goes beside that, below target/. The last line checks that the
# stand-ins can be imported.
set -eu
cd "$(dirname "$0")/.."
if [ ! target/recurring -nt requirements-recurring.txt ]; then
    python3 -m pip install -q -U --target target/recurring -r requirements-recurring.txt
fi
PYTHONPATH=target/deps:target/recurring:review python3 -c "import cluster_2, cronsim, tzdata"
