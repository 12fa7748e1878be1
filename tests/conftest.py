"""Known failures: the tests that KNOWN-RED.txt names have to fail, and every run prints them."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN_RED = 3


class KnownFailure(NamedTuple):
    """One line of KNOWN-RED.txt: `test | cause | issue`."""

    test: str  # its node id, as pytest prints it
    cause: str
    issue: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """Lines that are empty or begin with `#` are passed over; ValueError for any other form."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    failures = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: not `test | cause | issue`: {line!r}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MOST_KNOWN_RED:
        raise ValueError(f"KNOWN-RED.txt: {len(failures)} tests, {MOST_KNOWN_RED} at most")
    return failures


KNOWN = read_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
CAUSES = {failure.test: failure.cause for failure in KNOWN}
run_tests: set[str] = set()  # the listed ones that ran
failed_tests: set[str] = set()  # and of these, those of which a case failed


def without_case(node_id: str) -> str:
    """A test as the list names it: all cases of a parametrized one together."""
    return node_id.partition("[")[0]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if (name := without_case(item.nodeid)) in CAUSES:
            item.add_marker(pytest.mark.xfail(reason=CAUSES[name]))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    name = without_case(report.nodeid)
    if report.when != "call" or name not in CAUSES:
        return
    run_tests.add(name)
    if report.skipped:  # as pytest tells an expected failure
        failed_tests.add(name)


def pytest_sessionfinish(session: pytest.Session) -> None:
    """A listed test of which every case passes is an error, so that the list stays true."""
    if run_tests - failed_tests:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in KNOWN:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} (issue {failure.issue})")
    for name in sorted(run_tests - failed_tests):
        terminalreporter.write_line(f"no longer red, take it off KNOWN-RED.txt: {name}")
