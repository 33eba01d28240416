"""Links lead somewhere, and pages and comments name files, modules and members that exist."""

import ast
import re
from collections import defaultdict
from itertools import pairwise
from pathlib import Path

import pytest

from tests.support.paths import ROOT

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
LINK = re.compile(r"\]\((?!https?:)([^)#]+)(?:#[^)]*)?\)")
MODULE = re.compile(r"`([\w/]+\.py)`")
PACKAGES = re.compile(r"^\| ((?:`[\w/]+/`(?:, )?)+) \|", re.MULTILINE)
NAME_IN_COMMENT = re.compile(r"``([\w./-]+(?:\(\))?)``")
FILE_NAME = re.compile(r"[\w./-]*\w\.(?:py|toml|md|lark|json|weld)")


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_to_files(page: Path) -> None:
    text = page.read_text(encoding="utf-8")
    folder = page.parent
    assert [name for name in LINK.findall(text) if not (folder / name).exists()] == []


def test_the_architecture_page_names_modules_and_packages_that_exist() -> None:
    text = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    modules = [str(path.relative_to(ROOT)) for path in (ROOT / "weldhead").rglob("*.py")]
    modules += [str(path.relative_to(ROOT)) for path in ROOT.glob("*.py")]
    modules += [str(path.relative_to(ROOT)) for path in (ROOT / "tests").glob("*.py")]
    named = set(MODULE.findall(text))
    assert len(named) > 40
    assert [n for n in sorted(named) if not any(f"/{m}".endswith(f"/{n}") for m in modules)] == []
    packages = [name for row in PACKAGES.findall(text) for name in re.findall(r"`([\w/]+)/`", row)]
    assert len(packages) > 20
    assert [name for name in packages if not (ROOT / "weldhead" / name).is_dir()] == []


def paths_and_tails() -> set[str]:
    """Return each file and folder of the repository, as the path from any folder above it."""
    tops = [top for top in ROOT.iterdir() if not top.name.startswith(".") and top.name != "target"]
    files = [path for top in tops for path in (top, *top.rglob("*")) if path.is_file()]
    parts = [path.relative_to(ROOT).parts for path in files if path.parent.name != "__pycache__"]
    return {
        "/".join(p[i:j]) for p in parts for i in range(len(p)) for j in range(i + 1, len(p) + 1)
    }


def names_below(tree: ast.AST) -> set[str]:
    """Return the functions, classes, variables and ``self`` attributes below a node."""
    nodes = list(ast.walk(tree))
    definitions = ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef
    names = {n.name for n in nodes if isinstance(n, definitions)}
    names |= {n.id for n in nodes if isinstance(n, ast.Name) and isinstance(n.ctx, ast.Store)}
    attributes = (n for n in nodes if isinstance(n, ast.Attribute))
    return names | {n.attr for n in attributes if ast.unparse(n.value) == "self"}


def members_by_name(sources: dict[Path, str]) -> dict[str, set[str]]:
    """Return the members of each package, module and class, with those of its base classes."""
    members: defaultdict[str, set[str]] = defaultdict(set)
    bases: defaultdict[str, list[str]] = defaultdict(list)
    for path, source in sources.items():
        for package, name in pairwise(path.relative_to(ROOT).with_suffix("").parts):
            members[package].add(name)
        members[path.stem] |= names_below(ast.parse(source))
        for node in ast.walk(ast.parse(source)):
            if isinstance(node, ast.ClassDef):
                members[node.name] |= names_below(node)
                bases[node.name] += [ast.unparse(base).split("[")[0] for base in node.bases]
    for name, lineage in bases.items():
        for base in lineage:
            lineage += [name for name in bases.get(base, ()) if name not in lineage]
        members[name] = members[name].union(*(members[base] for base in lineage if base in bases))
    return dict(members)


def test_names_in_comments_exist() -> None:
    """A comment keeps the old name of a module or member that was renamed or removed."""
    files = [p for name in ("weldhead", "tests", "tools") for p in (ROOT / name).rglob("*.py")]
    sources = {path: path.read_text(encoding="utf-8") for path in [*files, ROOT / "run.py"]}
    names = [
        (f"{path.relative_to(ROOT)}:{number}", name)
        for path, source in sources.items()
        for number, line in enumerate(source.splitlines(), 1)
        for name in NAME_IN_COMMENT.findall(line)
    ]
    assert len(names) > 500
    paths, members, missing = paths_and_tails(), members_by_name(sources), []
    for place, name in names:
        if FILE_NAME.fullmatch(name) or ("/" in name and name.split("/")[0] in paths):
            exists = name.rstrip("/") in paths
        else:
            chain = pairwise(name.removesuffix("()").split("."))
            exists = all(m in members[owner] for owner, m in chain if owner in members)
        if not exists:
            missing.append(f"{place}: {name}")
    assert missing == []
