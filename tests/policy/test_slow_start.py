"""Slow start: all proxies together don't overload a cold backend."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from math import sqrt
from random import Random

import pytest

from dunecove.policy import queue_timeouts
from dunecove.policy.actions import Forward, SetTimer
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind, RequestArrived, TimerFired
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.settings import RequestClass
from dunecove.policy.slow_start import SlowStart
from tests.support import make_settings

SLOW_START_MS = 24_000.0
WINDOW_MS = 1000.0
OVERLOAD_FACTOR = 3.0
INITIAL_CAPACITY = 0.16
LATENCY_MS = 50.0
CLASS = RequestClass(500.0, 2500.0)


class Fleet:
    """Simulates proxies, each with its own `Balancer`, and backends that all respond after `LATENCY_MS`."""

    def __init__(
        self, proxy_count: int, warm_count: int, backend_rate: float, shares: list[float], seed: int = 1
    ) -> None:
        self.proxy_count = proxy_count
        self.backend_rate = backend_rate  # capacity of a warm backend, in requests per second
        self.shares = shares  # share of the traffic of each proxy, not normalized
        self.random = Random(seed)
        self.ids = count()
        self.now = 100_000.0
        self.backends = [BackendInfo(f"10.0.0.{n}:80") for n in range(warm_count)]
        self.balancers: dict[int, Balancer] = {}
        self.events: list[tuple[float, int, int, object]] = []
        self.forwarded_at: dict[str, list[float]] = {}  # times of the requests to each cold backend, in ms
        for proxy_index in range(proxy_count):
            self.start(proxy_index)

    def start(self, proxy_index: int) -> None:
        """Start a proxy, or restart it without any state of its previous process."""
        self.events = [event for event in self.events if event[2] != proxy_index]
        heapify(self.events)
        settings = make_settings(
            CLASS,
            proxy_count=self.proxy_count,
            proxy_index=proxy_index,
            slow_start_capacity=INITIAL_CAPACITY,
            slow_start_ms=SLOW_START_MS,
            slow_start_overload_factor=OVERLOAD_FACTOR,
            slow_start_window_ms=WINDOW_MS,
            may_gossip=True,
        )
        self.balancers[proxy_index] = Balancer(settings, self.random.getrandbits(32))
        self.update_list(proxy_index, ListUpdateKind.CACHED, self.backends)

    def update_list(self, proxy_index: int, kind: ListUpdateKind, entries: list[BackendInfo]) -> None:
        self.step(proxy_index, BackendListUpdate(kind, tuple(entries)))

    def step(self, proxy_index: int, event: object) -> None:
        for action in self.balancers[proxy_index].step(self.now, [event]):  # type: ignore[list-item]
            if isinstance(action, Forward):
                if action.backend_id in self.forwarded_at:
                    self.forwarded_at[action.backend_id].append(self.now)
                ended = AttemptEnded(action.request_id, 0, AttemptResult.OK, LATENCY_MS, True)
                heappush(self.events, (self.now + LATENCY_MS, next(self.ids), proxy_index, ended))
            elif isinstance(action, SetTimer):
                heappush(
                    self.events,
                    (self.now + queue_timeouts.TICK_MS, next(self.ids), proxy_index, TimerFired(0)),
                )

    def run(self, duration_ms: float, load: float) -> None:
        """Send requests for `duration_ms`; `load` is a fraction of the capacity of all backends when warm."""
        end, arrivals_per_ms = self.now + duration_ms, load * self.backend_rate * len(self.backends) / 1000
        next_arrival_at = self.now + self.random.expovariate(arrivals_per_ms) if arrivals_per_ms else end
        while self.now < end:
            self.now = min(end, next_arrival_at, self.events[0][0])
            while self.events and self.events[0][0] <= self.now:
                _, _, proxy_index, event = heappop(self.events)
                self.step(proxy_index, event)
            if next_arrival_at <= self.now < end:
                proxy_index = self.random.choices(range(self.proxy_count), self.shares)[0]
                self.step(proxy_index, RequestArrived(f"r{next(self.ids)}", 0, 0, None, self.now + 2500.0))
                next_arrival_at = self.now + self.random.expovariate(arrivals_per_ms)

    def join(self, cold_count: int, clock_error_ms: float = 0.0) -> None:
        """Add cold backends to all lists at once, with a start time that is wrong by `clock_error_ms`."""
        started_at = self.now + clock_error_ms
        new = [BackendInfo(f"10.9.9.{n}:80", started_at=started_at) for n in range(cold_count)]
        self.forwarded_at = {entry.backend_id: [] for entry in new}
        self.joined_at = self.now
        self.backends = [*self.backends, *new]
        for proxy_index in self.balancers:
            self.update_list(proxy_index, ListUpdateKind.DELTA, new)

    def highest_load(self) -> float:
        """Return the highest load of any cold backend in any window; above 1 the backend fails."""
        return max(self._highest_load(sent_times) for sent_times in self.forwarded_at.values())

    def _highest_load(self, sent_times: list[float]) -> float:
        """Return the highest number of requests in any window, as a fraction of the allowed number."""
        highest_load, first = 0.0, 0
        for last, sent_at in enumerate(sent_times):
            while sent_times[first] <= sent_at - WINDOW_MS:
                first += 1
            warm_fraction = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * min(
                1.0, (sent_at - self.joined_at) / SLOW_START_MS
            )
            allowed = OVERLOAD_FACTOR * self.backend_rate * warm_fraction * WINDOW_MS / 1000
            highest_load = max(highest_load, (last - first + 1) / (allowed + 2 * sqrt(allowed) + 2))
        return highest_load


def harmonic_shares(proxy_count: int) -> list[float]:
    """Return uneven shares of the traffic: proxy n gets 1/n of the first one's."""
    return [1 / (index + 1) for index in range(proxy_count)]


