"""The packages form layers: no module imports from a higher layer, and no import cycles exist.

Imports inside functions and under TYPE_CHECKING count as well.
"""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

from tests.support.paths import ROOT

#: From the highest to the lowest layer; docs/architecture.md describes each package.
LAYERS = (
    "cli",
    "emulator",
    "site",
    "client",
    "serving",
    "controller",
    "tunables",
    "scheduling",
    "reconciliation",
    "reachability",
    "failure_attribution",
    "provisioning",
    "gates",
    "calendars",
    "admission",
    "documents",
    "cluster_state",
    "transport",
    "membership",
    "quota",
    "protocol",
    "tomlfiles",
    "bytecode",
    "clock",
)


def _modules() -> dict[str, Path]:
    names = {}
    for path in (ROOT / "weldhead").rglob("*.py"):
        dotted = ".".join(path.relative_to(ROOT).with_suffix("").parts)
        names[dotted.removesuffix(".__init__")] = path
    return names


def _imports(path: Path, modules: dict[str, Path]) -> set[str]:
    found: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            found |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module is not None:
            for alias in node.names:
                submodule = f"{node.module}.{alias.name}"
                found.add(submodule if submodule in modules else node.module)
    return found & modules.keys()


MODULES = _modules()
GRAPH = {name: _imports(path, MODULES) - {name} for name, path in MODULES.items()}


def _layer(module: str) -> int | None:
    """Return the layer of a module's package; None for the root package, which has no layer."""
    _, _, rest = module.partition(".")
    return LAYERS.index(rest.partition(".")[0]) if rest else None


def test_no_module_imports_from_higher_layer() -> None:
    upward = [
        f"{name} -> {imported}"
        for name, imports in GRAPH.items()
        for imported in imports
        if (own_layer := _layer(name)) is not None
        and (imported_layer := _layer(imported)) is not None
        and imported_layer < own_layer
    ]
    assert not upward


def test_no_import_cycles_exist() -> None:
    try:
        TopologicalSorter(GRAPH).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))
