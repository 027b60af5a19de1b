#!/usr/bin/env bash
# Exit 1: the rule was broken; 0: it held; 2: the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -S "review/$(basename "$(dirname "$0")")/case.py"
