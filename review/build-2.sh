#!/bin/sh
# Prepares what the cases 6 to 10 start beside the programs of the deploy file: stand-ins in Python 3.8 or later, of the
# standard library alone. There is nothing to compile; this checks that they can be read. No network is used.
set -e
cd "$(dirname "$0")"
python3 - common-2/*.py [6-9]/case.py 10/case.py <<'CHECK'
import sys
for name in sys.argv[1:]:
    with open(name, encoding="utf-8") as f:
        compile(f.read(), name, "exec")
print(f"{len(sys.argv) - 1} files can be read")
CHECK
