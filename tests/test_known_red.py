"""KNOWN-RED.txt, the list of known failures: its format, its maximum length and the tests that it names."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.conftest import KNOWN, KnownFailure, read_known_failures


def test_known_failures_name_existing_tests() -> None:
    root = Path(__file__).parent.parent
    for failure in KNOWN:
        file, _, name = failure.test.partition("::")
        assert f"def {name.split('[')[0]}(" in (root / file).read_text()


def test_line_is_read_as_test_cause_and_issue() -> None:
    text = "# comment\n\ntests/test_a.py::test_b | the cause | 17\n"
    assert read_known_failures(text) == [KnownFailure("tests/test_a.py::test_b", "the cause", "17")]


@pytest.mark.parametrize("text", ["tests/test_a.py::test_b\n", "a | b\n", "a | | 17\n", "a | b | 1\n" * 4])
def test_malformed_line_or_more_than_three_entries_raise_value_error(text: str) -> None:
    with pytest.raises(ValueError, match="KNOWN-RED"):
        read_known_failures(text)
