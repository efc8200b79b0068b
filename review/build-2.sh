#!/usr/bin/env bash
# Checks the stand-ins of the scripts in review/6 to review/10, after the
# build of the deploy file. They are Python and run from the source tree:
# review/harness2.py, testbed/flow_packets.py and the case files.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
    echo 'target/deps is missing; run the build of deploy/system.toml first' >&2
    exit 1
fi
export PYTHONPATH="target/deps:.:review" PYTHONDONTWRITEBYTECODE=1
python3 - <<'PYTHON'
import ast
import pathlib

import harness2
from testbed import flow_packets

cases = sorted(pathlib.Path('review').glob('*/case.py'))
for path in cases:
    ast.parse(path.read_text(), str(path))
print('stand-ins:', harness2.__name__, flow_packets.__name__, len(cases))
PYTHON
