"""Tests of the choice of a backend."""

from __future__ import annotations

from collections import Counter

import pytest

from dunecove.policy.events import RequestArrived
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.settings import RequestClass
from tests.support import Driver, make_backends, make_settings


def test_backend_with_the_higher_payoff_is_chosen() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    worse, better = driver.balancer.backends.active
    worse.payoff, worse.outcome_count, better.outcome_count = 0.2, 50.0, 50.0
    driver.send_request()
    assert list(driver.forwards.values()) == [[better.id]]


def test_exploration_bonus_favours_a_backend_without_recent_outcomes() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    idle, busy = driver.balancer.backends.active
    driver.balancer.bandit.outcome_count = 200.0
    idle.payoff, idle.outcome_count, busy.outcome_count = 0.8, 0.0, 100.0
    driver.send_request()
    assert list(driver.forwards.values()) == [[idle.id]]


def test_tie_goes_to_the_backend_with_fewer_requests_in_flight() -> None:
    driver = Driver(make_settings(), *make_backends(2))
    used = driver.forwards[driver.send_request()][0]
    assert driver.forwards[driver.send_request()][0] != used


def test_outcome_is_one_within_the_objective_and_zero_if_late_or_failed() -> None:
    driver = Driver(make_settings(), *make_backends(1))
    backend = driver.balancer.backends.active[0]
    backend.payoff = 0.5
    driver.end_attempt(driver.send_request(), elapsed_ms=299)
    assert backend.payoff == pytest.approx(0.55)
    driver.end_attempt(driver.send_request(), elapsed_ms=301)
    assert backend.payoff == pytest.approx(0.495)
    driver.end_attempt(driver.send_request(), AttemptResult.ERROR)
    assert backend.payoff == pytest.approx(0.4455)


def test_all_proxies_choose_the_same_two_backends_for_an_affinity_key() -> None:
    used: dict[int, set[str]] = {}
    for seed in range(6):
        driver = Driver(make_settings(key_affinity=True), *make_backends(9), seed=seed)
        for key in range(20):
            request_id = driver.send_request(affinity_key=key)
            used.setdefault(key, set()).update(driver.forwards[request_id])
            driver.end_attempt(request_id)
    assert all(len(backends) <= 2 for backends in used.values())
    assert len({frozenset(pair) for pair in used.values()}) > 5


def fraction_sent_to_slow_kind(
    driver: Driver, kinds: dict[str, int], work_hint_ms: float, count: int = 60
) -> float:
    """Return the fraction of requests with this hint that are sent to kind 1, the slow one."""
    slow_count = 0
    for _ in range(count):
        request_id = f"h{next(driver.request_ids)}"
        driver.step(RequestArrived(request_id, 0, 0, None, driver.now + 900, False, work_hint_ms))
        kind = kinds[driver.forwards[request_id][0]]
        slow_count += kind
        driver.end_attempt(
            request_id, elapsed_ms=30.0, latency_ms=(min(work_hint_ms, 30.0) or 30.0) * (1 + kind)
        )
    return slow_count / count


def learn_work_rates(driver: Driver, kinds: dict[str, int]) -> None:
    for _ in range(200):
        request_id = f"l{next(driver.request_ids)}"
        driver.step(RequestArrived(request_id, 0, 0, None, driver.now + 900, False, 20.0))
        driver.end_attempt(
            request_id, elapsed_ms=30.0, latency_ms=20.0 + 20.0 * kinds[driver.forwards[request_id][0]]
        )


@pytest.mark.parametrize("proxy_count", [3, 40])
def test_work_too_large_for_a_slow_kind_goes_to_a_fast_kind(proxy_count: int) -> None:
    backends = [BackendInfo(f"10.0.0.{i}:80", kind=i % 2) for i in range(12)]
    kinds = {backend.backend_id: backend.kind for backend in backends}
    driver = Driver(make_settings(RequestClass(300.0, 900.0), proxy_count=proxy_count), *backends)
    learn_work_rates(driver, kinds)
    assert fraction_sent_to_slow_kind(driver, kinds, 20.0) > 0.2  # both kinds finish short work in time
    assert fraction_sent_to_slow_kind(driver, kinds, 90.0) == 0.0
    # This work is late on both kinds, but less so on the fast one.
    assert fraction_sent_to_slow_kind(driver, kinds, 5000.0) == 0.0
    assert fraction_sent_to_slow_kind(driver, kinds, 0.0) > 0.2  # no hint


def test_few_fast_backends_do_not_get_all_large_work() -> None:
    backends = [BackendInfo(f"10.0.0.{i}:80", kind=min(i, 1)) for i in range(12)]
    kinds = {backend.backend_id: backend.kind for backend in backends}
    driver = Driver(make_settings(RequestClass(300.0, 900.0)), *backends)
    learn_work_rates(driver, kinds)
    assert fraction_sent_to_slow_kind(driver, kinds, 90.0) > 0.5


def test_failure_of_a_rarely_used_backend_lowers_its_share_of_requests() -> None:
    driver = Driver(make_settings(proxy_count=8), *make_backends(2))
    failed = driver.forwards[driver.send_request()][0]
    driver.end_attempt("r0", AttemptResult.ERROR, request_finished=True)
    for _ in range(10):
        driver.end_attempt(driver.send_request())
        driver.run_ticks(200)
    chosen = [driver.forwards[f"r{count}"][0] for count in range(1, 11)]
    assert chosen.count(failed) <= 3


def test_backends_with_a_higher_weight_are_chosen_more_often() -> None:
    backends = [BackendInfo(f"10.0.0.{i}:80", weight=3.0 if i % 2 else 1.0) for i in range(6)]
    driver = Driver(make_settings(proxy_count=8), *backends)
    for _ in range(400):
        driver.end_attempt(driver.send_request(), elapsed_ms=30.0)
        driver.tick()
    sent = Counter(
        int(backend_ids[0].split(".")[3].split(":")[0]) % 2 for backend_ids in driver.forwards.values()
    )
    assert sent[1] > 1.5 * sent[0]
