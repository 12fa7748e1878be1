"""What the texts say of the program holds: the example runs as printed, and the tests named are there."""

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


PAGES = [ROOT / "README.md", ROOT / "DEVELOPERS.md", *sorted((ROOT / "docs").glob("*.md"))]


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_path_named_in_a_page_exists(page: Path) -> None:
    named = set(re.findall(r"`((?:dunecove|scale|soak|tests|docs|deploy)/[^`\s*]*)`", page.read_text()))
    assert [path for path in sorted(named) if not (ROOT / path).exists()] == []


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_each_link_in_a_page_leads_to_a_file(page: Path) -> None:
    links = {link for link in re.findall(r"\]\(([^)#]+)\)", page.read_text()) if "://" not in link}
    assert [link for link in sorted(links) if not (page.parent / link).exists()] == []
