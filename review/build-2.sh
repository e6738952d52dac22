#!/bin/sh
# The stand-ins of this review are Python programs: nothing has to be compiled.
# This checks that they can be read and that the deploy file's programs exist.
set -e
cd "$(dirname "$0")/.."
for FILE in review/standins-2/*.py review/[45678]/*.py; do
  [ -e "$FILE" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$FILE"
done
for ROLE in balancer agent; do
  [ -x "target/platform/marjoramrail-platform-$ROLE" ] ||
    echo "build-2: build the programs of the deploy file first ($ROLE)"
done
