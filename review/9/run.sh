#!/bin/sh
# TROUBLE=0 runs the same without the disruption. Exits with 1 if the rule was broken, 0 if it held
# and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec timeout --kill-after=3 117 python3 case.py
