"""Links between pages lead somewhere, and the architecture page names modules that exist."""

import re
from pathlib import Path

import pytest

from tests.support.paths import ROOT

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]
LINK = re.compile(r"\]\((?!https?:)([^)#]+)(?:#[^)]*)?\)")
MODULE = re.compile(r"`([\w/]+\.py)`")
PACKAGES = re.compile(r"^\| ((?:`[\w/]+/`(?:, )?)+) \|", re.MULTILINE)


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
