"""Entry point: puts the installed dependencies on the import path and runs the command line.

The platform starts ``python3 run.py --config FILE``. This is equivalent to ``weldhead serve
--config FILE``, but does not import the command-line library.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT / "target" / "deps"))
sys.path.insert(0, str(ROOT))
# The libraries of the extras in pyproject.toml; no controller needs them.
sys.path.append(str(ROOT / "target" / "extras"))

# The imports need the path. The clock is imported first, to record the time of the start.
import weldhead.clock  # noqa: E402, F401
from weldhead import bytecode  # noqa: E402

bytecode.enable()

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
