"""Processor time of the decision module alone, by events through `Balancer.step`."""

from __future__ import annotations

from collections import deque
from itertools import count

from dunecove.policy.actions import Forward
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind, RequestArrived
from dunecove.policy.events import TimerFired as Beat
from dunecove.policy.models import AttemptResult, BackendInfo, BackendState
from dunecove.wire.settings import read_settings
from scale import made
from scale.measures import Plan, Series, Trouble, Values, measure, spent_ms

BEAT_MS = 25.0
FEW = 3  # proxies, with which the module chooses among all backends
CHANGES = 5  # so many are measured together
SCANNED = 2_000_000  # backends looked at by the requests of one run, so that the largest lists end in time
START = 1000.0  # ms on the module's clock


def balancer(plan: Plan, size: int, proxies: int = 0) -> Balancer:
    """One that holds a list of `size` backends."""
    made_one = Balancer(read_settings(made.settings(proxies or plan.proxies, deadline_ms=1000)), plan.seed)
    made_one.step(START, [BackendListUpdate(ListUpdateKind.SNAPSHOT, made.infos(size))])
    return made_one


@measure(
    "list",
    "backend",
    Series("list-first", "ms", "the module takes over a whole list, knowing nothing before"),
    Series("list-again", "ms", "the module takes over the same whole list once more"),
)
def whole_list(plan: Plan, size: int) -> Values:
    fresh = Balancer(read_settings(made.settings(plan.proxies)), plan.seed)
    event = BackendListUpdate(ListUpdateKind.SNAPSHOT, made.infos(size))
    first = spent_ms(lambda: fresh.step(START, [event]))
    return {"list-first": first, "list-again": spent_ms(lambda: fresh.step(START + 1, [event]))}


@measure("change", "backend", Series("change", "ms", "the module takes a change of two entries"))
def change(plan: Plan, size: int) -> Values:
    module = balancer(plan, size)
    events = [
        BackendListUpdate(
            ListUpdateKind.DELTA,
            (BackendInfo(made.uid(n), BackendState.DRAINING), BackendInfo(made.uid(size + n))),
        )
        for n in range(CHANGES)
    ]
    return {
        "change": spent_ms(lambda: [module.step(START + 1 + n, [e]) for n, e in enumerate(events)]) / CHANGES
    }


@measure("beats", "backend", Series("beats", "ms", "a second of the module at rest: 40 beats"))
def beats(plan: Plan, size: int) -> Values:
    module = balancer(plan, size)

    def second(start: float) -> None:
        for number in range(1, 41):
            module.step(start + number * BEAT_MS, [Beat(0)])

    second(START)
    return {"beats": spent_ms(lambda: second(START + 1000))}


@measure(
    "weights", "backend", Series("weights", "ms", "all backends' live weights change, in one list event")
)
def weights(plan: Plan, size: int) -> Values:
    module = balancer(plan, size)
    event = BackendListUpdate(ListUpdateKind.DELTA, made.infos(size, 1.25))
    return {"weights": spent_ms(lambda: module.step(START + 1, [event]))}


def request_us(module: Balancer, requests: int) -> float:
    now, number = START, count()

    def one(_: int) -> None:
        nonlocal now
        now += 200  # one at a time, so that no limit holds it back
        name = f"r{next(number)}"
        actions = module.step(now, [RequestArrived(name, 0, 0, None, now + 1000)])
        if not any(isinstance(action, Forward) for action in actions):
            raise Trouble("the module holds a lone request back")
        now += 20
        module.step(now, [AttemptEnded(name, 0, AttemptResult.OK, 20.0, True)])

    for warm in range(min(requests, 50)):
        one(warm)
    return spent_ms(lambda: deque(map(one, range(requests)), 0)) / requests * 1000


def requests_for(size: int) -> int:
    return max(20, min(1000, SCANNED // size))


@measure(
    "request",
    "backend",
    Series("request", "us", "a request through the module: arrival, send, outcome; one of --proxies"),
)
def request(plan: Plan, size: int) -> Values:
    return {"request": request_us(balancer(plan, size), requests_for(size))}


@measure(
    "request-few",
    "backend",
    Series("request-few", "us", f"the same, one of {FEW} proxies: the choice is among all backends"),
)
def request_few(plan: Plan, size: int) -> Values:
    return {"request-few": request_us(balancer(plan, size, FEW), requests_for(size))}
