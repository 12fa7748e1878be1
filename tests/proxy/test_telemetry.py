"""The rules that are asked before anything is sent, refused or closed, and what is counted when they deny."""

from __future__ import annotations

import logging
from typing import Any, NamedTuple

import pytest

from dunecove.policy.actions import Action, Forward, Reject
from dunecove.policy.events import AttemptEnded, RequestArrived
from dunecove.policy.models import AttemptResult, DeduplicationScope, Idempotency
from dunecove.policy.request_rules import (
    Denial,
    Violation,
    attempt_denial,
    may_close_connection,
    may_reject,
    retry_denial,
)
from dunecove.policy.settings import RequestClass, Settings
from dunecove.proxy import engine as engine_module
from dunecove.proxy.log_writer import LibraryLogHandler
from dunecove.proxy.telemetry import RequestStage, Telemetry
from tests.loopback import proxy, run

UNSAFE = RequestClass(300.0, 1000.0, Idempotency.NON_IDEMPOTENT)
SAFE = RequestClass(300.0, 1000.0)


def keyed(scope: DeduplicationScope) -> RequestClass:
    return RequestClass(300.0, 1000.0, Idempotency.KEYED, scope, 500.0)


class Tried(NamedTuple):
    zone: int = 0
    cell: int = 0
    sent_at: float = 1000.0
    is_open: bool = False
    may_have_executed: bool = True


NEVER = Tried(may_have_executed=False)


@pytest.mark.parametrize(
    ("spec", "earlier", "place", "now", "denial"),
    [
        (UNSAFE, [], Tried(), 1000.0, None),
        (UNSAFE, [NEVER], Tried(), 1000.0, None),
        (UNSAFE, [Tried()], Tried(), 1000.0, Denial.MAY_HAVE_EXECUTED),
        (UNSAFE, [Tried(is_open=True)], Tried(), 1000.0, Denial.CONCURRENT_ATTEMPT),
        (SAFE, [Tried(is_open=True)], Tried(), 1000.0, Denial.CONCURRENT_ATTEMPT),
        (SAFE, [Tried()], Tried(1, 1), 9999.0, None),
        (SAFE, [NEVER] * 3, Tried(), 1000.0, Denial.TOO_MANY_ATTEMPTS),
        (keyed(DeduplicationScope.ALL), [Tried()], Tried(1, 1), 1499.0, None),
        (keyed(DeduplicationScope.ALL), [Tried()], Tried(), 1500.0, Denial.DEDUP_WINDOW_OVER),
        (keyed(DeduplicationScope.ZONE), [Tried()], Tried(0, 1), 1499.0, None),
        (keyed(DeduplicationScope.ZONE), [Tried()], Tried(1, 0), 1499.0, Denial.OUTSIDE_DEDUP_SCOPE),
        (keyed(DeduplicationScope.CELL), [Tried()], Tried(0, 1), 1499.0, Denial.OUTSIDE_DEDUP_SCOPE),
        (keyed(DeduplicationScope.CELL), [NEVER], Tried(1, 1), 9999.0, None),
        (keyed(DeduplicationScope.CELL), [NEVER, Tried(1, 1)], Tried(1, 1), 1499.0, None),
    ],
)
def test_what_may_be_sent(
    spec: RequestClass, earlier: list[Tried], place: Tried, now: float, denial: Denial | None
) -> None:
    settings = Settings((spec,), max_attempts=3)
    assert attempt_denial(settings, spec, earlier, place, now) is denial
    if denial is not Denial.OUTSIDE_DEDUP_SCOPE:
        assert retry_denial(settings, spec, earlier, now) is denial


def test_two_copies_where_the_settings_allow_them() -> None:
    settings = Settings((SAFE,), max_attempts=3, may_hedge=True)
    assert attempt_denial(settings, SAFE, [Tried(is_open=True)], Tried(), 1000.0) is None


def test_what_may_be_refused_and_closed() -> None:
    for spec, refused in (
        (SAFE, True),
        (UNSAFE, False),
        (keyed(DeduplicationScope.CELL), False),
        (keyed(DeduplicationScope.ALL), True),
    ):
        assert may_reject(spec, [NEVER]) and may_reject(spec, [NEVER, Tried()]) is refused
    assert may_close_connection(False, False)
    assert not may_close_connection(True, False) and not may_close_connection(False, True)


def scripted(monkeypatch: pytest.MonkeyPatch, after: Action) -> None:
    """A balancer that sends each request once, and does `after` once that attempt has ended."""

    class StubBalancer:
        def __init__(self, settings: Settings, seed: int) -> None:
            pass

        def step(self, now: float, events: list[Any]) -> list[Action]:
            sends = [Forward(e.request_id, "s0", 9000.0) for e in events if isinstance(e, RequestArrived)]
            ended = [e for e in events if isinstance(e, AttemptEnded) and e.result is AttemptResult.ERROR]
            return [*sends, *(after for _ in ended)]

    monkeypatch.setattr(engine_module, "Balancer", StubBalancer)


@pytest.mark.parametrize(
    ("after", "kind"),
    [
        (Forward("c1", "s0", 9000.0), Violation.FORBIDDEN_ATTEMPT),
        (Reject("c1", 0.0), Violation.FORBIDDEN_REJECTION),
    ],
)
def test_a_decision_that_breaks_a_rule_is_not_carried_out_but_counted(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], after: Action, kind: Violation
) -> None:
    scripted(monkeypatch, after)

    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send("/answer", x_budget_ms="1000")
            (await p.backends[0].requests.get()).respond(status=500)
            assert (await client.read_response()).status == 504
            assert p.backends[0].requests.empty()
            assert p.engine.telemetry.counts[f"violation.{kind.value}"] == 1

    run(test())
    (line,) = [line for line in capfd.readouterr().err.splitlines() if "violation" in line]
    assert "request c1" in line and "attempt_ended error" in line


def test_what_libraries_log_takes_the_same_way(capfd: pytest.CaptureFixture[str]) -> None:
    record = logging.LogRecord("asyncio", logging.WARNING, "", 0, "socket.%s() raised", ("send",), None)
    LibraryLogHandler().emit(record)
    assert capfd.readouterr().err == "dunecove: asyncio: socket.send() raised\n"


def test_counters_are_told_when_they_have_changed(capfd: pytest.CaptureFixture[str]) -> None:
    telemetry = Telemetry()
    telemetry.record("c1", RequestStage.ANSWERED, "served")
    for _ in range(2):
        telemetry.report()
    assert capfd.readouterr().err == 'dunecove: counters {"answered.served":1}\n'
    assert telemetry.violation_count() == 0
