"""One of many proxies: few servers each, one limit on all in flight, evidence that counts for more."""

from __future__ import annotations

from collections import Counter

import pytest

from dunecove.policy.actions import Reject
from dunecove.policy.events import BackendListUpdate, ListUpdateKind, RequestArrived
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.settings import RequestClass
from tests.support import Driver, fleet, of, settings

MANY = {"proxy_count": 300, "zone_count": 2}


def zones(n: int) -> list[BackendInfo]:
    return [BackendInfo(f"10.0.{i % 2}.{i}:80", zone=i % 2) for i in range(n)]


def used(driver: Driver) -> set[str]:
    return {server for sends in driver.sends.values() for server in sends}


def test_it_keeps_to_a_few_servers_of_all_zones() -> None:
    """Hundreds of proxies with a connection to each server would fill its table (incident i02567f); one
    zone's proxies alone would carry too much for its servers or too little."""
    driver = Driver(settings(**MANY), *zones(40))
    for _ in range(200):
        driver.end(driver.arrive())
        driver.beat()
    assert len(used(driver)) <= 13 and {s.split(".")[2] for s in used(driver)} == {"0", "1"}


def test_a_zone_that_returns_cold_gets_its_part_from_proxies_of_other_zones_too() -> None:
    cold = {
        "slow_start_capacity": 0.16,
        "slow_start_ms": 24_000.0,
        "slow_start_overload_factor": 3.0,
        "slow_start_window_ms": 1000.0,
    }
    driver = Driver(settings(proxy_count=40, zone_count=2, zone=0, **cold), *zones(16))
    for _ in range(200):
        driver.end(driver.arrive(), after=10.0, delay=50.0)
        driver.beat(after=40.0)
    back = [s._replace(started_at=driver.now) for s in zones(16) if s.zone == 1]
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(back)))
    driver.sends.clear()
    for _ in range(200):
        driver.end(driver.arrive(), after=10.0, delay=50.0)
        driver.beat(after=40.0)
    cold_ones = sum(sent[0].split(".")[2] == "1" for sent in driver.sends.values())
    assert 10 <= cold_ones <= 80  # of 200, half of the servers being at a sixth to a half of their capacity


def test_the_few_are_spread_evenly_over_the_proxies() -> None:
    counts: Counter[str] = Counter()
    for me in range(100):
        driver = Driver(settings(proxy_index=me, **MANY), *fleet(20))
        counts.update(s.id for s in driver.balancer.backends.subset)
    assert len(counts) == 20 and max(counts.values()) < 1.5 * 40 and min(counts.values()) > 40 / 1.5


def test_the_few_stay_as_they_are_when_another_server_leaves() -> None:
    driver = Driver(settings(**MANY), *fleet(20))
    before = [s.id for s in driver.balancer.backends.subset]
    left = [s for s in fleet(20) if s.backend_id != before[0]]
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(left)))
    assert len({s.id for s in driver.balancer.backends.subset} & set(before)) == len(before) - 1


def test_another_zone_serves_when_the_own_one_fails() -> None:
    driver = Driver(settings(proxy_count=8, zone_count=2), *zones(8))
    first: list[str] = []
    for _ in range(100):
        request = driver.arrive()
        first.append(driver.sends[request][0])
        for attempt in range(4):
            if len(driver.sends[request]) > attempt:
                near = driver.sends[request][attempt].split(".")[2] == "0"
                driver.end(request, AttemptResult.CONNECT_FAILED if near else AttemptResult.OK, after=1.0)
        driver.beats(100)
    assert sum(s.split(".")[2] == "1" for s in first[60:]) > 15


def test_one_failure_of_a_server_seldom_used_is_remembered() -> None:
    driver = Driver(settings(proxy_count=8), *fleet(2))
    bad = driver.sends[driver.arrive()][0]
    driver.end("r0", AttemptResult.ERROR, done=True)
    for _ in range(10):
        driver.end(driver.arrive())
        driver.beats(200)
    later = [driver.sends[f"r{n}"][0] for n in range(1, 11)]
    assert later.count(bad) <= 3


def sends_to_one_that_fails(driver: Driver, bad: str, arrivals: int) -> int:
    """Of each three requests there it fails two, so that three in a row are rare."""
    sends = 0
    for _ in range(arrivals):
        request = driver.arrive()
        there = driver.sends[request][0] == bad
        sends += there
        fails = there and sends % 3 != 0
        driver.end(
            request, AttemptResult.ERROR if fails else AttemptResult.OK, after=10.0, done=True, delay=40.0
        )
        driver.beat(after=30.0)
    return sends


def test_a_server_that_fails_often_but_seldom_in_a_row_rests_while_others_take_its_place() -> None:
    driver = Driver(settings(proxy_count=40), *fleet(30))
    bad = driver.balancer.backends.subset[0]
    assert sends_to_one_that_fails(driver, bad.id, 250) <= 12  # an even share would be 20
    assert bad.ejection_ms > 1000.0  # and a success between two failures does not start its rests anew
    bad.ejected_until = driver.now + 3000.0
    driver.beats(1100)
    assert bad not in driver.balancer.backends.subset and len(driver.balancer.backends.subset) >= 8


