#!/bin/sh
# The scripts of the second review start target/clementined, which the build of
# the deploy file makes, and stand-ins in Python (standard library only), which
# need no build. This checks that both are there.
cd "$(dirname "$0")/.." || exit 2
[ -x target/clementined ] || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
python3 -m py_compile review/standin-2/*.py && rm -rf review/standin-2/__pycache__
