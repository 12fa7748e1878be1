"""Runs random legal event sequences and checks each action against the rules and permissions.

The rules include: one final response for each request, retries only as its class allows, and attempts only at
active backends.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from unittest.mock import patch

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from dunecove.policy import pinned_retries, subsetting, unsubscribed_backends
from dunecove.policy.actions import Action, CancelAttempt, Fail, Forward, Reject, SendHealthCheck, SetTimer
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    Event,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunecove.policy.models import (
    NEVER_EXECUTED,
    AttemptResult,
    BackendInfo,
    BackendState,
    DeduplicationScope,
    Idempotency,
)
from dunecove.policy.settings import RequestClass, Settings

CLASSES = (
    RequestClass(300.0, 900.0, priority_weight=3.0),
    RequestClass(300.0, 900.0, Idempotency.NON_IDEMPOTENT, priority_weight=1.0),
    RequestClass(200.0, 900.0, Idempotency.KEYED, DeduplicationScope.ALL, 250.0, late_weight=0.5),
    RequestClass(200.0, 900.0, Idempotency.KEYED, DeduplicationScope.CELL, 150.0, priority_weight=0.5),
    RequestClass(500.0, 900.0, Idempotency.KEYED, DeduplicationScope.ZONE, 400.0, priority_weight=2.0),
)
CONFIGS = (
    Settings(CLASSES, proxy_count=3, may_cancel=True, max_attempts=4, step_interval_ms=5.0),
    Settings(CLASSES, tenant_quotas=(5.0, 2.0), over_quota_weight=0.1, max_attempts=2, polls_discovery=True),
    Settings(
        CLASSES,
        proxy_count=2,
        may_cancel=True,
        may_hedge=True,
        may_health_check=True,
        max_attempts=6,
        sends_retry_after=True,
        max_retry_after_ms=500.0,
        key_affinity=True,
        slow_start_capacity=0.1,
        slow_start_ms=5000.0,
        step_interval_ms=5.0,
    ),
    Settings(
        CLASSES,
        proxy_count=300,
        proxy_index=17,
        zone_count=2,
        tenant_quotas=(5.0, 0.0),
        over_quota_weight=0.1,
        may_cancel=True,
        max_attempts=3,
        polls_discovery=True,
        slow_start_capacity=0.1,
        slow_start_ms=5000.0,
        step_interval_ms=5.0,
    ),
    Settings(
        CLASSES,
        proxy_count=8,
        proxy_index=3,
        zone=1,
        zone_count=2,
        max_attempts=5,
        sends_retry_after=True,
        max_retry_after_ms=500.0,
        step_interval_ms=2.0,
    ),
)
BACKEND_IDS = [f"s{i}" for i in range(6)]


@dataclass
class SentAttempt:
    backend_id: str
    sent_at: float
    timeout_ms: float
    entry: BackendInfo  # the backend's list entry when sent; backends of its zone and cell may know the key
    result: AttemptResult | None = None
    cancelled: bool = False


@dataclass
class SentRequest:
    class_index: int
    deadline: float
    is_finished: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


class Oracle:
    """Simulates clients, backends and discovery; checks each action against the rules."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.balancer, self.now = config, Balancer(config, seed), 0.0
        self.requests: dict[str, SentRequest] = {}
        self.entries: dict[str, BackendInfo] = {}
        self.timers: list[float] = []

    def step(self, events: list[Event]) -> None:
        for action in self.balancer.step(self.now, events):
            self.check(action)
        for request_id, request in self.requests.items():
            has_open_attempt = any(a.result is None for a in request.attempts)
            assert request.is_finished or has_open_attempt or self.now < request.deadline, (
                f"{request_id} has no final response after its deadline"
            )

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append(self.now + action.delay_ms)
        elif isinstance(action, Forward):
            self.check_forward(action)
        elif isinstance(action, (Fail, Reject)):
            request = self.requests[action.request_id]
            assert not request.is_finished, "a second final response"
            request.is_finished = True
            if isinstance(action, Reject):
                assert (
                    not self.attempts_that_may_have_executed(request)
                    or CLASSES[request.class_index].idempotency is Idempotency.IDEMPOTENT
                )
                assert action.retry_after_ms <= self.config.max_retry_after_ms
        elif isinstance(action, CancelAttempt):
            assert self.config.may_cancel
            attempt = self.requests[action.request_id].attempts[action.attempt_index]
            attempt.cancelled = True
        elif isinstance(action, SendHealthCheck):
            assert self.config.may_health_check

    def attempts_that_may_have_executed(self, request: SentRequest) -> list[SentAttempt]:
        return [a for a in request.attempts if a.result not in NEVER_EXECUTED]

    def check_forward(self, action: Forward) -> None:
        request = self.requests[action.request_id]
        request_class = CLASSES[request.class_index]
        assert not request.is_finished, "an attempt after the final response"
        entry = self.entries[action.backend_id]
        assert entry.state is BackendState.ACTIVE, "an attempt at a backend that is not active"
        assert len(request.attempts) < self.config.max_attempts
        executed = self.attempts_that_may_have_executed(request)
        if not self.config.may_hedge:
            assert all(a.result is not None for a in request.attempts), "concurrent attempts without hedging"
        if executed and request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("a retry of a non-idempotent request that may have executed")
        if executed and request_class.idempotency is Idempotency.KEYED:
            assert self.now <= executed[0].sent_at + request_class.dedup_window_ms, (
                "a retry after the deduplication window"
            )
            executed_entry = executed[0].entry
            assert (
                request_class.dedup_scope is not DeduplicationScope.CELL or entry.cell == executed_entry.cell
            )
            assert (
                request_class.dedup_scope is not DeduplicationScope.ZONE or entry.zone == executed_entry.zone
            )
        assert action.timeout_ms > 0
        request.attempts.append(SentAttempt(action.backend_id, self.now, action.timeout_ms, entry))

    def update_list(self, kind: ListUpdateKind, entries: list[BackendInfo]) -> None:
        if kind is ListUpdateKind.FAILED:
            self.step([BackendListUpdate(kind)])
            return
        if kind not in (ListUpdateKind.DELTA, ListUpdateKind.CACHED_CONTINUED):
            self.entries = {}
        for entry in entries:
            self.entries[entry.backend_id] = entry
        self.step([BackendListUpdate(kind, tuple(entries))])

    def due_events(self) -> list[Event]:
        """Return the events of expired timers, and of attempts cancelled or past a timeout or deadline."""
        events: list[Event] = []
        for fires_at in [t for t in self.timers if t <= self.now]:
            self.timers.remove(fires_at)
            events.append(TimerFired(0))
        for request_id, request in self.requests.items():
            for attempt_index, attempt in enumerate(request.attempts):
                end = min(attempt.sent_at + attempt.timeout_ms, request.deadline)
                if attempt.result is None and attempt.cancelled:
                    events.append(self.end_attempt(request_id, attempt_index, AttemptResult.CANCELLED))
                elif attempt.result is None and self.now >= end:
                    events.append(self.end_attempt(request_id, attempt_index, AttemptResult.TIMEOUT))
        return events

    def send_request(self, number: int, class_index: int, timeout_ms: float) -> None:
        request_id = f"r{number}"
        deadline = self.now + timeout_ms + (0.001 if timeout_ms else 0)
        self.requests[request_id] = SentRequest(class_index, deadline)
        self.step([RequestArrived(request_id, class_index, number % 3, number % 4, deadline)])

    def advance(self, steps: int) -> None:
        for _ in range(steps):
            self.now += 5
            self.step(self.due_events())

    def disconnect(self, request_id: str, event_count: int) -> None:
        request = self.requests[request_id]
        if not request.is_finished:
            request.is_finished = True
            self.step([ClientDisconnected(request_id)] * event_count)

    def end_first_open_attempt(self, request_id: str, result: AttemptResult) -> None:
        attempts = self.requests[request_id].attempts
        open_indexes = [
            attempt_index for attempt_index, attempt in enumerate(attempts) if attempt.result is None
        ]
        if open_indexes and (result is not AttemptResult.CANCELLED or attempts[open_indexes[0]].cancelled):
            self.step([self.end_attempt(request_id, open_indexes[0], result)])

    def end_attempt(self, request_id: str, attempt_index: int, result: AttemptResult) -> AttemptEnded:
        request = self.requests[request_id]
        attempt = request.attempts[attempt_index]
        attempt.result = result
        if result is AttemptResult.OK:
            request.is_finished = True
        return AttemptEnded(
            request_id, attempt_index, result, self.now - attempt.sent_at, request.is_finished
        )


