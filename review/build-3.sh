#!/bin/sh
# The stand-ins of the cases 11 to 15 are plain Python files that use the
# standard library only (lib3/); this checks that the interpreter reads them.
set -e
cd "$(dirname "$0")"
for file in lib3/standin.py 1[1-5]/case.py; do
    if [ -f "$file" ]; then
        python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$file"
    fi
done
