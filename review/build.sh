#!/usr/bin/env bash
# Checks that the stand-ins of the cases, which are plain Python, compile and can be imported.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -S -m compileall -q review
PYTHONDONTWRITEBYTECODE=1 python3 -S -c 'import review.standins.case, review.standins.clients, review.standins.servers'
