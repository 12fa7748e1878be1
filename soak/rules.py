"""The operators' rules, on the record of a run: only what clients, backends and discovery saw."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from enum import Enum
from itertools import pairwise
from math import sqrt
from typing import NamedTuple

from dunecove.policy.models import Idempotency
from soak.records import Attempt, Execution, Incarnation, MisbehavingClient, Request, RunRecord

RESPONSE_GRACE_S = 0.5  # after a request's budget: later, or never, it is lost
DISCONNECT_GRACE_S = 0.1
BUDGET_SLACK_MS = 150
SOCKET_SLACK_S = 0.05  # what the rules on sockets add to each limit
CONCURRENCY_SLACK_S = 0.05  # an end and a new attempt reach this tool by two connections, in any order
NOTIFICATION_LIMIT_S = 6.0  # after discovery had a change and could be reached
RELOCATION_LIMIT_S = 4.0  # after SIGHUP
MISBEHAVING_CLIENT_LIMIT_S = 3.0
READINESS_LIMIT_S = 10.0
SHUTDOWN_GRACE_S = 0.7  # after the longest deadline, in which a stopping process has to end
MAX_SHUTDOWN_DEADLINE_S = 3.0  # as which a longer deadline counts for that
MIN_NORMAL_COUNT = 30  # of requests, from which the spread of a Poisson count is nearly normal
REJECTION_STATUSES = (429, 503)
OK_STATUS = 200


class Rule(Enum):
    """What must hold; the values are printed."""

    LOST = "lost"
    WRONG_RESPONSE = "wrong answer"
    DUPLICATE_EXECUTION = "duplicate"
    DEDUPLICATION_WINDOW = "repeated after its window"
    CONCURRENT_ATTEMPT = "second copy"
    REJECTED_AFTER_EXECUTION = "refused after it may have run"
    DRAIN = "drain"
    FORWARDED_AFTER_DISCONNECT = "sent after its client left"
    BUDGET = "budget"
    COLD_START = "failback"
    MISBEHAVING_CLIENT = "bad client left waiting"
    CRASH = "crash"
    READINESS = "ready"
    SHUTDOWN = "stop"
    SELF_REPORTED = "the program's own count"


class Violation(NamedTuple):
    """A rule that was broken."""

    rule: Rule
    subject: str  # a request, a backend or a process
    text: str


def find_violations(record: RunRecord) -> list[Violation]:
    """Return all violations of a run.

    `record.max_lag_s`, by which the tool itself may be late, widens each limit.
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
    """Check that a request got its response, in time and from a backend that was sent it."""
    if request.answered_at is not None:
        late_s = request.answered_at - request.sent_at - request.budget_s
        if late_s > RESPONSE_GRACE_S + SOCKET_SLACK_S + record.max_lag_s:
            yield Violation(Rule.LOST, request.request_id, f"answered {late_s:.3f} s after its time")
        bodies = {f"{attempt.backend_id} {request.request_id}".encode() for attempt in attempts}
        if request.status == OK_STATUS and request.body not in bodies:
            yield Violation(Rule.WRONG_RESPONSE, request.request_id, repr(request.body[:60]))
        return
    incarnation = record.incarnation_of(request)
    if request.disconnected_at is not None or incarnation.killed_at is not None:
        return
    if request.connection_lost_at is not None and request.on_reused_connection and not attempts:
        return  # a race with the end of an idle connection
    state = "closed" if request.connection_lost_at is not None else "silent"
    text = f"{state}, {len(attempts)} attempts, {incarnation.name}"
    yield Violation(Rule.LOST, request.request_id, text)


