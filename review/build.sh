#!/bin/sh
# Builds all that the scripts start besides the managers: the stand-ins run from
# source, with the standard library alone, so it only checks that they compile.
set -e
cd "$(dirname "$0")"
for file in common/*.py [1-5]/*.py; do
    python3 -B -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
