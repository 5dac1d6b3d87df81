#!/bin/sh
# The stand-ins need nothing but Python: compiling them shows that they are whole.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q stand_in
