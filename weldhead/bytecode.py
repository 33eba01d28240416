"""Bytecode of this package: compiled by the build, kept below ``target/``.

A controller's process cannot write below the repository, so without this each start compiles
every module again: a third of a start's processor time, while nobody leads perhaps. Other
packages have theirs beside their sources, where pip writes it.
"""

import sys
from importlib.machinery import SOURCE_SUFFIXES, FileFinder, SourceFileLoader
from pathlib import Path
from types import CodeType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from importlib.abc import PathEntryFinder

PACKAGE = Path(__file__).resolve().parent
PREFIX = PACKAGE.parent / "target" / "bytecode"


class _PrefixLoader(SourceFileLoader):
    """Loads a module by its bytecode below the prefix, if that is not older than its source."""

    def get_code(self, fullname: str) -> CodeType | None:
        """Return the module's code; compiled anew where there is no valid bytecode."""
        before = sys.pycache_prefix
        sys.pycache_prefix = str(PREFIX)
        try:
            return super().get_code(fullname)
        finally:
            sys.pycache_prefix = before


def use() -> None:
    """Load this package's modules by the build's bytecode from now on."""
    if not PREFIX.is_dir():
        return
    finder = FileFinder.path_hook((_PrefixLoader, SOURCE_SUFFIXES))

    def hook(path: str) -> "PathEntryFinder":
        if not Path(path).resolve().is_relative_to(PACKAGE):
            raise ImportError(path)
        return finder(path)

    sys.path_hooks.insert(0, hook)
    # The package's own path has been looked at already, by the hook before.
    sys.path_importer_cache.pop(str(PACKAGE), None)


def compile_package() -> bool:
    """Compile what has changed; whether all of it could be compiled."""
    import compileall  # Needed by the build alone: a controller's start would pay for it.

    before = sys.pycache_prefix
    sys.pycache_prefix = str(PREFIX)
    try:
        return bool(compileall.compile_dir(PACKAGE, quiet=1))
    finally:
        sys.pycache_prefix = before


if __name__ == "__main__":
    sys.exit(not compile_package())
