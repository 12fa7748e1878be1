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
