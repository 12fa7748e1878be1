"""Arbitrary legal event sequences against an oracle that knows rules 1 to 3 and the permissions."""

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
NAMES = [f"s{i}" for i in range(6)]


@dataclass
class SentAttempt:
    backend: str
    at: float
    limit: float
    home: BackendInfo  # where it was listed when this was sent: that group has seen the key
    result: AttemptResult | None = None
    cancelled: bool = False


@dataclass
class SentRequest:
    class_index: int
    deadline: float
    over: bool = False
    attempts: list[SentAttempt] = field(default_factory=list)


class Oracle:
    """Plays clients, backends' outcomes and the list; checks each action against the rules."""

    def __init__(self, config: Settings, seed: int) -> None:
        self.config, self.balancer, self.now = config, Balancer(config, seed), 0.0
        self.requests: dict[str, SentRequest] = {}
        self.listed: dict[str, BackendInfo] = {}
        self.timers: list[float] = []

    def step(self, events: list[Event]) -> None:
        for action in self.balancer.step(self.now, events):
            self.check(action)
        for name, request in self.requests.items():
            out = any(a.result is None for a in request.attempts)
            assert request.over or out or self.now < request.deadline, f"{name} lost"

    def check(self, action: Action) -> None:
        if isinstance(action, SetTimer):
            self.timers.append(self.now + action.delay_ms)
        elif isinstance(action, Forward):
            self.check_send(action)
        elif isinstance(action, (Fail, Reject)):
            request = self.requests[action.request_id]
            assert not request.over, "answered twice"
            request.over = True
            if isinstance(action, Reject):
                assert (
                    not self.may_have_executed(request)
                    or CLASSES[request.class_index].idempotency is Idempotency.IDEMPOTENT
                )
                assert action.retry_after_ms <= self.config.max_retry_after_ms
        elif isinstance(action, CancelAttempt):
            assert self.config.may_cancel
            attempt = self.requests[action.request_id].attempts[action.attempt_index]
            attempt.cancelled = True
        elif isinstance(action, SendHealthCheck):
            assert self.config.may_health_check

    def may_have_executed(self, request: SentRequest) -> list[SentAttempt]:
        return [a for a in request.attempts if a.result not in NEVER_EXECUTED]

    def check_send(self, action: Forward) -> None:
        request = self.requests[action.request_id]
        spec = CLASSES[request.class_index]
        assert not request.over, "sent after its end"
        entry = self.listed[action.backend_id]
        assert entry.state is BackendState.ACTIVE, "sent to a backend that drains or is gone"
        assert len(request.attempts) < self.config.max_attempts
        executed = self.may_have_executed(request)
        if not self.config.may_hedge:
            assert all(a.result is not None for a in request.attempts), "two attempts at once"
        if executed and spec.idempotency is Idempotency.NON_IDEMPOTENT:
            raise AssertionError("non-idempotent sent again")
        if executed and spec.idempotency is Idempotency.KEYED:
            assert self.now <= executed[0].at + spec.dedup_window_ms, "repeat outside the window"
            home = executed[0].home
            assert spec.dedup_scope is not DeduplicationScope.CELL or entry.cell == home.cell
            assert spec.dedup_scope is not DeduplicationScope.ZONE or entry.zone == home.zone
        assert action.timeout_ms > 0
        request.attempts.append(SentAttempt(action.backend_id, self.now, action.timeout_ms, entry))

    def relist(self, kind: ListUpdateKind, entries: list[BackendInfo]) -> None:
        if kind is ListUpdateKind.FAILED:
            self.step([BackendListUpdate(kind)])
            return
        if kind not in (ListUpdateKind.DELTA, ListUpdateKind.CACHED_CONTINUED):
            self.listed = {}
        for entry in entries:
            self.listed[entry.backend_id] = entry
        self.step([BackendListUpdate(kind, tuple(entries))])

    def due(self) -> list[Event]:
        """Timers that have run out and attempts that have reached their limit or their client's time."""
        events: list[Event] = []
        for when in [t for t in self.timers if t <= self.now]:
            self.timers.remove(when)
            events.append(TimerFired(0))
        for name, request in self.requests.items():
            for number, attempt in enumerate(request.attempts):
                end = min(attempt.at + attempt.limit, request.deadline)
                if attempt.result is None and attempt.cancelled:
                    events.append(self.end(name, number, AttemptResult.CANCELLED))
                elif attempt.result is None and self.now >= end:
                    events.append(self.end(name, number, AttemptResult.TIMEOUT))
        return events

    def arrive(self, count: int, class_index: int, wait: float) -> None:
        name = f"r{count}"
        deadline = self.now + wait + (0.001 if wait else 0)
        self.requests[name] = SentRequest(class_index, deadline)
        self.step([RequestArrived(name, class_index, count % 3, count % 4, deadline)])

    def let_pass(self, steps: int) -> None:
        for _ in range(steps):
            self.now += 5
            self.step(self.due())

    def leave(self, name: str, times: int) -> None:
        request = self.requests[name]
        if not request.over:
            request.over = True
            self.step([ClientDisconnected(name)] * times)

    def end_first_open(self, name: str, result: AttemptResult) -> None:
        attempts = self.requests[name].attempts
        waiting = [number for number, attempt in enumerate(attempts) if attempt.result is None]
        if waiting and (result is not AttemptResult.CANCELLED or attempts[waiting[0]].cancelled):
            self.step([self.end(name, waiting[0], result)])

    def end(self, name: str, number: int, result: AttemptResult) -> AttemptEnded:
        request = self.requests[name]
        attempt = request.attempts[number]
        attempt.result = result
        if result is AttemptResult.OK:
            request.over = True
        return AttemptEnded(name, number, result, self.now - attempt.at, request.over)


