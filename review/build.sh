#!/bin/sh
# The stand-ins of the scripts are Python; this checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:. python3 -c 'import review.harness'
