#!/bin/sh
# Builds what the cases start beside the programs of the deploy file: nothing but Python's standard library is used, so
# this only checks that the stand-ins compile. The scheduler itself is built by the deploy file's `build`.
cd "$(dirname "$0")" || exit 1
python3 -B - <<'PY' || exit 1
import glob, sys
for path in sorted(glob.glob("common/*.py") + glob.glob("*/case.py")):
    compile(open(path).read(), path, "exec")
    print("compiles:", path)
PY