def check_attempts(record: RunRecord, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
    """Check when attempts were begun, and which budget they were given."""
    slack_s = SOCKET_SLACK_S + record.max_lag_s
    for attempt in attempts:
        if request.disconnected_at is not None:
            late_s = attempt.first_byte_at - request.disconnected_at
            if late_s > DISCONNECT_GRACE_S + slack_s:
                yield Violation(Rule.FORWARDED_AFTER_DISCONNECT, request.request_id, f"{late_s:.3f} s after")
        remaining_ms = (request.sent_at + request.budget_s - attempt.first_byte_at) * 1000
        if attempt.budget_ms > remaining_ms + BUDGET_SLACK_MS + 1000 * slack_s:
            text = f"told {attempt.budget_ms} ms, {remaining_ms:.0f} ms were left"
            yield Violation(Rule.BUDGET, request.request_id, text)
    for before, after in pairwise(attempts):
        latest_end = after.last_byte_at + CONCURRENCY_SLACK_S + record.max_lag_s
        if before.closed_at is None or before.closed_at > latest_end:
            text = f"{after.last_byte_at - before.last_byte_at:.3f} s later"
            yield Violation(Rule.CONCURRENT_ATTEMPT, request.request_id, text)


def check_executions(record: RunRecord, request: Request, attempts: list[Attempt]) -> Iterator[Violation]:
    """Check that a request which may not be repeated was not, nor rejected once it may have been executed."""
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
        yield Violation(Rule.REJECTED_AFTER_EXECUTION, request.request_id, f"{request.status}")


def drain_notification_time(record: RunRecord, incarnation: Incarnation, backend_id: str) -> float | None:
    """Return when a process counts as notified of a drain.

    That is by what was written to it, or by what could be reached; None if it never counts so.
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
    """Check that no attempt began after the grace of a drain of which its proxy counts as notified."""
    known: dict[tuple[int, int, str], float | None] = {}
    for attempt in record.attempts:
        request = record.requests.get(attempt.request_id)
        if request is None or attempt.backend_id not in record.drained_at:
            continue
        incarnation = record.incarnation_of(request)
        key = (incarnation.proxy, incarnation.number, attempt.backend_id)
        if key not in known:
            known[key] = drain_notification_time(record, incarnation, attempt.backend_id)
        since = known[key]
        if since is None:
            continue
        late_s = attempt.first_byte_at - since - record.drain_grace_s
        if late_s > SOCKET_SLACK_S + record.max_lag_s:
            yield Violation(Rule.DRAIN, attempt.backend_id, f"{late_s:.3f} s after, by {incarnation.name}")


def max_cold_requests(record: RunRecord, age_s: float) -> float:
    """Return the requests in one window that a backend of this age has to bear."""
    limits = record.cold_start
    capacity = min(1.0, limits.start_capacity + (1 - limits.start_capacity) * age_s / limits.cold_s)
    expected = limits.overload_multiple * limits.warm_rate * capacity * limits.overload_window_s
    spread = 2 * sqrt(expected) + 2 if expected >= MIN_NORMAL_COUNT else 3 * sqrt(expected) + 3
    return expected + spread


def check_cold_starts(record: RunRecord) -> Iterator[Violation]:
    """Check that no cold backend got more than it has to bear; the first window of each is reported."""
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
                text = f"{count} in a window, {allowed}, {age_s:.1f} s after its start"
                yield Violation(Rule.COLD_START, backend_id, text)
                break


def check_incarnation(record: RunRecord, incarnation: Incarnation) -> Iterator[Violation]:
    """Check that a process became ready, ended as it should, and reports no violation itself."""
    yield from check_readiness(incarnation)
    if incarnation.ended_at is not None and incarnation.killed_at is None:
        yield from check_shutdown(record, incarnation, incarnation.ended_at)
    for line in incarnation.log:
        if "violation" in line.split("counters", 1)[0] or "bug:" in line or "balancer failed" in line:
            yield Violation(Rule.SELF_REPORTED, incarnation.name, line)


def check_readiness(incarnation: Incarnation) -> Iterator[Violation]:
    """Check that a process became ready in time."""
    if incarnation.ready_at is None:
        if incarnation.killed_at is None and incarnation.stopping_at is None:
            yield Violation(Rule.READINESS, incarnation.name, "never")
        return
    took_s = incarnation.ready_at - incarnation.started_at
    if took_s > READINESS_LIMIT_S:
        yield Violation(Rule.READINESS, incarnation.name, f"after {took_s:.1f} s")


def check_shutdown(record: RunRecord, incarnation: Incarnation, ended_at: float) -> Iterator[Violation]:
    """Check that a process that was not killed ended because it was told to, and in time."""
    if incarnation.stopping_at is None or incarnation.exit_code != 0:
        last_line = incarnation.log[-1] if incarnation.log else ""
        text = f"exit code {incarnation.exit_code}: {last_line}"
        yield Violation(Rule.CRASH, incarnation.name, text)
        return
    longest_s = max(request_class.deadline_s for request_class in record.classes)
    limit_s = min(longest_s, MAX_SHUTDOWN_DEADLINE_S) + SHUTDOWN_GRACE_S + record.max_lag_s
    took_s = ended_at - incarnation.stopping_at
    if took_s > limit_s:
        yield Violation(Rule.SHUTDOWN, incarnation.name, f"took {took_s:.2f} s")


def check_misbehaving_client(record: RunRecord, client: MisbehavingClient) -> Iterator[Violation]:
    """Check that a client that misbehaves got an error or a close in time."""
    if client.ended_at is not None:
        took_s = client.ended_at - client.opened_at
    else:
        took_s = MISBEHAVING_CLIENT_LIMIT_S * 2
    if took_s > MISBEHAVING_CLIENT_LIMIT_S + SOCKET_SLACK_S + record.max_lag_s:
        subject = f"proxy {client.proxy}.{client.incarnation}"
        yield Violation(Rule.MISBEHAVING_CLIENT, subject, f"{client.behaviour}, {took_s:.1f} s")
