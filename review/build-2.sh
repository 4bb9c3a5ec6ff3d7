#!/bin/sh
# Checks the stand-ins of the cases 6 to 10 (review/lib2). They are Python files that
# need the standard library only, and are the only stand-ins that the scripts start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for file in review/lib2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c "import sys; compile(open(sys.argv[1]).read(), sys.argv[1], 'exec')" "$file"
done
