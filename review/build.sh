#!/bin/sh
# Checks that the stand-ins of the cases compile. They need Python 3.11 and
# its standard library only.
set -eu
cd "$(dirname "$0")"
python3 - <<'END'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
END
