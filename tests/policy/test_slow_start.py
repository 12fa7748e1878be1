"""A cold backend gets no more than it can take from all proxies together."""

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
    """Proxies, each a balancer of its own, before warm backends that respond to all after the same time."""

    def __init__(
        self, proxies: int, warm: int, backend_rate: float, shares: list[float], seed: int = 1
    ) -> None:
        self.proxies = proxies
        self.backend_rate = backend_rate  # requests a second that a warm backend can do
        self.shares = shares  # of the traffic, by proxy
        self.random = Random(seed)
        self.ids = count()
        self.now = 100_000.0
        self.backends = [BackendInfo(f"10.0.0.{n}:80") for n in range(warm)]
        self.balancers: dict[int, Balancer] = {}
        self.events: list[tuple[float, int, int, object]] = []
        self.forwarded_at: dict[str, list[float]] = {}  # when something was sent to each cold one
        for proxy in range(proxies):
            self.start(proxy)

    def start(self, proxy: int) -> None:
        """Start it, or start it anew: nothing of the process before it remains."""
        self.events = [event for event in self.events if event[2] != proxy]
        heapify(self.events)
        config = make_settings(
            CLASS,
            proxy_count=self.proxies,
            proxy_index=proxy,
            slow_start_capacity=INITIAL_CAPACITY,
            slow_start_ms=SLOW_START_MS,
            slow_start_overload_factor=OVERLOAD_FACTOR,
            slow_start_window_ms=WINDOW_MS,
            may_gossip=True,
        )
        self.balancers[proxy] = Balancer(config, self.random.getrandbits(32))
        self.update_list(proxy, ListUpdateKind.CACHED, self.backends)

    def update_list(self, proxy: int, kind: ListUpdateKind, entries: list[BackendInfo]) -> None:
        self.step(proxy, BackendListUpdate(kind, tuple(entries)))

    def step(self, proxy: int, event: object) -> None:
        for action in self.balancers[proxy].step(self.now, [event]):  # type: ignore[list-item]
            if isinstance(action, Forward):
                if action.backend_id in self.forwarded_at:
                    self.forwarded_at[action.backend_id].append(self.now)
                ended = AttemptEnded(action.request_id, 0, AttemptResult.OK, LATENCY_MS, True)
                heappush(self.events, (self.now + LATENCY_MS, next(self.ids), proxy, ended))
            elif isinstance(action, SetTimer):
                heappush(
                    self.events, (self.now + queue_timeouts.TICK_MS, next(self.ids), proxy, TimerFired(0))
                )

    def run(self, ms: float, load: float) -> None:
        """`load`: of what all backends can do together when warm, over all proxies by their shares."""
        end, total = self.now + ms, load * self.backend_rate * len(self.backends) / 1000
        following = self.now + self.random.expovariate(total) if total else end
        while self.now < end:
            self.now = min(end, following, self.events[0][0])
            while self.events and self.events[0][0] <= self.now:
                _, _, proxy, event = heappop(self.events)
                self.step(proxy, event)
            if following <= self.now < end:
                proxy = self.random.choices(range(self.proxies), self.shares)[0]
                self.step(proxy, RequestArrived(f"r{next(self.ids)}", 0, 0, None, self.now + 2500.0))
                following = self.now + self.random.expovariate(total)

    def join(self, cold: int, clock_off_ms: float = 0.0) -> None:
        """Cold backends that all learn of at once, by a clock that may be off from that of the proxies."""
        started = self.now + clock_off_ms
        new = [BackendInfo(f"10.9.9.{n}:80", started_at=started) for n in range(cold)]
        self.forwarded_at = {entry.backend_id: [] for entry in new}
        self.joined_at = self.now
        self.backends = [*self.backends, *new]
        for proxy in self.balancers:
            self.update_list(proxy, ListUpdateKind.DELTA, new)

    def highest_load(self) -> float:
        """Return the highest load that any cold backend got in any window; above 1 it fails."""
        return max(self._highest_load(sent) for sent in self.forwarded_at.values())

    def _highest_load(self, sent: list[float]) -> float:
        """Return the highest number of these forwards in any window, as a part of what is allowed."""
        worst, first = 0.0, 0
        for last, at in enumerate(sent):
            while sent[first] <= at - WINDOW_MS:
                first += 1
            warmth = INITIAL_CAPACITY + (1 - INITIAL_CAPACITY) * min(
                1.0, (at - self.joined_at) / SLOW_START_MS
            )
            allowed = OVERLOAD_FACTOR * self.backend_rate * warmth * WINDOW_MS / 1000
            worst = max(worst, (last - first + 1) / (allowed + 2 * sqrt(allowed) + 2))
        return worst


