"""The rules on attempts, rejections and closing, violations of them, and the counters and log of a proxy."""

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
from tests.loopback import run, run_proxy

UNSAFE = RequestClass(300.0, 1000.0, Idempotency.NON_IDEMPOTENT)
SAFE = RequestClass(300.0, 1000.0)


def keyed_class(scope: DeduplicationScope) -> RequestClass:
    return RequestClass(300.0, 1000.0, Idempotency.KEYED, scope, 500.0)


class StubAttempt(NamedTuple):
    zone: int = 0
    cell: int = 0
    sent_at: float = 1000.0
    is_open: bool = False
    may_have_executed: bool = True


NEVER_EXECUTED = StubAttempt(may_have_executed=False)


@pytest.mark.parametrize(
    ("request_class", "attempts", "attempt", "now", "denial"),
    [
        (UNSAFE, [], StubAttempt(), 1000.0, None),
        (UNSAFE, [NEVER_EXECUTED], StubAttempt(), 1000.0, None),
        (UNSAFE, [StubAttempt()], StubAttempt(), 1000.0, Denial.MAY_HAVE_EXECUTED),
        (UNSAFE, [StubAttempt(is_open=True)], StubAttempt(), 1000.0, Denial.CONCURRENT_ATTEMPT),
        (SAFE, [StubAttempt(is_open=True)], StubAttempt(), 1000.0, Denial.CONCURRENT_ATTEMPT),
        (SAFE, [StubAttempt()], StubAttempt(1, 1), 9999.0, None),
        (SAFE, [NEVER_EXECUTED] * 3, StubAttempt(), 1000.0, Denial.TOO_MANY_ATTEMPTS),
        (keyed_class(DeduplicationScope.ALL), [StubAttempt()], StubAttempt(1, 1), 1499.0, None),
        (
            keyed_class(DeduplicationScope.ALL),
            [StubAttempt()],
            StubAttempt(),
            1500.0,
            Denial.DEDUP_WINDOW_OVER,
        ),
        (keyed_class(DeduplicationScope.ZONE), [StubAttempt()], StubAttempt(0, 1), 1499.0, None),
        (
            keyed_class(DeduplicationScope.ZONE),
            [StubAttempt()],
            StubAttempt(1, 0),
            1499.0,
            Denial.OUTSIDE_DEDUP_SCOPE,
        ),
        (
            keyed_class(DeduplicationScope.CELL),
            [StubAttempt()],
            StubAttempt(0, 1),
            1499.0,
            Denial.OUTSIDE_DEDUP_SCOPE,
        ),
        (keyed_class(DeduplicationScope.CELL), [NEVER_EXECUTED], StubAttempt(1, 1), 9999.0, None),
        (
            keyed_class(DeduplicationScope.CELL),
            [NEVER_EXECUTED, StubAttempt(1, 1)],
            StubAttempt(1, 1),
            1499.0,
            None,
        ),
    ],
)
def test_attempt_is_denied_if_a_rule_forbids_it(
    request_class: RequestClass,
    attempts: list[StubAttempt],
    attempt: StubAttempt,
    now: float,
    denial: Denial | None,
) -> None:
    settings = Settings((request_class,), max_attempts=3)
    assert attempt_denial(settings, request_class, attempts, attempt, now) is denial
    if denial is not Denial.OUTSIDE_DEDUP_SCOPE:
        assert retry_denial(settings, request_class, attempts, now) is denial


def test_concurrent_attempts_are_allowed_with_hedging() -> None:
    settings = Settings((SAFE,), max_attempts=3, may_hedge=True)
    assert attempt_denial(settings, SAFE, [StubAttempt(is_open=True)], StubAttempt(), 1000.0) is None


def test_rejection_and_closing_are_allowed_only_where_safe() -> None:
    for request_class, may_be_rejected in (
        (SAFE, True),
        (UNSAFE, False),
        (keyed_class(DeduplicationScope.CELL), False),
        (keyed_class(DeduplicationScope.ALL), True),
    ):
        assert (
            may_reject(request_class, [NEVER_EXECUTED])
            and may_reject(request_class, [NEVER_EXECUTED, StubAttempt()]) is may_be_rejected
        )
    assert may_close_connection(False, False)
    assert not may_close_connection(True, False) and not may_close_connection(False, True)


def script_balancer(monkeypatch: pytest.MonkeyPatch, action: Action) -> None:
    """Replace the balancer by one that forwards each request, and returns `action` after an error."""

    class StubBalancer:
        def __init__(self, settings: Settings, seed: int) -> None:
            pass

        def step(self, now: float, events: list[Any]) -> list[Action]:
            forwards = [
                Forward(event.request_id, "s0", 9000.0)
                for event in events
                if isinstance(event, RequestArrived)
            ]
            failed_attempts = [
                event
                for event in events
                if isinstance(event, AttemptEnded) and event.result is AttemptResult.ERROR
            ]
            return [*forwards, *(action for _ in failed_attempts)]

    monkeypatch.setattr(engine_module, "Balancer", StubBalancer)


@pytest.mark.parametrize(
    ("action", "violation"),
    [
        (Forward("c1", "s0", 9000.0), Violation.FORBIDDEN_ATTEMPT),
        (Reject("c1", 0.0), Violation.FORBIDDEN_REJECTION),
    ],
)
def test_action_that_violates_a_rule_is_not_executed_but_counted_and_logged(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str], action: Action, violation: Violation
) -> None:
    script_balancer(monkeypatch, action)

    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send("/answer", x_budget_ms="1000")
            (await proxy.backends[0].requests.get()).respond(status=500)
            assert (await client.read_response()).status == 504
            assert proxy.backends[0].requests.empty()
            assert proxy.engine.telemetry.counts[f"violation.{violation.value}"] == 1

    run(test())
    (line,) = [line for line in capfd.readouterr().err.splitlines() if "violation" in line]
    assert "request c1" in line and "attempt_ended error" in line


def test_library_log_records_are_written_to_the_log(capfd: pytest.CaptureFixture[str]) -> None:
    record = logging.LogRecord("asyncio", logging.WARNING, "", 0, "socket.%s() raised", ("send",), None)
    LibraryLogHandler().emit(record)
    assert capfd.readouterr().err == "dunecove: asyncio: socket.send() raised\n"


def test_counters_are_logged_only_if_changed(capfd: pytest.CaptureFixture[str]) -> None:
    telemetry = Telemetry()
    telemetry.record("c1", RequestStage.ANSWERED, "served")
    for _ in range(2):
        telemetry.report()
    assert capfd.readouterr().err == 'dunecove: counters {"answered.served":1}\n'
    assert telemetry.violation_count() == 0
