"""What the proxies of a tier tell one another of one bad backend: all tell all. Modules alone, on one made-up
clock, so that the same seed gives the same counts."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count
from random import Random

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
from scale import made
from scale.measures import Plan, Series, Values, measure

BACKENDS = 20
EACH_MS = 100.0  # between two requests that come to one proxy
GOOD_MS, BAD_MS = 1000.0, 3000.0  # all backends serve, then one refuses every connection
ANSWER_MS, REFUSED_MS, WAY_MS = 20.0, 1.0, 1.0  # until an answer, a refusal, a datagram
BAD = made.uid(0)


@measure(
    "messages",
    "proxy",
    Series(
        "tells", "messages", f"told by the whole tier of one backend that fails for {BAD_MS / 1000:.0f} s"
    ),
    Series("datagrams", "datagrams", "the same, with each receiver counted"),
    Series("datagrams-each", "datagrams", "the same, as one proxy receives them"),
    Series("tell-bytes", "bytes", "of the content of those messages, as one proxy receives them"),
)
def messages(plan: Plan, size: int) -> Values:
    rng, order = Random(plan.seed), count()
    modules = [
        Balancer(read_settings(made.settings(size, deadline_ms=1000) | {"Me": number}), plan.seed + number)
        for number in range(size)
    ]
    due: list[tuple[float, int, int, Event]] = []
    end = GOOD_MS + BAD_MS
    for me in range(size):
        heappush(
            due, (0.0, next(order), me, BackendListUpdate(ListUpdateKind.SNAPSHOT, made.infos(BACKENDS)))
        )
        at = 1 + rng.random() * EACH_MS
        while at < end:
            heappush(due, (at, next(order), me, RequestArrived(f"r{me}-{at:.3f}", 0, 0, None, at + 1000)))
            at += EACH_MS
    told = octets = 0
    sent: dict[str, int] = {}
    while due and due[0][0] < end:
        now, _, me, event = heappop(due)
        for action in modules[me].step(now, [event]):
            if isinstance(action, Forward):
                attempt = sent.get(action.request_id, 0)
                sent[action.request_id] = attempt + 1
                bad = action.backend_id == BAD and now >= GOOD_MS
                result, delay = (
                    (AttemptResult.CONNECT_FAILED, REFUSED_MS) if bad else (AttemptResult.OK, ANSWER_MS)
                )
                outcome = AttemptEnded(action.request_id, attempt, result, delay, not bad)
                heappush(due, (now + delay, next(order), me, outcome))
            elif isinstance(action, SetTimer):
                heappush(due, (now + action.delay_ms, next(order), me, TimerFired(action.token)))
            elif isinstance(action, SendGossip):
                told, octets = told + 1, octets + len(action.payload)
                for peer in range(size):
                    if peer != me:
                        heappush(due, (now + WAY_MS, next(order), peer, GossipReceived(me, action.payload)))
    return {
        "tells": float(told),
        "datagrams": float(told * (size - 1)),
        "datagrams-each": told * (size - 1) / size,
        "tell-bytes": octets * (size - 1) / size,
    }