def crowd(driver: Driver, n: int, delay: float) -> None:
    for _ in range(n):
        request = driver.arrive(wait=5000)
        driver.beats(1000)
        if request in driver.sends:
            driver.end(request, after=0.0, delay=delay)


def test_the_limit_on_all_in_flight_falls_when_answers_come_late_and_rises_again() -> None:
    driver = Driver(settings(RequestClass(300.0, 5000.0, late_weight=0.5), **MANY), *fleet(40))
    crowd(driver, 20, 50.0)
    calm = driver.balancer.in_flight.limit
    crowd(driver, 20, 290.0)
    crowded = driver.balancer.in_flight.limit
    crowd(driver, 60, 50.0)
    assert crowded < calm / 4 and driver.balancer.in_flight.limit > 2 * crowded


def test_work_of_uneven_size_is_not_taken_for_crowding() -> None:
    """A first answer of 5 ms made the usual ones, ten times as long, look late: the limit fell to nothing."""
    driver = Driver(settings(RequestClass(1000.0, 5000.0), proxy_count=40, zone_count=2), *fleet(20))
    crowd(driver, 1, 5.0)
    calm = driver.balancer.in_flight.limit
    for _ in range(40):
        crowd(driver, 3, 40.0)
        crowd(driver, 1, 600.0)
    assert driver.balancer.in_flight.limit >= calm


def test_two_that_come_together_after_idling_do_not_wait_for_each_other() -> None:
    driver = Driver(settings(**MANY), *fleet(40))
    crowd(driver, 10, 50.0)
    names = [driver.arrive(wait=5000), driver.arrive(wait=5000)]
    assert all(name in driver.sends for name in names)


def test_under_a_small_limit_a_burst_is_held() -> None:
    driver = Driver(settings(**MANY), *fleet(40))
    crowd(driver, 10, 50.0)
    driver.balancer.in_flight.limit = 0.1
    names = [driver.arrive(wait=5000) for _ in range(20)]
    assert 1 <= sum(name in driver.sends for name in names) <= 6


def test_larger_servers_are_drawn_more_often() -> None:
    servers = [BackendInfo(f"10.0.0.{i}:80", weight=3.0 if i % 2 else 1.0) for i in range(6)]
    driver = Driver(settings(proxy_count=8), *servers)
    for _ in range(400):
        driver.end(driver.arrive(), after=30.0)
        driver.beat()
    sent = Counter(int(s[0].split(".")[3].split(":")[0]) % 2 for s in driver.sends.values())
    assert sent[1] > 1.5 * sent[0]


@pytest.mark.parametrize("proxies", [50, 400])
def test_cold_budgets_of_many_proxies_do_not_come_due_together(proxies: int) -> None:
    """All hear of a new server at once; a first request of each at the same time would push it over."""
    cold = {
        "slow_start_capacity": 0.12,
        "slow_start_ms": 20_000.0,
        "slow_start_overload_factor": 2.5,
        "slow_start_window_ms": 2000.0,
    }
    times = []
    for me in range(proxies):
        driver = Driver(
            settings(proxy_count=proxies, proxy_index=me, **cold),
            BackendInfo("new:1", started_at=990.0),
            seed=me,
        )
        for _ in range(80):
            if driver.sends:
                times.append(driver.now)
                break
            driver.arrive(wait=100)
            driver.beat(after=50.0)
    assert len(times) <= proxies / 10 + 4


def test_chance_is_no_excess_of_a_tenant_that_a_proxy_sees_little_of() -> None:
    driver = Driver(settings(tenant_quotas=(300.0,), over_quota_weight=0.1, proxy_count=300), *fleet(9))
    balancer = driver.balancer
    driver.now += 10_000
    levels = [
        balancer.admission.priority_level(driver.now, balancer.settings.classes[0], 0) for _ in range(8)
    ]
    assert levels == [1] * 5 + [4] * 3


def test_an_empty_list_at_the_start_is_survived() -> None:
    driver = Driver(
        settings(RequestClass(300.0, 900.0), RequestClass(300.0, 900.0, priority_weight=0.1), **MANY)
    )
    driver.arrive(1)
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(fleet(40))))
    driver.beats(100)
    assert driver.sends[driver.arrive()]


def ask(driver: Driver, work: float, cls: int = 0) -> str:
    name = f"w{next(driver.ids)}"
    driver.last = driver.step(RequestArrived(name, cls, 0, None, driver.now + 2000.0, False, work))
    return name


def answers(driver: Driver, n: int, work: float, pace: float) -> None:
    for _ in range(n):
        driver.end(ask(driver, work), after=40.0, delay=work * pace)
        driver.beat(after=60.0)