ENTRY = st.builds(
    BackendInfo,
    backend_id=st.sampled_from(BACKEND_IDS),
    state=st.sampled_from([BackendState.ACTIVE] * 4 + [BackendState.DRAINING, BackendState.REMOVED]),
    zone=st.integers(0, 1),
    kind=st.integers(0, 1),
    cell=st.integers(0, 1),
    started_at=st.sampled_from([None, None, 1.0, 400.0]),
)
MOVE = st.one_of(
    st.tuples(st.just("send_request"), st.integers(0, 4), st.sampled_from([0.0, 3.0, 150.0, 400.0, 900.0])),
    st.tuples(st.just("send_request"), st.integers(0, 4), st.just(900.0)),
    st.tuples(st.just("advance"), st.sampled_from([5.0, 20.0, 60.0, 200.0]), st.just(0)),
    st.tuples(st.just("end_attempt"), st.integers(0, 30), st.sampled_from(list(AttemptResult))),
    st.tuples(st.just("disconnect"), st.integers(0, 30), st.booleans()),
    st.tuples(st.just("update_list"), st.sampled_from(list(ListUpdateKind)), st.lists(ENTRY, max_size=5)),
)


@settings(max_examples=250, derandomize=True, deadline=None, suppress_health_check=tuple(HealthCheck))
@given(
    st.sampled_from(CONFIGS),
    st.integers(0, 3),
    st.lists(ENTRY, max_size=6),
    st.lists(MOVE, min_size=10, max_size=70),
)
def test_rules_hold_for_arbitrary_events(
    config: Settings, seed: int, first: list[BackendInfo], moves: list[tuple[str, object, object]]
) -> None:
    play(config, seed, first, moves)


