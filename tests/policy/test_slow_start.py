"""A cold server under the sum of what all proxies send it, as the acceptance counts it."""

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
from tests.support import settings

COLD_MS, WINDOW_MS, MULTIPLE, START = 24_000.0, 1000.0, 3.0, 0.16
TICK_MS, LATENCY_MS = 5.0, 50.0
CLASS = RequestClass(500.0, 2500.0)


class Fleet:
    """Proxies, each a module of its own, before warm servers that answer all they get after the same time."""

    def __init__(self, proxies: int, warm: int, each: float, shares: list[float], seed: int = 1) -> None:
        self.proxies, self.each, self.shares = proxies, each, shares  # each: requests/s a warm server can do
        self.random, self.ids, self.now = Random(seed), count(), 100_000.0
        self.servers = [BackendInfo(f"10.0.0.{n}:80") for n in range(warm)]
        self.modules: dict[int, Balancer] = {}
        self.due: list[tuple[float, int, int, object]] = []
        self.sent: dict[str, list[float]] = {}  # when something was sent to each cold one
        for me in range(proxies):
            self.start(me)

    def start(self, me: int) -> None:
        """Start it, or start it anew: nothing of the process before it remains."""
        self.due = [due for due in self.due if due[2] != me]
        heapify(self.due)
        config = settings(
            CLASS,
            proxy_count=self.proxies,
            proxy_index=me,
            slow_start_capacity=START,
            slow_start_ms=COLD_MS,
            slow_start_overload_factor=MULTIPLE,
            slow_start_window_ms=WINDOW_MS,
            may_gossip=True,
        )
        self.modules[me] = Balancer(config, self.random.getrandbits(32))
        self.tell(me, ListUpdateKind.CACHED, self.servers)

    def tell(self, me: int, kind: ListUpdateKind, entries: list[BackendInfo]) -> None:
        self.step(me, BackendListUpdate(kind, tuple(entries)))

    def step(self, me: int, event: object) -> None:
        for action in self.modules[me].step(self.now, [event]):  # type: ignore[list-item]
            if isinstance(action, Forward):
                if action.backend_id in self.sent:
                    self.sent[action.backend_id].append(self.now)
                ended = AttemptEnded(action.request_id, 0, AttemptResult.OK, LATENCY_MS, True)
                heappush(self.due, (self.now + LATENCY_MS, next(self.ids), me, ended))
            elif isinstance(action, SetTimer):
                heappush(self.due, (self.now + queue_timeouts.TICK_MS, next(self.ids), me, TimerFired(0)))

    def run(self, ms: float, load: float) -> None:
        """`load`: of what all servers can do together when warm, over all proxies by their shares."""
        end, total = self.now + ms, load * self.each * len(self.servers) / 1000
        following = self.now + self.random.expovariate(total) if total else end
        while self.now < end:
            self.now = min(end, following, self.due[0][0])
            while self.due and self.due[0][0] <= self.now:
                _, _, me, event = heappop(self.due)
                self.step(me, event)
            if following <= self.now < end:
                me = self.random.choices(range(self.proxies), self.shares)[0]
                self.step(me, RequestArrived(f"r{next(self.ids)}", 0, 0, None, self.now + 2500.0))
                following = self.now + self.random.expovariate(total)

    def join(self, cold: int, clock_off_ms: float = 0.0) -> None:
        """Cold servers that all learn of at once, by a clock that may be off from that of the proxies."""
        started = self.now + clock_off_ms
        new = [BackendInfo(f"10.9.9.{n}:80", started_at=started) for n in range(cold)]
        self.sent, self.born, self.servers = {s.backend_id: [] for s in new}, self.now, [*self.servers, *new]
        for me in self.modules:
            self.tell(me, ListUpdateKind.DELTA, new)

    def worst(self) -> float:
        """The greatest part of its bound that any cold server got in any window; above 1 it falls over."""
        return max(self.part(sent) for sent in self.sent.values())

    def part(self, sent: list[float]) -> float:
        worst, first = 0.0, 0
        for last, at in enumerate(sent):
            while sent[first] <= at - WINDOW_MS:
                first += 1
            warmth = START + (1 - START) * min(1.0, (at - self.born) / COLD_MS)
            allowed = MULTIPLE * self.each * warmth * WINDOW_MS / 1000
            worst = max(worst, (last - first + 1) / (allowed + 2 * sqrt(allowed) + 2))
        return worst


