"""Loads this package's bytecode, which the build compiles into ``target/bytecode/``.

A controller's process cannot write into the repository. Without the compiled bytecode, each start
compiles all modules again, which took a third of the start's processor time, possibly while there
is no leader. The bytecode of other packages lies beside their sources, where pip writes it.
"""

import sys
from importlib.machinery import SOURCE_SUFFIXES, FileFinder, SourceFileLoader
from pathlib import Path
from types import CodeType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from importlib.abc import PathEntryFinder

PACKAGE_DIRECTORY = Path(__file__).resolve().parent
BYTECODE_DIRECTORY = PACKAGE_DIRECTORY.parent / "target" / "bytecode"


class _BuildBytecodeLoader(SourceFileLoader):
    """Loads a module from the build's bytecode, unless its source has changed since."""

    def get_code(self, fullname: str) -> CodeType | None:
        """Return the module's code; compile its source if there is no valid bytecode."""
        previous_prefix = sys.pycache_prefix
        sys.pycache_prefix = str(BYTECODE_DIRECTORY)
        try:
            return super().get_code(fullname)
        finally:
            sys.pycache_prefix = previous_prefix


def enable() -> None:
    """Load this package's modules from the build's bytecode from now on."""
    if not BYTECODE_DIRECTORY.is_dir():
        return
    create_finder = FileFinder.path_hook((_BuildBytecodeLoader, SOURCE_SUFFIXES))

    def path_hook(path: str) -> "PathEntryFinder":
        if not Path(path).resolve().is_relative_to(PACKAGE_DIRECTORY):
            raise ImportError(path)
        return create_finder(path)

    sys.path_hooks.insert(0, path_hook)
    # The default hook has already created and cached a finder for the package's directory.
    sys.path_importer_cache.pop(str(PACKAGE_DIRECTORY), None)


def compile_package() -> bool:
    """Compile the modules that have changed; return whether all could be compiled."""
    import compileall  # Only the build needs it; a controller's start should not load it.

    previous_prefix = sys.pycache_prefix
    sys.pycache_prefix = str(BYTECODE_DIRECTORY)
    try:
        return bool(compileall.compile_dir(PACKAGE_DIRECTORY, quiet=1))
    finally:
        sys.pycache_prefix = previous_prefix


if __name__ == "__main__":
    sys.exit(not compile_package())
