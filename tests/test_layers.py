"""The packages stand in layers: no import upward, and no circle of modules.

Imports inside functions and under TYPE_CHECKING count as well.
"""

import ast
from graphlib import CycleError, TopologicalSorter
from pathlib import Path

import pytest

from tests.support.paths import ROOT

#: From the top to the bottom; docs/architecture.md says what each is for.
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
    """Return the place of a module's package; None: the root package belongs to none."""
    _, _, rest = module.partition(".")
    return LAYERS.index(rest.partition(".")[0]) if rest else None


def test_no_module_imports_from_a_layer_above() -> None:
    upward = [
        f"{name} -> {imported}"
        for name, imports in GRAPH.items()
        for imported in imports
        if (own := _layer(name)) is not None
        and (other := _layer(imported)) is not None
        and other < own
    ]
    assert not upward


def test_no_modules_import_one_another_in_a_circle() -> None:
    try:
        TopologicalSorter(GRAPH).prepare()
    except CycleError as error:
        pytest.fail(" -> ".join(error.args[1]))