def harmonic(proxies: int) -> list[float]:
    """Uneven shares of the traffic: the second proxy gets half of what the first gets, and so on."""
    return [1 / (place + 1) for place in range(proxies)]


@pytest.mark.parametrize(("proxies", "shares"), [(3, harmonic), (20, None), (30, harmonic), (200, harmonic)])
@pytest.mark.parametrize(("warm", "cold"), [(20, 20), (8, 12)])
def test_a_burst_after_a_quiet_time_does_not_push_a_cold_server_over(
    proxies: int, shares: Callable[[int], list[float]] | None, warm: int, cold: int
) -> None:
    world = Fleet(proxies, warm, 2.0, shares(proxies) if shares else [1.0] * proxies)
    world.run(3_000, 0.7)
    world.join(cold)
    world.run(4_000, 0.0)
    world.run(1_500, 1.5)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("proxies", [3, 20, 30, 200])
def test_cold_servers_hold_where_no_proxy_knows_what_a_warm_one_does(proxies: int) -> None:
    world = Fleet(proxies, 0, 2.0, harmonic(proxies))
    world.join(20)
    world.run(3_000, 1.5)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("proxies", [3, 20, 30, 200])
def test_cold_servers_hold_where_half_of_the_proxies_started_later_than_they(proxies: int) -> None:
    world = Fleet(proxies, 8, 6.0, harmonic(proxies))
    world.run(3_000, 0.7)
    world.join(12)
    world.run(500, 0.7)
    for me in range(0, proxies, 2):
        world.start(me)
    world.run(3_000, 0.9)
    assert 0 < world.worst() <= 1


HOUR_MS = 3_600_000.0


@pytest.mark.parametrize("clock_off_ms", [-HOUR_MS, -20_000.0, 20_000.0, HOUR_MS])
@pytest.mark.parametrize("proxies", [3, 30])
def test_cold_servers_hold_whatever_the_clock_says_that_dated_their_start(
    proxies: int, clock_off_ms: float
) -> None:
    world = Fleet(proxies, 8, 6.0, harmonic(proxies))
    world.run(3_000, 0.7)
    world.join(12, clock_off_ms)
    world.run(3_000, 0.9)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize(
    ("clock_off_ms", "end"), [(-3_000.0, 3_000.0), (-8_000.0, 6_000.0), (8_000.0, 6_000.0)]
)
def test_a_date_is_not_believed_past_a_short_cold_time(clock_off_ms: float, end: float) -> None:
    """By such a date it would be warm, or not have started: the start is taken to be now."""
    now, slow_start = 100_000.0, SlowStart(6_000.0)
    slow_start.record_restart(now, "s", now + clock_off_ms)
    assert slow_start.warm_at("s") == now + end


@pytest.mark.parametrize("clock_off_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("proxies", [3, 30])
def test_cold_servers_hold_where_all_proxies_start_anew_by_a_clock_that_is_off(
    proxies: int, clock_off_ms: float
) -> None:
    world = Fleet(proxies, 8, 6.0, harmonic(proxies))
    world.run(3_000, 0.7)
    world.join(12, clock_off_ms)
    for me in range(proxies):
        world.start(me)
    world.run(3_000, 0.9)
    assert 0 < world.worst() <= 1


@pytest.mark.parametrize("clock_off_ms", [-HOUR_MS, HOUR_MS])
@pytest.mark.parametrize("anew", [False, True])
def test_slow_start_ends_in_its_time_whatever_the_clock_says(clock_off_ms: float, anew: bool) -> None:
    world = Fleet(3, 8, 6.0, [1.0, 1.0, 1.0])
    world.run(3_000, 0.7)
    world.join(12, clock_off_ms)
    if anew:
        for me in range(3):
            world.start(me)
    world.run(COLD_MS + 500.0, 0.1)
    assert all(s.cold_until <= world.now for m in world.modules.values() for s in m.backends.by_id.values())
