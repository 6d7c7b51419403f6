#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can be read by this Python; they
# use the standard library only and need no build.
set -eu
cd "$(dirname "$0")"
python3 - lib2/*.py [6-9]/*.py 10/*.py <<'CHECK'
import os
import sys

for path in sys.argv[1:]:
    if os.path.exists(path):
        with open(path, encoding="utf-8") as file:
            compile(file.read(), path, "exec")
CHECK
