#!/bin/sh
# Builds what the cases of the third review start beside the programs of the deploy file. Their stand-ins are
# Python scripts in stand-ins-3 and in the folders of the cases, so it only checks that they can be run.
cd "$(dirname "$0")" || exit 1
for file in stand-ins-3/*.py 1[1-5]/*.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
