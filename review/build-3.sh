#!/bin/sh
# Builds what the scripts in review/11 to review/15 start, after the build line of the deploy file.
# The stand-ins are Python and run from target/deps, so this only checks that all of it is there.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH=target/deps:review python3 -c 'import lab3' || exit 1
for script in review/1[1-5]/play.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read())" "$script" || exit 1
done
