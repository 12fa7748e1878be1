"""Handles known failures: the tests listed in KNOWN-RED.txt must fail, and every run prints them."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


class KnownFailure(NamedTuple):
    """One line of KNOWN-RED.txt: `test | cause | issue`."""

    test: str  # pytest node id, without parameters
    cause: str
    issue: str


def read_known_failures(text: str) -> list[KnownFailure]:
    """Parse the list, without empty lines and `#` comments; raise ValueError if it is malformed."""
    lines = [line for line in text.splitlines() if line.strip() and not line.startswith("#")]
    failures = []
    for line in lines:
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise ValueError(f"KNOWN-RED.txt: line is not of the form `test | cause | issue`: {line!r}")
        failures.append(KnownFailure(*parts))
    if len(failures) > MAX_KNOWN_FAILURES:
        raise ValueError(
            f"KNOWN-RED.txt: {len(failures)} tests are listed, at most {MAX_KNOWN_FAILURES} are allowed"
        )
    return failures


KNOWN = read_known_failures(KNOWN_RED.read_text()) if KNOWN_RED.exists() else []
CAUSES = {failure.test: failure.cause for failure in KNOWN}
run_tests: set[str] = set()  # listed tests that ran
failed_tests: set[str] = set()  # listed tests of which at least one case failed


def without_parameters(node_id: str) -> str:
    """Return the node id of a test without its parameters, as in the list."""
    return node_id.partition("[")[0]


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    for item in items:
        if (name := without_parameters(item.nodeid)) in CAUSES:
            item.add_marker(pytest.mark.xfail(reason=CAUSES[name]))


def pytest_runtest_logreport(report: pytest.TestReport) -> None:
    name = without_parameters(report.nodeid)
    if report.when != "call" or name not in CAUSES:
        return
    run_tests.add(name)
    if report.skipped:  # how pytest reports an expected failure
        failed_tests.add(name)


def pytest_sessionfinish(session: pytest.Session) -> None:
    """Fail the run if all cases of a listed test pass, so that the list stays up to date."""
    if run_tests - failed_tests:
        session.exitstatus = pytest.ExitCode.TESTS_FAILED


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in KNOWN:
        terminalreporter.write_line(f"known red: {failure.test}: {failure.cause} (issue {failure.issue})")
    for name in sorted(run_tests - failed_tests):
        terminalreporter.write_line(f"known red test passes now, remove it from KNOWN-RED.txt: {name}")
