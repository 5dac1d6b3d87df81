#!/bin/bash
# Builds the stand-ins of the scripts of the second review: they are Python and
# use the packages of the deploy build, so this only compiles and imports them.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=.:target/deps
python3 -m compileall -q standins tools/processes.py review/cell_2 || exit 2
python3 -c 'import review.cell_2.platform, review.cell_2.launcher'
