#!/bin/sh
# Builds what cases 4 to 6 start beside the controllers: their stand-ins are Python programs of
# the standard library, so it only checks that this machine's Python takes them.
set -e
cd "$(dirname "$0")"
PYTHONPATH=. PYTHONDONTWRITEBYTECODE=1 python3 -c "import support_2.site_2"
