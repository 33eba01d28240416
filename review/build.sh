#!/bin/sh
# Builds the stand-ins of the cases: Python modules that need only the controller's libraries.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps/aiohttp || { echo "run the build of deploy/service.toml first" >&2; exit 1; }
PYTHONPATH=target/deps python3 -c "import aiohttp"
python3 -m compileall -q review