def time_outs(driver: Driver, n: int, work: float) -> None:
    """On servers with room, so that nothing waits at the proxy."""
    for _ in range(n):
        request = ask(driver, work)
        if request in driver.sends:
            driver.end(request, AttemptResult.TIMEOUT, after=300.0, done=True)
        driver.beats(2000)


@pytest.mark.parametrize(("worth", "level"), [(5.0, 4), (10.0, 4)])
def test_of_many_time_outs_work_that_will_be_late_is_refused_first(worth: float, level: int) -> None:
    """A sparse proxy's buffer is empty while servers all proxies share are full: work that none of them
    could finish in time went on being sent, and kept others from finishing."""
    classes = (
        RequestClass(300.0, 2000.0, priority_weight=worth),
        RequestClass(300.0, 2000.0, priority_weight=10.0),
    )
    driver = Driver(settings(*classes, **MANY), *fleet(40))
    answers(driver, 20, 10.0, 2.0)
    assert driver.balancer.admission.priority_level(driver.now, classes[0], 0, 400.0) == level
    assert ask(driver, 400.0) in driver.sends  # no overload: why not try
    time_outs(driver, 8, 10.0)
    late = ask(driver, 400.0)
    assert late not in driver.sends and of(Reject, driver.last)
    assert ask(driver, 10.0) in driver.sends


def test_overload_is_over_once_answers_come_in_time_again() -> None:
    driver = Driver(settings(RequestClass(300.0, 2000.0), **MANY), *fleet(40))
    answers(driver, 20, 10.0, 2.0)
    time_outs(driver, 8, 10.0)
    answers(driver, 40, 10.0, 2.0)
    assert ask(driver, 400.0) in driver.sends


def test_one_of_many_learns_within_ten_outcomes_that_a_kind_has_slowed() -> None:
    driver = Driver(settings(RequestClass(300.0, 2000.0), **MANY), *fleet(40))
    answers(driver, 40, 40.0, 1.0)
    answers(driver, 10, 40.0, 4.0)
    assert 2.0 < driver.balancer.latencies.work_rates[0] < 4.0


def test_a_time_out_shows_that_a_kind_is_at_least_so_slow() -> None:
    driver = Driver(settings(RequestClass(300.0, 2000.0), **MANY), *fleet(40))
    answers(driver, 40, 40.0, 1.0)
    time_outs(driver, 10, 75.0)
    slowed = driver.balancer.latencies.work_rates[0]
    assert slowed > 2.0
    time_outs(driver, 3, 2000.0)  # a short wait for long work says nothing
    assert driver.balancer.latencies.work_rates[0] >= slowed


def test_what_takes_most_of_its_aim_on_the_fastest_kind_is_taken_for_late_by_one_of_many_only() -> None:
    spec = RequestClass(300.0, 2000.0)
    for proxies, level in ((300, 4), (3, 1)):
        driver = Driver(settings(spec, proxy_count=proxies), *fleet(40))
        answers(driver, 60, 40.0, 1.0)
        assert driver.balancer.admission.priority_level(driver.now, spec, 0, 220.0) == level
        assert driver.balancer.admission.priority_level(driver.now, spec, 0, 120.0) == 1


@pytest.mark.parametrize(
    ("result", "delay", "times"),
    [(AttemptResult.TIMEOUT, 650.0, 1), (AttemptResult.CONNECT_FAILED, 150.0, 2)],
)
def test_a_server_that_hangs_does_not_use_up_the_limit_on_all_in_flight(
    result: AttemptResult, delay: float, times: int
) -> None:
    """Time spent on a silent one was counted as load: the next half second waited beside idle servers."""
    driver = Driver(settings(RequestClass(900.0, 5000.0), **MANY), *fleet(40))
    crowd(driver, 20, 40.0)
    driver.balancer.in_flight.limit = 1.0
    driver.beats(1000)
    for _ in range(times):
        driver.end(driver.arrive(wait=5000), result, after=0.0, delay=delay, done=True)
    assert driver.arrive(wait=5000) in driver.sends


def test_answers_that_all_take_long_do_use_it_up() -> None:
    driver = Driver(settings(RequestClass(900.0, 5000.0), **MANY), *fleet(40))
    crowd(driver, 60, 400.0)
    driver.balancer.in_flight.limit = 0.5
    sent = []
    for _ in range(20):
        request = driver.arrive(wait=5000)
        sent.append(request in driver.sends)
        if sent[-1]:
            driver.end(request, after=0.0, delay=400.0)
    assert 1 <= sum(sent) <= 6


def test_with_little_traffic_one_of_many_keeps_to_few_servers_and_with_more_to_more() -> None:
    """Spread over a dozen, the few requests of one of hundreds teach it next to nothing of any."""
    driver = Driver(settings(**MANY), *fleet(60))
    assert len(driver.balancer.backends.subset) <= 8
    driver.balancer.in_flight.limit = 9.0
    driver.beats(1100)
    assert len(driver.balancer.backends.subset) == 20
