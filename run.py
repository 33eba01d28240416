"""Entry point: put the installed dependencies on the path and hand over to the CLI.

The platform starts ``python3 run.py --config FILE``; that does what ``weldhead serve --config
FILE`` does, without loading what reads people's command lines.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "target" / "deps"))
sys.path.insert(0, str(ROOT))
# Libraries of the extras in pyproject.toml, which no controller needs.
sys.path.append(str(ROOT / "target" / "extras"))

# The path must be set first; the clock notes the start before all else is loaded.
import weldhead.clock  # noqa: E402, F401
from weldhead import bytecode  # noqa: E402

bytecode.use()

if __name__ == "__main__":
    arguments = sys.argv[1:]
    match arguments:
        case ["--config", config]:
            from weldhead.serving import run_for_platform

            sys.exit(run_for_platform(config))
    if arguments and arguments[0] == "--config":
        arguments.insert(0, "serve")
    from weldhead.cli import main

    main(arguments, prog_name="weldhead")
