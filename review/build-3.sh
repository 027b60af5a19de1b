#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They are Python files that use the standard library only, so
# they are compiled to find errors. Run it after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins3 11 12 13
