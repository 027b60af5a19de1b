#!/usr/bin/env bash
# Builds the stand-ins of the cases from 6 on: they are Python and use its standard library only, so
# that they are only read here. Run it after the build of the deploy file.
cd "$(dirname "$0")" || exit 2
export PYTHONDONTWRITEBYTECODE=1
exec python3 -c 'import standins2.clients, standins2.deployment, standins2.servers, tomllib'
