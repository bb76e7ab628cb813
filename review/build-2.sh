#!/bin/sh
# The stand-ins are Python and need no package; this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 - standins-2/*.py [4-8]/*.py extra-2/*/*.py <<'CHECK'
import pathlib
import sys

for name in sys.argv[1:]:
    path = pathlib.Path(name)
    if path.exists():
        compile(path.read_bytes(), name, "exec")
CHECK
