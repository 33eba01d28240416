"""The build's bytecode is used while it is valid, and ignored once its source has changed."""

import os
import shutil
import subprocess
import sys
from pathlib import Path

SOURCES = Path(__file__).parents[1] / "weldhead"
PROGRAM = """
import importlib._bootstrap_external as external
compiled = []
original = external.SourceLoader.source_to_code
def source_to_code(self, data, path, **more):
    compiled.append(path)
    return original(self, data, path, **more)
external.SourceLoader.source_to_code = source_to_code
from weldhead import bytecode
bytecode.enable()
import weldhead.protocol.sample, weldhead.clock
print(weldhead.protocol.sample.VALUE, len([path for path in compiled if "weldhead" in path]))
"""


def run(root: Path, *arguments: str) -> str:
    environment = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
    command = [sys.executable, *arguments]
    ran = subprocess.run(command, cwd=root, env=environment, capture_output=True, check=True)
    return ran.stdout.decode().strip()


def test_start_compiles_only_sources_newer_than_build(tmp_path: Path) -> None:
    """Guards against starts that compile all modules again.

    Each start compiled 111 modules, which took a third of its processor time; meanwhile there was
    no leader.
    """
    package = tmp_path / "weldhead"
    (package / "protocol").mkdir(parents=True)
    for name in ("__init__.py", "bytecode.py", "clock.py"):
        shutil.copyfile(SOURCES / name, package / name)
    (package / "protocol" / "__init__.py").write_text('"""Messages."""\n')
    sample = package / "protocol" / "sample.py"
    sample.write_text("VALUE = 1\n")
    assert run(tmp_path, "-c", PROGRAM) == "1 5"
    run(tmp_path, "-m", "weldhead.bytecode")
    # The package and the bytecode module itself are loaded before the bytecode is enabled.
    assert run(tmp_path, "-c", PROGRAM) == "1 2"
    sample.write_text("VALUE = 234\n")
    assert run(tmp_path, "-c", PROGRAM) == "234 3"
