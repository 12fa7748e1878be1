"""The requests that a cold backend gets while it warms up."""

from __future__ import annotations

import pytest

from dunecove.policy.events import (
    BackendListUpdate,
    ListUpdateKind,
)
from dunecove.policy.models import BackendInfo
from tests.policy.helpers import make_backends_in_two_zones
from tests.support import Driver, make_backends, make_settings

COLD = {
    "slow_start_capacity": 0.12,
    "slow_start_ms": 20_000.0,
    "slow_start_overload_factor": 3.0,
    "slow_start_window_ms": 2000.0,
}


def test_cold_zone_gets_its_share_also_from_proxies_of_other_zones() -> None:
    cold = {
        "slow_start_capacity": 0.16,
        "slow_start_ms": 24_000.0,
        "slow_start_overload_factor": 3.0,
        "slow_start_window_ms": 1000.0,
    }
    driver = Driver(
        make_settings(proxy_count=40, zone_count=2, zone=0, **cold), *make_backends_in_two_zones(16)
    )
    for _ in range(200):
        driver.end_attempt(driver.send_request(), elapsed_ms=10.0, latency_ms=50.0)
        driver.tick(elapsed_ms=40.0)
    restarted = [
        backend._replace(started_at=driver.now)
        for backend in make_backends_in_two_zones(16)
        if backend.zone == 1
    ]
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(restarted)))
    driver.forwards.clear()
    for _ in range(200):
        driver.end_attempt(driver.send_request(), elapsed_ms=10.0, latency_ms=50.0)
        driver.tick(elapsed_ms=40.0)
    cold_count = sum(backend_ids[0].split(".")[2] == "1" for backend_ids in driver.forwards.values())
    assert 10 <= cold_count <= 80  # of 200; half of the backends have a sixth to a half of their capacity


@pytest.mark.parametrize("proxy_count", [50, 400])
def test_first_requests_of_many_proxies_to_cold_backend_are_spread(proxy_count: int) -> None:
    """All proxies learn of a new backend at once; a first request from each at once would overload it."""
    cold = {
        "slow_start_capacity": 0.12,
        "slow_start_ms": 20_000.0,
        "slow_start_overload_factor": 2.5,
        "slow_start_window_ms": 2000.0,
    }
    times = []
    for proxy_index in range(proxy_count):
        driver = Driver(
            make_settings(proxy_count=proxy_count, proxy_index=proxy_index, **cold),
            BackendInfo("new:1", started_at=990.0),
            seed=proxy_index,
        )
        for _ in range(80):
            if driver.forwards:
                times.append(driver.now)
                break
            driver.send_request(timeout_ms=100)
            driver.tick(elapsed_ms=50.0)
    assert len(times) <= proxy_count / 10 + 4


def forwards_to(backend_id: str, drivers: list[Driver]) -> int:
    return sum(
        forwarded_id == backend_id
        for driver in drivers
        for backend_ids in driver.forwards.values()
        for forwarded_id in backend_ids
    )


@pytest.mark.parametrize("split", [(1, 1, 1), (1, 0, 0), (4, 1, 1)])
def test_total_budget_stays_within_capacity_for_any_traffic_split(split: tuple[int, ...]) -> None:
    """A cold backend can serve at least its current fraction of the 10 requests per second of a warm one."""
    settings = make_settings(proxy_count=3, **COLD)
    drivers = [Driver(settings, *make_backends(4), seed=seed) for seed in range(3)]
    elapsed_ms = 1000.0 / 40.0 * sum(split)
    sent: list[tuple[float, int]] = []
    for tick in range(400):
        for driver, weight in zip(drivers, split, strict=True):
            if tick == 200:
                driver.step(
                    BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo("new:1", started_at=driver.now),))
                )
            for _ in range(weight):
                driver.end_attempt(driver.send_request(), elapsed_ms=0.0, latency_ms=20.0)
            driver.tick(elapsed_ms=elapsed_ms)
        sent.append((drivers[0].now, forwards_to("new:1", drivers)))
    start = sent[200][0]
    for now, count in sent[200:]:
        count_before = max((sent_count for time, sent_count in sent if time <= now - 2000), default=0)
        capacity = 0.12 + 0.88 * max(0.0, now - 2000 - start) / 20_000
        # 3: the overload rule's tolerance for random variation.
        assert count - count_before <= 3 * capacity * 10 * 2 + 3
    assert sent[-1][1] > 3


def test_cold_backend_gets_few_requests_before_any_observation() -> None:
    driver = Driver(make_settings(proxy_count=2, **COLD), BackendInfo("new:1", started_at=900.0))
    for _ in range(40):
        driver.send_request(timeout_ms=5000)
        for request_id in list(driver.forwards):
            driver.end_attempt(request_id, elapsed_ms=0.0)
        driver.tick(elapsed_ms=50.0)
    assert forwards_to("new:1", [driver]) <= 3


def test_restarted_backend_is_cold_and_its_learned_state_is_reset() -> None:
    driver = Driver(make_settings(**COLD), *make_backends(2))
    backend = driver.balancer.backends.active[0]
    backend.limit, backend.payoff = 9.0, 0.1
    driver.step(
        BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo("10.0.0.0:80", started_at=driver.now - 5),))
    )
    assert backend.limit <= 1 and backend.payoff == 1.0
    assert not backend.has_capacity(driver.now)
