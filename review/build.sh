#!/bin/sh
# The stand-ins are Python scripts of the standard library: they only have to compile.
set -e
cd "$(dirname "$0")"
for file in lab.py */case.py; do
  python3 -c "import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])" "$file"
done
