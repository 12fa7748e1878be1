"""The pages match the program: the example runs as printed, and the tests, members and files named exist."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]


def test_example(capsys: pytest.CaptureFixture[str]) -> None:
    text = (ROOT / "README.md").read_text()
    (code,) = re.findall(r"```python\n(.*?)```", text, re.DOTALL)
    exec(compile(code, "README.md", "exec"), {})
    assert capsys.readouterr().out == "req-1 goes to one of two: True\n"


def test_each_race_names_a_test_that_is_there() -> None:
    named = re.findall(r"`(test_\w+\.py)::(test_\w+)`", (ROOT / "docs" / "RACES.md").read_text())
    assert len(named) > 40
    files = {path.name: path.read_text() for path in (ROOT / "tests").rglob("test_*.py")}
    missing = [name for file, name in named if f"def {name}(" not in files.get(file, "")]
    assert missing == []


def members_by_class() -> dict[str, set[str]]:
    """Return the methods and attributes of each class of the program."""
    members: dict[str, set[str]] = {}
    for path in (ROOT / "dunecove").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ClassDef):
                members.setdefault(node.name, set()).update(members_of(node))
    return members


def members_of(class_node: ast.ClassDef) -> set[str]:
    names: set[str] = set()
    for node in ast.walk(class_node):
        if isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef)):
            names.add(node.name)
        elif isinstance(node, ast.Attribute) and isinstance(node.ctx, ast.Store):
            names.add(node.attr)
    return names


@pytest.mark.parametrize("name", ["ARCHITECTURE.md", "GUARANTEES.md"])
def test_each_member_named_in_a_page_exists(name: str) -> None:
    members = members_by_class()
    named = re.findall(r"`([A-Z]\w+)\.(\w+)[`(]", (ROOT / "docs" / name).read_text())
    assert named
    assert [pair for pair in named if pair[1] not in members.get(pair[0], set())] == []


PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").glob("*.md"))]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_path_named_in_a_page_exists(page: Path) -> None:
    named = set(re.findall(r"`((?:dunecove|scale|soak|tests|docs|deploy)/[^`\s*]*)`", page.read_text()))
    assert [path for path in sorted(named) if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_link_in_a_page_leads_to_a_file(page: Path) -> None:
    links = {link for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()) if "://" not in link}
    assert [link for link in sorted(links) if not (page.parent / link).exists()] == []
