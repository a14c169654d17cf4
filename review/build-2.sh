#!/bin/sh
# Builds what the scripts of the second review start beside the front end: their stand-ins are Python files that need
# the standard library alone, so it only checks that the interpreter of the deploy file's build reads them.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
cd "$here"
for file in peers_2.py 6/case.py 7/case.py 8/case.py 8/flood.py; do
    ../.venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
