#!/bin/sh
# Installs the libraries and the project's packages into target/deps.
set -eu
cd "$(dirname "$0")/.."
# A build that fails leaves no archive of older code.
rm -f target/modules.archive
stamp=target/deps/.installed
if [ "$stamp" -ot deploy/requirements.txt ] || [ ! -e "$stamp" ]; then
    python3 -m pip install -q --disable-pip-version-check -U \
        --target target/deps -r deploy/requirements.txt
    touch "$stamp"
fi
# Remove older copies, so that deleted modules do not stay.
rm -rf target/deps/egretrock target/deps/egretrock_node
cp -r packages/egretrock-core/src/egretrock target/deps/egretrock
cp -r packages/egretrock-node/src/egretrock_node target/deps/egretrock_node
find target/deps/egretrock target/deps/egretrock_node \
    -type d -name tests -prune -exec rm -rf {} +
python3 deploy/strip.py target/deps platform
env -u PYTHONPATH python3 -S deploy/archive.py
