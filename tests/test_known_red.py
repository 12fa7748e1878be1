"""The list of known failures is short, in its form, and names tests that are there."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.conftest import KNOWN, KnownFailure, read_known_failures


def test_each_known_failure_names_a_test_that_is_there() -> None:
    root = Path(__file__).parent.parent
    for failure in KNOWN:
        file, _, name = failure.test.partition("::")
        assert f"def {name.split('[')[0]}(" in (root / file).read_text()


def test_a_line_has_test_cause_and_issue() -> None:
    text = "# comment\n\ntests/test_a.py::test_b | the cause | 17\n"
    assert read_known_failures(text) == [KnownFailure("tests/test_a.py::test_b", "the cause", "17")]


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b\n", "a | b\n", "a | | 17\n", "a | b | 1\n" * 4])
def test_other_forms_and_more_than_three_lines_are_errors(text: str) -> None:
    with pytest.raises(ValueError, match="KNOWN-RED"):
        read_known_failures(text)
