#!/bin/sh
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/.." PYTHONDONTWRITEBYTECODE=1 exec python3 "$here/case.py"
