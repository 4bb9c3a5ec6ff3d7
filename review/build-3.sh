#!/bin/sh
# Builds the stand-ins of the cases 11 to 15, after the build of the deploy file. They
# use nothing but Python's standard library, so that they are only compiled, to target/.
set -eu
cd "$(dirname "$0")/.."
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for folder in review/lib3 review/1[1-5]; do
    [ -d "$folder" ] || continue
    PYTHONPYCACHEPREFIX=target/review-3 python3 -m compileall -q "$folder"
done
