#!/usr/bin/env bash
# Builds the stand-ins of review cases 11 to 15. They are Python programs without
# further packages; the daemon itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib
import sys

if sys.version_info < (3, 8):
    sys.exit("Python 3.8 or later is needed")
for source in sorted(pathlib.Path(".").glob("1[1-5]/case.py")) + [
        pathlib.Path("standin-3/standin.py")]:
    compile(source.read_text(), str(source), "exec")
    print("checked", source)
CHECK