def harmonic(proxies: int) -> list[float]:
    """Uneven shares of the traffic: the second proxy gets half of what the first gets, and so on."""
    return [1 / (place + 1) for place in range(proxies)]


@pytest.mark.parametrize(("proxies", "shares"), [(3, harmonic), (20, None), (30, harmonic), (200, harmonic)])
@pytest.mark.parametrize(("warm", "cold"), [(20, 20), (8, 12)])
def test_a_burst_after_a_quiet_time_does_not_push_a_cold_backend_over(
    proxies: int, shares: Callable[[int], list[float]] | None, warm: int, cold: int
) -> None:
    world = Fleet(proxies, warm, 2.0, shares(proxies) if shares else [1.0] * proxies)
    world.run(3_000, 0.7)
    world.join(cold)
    world.run(4_000, 0.0)
    world.run(1_500, 1.5)
    assert 0 < world.highest_load() <= 1


@pytest.mark.parametrize("proxies", [3, 20, 30, 200])
def test_cold_backends_hold_where_no_proxy_knows_what_a_warm_one_does(proxies: int) -> None:
    world = Fleet(proxies, 0, 2.0, harmonic(proxies))
    world.join(20)
    world.run(3_000, 1.5)
    assert 0 < world.highest_load() <= 1


@pytest.mark.parametrize("proxies", [3, 20, 30, 200])
def test_cold_backends_hold_where_half_of_the_proxies_started_later_than_they(proxies: int) -> None:
    world = Fleet(proxies, 8, 6.0, harmonic(proxies))
    world.run(3_000, 0.7)
    world.join(12)
    world.run(500, 0.7)
    for proxy in range(0, proxies, 2):
        world.start(proxy)
    world.run(3_000, 0.9)
    assert 0 < world.highest_load() <= 1


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("clock_off_ms", [-HOUR_MS, -20_000.0, 20_000.0, HOUR_MS])
@pytest.mark.parametrize("proxies", [3, 30])
def test_cold_backends_hold_whatever_the_clock_says_that_dated_their_start(
    proxies: int, clock_off_ms: float
) -> None:
    world = Fleet(proxies, 8, 6.0, harmonic(proxies))
    world.run(3_000, 0.7)
    world.join(12, clock_off_ms)
    world.run(3_000, 0.9)
    assert 0 < world.highest_load() <= 1


@pytest.mark.parametrize(
    ("clock_off_ms", "end"), [(-3_000.0, 3_000.0), (-8_000.0, 6_000.0), (8_000.0, 6_000.0)]
)
def test_a_date_is_not_believed_past_a_short_cold_time(clock_off_ms: float, end: float) -> None:
    """By such a date it would be warm, or not have started: the start is taken to be now."""
    now, slow_start = 100_000.0, SlowStart(6_000.0)
    slow_start.record_restart(now, "s", now + clock_off_ms)
    assert slow_start.cold_until("s") == now + end


@pytest.mark.parametrize("clock_off_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("proxies", [3, 30])
def test_cold_backends_hold_where_all_proxies_start_anew_by_a_clock_that_is_off(
    proxies: int, clock_off_ms: float
) -> None:
    world = Fleet(proxies, 8, 6.0, harmonic(proxies))
    world.run(3_000, 0.7)
    world.join(12, clock_off_ms)
    for proxy in range(proxies):
        world.start(proxy)
    world.run(3_000, 0.9)
    assert 0 < world.highest_load() <= 1


@pytest.mark.parametrize("clock_off_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("anew", [False, True])
def test_slow_start_ends_in_its_time_whatever_the_clock_says(clock_off_ms: float, anew: bool) -> None:
    world = Fleet(3, 8, 6.0, [1.0, 1.0, 1.0])
    world.run(3_000, 0.7)
    world.join(12, clock_off_ms)
    if anew:
        for proxy in range(3):
            world.start(proxy)
    world.run(SLOW_START_MS + 500.0, 0.1)
    assert all(
        s.cold_until <= world.now
        for balancer in world.balancers.values()
        for s in balancer.backends.by_id.values()
    )