@settings(max_examples=250, derandomize=True, deadline=None, suppress_health_check=tuple(HealthCheck))
@given(
    st.sampled_from(CONFIGS),
    st.integers(0, 3),
    st.lists(ENTRY, max_size=6),
    st.lists(MOVE, min_size=10, max_size=70),
)
def test_rules_hold_when_most_backends_are_unsubscribed(
    config: Settings, seed: int, first: list[BackendInfo], moves: list[tuple[str, object, object]]
) -> None:
    with (
        patch.multiple(subsetting, MIN_SUBSCRIBED=1, SUBSCRIBED_SLACK=1, MIN_SUBSET=1, MAX_SUBSCRIBE_STEP=1),
        patch.multiple(unsubscribed_backends, ENOUGH_SCOPE_MEMBERS=1),
        patch.multiple(pinned_retries, ENOUGH_SCOPE_MEMBERS=1),
    ):
        play(config, seed, first, moves)


def play(
    config: Settings, seed: int, first: list[BackendInfo], moves: list[tuple[str, object, object]]
) -> None:
    oracle = Oracle(config, seed)
    oracle.update_list(ListUpdateKind.CACHED, [e for e in first if e.state is not BackendState.REMOVED])
    for number, (operation, first_argument, second_argument) in enumerate(moves):
        if operation == "send_request":
            assert isinstance(first_argument, int) and isinstance(second_argument, float)
            oracle.send_request(number, first_argument, second_argument)
        elif operation == "advance":
            assert isinstance(first_argument, float)
            oracle.advance(int(first_argument / 5))
        elif operation == "update_list":
            assert isinstance(first_argument, ListUpdateKind) and isinstance(second_argument, list)
            oracle.update_list(first_argument, second_argument)
        elif oracle.requests:
            assert isinstance(first_argument, int)
            request_id = list(oracle.requests)[first_argument % len(oracle.requests)]
            if operation == "disconnect":
                oracle.disconnect(request_id, 2 if second_argument else 1)
            else:
                assert isinstance(second_argument, AttemptResult)
                oracle.end_first_open_attempt(request_id, second_argument)
    oracle.advance(500)  # ends all open requests
    assert all(request.is_finished for request in oracle.requests.values())
    assert oracle.balancer.requests == {}
    assert all(backend.in_flight == 0 for backend in oracle.balancer.backends.by_id.values())