ENTRY = st.builds(
    BackendInfo,
    backend_id=st.sampled_from(NAMES),
    state=st.sampled_from([BackendState.ACTIVE] * 4 + [BackendState.DRAINING, BackendState.REMOVED]),
    zone=st.integers(0, 1),
    kind=st.integers(0, 1),
    cell=st.integers(0, 1),
    started_at=st.sampled_from([None, None, 1.0, 400.0]),
)
MOVE = st.one_of(
    st.tuples(st.just("arrive"), st.integers(0, 4), st.sampled_from([0.0, 3.0, 150.0, 400.0, 900.0])),
    st.tuples(st.just("arrive"), st.integers(0, 4), st.just(900.0)),
    st.tuples(st.just("pass"), st.sampled_from([5.0, 20.0, 60.0, 200.0]), st.just(0)),
    st.tuples(st.just("end"), st.integers(0, 30), st.sampled_from(list(AttemptResult))),
    st.tuples(st.just("leave"), st.integers(0, 30), st.booleans()),
    st.tuples(st.just("list"), st.sampled_from(list(ListUpdateKind)), st.lists(ENTRY, max_size=5)),
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
    oracle.relist(ListUpdateKind.CACHED, [e for e in first if e.state is not BackendState.REMOVED])
    for count, (what, a, b) in enumerate(moves):
        if what == "arrive":
            assert isinstance(a, int) and isinstance(b, float)
            oracle.arrive(count, a, b)
        elif what == "pass":
            assert isinstance(a, float)
            oracle.let_pass(int(a / 5))
        elif what == "list":
            assert isinstance(a, ListUpdateKind) and isinstance(b, list)
            oracle.relist(a, b)
        elif oracle.requests:
            assert isinstance(a, int)
            name = list(oracle.requests)[a % len(oracle.requests)]
            if what == "leave":
                oracle.leave(name, 2 if b else 1)
            else:
                assert isinstance(b, AttemptResult)
                oracle.end_first_open(name, b)
    oracle.let_pass(500)  # all that is left comes to its end
    assert all(r.over for r in oracle.requests.values())
    assert oracle.balancer.requests == {}
    assert all(s.in_flight == 0 for s in oracle.balancer.backends.by_id.values())
