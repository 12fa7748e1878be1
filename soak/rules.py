"""Checks of the operators' rules against a run record, as seen by clients, backends and discovery."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from itertools import pairwise
from math import sqrt
from typing import NamedTuple

from dunecove.policy.models import Idempotency
from soak.records import Attempt, Execution, Incarnation, MisbehavingClient, Request, RunRecord

RESPONSE_GRACE_S = 0.5  # after the budget; a request with no response by then counts as lost
DISCONNECT_GRACE_S = 0.1  # during which attempts may still start after a client disconnect
BUDGET_SLACK_MS = 150  # by which a forwarded budget may exceed the remaining time
SOCKET_SLACK_S = 0.05  # added to each limit on an event that the tool sees on a socket
# The end of an attempt and the next attempt reach the tool on two connections, in either order.
CONCURRENCY_SLACK_S = 0.05
NOTIFICATION_LIMIT_S = 6.0  # to learn of a change, from when it is published and discovery is reachable
RELOCATION_LIMIT_S = 4.0  # to learn of changes from a new discovery address, counted from the SIGHUP
MISBEHAVING_CLIENT_LIMIT_S = 3.0  # for an error response or a close, counted from the connect
READINESS_LIMIT_S = 10.0  # counted from the start of the process
SHUTDOWN_GRACE_S = 0.7  # for a stopping process to exit, on top of the longest deadline
MAX_SHUTDOWN_DEADLINE_S = 3.0  # cap on the longest deadline in the shutdown limit
MIN_NORMAL_COUNT = 30  # requests; a Poisson count with at least this mean is nearly normal
REJECTION_STATUSES = (429, 503)
OK_STATUS = 200


class Rule(Enum):
    """A rule that each run must obey; its value is printed in reports."""

    LOST = "response lost or late"
    WRONG_RESPONSE = "wrong response"
    DUPLICATE_EXECUTION = "duplicate execution"
    DEDUPLICATION_WINDOW = "repeated after the deduplication window"
    CONCURRENT_ATTEMPT = "concurrent attempts"
    REJECTED_AFTER_EXECUTION = "rejected after possible execution"
    DRAIN = "forwarded to a draining backend"
    FORWARDED_AFTER_DISCONNECT = "forwarded after client disconnect"
    BUDGET = "budget exceeds remaining time"
    COLD_START = "cold backend overloaded"
    MISBEHAVING_CLIENT = "misbehaving client not ended in time"
    CRASH = "unexpected exit"
    READINESS = "not ready in time"
    SHUTDOWN = "slow shutdown"
    SELF_REPORTED = "violation reported by the proxy"


class Violation(NamedTuple):
    """A violation of a rule by one request, backend or process."""

    rule: Rule
    subject: str  # id of the request or backend, or name of the process
    text: str


def find_violations(record: RunRecord) -> list[Violation]:
    """Return all violations of a run.

    Limits on times that the tool measures late are widened by its own lag, `record.max_lag_s`.
    """
    attempts_of: dict[str, list[Attempt]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda attempt: attempt.last_byte_at):
        attempts_of[attempt.request_id].append(attempt)
    violations: list[Violation] = []
    for request in record.requests.values():
        attempts = attempts_of[request.request_id]
        violations += check_response(record, request, attempts)
        violations += check_attempts(record, request, attempts)
        violations += check_executions(record, request, attempts)
    violations += check_drains(record)
    violations += check_cold_starts(record)
    for incarnation in record.incarnations:
        violations += check_incarnation(record, incarnation)
    for client in record.misbehaving_clients:
        violations += check_misbehaving_client(record, client)
    return violations


def check_response(record: RunRecord, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
    """Check that a request got a response in time, and from a backend that received the request."""
    if request.answered_at is not None:
        late_s = request.answered_at - request.sent_at - request.budget_s
        if late_s > RESPONSE_GRACE_S + SOCKET_SLACK_S + record.max_lag_s:
            yield Violation(Rule.LOST, request.request_id, f"response {late_s:.3f} s after the budget")
        bodies = {f"{attempt.backend_id} {request.request_id}".encode() for attempt in attempts}
        if request.status == OK_STATUS and request.body not in bodies:
            yield Violation(Rule.WRONG_RESPONSE, request.request_id, repr(request.body[:60]))
        return
    incarnation = record.incarnation_of(request)
    if request.disconnected_at is not None or incarnation.killed_at is not None:
        return
    if request.connection_lost_at is not None and request.on_reused_connection and not attempts:
        return  # The proxy closed the idle connection while the request was on its way.
    state = "connection closed" if request.connection_lost_at is not None else "no response"
    text = f"{state}, {len(attempts)} attempts, {incarnation.name}"
    yield Violation(Rule.LOST, request.request_id, text)


def check_attempts(record: RunRecord, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
    """Check when attempts started, how they overlap, and which budget each was given."""
    slack_s = SOCKET_SLACK_S + record.max_lag_s
    for attempt in attempts:
        if request.disconnected_at is not None:
            late_s = attempt.first_byte_at - request.disconnected_at
            if late_s > DISCONNECT_GRACE_S + slack_s:
                yield Violation(
                    Rule.FORWARDED_AFTER_DISCONNECT,
                    request.request_id,
                    f"{late_s:.3f} s after the disconnect",
                )
        remaining_ms = (request.sent_at + request.budget_s - attempt.first_byte_at) * 1000
        if attempt.budget_ms > remaining_ms + BUDGET_SLACK_MS + 1000 * slack_s:
            text = f"forwarded {attempt.budget_ms} ms with {remaining_ms:.0f} ms remaining"
            yield Violation(Rule.BUDGET, request.request_id, text)
    for before, after in pairwise(attempts):
        latest_end = after.last_byte_at + CONCURRENCY_SLACK_S + record.max_lag_s
        if before.closed_at is None or before.closed_at > latest_end:
            text = f"previous attempt open {after.last_byte_at - before.last_byte_at:.3f} s later"
            yield Violation(Rule.CONCURRENT_ATTEMPT, request.request_id, text)


def check_executions(record: RunRecord, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
    """Check that a request was not repeated where its class forbids it or rejected after it may have run."""
    request_class = record.classes[request.class_index]
    executed = [attempt for attempt in attempts if attempt.execution is not Execution.REJECTED]
    if not executed or request_class.idempotency is Idempotency.IDEMPOTENT:
        return
    first = executed[0]
    for repeated in attempts[attempts.index(first) + 1 :]:
        after_s = repeated.last_byte_at - first.last_byte_at
        text = f"at {repeated.backend_id}, {after_s:.3f} s after {first.backend_id}"
        is_keyed = request_class.idempotency is Idempotency.KEYED
        if not is_keyed or repeated.cell != first.cell:
            yield Violation(Rule.DUPLICATE_EXECUTION, request.request_id, text)
        window_s = request_class.deduplication_window_s + SOCKET_SLACK_S + record.max_lag_s
        if is_keyed and after_s > window_s:
            yield Violation(Rule.DEDUPLICATION_WINDOW, request.request_id, text)
    if request.status in REJECTION_STATUSES:
        yield Violation(Rule.REJECTED_AFTER_EXECUTION, request.request_id, f"status {request.status}")


def drain_notification_time(record: RunRecord, incarnation: Incarnation, backend_id: str) -> float | None:
    """Return the time from which a process must know of a drain, or None if there is no such time.

    This is when discovery wrote the drain to the process, or when the time limit to learn of it passed
    while the process's agent was reachable, whichever is earlier.
    """
    times = [
        notification.sent_at
        for notification in record.notifications
        if notification.proxy == incarnation.proxy
        and notification.sent_at >= incarnation.started_at
        and backend_id in notification.ended_backends
        and (incarnation.ended_at is None or notification.sent_at <= incarnation.ended_at)
    ]
    drained_at = record.drained_at[backend_id]
    for span in record.reachable[incarnation.proxy]:
        available_at = max(drained_at, span.started_at, incarnation.started_at)
        if span.lasts_beyond(available_at + NOTIFICATION_LIMIT_S):
            times.append(available_at + NOTIFICATION_LIMIT_S)
        for relocated_at in record.relocated_at.get(incarnation.proxy, []):
            limit = max(available_at, relocated_at) + RELOCATION_LIMIT_S
            if relocated_at >= incarnation.started_at and span.lasts_beyond(limit):
                times.append(limit)
    return min(times, default=None)


def check_drains(record: RunRecord) -> Iterator[Violation]:
    """Check that no attempt started after the grace period of a drain that its proxy must know of."""
    notification_times: dict[tuple[int, int, str], float | None] = {}
    for attempt in record.attempts:
        request = record.requests.get(attempt.request_id)
        if request is None or attempt.backend_id not in record.drained_at:
            continue
        incarnation = record.incarnation_of(request)
        key = (incarnation.proxy, incarnation.number, attempt.backend_id)
        if key not in notification_times:
            notification_times[key] = drain_notification_time(record, incarnation, attempt.backend_id)
        notified_at = notification_times[key]
        if notified_at is None:
            continue
        late_s = attempt.first_byte_at - notified_at - record.drain_grace_s
        if late_s > SOCKET_SLACK_S + record.max_lag_s:
            yield Violation(
                Rule.DRAIN,
                attempt.backend_id,
                f"{late_s:.3f} s after the grace period, by {incarnation.name}",
            )


def max_cold_requests(record: RunRecord, age_s: float) -> float:
    """Return the maximum number of requests per overload window that a backend of this age may get.

    This is the expected number, plus an allowance for the spread of a Poisson count.
    """
    limits = record.cold_start
    capacity = min(1.0, limits.start_capacity + (1 - limits.start_capacity) * age_s / limits.cold_s)
    expected = limits.overload_multiple * limits.warm_rate * capacity * limits.overload_window_s
    spread = 2 * sqrt(expected) + 2 if expected >= MIN_NORMAL_COUNT else 3 * sqrt(expected) + 3
    return expected + spread


def check_cold_starts(record: RunRecord) -> Iterator[Violation]:
    """Check that no cold backend was overloaded; only the first overloaded window of each is reported."""
    limits = record.cold_start
    for backend_id, started_at in record.cold_started_at.items():
        times = sorted(
            attempt.last_byte_at for attempt in record.attempts if attempt.backend_id == backend_id
        )
        first = 0
        for last, time in enumerate(times):
            while times[first] <= time - limits.overload_window_s:
                first += 1
            age_s = time - started_at
            count = last - first + 1
            if 0 <= age_s < limits.cold_s and count > max_cold_requests(record, age_s):
                allowed = f"{max_cold_requests(record, age_s):.1f} allowed"
                text = f"{count} requests in a window, {allowed}, {age_s:.1f} s after the start"
                yield Violation(Rule.COLD_START, backend_id, text)
                break


def check_incarnation(record: RunRecord, incarnation: Incarnation) -> Iterator[Violation]:
    """Check that a process became ready, ended as it should, and reports no violation itself."""
    yield from check_readiness(incarnation)
    if incarnation.ended_at is not None and incarnation.killed_at is None:
        yield from check_shutdown(record, incarnation, incarnation.ended_at)
    for line in incarnation.log:
        if (
            "violation" in line.split("counters", 1)[0]
            or "internal error" in line
            or "balancer failed" in line
        ):
            yield Violation(Rule.SELF_REPORTED, incarnation.name, line)


def check_readiness(incarnation: Incarnation) -> Iterator[Violation]:
    """Check that a process became ready within the limit."""
    if incarnation.ready_at is None:
        if incarnation.killed_at is None and incarnation.stopping_at is None:
            yield Violation(Rule.READINESS, incarnation.name, "never became ready")
        return
    duration_s = incarnation.ready_at - incarnation.started_at
    if duration_s > READINESS_LIMIT_S:
        yield Violation(Rule.READINESS, incarnation.name, f"ready after {duration_s:.1f} s")


def check_shutdown(record: RunRecord, incarnation: Incarnation, ended_at: float) -> Iterator[Violation]:
    """Check that a process that was not killed exited only on SIGTERM, with code 0 and in time."""
    if incarnation.stopping_at is None or incarnation.exit_code != 0:
        last_line = incarnation.log[-1] if incarnation.log else ""
        text = f"exit code {incarnation.exit_code}, last log line: {last_line}"
        yield Violation(Rule.CRASH, incarnation.name, text)
        return
    longest_deadline_s = max(request_class.deadline_s for request_class in record.classes)
    limit_s = min(longest_deadline_s, MAX_SHUTDOWN_DEADLINE_S) + SHUTDOWN_GRACE_S + record.max_lag_s
    duration_s = ended_at - incarnation.stopping_at
    if duration_s > limit_s:
        yield Violation(Rule.SHUTDOWN, incarnation.name, f"exited {duration_s:.2f} s after SIGTERM")


def check_misbehaving_client(record: RunRecord, client: MisbehavingClient) -> Iterator[Violation]:
    """Check that a misbehaving client got an error response or a closed connection in time."""
    if client.ended_at is not None:
        duration_s = client.ended_at - client.opened_at
    else:
        duration_s = MISBEHAVING_CLIENT_LIMIT_S * 2
    if duration_s > MISBEHAVING_CLIENT_LIMIT_S + SOCKET_SLACK_S + record.max_lag_s:
        subject = f"proxy {client.proxy}.{client.incarnation}"
        yield Violation(Rule.MISBEHAVING_CLIENT, subject, f"{client.behaviour}, {duration_s:.1f} s")
