#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run; see claim.txt.
# TROUBLE=0 runs the same without the entries of the other writer.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 exec timeout 110 python3 case.py