@pytest.mark.parametrize(
    ("proxy_count", "shares"),
    [(3, harmonic_shares), (20, None), (30, harmonic_shares), (200, harmonic_shares)],
)
@pytest.mark.parametrize(("warm_count", "cold_count"), [(20, 20), (8, 12)])
def test_burst_after_idle_time_does_not_overload_cold_backends(
    proxy_count: int, shares: Callable[[int], list[float]] | None, warm_count: int, cold_count: int
) -> None:
    fleet = Fleet(proxy_count, warm_count, 2.0, shares(proxy_count) if shares else [1.0] * proxy_count)
    fleet.run(3_000, 0.7)
    fleet.join(cold_count)
    fleet.run(4_000, 0.0)
    fleet.run(1_500, 1.5)
    assert 0 < fleet.highest_load() <= 1


@pytest.mark.parametrize("proxy_count", [3, 20, 30, 200])
def test_cold_backends_are_not_overloaded_when_no_warm_backend_was_observed(proxy_count: int) -> None:
    fleet = Fleet(proxy_count, 0, 2.0, harmonic_shares(proxy_count))
    fleet.join(20)
    fleet.run(3_000, 1.5)
    assert 0 < fleet.highest_load() <= 1


@pytest.mark.parametrize("proxy_count", [3, 20, 30, 200])
def test_cold_backends_are_not_overloaded_when_half_of_proxies_restart_after_them(proxy_count: int) -> None:
    fleet = Fleet(proxy_count, 8, 6.0, harmonic_shares(proxy_count))
    fleet.run(3_000, 0.7)
    fleet.join(12)
    fleet.run(500, 0.7)
    for proxy_index in range(0, proxy_count, 2):
        fleet.start(proxy_index)
    fleet.run(3_000, 0.9)
    assert 0 < fleet.highest_load() <= 1


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("clock_error_ms", [-HOUR_MS, -20_000.0, 20_000.0, HOUR_MS])
@pytest.mark.parametrize("proxy_count", [3, 30])
def test_cold_backends_are_not_overloaded_when_their_start_times_are_wrong(
    proxy_count: int, clock_error_ms: float
) -> None:
    fleet = Fleet(proxy_count, 8, 6.0, harmonic_shares(proxy_count))
    fleet.run(3_000, 0.7)
    fleet.join(12, clock_error_ms)
    fleet.run(3_000, 0.9)
    assert 0 < fleet.highest_load() <= 1


@pytest.mark.parametrize(
    ("clock_error_ms", "cold_ms"), [(-3_000.0, 3_000.0), (-8_000.0, 6_000.0), (8_000.0, 6_000.0)]
)
def test_start_time_outside_short_slow_start_counts_as_now(clock_error_ms: float, cold_ms: float) -> None:
    """By such a start time the backend would already be warm, or would not have started yet."""
    now, slow_start = 100_000.0, SlowStart(6_000.0)
    slow_start.record_restart(now, "s", now + clock_error_ms)
    assert slow_start.slow_start_end("s") == now + cold_ms


@pytest.mark.parametrize("clock_error_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("proxy_count", [3, 30])
def test_cold_backends_are_not_overloaded_when_all_proxies_restart_and_start_times_are_wrong(
    proxy_count: int, clock_error_ms: float
) -> None:
    fleet = Fleet(proxy_count, 8, 6.0, harmonic_shares(proxy_count))
    fleet.run(3_000, 0.7)
    fleet.join(12, clock_error_ms)
    for proxy_index in range(proxy_count):
        fleet.start(proxy_index)
    fleet.run(3_000, 0.9)
    assert 0 < fleet.highest_load() <= 1


@pytest.mark.parametrize("clock_error_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("restarts_proxies", [False, True])
def test_slow_start_ends_in_time_when_start_times_are_wrong(
    clock_error_ms: float, restarts_proxies: bool
) -> None:
    fleet = Fleet(3, 8, 6.0, [1.0, 1.0, 1.0])
    fleet.run(3_000, 0.7)
    fleet.join(12, clock_error_ms)
    if restarts_proxies:
        for proxy_index in range(3):
            fleet.start(proxy_index)
    fleet.run(SLOW_START_MS + 500.0, 0.1)
    assert all(
        backend.cold_until <= fleet.now
        for balancer in fleet.balancers.values()
        for backend in balancer.backends.by_id.values()
    )
