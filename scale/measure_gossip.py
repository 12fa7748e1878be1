"""Counts the gossip messages among all proxies of a deployment about one failing backend.

It runs balancers without sockets on a virtual clock, so that the same seed gives the same counts.
"""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import NamedTuple

from dunecove.policy.actions import Forward, SendGossip, SetTimer
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    Event,
    GossipReceived,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunecove.policy.models import AttemptResult
from dunecove.wire.settings import read_settings
from scale import synthetic
from scale.measurement import RunParameters, Series, Values, measurement

BACKENDS = 20
REQUEST_INTERVAL_MS = 100.0  # between two requests to one proxy
DEADLINE_MS = 1000
HEALTHY_MS = 1000.0  # time at the start in which all backends are healthy
FAILING_MS = 3000.0  # time after that in which one backend refuses all connections
RESPONSE_MS = 20.0
REFUSAL_MS = 1.0
DATAGRAM_MS = 1.0
FAILING_BACKEND = synthetic.backend_id(0)


class ScheduledEvent(NamedTuple):
    """An event of one balancer; events are processed by time, then in the order of scheduling."""

    time_ms: float
    order: int
    proxy: int
    event: Event


class GossipSimulation:
    """Balancers that share backends, one of which fails."""

    def __init__(self, proxies: int, seed: int) -> None:
        self._balancers = [
            Balancer(
                read_settings(synthetic.settings(proxies, deadline_ms=DEADLINE_MS) | {"Me": number}),
                seed + number,
            )
            for number in range(proxies)
        ]
        self._random = Random(seed)
        self._order = count()
        self._scheduled: list[ScheduledEvent] = []
        self._attempts: dict[str, int] = {}  # number of attempts so far, by request id
        self.messages = 0
        self.payload_bytes = 0

    def _schedule(self, time_ms: float, proxy: int, event: Event) -> None:
        heappush(self._scheduled, ScheduledEvent(time_ms, next(self._order), proxy, event))

    def run(self) -> None:
        """Run until the end of the failure."""
        end_ms = HEALTHY_MS + FAILING_MS
        for proxy in range(len(self._balancers)):
            self._schedule_arrivals(proxy, end_ms)
        while self._scheduled and self._scheduled[0].time_ms < end_ms:
            now, _, proxy, event = heappop(self._scheduled)
            for action in self._balancers[proxy].step(now, [event]):
                if isinstance(action, Forward):
                    self._attempt(now, proxy, action)
                elif isinstance(action, SetTimer):
                    self._schedule(now + action.delay_ms, proxy, TimerFired(action.token))
                elif isinstance(action, SendGossip):
                    self._broadcast(now, proxy, action)

    def _schedule_arrivals(self, proxy: int, end_ms: float) -> None:
        update = BackendListUpdate(ListUpdateKind.SNAPSHOT, synthetic.backend_infos(BACKENDS))
        self._schedule(0.0, proxy, update)
        time_ms = 1 + self._random.random() * REQUEST_INTERVAL_MS
        while time_ms < end_ms:
            request_id = f"r{proxy}-{time_ms:.3f}"
            self._schedule(time_ms, proxy, RequestArrived(request_id, 0, 0, None, time_ms + DEADLINE_MS))
            time_ms += REQUEST_INTERVAL_MS

    def _attempt(self, now: float, proxy: int, action: Forward) -> None:
        attempt = self._attempts.get(action.request_id, 0)
        self._attempts[action.request_id] = attempt + 1
        is_refused = action.backend_id == FAILING_BACKEND and now >= HEALTHY_MS
        result = AttemptResult.CONNECT_FAILED if is_refused else AttemptResult.OK
        delay_ms = REFUSAL_MS if is_refused else RESPONSE_MS
        outcome = AttemptEnded(action.request_id, attempt, result, delay_ms, not is_refused)
        self._schedule(now + delay_ms, proxy, outcome)

    def _broadcast(self, now: float, sender: int, action: SendGossip) -> None:
        self.messages += 1
        self.payload_bytes += len(action.payload)
        for receiver in range(len(self._balancers)):
            if receiver != sender:
                self._schedule(now + DATAGRAM_MS, receiver, GossipReceived(sender, action.payload))


@measurement(
    "messages",
    "proxy",
    Series(
        "tells",
        "messages",
        f"gossip messages of the whole tier about one backend that fails for {FAILING_MS / 1000:.0f} s",
    ),
    Series("datagrams", "datagrams", "the same messages, counted once per receiver"),
    Series("datagrams-each", "datagrams", "the same messages, as received per proxy"),
    Series("tell-bytes", "bytes", "payload of the same messages, as received per proxy"),
)
def gossip_messages(parameters: RunParameters, size: int) -> Values:
    """Count the gossip messages of `size` proxies about one failing backend."""
    simulation = GossipSimulation(size, parameters.seed)
    simulation.run()
    receivers = size - 1
    return {
        "tells": float(simulation.messages),
        "datagrams": float(simulation.messages * receivers),
        "datagrams-each": simulation.messages * receivers / size,
        "tell-bytes": simulation.payload_bytes * receivers / size,
    }
