"""The rules find each kind of violation in a run record, and none in a record without violations."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from dunecove.policy.models import Idempotency
from soak.records import (
    Attempt,
    ColdStartLimits,
    Execution,
    Incarnation,
    ListNotification,
    MisbehavingClient,
    ReachableSpan,
    Request,
    RequestClass,
    RunRecord,
)
from soak.rules import Rule, find_violations, max_cold_requests

Change = Callable[[RunRecord], object]
# Indices of CLASSES.
IDEMPOTENT = 0
NON_IDEMPOTENT = 1
KEYED = 2
CLASSES = (
    RequestClass("idempotent", Idempotency.IDEMPOTENT, 0.4, 1.0),
    RequestClass("non-idempotent", Idempotency.NON_IDEMPOTENT, 0.4, 1.0),
    RequestClass("keyed", Idempotency.KEYED, 0.4, 1.0, 0.5),
)


def record_without_violations() -> RunRecord:
    """Return the record of one proxy that handled one request of each class, at one-second intervals."""
    record = RunRecord(
        CLASSES,
        2.5,
        ColdStartLimits(cold_s=20.0, start_capacity=0.2, warm_rate=10.0),
        incarnations=[Incarnation(0, 1, 0.0, ready_at=1.0)],
        reachable={0: [ReachableSpan(0.0)]},
    )
    for class_index in (IDEMPOTENT, NON_IDEMPOTENT, KEYED):
        request_id = f"r{class_index}"
        at = 10.0 + class_index
        record.requests[request_id] = Request(
            request_id, 0, 1, class_index, at, 0.8, False, None, at + 0.1, 200, f"s {request_id}".encode()
        )
        record.attempts.append(
            Attempt(request_id, "s", 1, at + 0.01, at + 0.01, 790, Execution.EXECUTED, at + 0.09)
        )
    return record


def add_attempt(record: RunRecord, class_index: int, after_s: float, cell: int = 1) -> None:
    """Add a second attempt of a request, `after_s` seconds after the first."""
    first = record.attempts[class_index]
    at = first.last_byte_at + after_s
    record.attempts.append(Attempt(f"r{class_index}", "t", cell, at, at, 10, Execution.EXECUTED, at + 0.01))


def change_request(record: RunRecord, class_index: int, **values: object) -> None:
    for name, value in values.items():
        assert hasattr(record.requests[f"r{class_index}"], name)
        setattr(record.requests[f"r{class_index}"], name, value)


def remove_response(record: RunRecord, class_index: int, **values: object) -> None:
    change_request(record, class_index, answered_at=None, status=0, body=b"", **values)


def add_drain(record: RunRecord, at: float, notified_at: float | None) -> None:
    record.drained_at["s"] = at
    if notified_at is not None:
        record.notifications.append(ListNotification(0, notified_at, ("s",)))


@pytest.mark.parametrize(
    ("changes", "rules"),
    [
        ([], []),
        # Within the grace after the budget.
        ([lambda record: change_request(record, IDEMPOTENT, answered_at=11.2)], []),
        ([lambda record: change_request(record, IDEMPOTENT, answered_at=11.5)], [Rule.LOST]),
        ([lambda record: remove_response(record, IDEMPOTENT)], [Rule.LOST]),
        (
            [
                lambda record: remove_response(
                    record, IDEMPOTENT, connection_lost_at=10.5, on_reused_connection=True
                )
            ],
            [Rule.LOST],
        ),
        (
            [
                lambda record: remove_response(
                    record, IDEMPOTENT, connection_lost_at=10.5, on_reused_connection=True
                ),
                lambda record: record.attempts.pop(0),
            ],
            [],
        ),
        (
            [
                lambda record: remove_response(record, IDEMPOTENT, connection_lost_at=10.5),
                lambda record: setattr(record.incarnations[0], "killed_at", 10.4),
            ],
            [],
        ),
        ([lambda record: change_request(record, IDEMPOTENT, body=b"s r1")], [Rule.WRONG_RESPONSE]),
        ([lambda record: add_attempt(record, IDEMPOTENT, 0.2)], []),
        ([lambda record: add_attempt(record, NON_IDEMPOTENT, 0.2)], [Rule.DUPLICATE_EXECUTION]),
        (
            [
                lambda record: setattr(record.attempts[1], "execution", Execution.REJECTED),
                lambda record: add_attempt(record, NON_IDEMPOTENT, 0.2),
            ],
            [],
        ),
        ([lambda record: add_attempt(record, KEYED, 0.2)], []),
        ([lambda record: add_attempt(record, KEYED, 0.6)], [Rule.DEDUPLICATION_WINDOW]),
        ([lambda record: add_attempt(record, KEYED, 0.2, cell=2)], [Rule.DUPLICATE_EXECUTION]),
        ([lambda record: add_attempt(record, IDEMPOTENT, 0.01)], [Rule.CONCURRENT_ATTEMPT]),
        (
            [lambda record: change_request(record, NON_IDEMPOTENT, status=503)],
            [Rule.REJECTED_AFTER_EXECUTION],
        ),
        ([lambda record: change_request(record, IDEMPOTENT, status=503)], []),
        (
            [lambda record: remove_response(record, IDEMPOTENT, disconnected_at=9.5)],
            [Rule.FORWARDED_AFTER_DISCONNECT],
        ),
        ([lambda record: setattr(record.attempts[0], "budget_ms", 1100)], [Rule.BUDGET]),
        ([lambda record: add_drain(record, 5.0, 7.4)], [Rule.DRAIN]),
        ([lambda record: add_drain(record, 5.0, None)], []),  # counts as notified 6 s after the drain
        ([lambda record: add_drain(record, 1.0, None)], [Rule.DRAIN]),
        (
            [
                lambda record: add_drain(record, 1.0, None),
                lambda record: record.reachable[0].__setitem__(0, ReachableSpan(0.0, 2.0)),
            ],
            [],
        ),
        (
            [
                lambda record: add_drain(record, 1.0, None),
                lambda record: setattr(record.incarnations[0], "started_at", 8.0),
            ],
            [],
        ),
        (
            [
                lambda record: record.relocated_at.__setitem__(0, [3.0]),
                lambda record: add_drain(record, 3.0, None),
            ],
            [Rule.DRAIN],
        ),
        (
            [
                lambda record: setattr(record.incarnations[0], "ended_at", 20.0),
                lambda record: setattr(record.incarnations[0], "exit_code", 0),
            ],
            [Rule.CRASH],
        ),
        ([lambda record: record.incarnations.append(Incarnation(1, 1, 0.0))], [Rule.READINESS]),
        (
            [lambda record: record.incarnations[0].log.append("dunecove: violation: forbidden_attempt")],
            [Rule.SELF_REPORTED],
        ),
        (
            [
                lambda record: record.misbehaving_clients.append(
                    MisbehavingClient(0, 1, 5.0, "incomplete request")
                )
            ],
            [Rule.MISBEHAVING_CLIENT],
        ),
        (
            [
                lambda record: record.misbehaving_clients.append(
                    MisbehavingClient(0, 1, 5.0, "incomplete request", 7.5)
                )
            ],
            [],
        ),
    ],
)
def test_changed_record_has_the_violations_that_its_changes_cause(
    changes: list[Change], rules: list[Rule]
) -> None:
    record = record_without_violations()
    for change in changes:
        change(record)
    found = {violation.rule for violation in find_violations(record)}
    assert set(rules) <= found if Rule.DRAIN in rules else found == set(rules)


def test_cold_start_rule_is_violated_only_above_the_maximum_number_of_requests() -> None:
    for request_count, is_violated in (
        (int(max_cold_requests(record_without_violations(), 1.0)), False),
        (int(max_cold_requests(record_without_violations(), 1.0)) + 1, True),
    ):
        record = record_without_violations()
        record.cold_started_at["new"] = 99.0
        record.attempts += [Attempt("", "new", 1, 100.0, 100.0, 0) for _ in range(request_count)]
        assert [violation.rule for violation in find_violations(record)] == [Rule.COLD_START] * is_violated
