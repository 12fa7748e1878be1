"""Measures the processor time of the balancer alone, by calls of `Balancer.step`."""

from __future__ import annotations

from dunecove.policy.actions import Forward
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import AttemptEnded, BackendListUpdate, ListUpdateKind, RequestArrived, TimerFired
from dunecove.policy.models import AttemptResult, BackendInfo, BackendState
from dunecove.wire.settings import read_settings
from scale import synthetic
from scale.measurement import (
    MeasurementError,
    RunParameters,
    Series,
    Values,
    cpu_time_ms,
    measurement,
)

TICK_MS = 25.0
TICKS_PER_SECOND = 40
FEW_PROXIES = 3  # tier size at which the balancer selects among all backends
DELTA_COUNT = 5  # deltas over which the processor time is averaged
MAX_SCANNED_BACKENDS = 2_000_000  # requests times backends; limits the number of requests for a long list
WARM_UP_REQUESTS = 50
START_MS = 1000.0  # time of the first step on the balancer's clock
REQUEST_INTERVAL_MS = 200  # from a response to the next request; only one is in flight, so no limit delays it
RESPONSE_MS = 20
DEADLINE_MS = 1000


def create_balancer(seed: int, size: int, proxies: int) -> Balancer:
    """Return the balancer of one of `proxies` proxies, with `size` backends."""
    balancer = Balancer(read_settings(synthetic.settings(proxies, deadline_ms=DEADLINE_MS)), seed)
    balancer.step(START_MS, [BackendListUpdate(ListUpdateKind.SNAPSHOT, synthetic.backend_infos(size))])
    return balancer


@measurement(
    "list",
    "backend",
    Series("list-first", "ms", "the balancer, without backends, applies a snapshot"),
    Series("list-again", "ms", "the balancer applies the same snapshot again"),
)
def snapshot_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure applying a snapshot, and applying the same snapshot again."""
    balancer = Balancer(read_settings(synthetic.settings(parameters.proxies)), parameters.seed)
    update = BackendListUpdate(ListUpdateKind.SNAPSHOT, synthetic.backend_infos(size))
    return {
        "list-first": cpu_time_ms(lambda: balancer.step(START_MS, [update])),
        "list-again": cpu_time_ms(lambda: balancer.step(START_MS + 1, [update])),
    }


@measurement("change", "backend", Series("change", "ms", "the balancer applies a delta of two entries"))
def delta_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure a delta in which one backend is draining and one is new."""
    balancer = create_balancer(parameters.seed, size, parameters.proxies)
    updates = [
        BackendListUpdate(
            ListUpdateKind.DELTA,
            (
                BackendInfo(synthetic.backend_id(number), BackendState.DRAINING),
                BackendInfo(synthetic.backend_id(size + number)),
            ),
        )
        for number in range(DELTA_COUNT)
    ]

    def apply_updates() -> None:
        for number, update in enumerate(updates):
            balancer.step(START_MS + 1 + number, [update])

    return {"change": cpu_time_ms(apply_updates) / DELTA_COUNT}


@measurement("beats", "backend", Series("beats", "ms", "one second of an idle balancer: 40 ticks"))
def idle_second_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure the ticks of one second without requests."""
    balancer = create_balancer(parameters.seed, size, parameters.proxies)

    def run_second(start_ms: float) -> None:
        for number in range(1, TICKS_PER_SECOND + 1):
            balancer.step(start_ms + number * TICK_MS, [TimerFired(0)])

    run_second(START_MS)
    return {"beats": cpu_time_ms(lambda: run_second(START_MS + 1000))}


@measurement(
    "weights", "backend", Series("weights", "ms", "one delta changes the live weights of all backends")
)
def weights_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure a delta that updates the weight of each backend."""
    balancer = create_balancer(parameters.seed, size, parameters.proxies)
    update = BackendListUpdate(ListUpdateKind.DELTA, synthetic.backend_infos(size, 1.25))
    return {"weights": cpu_time_ms(lambda: balancer.step(START_MS + 1, [update]))}


class RequestDriver:
    """Runs requests through a balancer, one at a time."""

    def __init__(self, balancer: Balancer) -> None:
        self._balancer = balancer
        self._now_ms = START_MS
        self._sent = 0

    def run(self, requests: int) -> None:
        """Run `requests` requests; raise MeasurementError if one is not forwarded at once."""
        for _ in range(requests):
            self._send_one()

    def _send_one(self) -> None:
        self._now_ms += REQUEST_INTERVAL_MS
        request_id = f"r{self._sent}"
        self._sent += 1
        arrival = RequestArrived(request_id, 0, 0, None, self._now_ms + DEADLINE_MS)
        actions = self._balancer.step(self._now_ms, [arrival])
        if not any(isinstance(action, Forward) for action in actions):
            raise MeasurementError("the balancer did not forward the only request in flight at once")
        self._now_ms += RESPONSE_MS
        outcome = AttemptEnded(request_id, 0, AttemptResult.OK, float(RESPONSE_MS), True)
        self._balancer.step(self._now_ms, [outcome])


def request_cpu_us(parameters: RunParameters, size: int, proxies: int) -> float:
    """Return the processor time (us) per request with `size` backends."""
    driver = RequestDriver(create_balancer(parameters.seed, size, proxies))
    requests = max(20, min(1000, MAX_SCANNED_BACKENDS // size))
    driver.run(min(requests, WARM_UP_REQUESTS))
    return cpu_time_ms(lambda: driver.run(requests)) / requests * 1000


@measurement(
    "request",
    "backend",
    Series(
        "request", "us", "a request in the balancer of one of --proxies proxies: arrival, forward, outcome"
    ),
)
def request_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure a request in a large tier, in which each proxy has a subset of the backends."""
    return {"request": request_cpu_us(parameters, size, parameters.proxies)}


@measurement(
    "request-few",
    "backend",
    Series(
        "request-few",
        "us",
        f"a request in the balancer of one of {FEW_PROXIES} proxies, which selects among all backends",
    ),
)
def request_cpu_few_proxies(parameters: RunParameters, size: int) -> Values:
    """Measure a request in a small tier, in which each proxy selects among all backends."""
    return {"request-few": request_cpu_us(parameters, size, FEW_PROXIES)}
