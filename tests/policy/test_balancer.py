"""The ordinary path: buffer, gate, detector, levels, shedding, pick."""

from __future__ import annotations

from typing import Any

import pytest

from dunecove.policy.actions import Fail, Forward, Reject
from dunecove.policy.backend import Backend
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import AttemptEnded, RequestArrived
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.overload_detector import OverloadDetector
from dunecove.policy.request_queue import RequestQueue
from dunecove.policy.settings import RequestClass, Settings
from tests.support import Driver, fleet, of, settings


def test_nothing_waits_beside_an_idle_ready_server() -> None:
    driver = Driver(settings(), *fleet(1))
    driver.arrive()
    assert [s.backend_id for s in of(Forward, driver.last)] == ["10.0.0.0:80"]


def test_gate_holds_beyond_the_limit_and_a_freed_slot_takes_the_head() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(1))
    first, second, third = driver.arrive(), driver.arrive(), driver.arrive()
    assert list(driver.sends) == [first]
    assert [s.request_id for s in of(Forward, driver.end(first))] == [second]
    assert third not in driver.sends


def test_slot_goes_to_the_head_that_waited_the_largest_part_of_its_aim() -> None:
    classes = (RequestClass(1000.0, 3000.0), RequestClass(200.0, 3000.0))
    driver = Driver(settings(*classes, proxy_count=4), *fleet(1))
    first = driver.arrive(0)
    driver.now += 5
    older = driver.arrive(0, wait=3000)
    driver.now += 10
    pressed = driver.arrive(1, wait=3000)
    assert [s.request_id for s in of(Forward, driver.end(first))] == [pressed]
    assert older not in driver.sends


def test_pick_takes_the_higher_payoff() -> None:
    driver = Driver(settings(), *fleet(2))
    bad, good = driver.balancer.backends.active
    bad.payoff, bad.outcome_count, good.outcome_count = 0.2, 50.0, 50.0
    driver.arrive()
    assert list(driver.sends.values()) == [[good.id]]


def test_bonus_tries_a_server_without_recent_outcomes_again() -> None:
    driver = Driver(settings(), *fleet(2))
    idle, busy = driver.balancer.backends.active
    driver.balancer.bandit.outcome_count = 200.0
    idle.payoff, idle.outcome_count, busy.outcome_count = 0.8, 0.0, 100.0
    driver.arrive()
    assert list(driver.sends.values()) == [[idle.id]]


def test_ties_go_to_fewer_in_flight() -> None:
    driver = Driver(settings(), *fleet(2))
    used = driver.sends[driver.arrive()][0]
    assert driver.sends[driver.arrive()][0] != used


def test_payoff_is_one_inside_the_aim_and_zero_for_late_or_failed() -> None:
    driver = Driver(settings(), *fleet(1))
    server = driver.balancer.backends.active[0]
    server.payoff = 0.5
    driver.end(driver.arrive(), after=299)
    assert server.payoff == pytest.approx(0.55)
    driver.end(driver.arrive(), after=301)
    assert server.payoff == pytest.approx(0.495)
    driver.end(driver.arrive(), AttemptResult.ERROR)
    assert server.payoff == pytest.approx(0.4455)


def stuck(*classes: RequestClass, **more: Any) -> Driver:
    """One request at the only server, one held that can wait for long."""
    driver = Driver(settings(*classes, proxy_count=4, **more), *fleet(1))
    driver.arrive(0)
    driver.arrive(0, wait=100_000)
    return driver


def queue_with_waits(*waits: float) -> tuple[RequestQueue, float]:
    driver = stuck()
    queue, now = driver.balancer.queues[0], driver.now
    detector = queue.detector
    detector.min_wait_ms, detector.previous_min_wait_ms, detector.send_count = 0.0, 0.0, 0
    for wait in waits:
        now += 20
        queue.detector.record_send(now, wait)
    return queue, now


def test_flag_follows_the_least_wait_of_the_window() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    assert queue.overload_ratio(now) > 1
    queue.detector.record_send(now + 1, 0.0)  # one immediate send is enough: no standing queue
    assert queue.overload_ratio(now + 1) == 0


def test_a_thin_window_does_not_flip_the_flag() -> None:
    queue, now = queue_with_waits(0.0, 60.0, 60.0)
    assert queue.overload_ratio(now) < 1


def test_a_stuck_queue_counts_by_the_age_of_its_head() -> None:
    queue, now = queue_with_waits(*[0.0] * 20)
    assert queue.overload_ratio(now + 200) > 1


def test_an_old_window_does_not_flag_an_empty_buffer() -> None:
    queue, now = queue_with_waits(*[60.0] * 20)
    head = queue.head()
    assert head is not None
    head.is_queued = False
    assert queue.overload_ratio(now + 5) == 0


def test_levels_come_from_worth_and_share() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (12.0, 7.0, 4.0, 1.0))
    balancer = Balancer(settings(*classes, tenant_quotas=(2.0,), over_quota_weight=0.05, proxy_count=2), 1)
    assert [balancer.admission.priority_level(0.0, c, 5) for c in classes] == [1, 2, 3, 4]
    assert [balancer.admission.priority_level(1.0, classes[0], 0) for _ in range(3)] == [1, 4, 4]
    assert balancer.admission.priority_level(2001.0, classes[0], 0) == 1  # a second's quota has come in


@pytest.mark.parametrize(("cls", "answer"), [(0, None), (1, None), (3, Reject)])
def test_under_the_flag_only_low_levels_are_refused(cls: int, answer: type | None) -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (12.0, 7.0, 4.0, 1.0))
    driver = stuck(*classes, sends_retry_after=True, max_retry_after_ms=500)
    driver.now += 160  # stuck longer than a window
    driver.arrive(cls)
    refused = of(Reject, driver.last)
    assert bool(refused) == (answer is Reject)
    if refused:
        assert 0 < refused[0].retry_after_ms <= 500


def test_level_three_is_refused_less_readily_than_four() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (12.0, 4.0, 1.0))
    counts = {}
    for cls in (1, 2):
        driver = stuck(*classes)
        queue = driver.balancer.queues[0]
        for _ in range(9):
            driver.now += 20
            queue.detector.record_send(driver.now, 1.5 * 0.08 * 300)
        counts[cls] = sum(bool(of(Reject, driver.last)) for _ in range(20) if driver.arrive(cls))
    assert counts == {1: 0, 2: 20}


def test_half_the_best_worth_is_shed_under_a_long_wait_and_the_best_is_not() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (10.0, 5.0))
    counts = {}
    for cls in (0, 1):
        driver = stuck(*classes)
        queue = driver.balancer.queues[0]
        for _ in range(9):
            driver.now += 20
            queue.detector.record_send(driver.now, 6.5 * 0.08 * 300)
        counts[cls] = sum(bool(of(Reject, driver.last)) for _ in range(20) if driver.arrive(cls))
    assert counts == {0: 0, 1: 20}


def test_the_flag_is_per_queue() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(500.0, 900.0, priority_weight=1.0),
    )
    driver = stuck(*classes)
    driver.now += 160
    driver.arrive(1)
    assert not of(Reject, driver.last)


def test_a_request_that_cannot_be_useful_is_failed_while_held() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(1))
    driver.arrive()
    held = driver.arrive()
    assert [f.request_id for f in of(Fail, driver.beats(325))] == [held]


def test_a_request_never_sent_is_given_up_before_half_its_wait() -> None:
    # Told later, its client has no time for another try, and nothing was ever done for it.
    driver = Driver(settings(RequestClass(5000.0, 9000.0), proxy_count=4), *fleet(1))
    driver.arrive(wait=1000)
    held = driver.arrive(wait=1000)
    assert not of(Fail, driver.beats(400))
    assert [f.request_id for f in of(Fail, driver.beats(75))] == [held]


def test_level_four_is_let_in_beside_an_empty_buffer_unless_the_flag_keeps_returning() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(300.0, 900.0, priority_weight=1.0),
    )
    for release, refused in ((0.5, False), (4.0, True)):
        driver = Driver(settings(*classes), *fleet(40))
        driver.balancer.queues[0].detector.overloaded_at = driver.now
        driver.balancer.queues[0].detector.release_objectives = release
        driver.arrive(1)
        assert bool(of(Reject, driver.last)) is refused


def test_a_late_answer_is_waited_for_only_without_overload() -> None:
    spec = RequestClass(300.0, 1000.0, late_weight=0.3)
    driver = Driver(settings(spec, proxy_count=4), *fleet(1))
    first, held = driver.arrive(), driver.arrive()
    driver.balancer.queues[0].overload_ratio = lambda now: 0.0  # type: ignore[method-assign]
    assert not of(Fail, driver.beats(400))
    driver.balancer.queues[0].overload_ratio = lambda now: 2.0  # type: ignore[method-assign]
    assert [f.request_id for f in of(Fail, driver.beats(75))] == [held]
    assert first in driver.sends


def limit_after(latencies: list[float], proxies: int, aim: float = 1000.0, start: float = 4.0) -> float:
    server = Backend(fleet(1)[0], proxies)
    server.limit = start
    for latency in latencies:
        server.peak_in_flight = max(server.peak_in_flight, int(max(1, server.limit)))
        server.record_latency(latency, latency / aim)
    return server.limit


def test_limit_grows_while_answers_are_quick_and_shrinks_when_they_queue() -> None:
    assert limit_after([50.0] * 100, 2) > 8
    assert limit_after([50.0] * 20 + [200.0] * 200, 2) < 4


def test_limit_is_shared_over_the_proxies_and_may_fall_below_one() -> None:
    assert 2 / 6 <= limit_after([50.0] * 20 + [300.0] * 200, 6, start=1.0) < 1
    assert limit_after([50.0] * 20 + [300.0] * 400, 1, start=4.0) >= 2


def test_limit_is_cut_when_answers_take_much_of_the_aim_though_the_floor_is_high() -> None:
    assert limit_after([150.0] * 200, 2, aim=300.0) == pytest.approx(1.0)
    assert limit_after([150.0] * 200, 2, aim=3000.0) > 8


def test_limit_recovers_after_a_crowded_spell() -> None:
    assert limit_after([50.0] * 20 + [600.0] * 200 + [50.0] * 300, 2) > 8


def test_limits_below_one_add_up_to_a_limit_on_all_in_flight() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(8))
    for server in driver.balancer.backends.active:
        server.limit = 0.25
    for _ in range(8):
        driver.arrive()
    assert len(driver.sends) == 2
    driver.end("r0")
    assert len(driver.sends) == 3


def test_servers_that_hang_do_not_use_up_the_sum_of_limits() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(8))
    for _ in range(20):
        driver.end(driver.arrive(), after=20)
    for server in driver.balancer.backends.active:
        server.limit = 0.25
    held = [driver.arrive() for _ in range(3)]
    assert [name in driver.sends for name in held] == [True, True, False]
    driver.step(after=30)
    assert held[2] not in driver.sends  # an answer may still be on its way
    driver.step(after=30)
    assert held[2] in driver.sends


def test_same_events_and_seed_give_the_same_actions() -> None:
    runs = []
    for _ in range(2):
        driver = Driver(settings(), *fleet(5), seed=7)
        runs.append([driver.end(driver.arrive()) and driver.sends[f"r{i}"] for i in range(50)])
    assert runs[0] == runs[1]


def test_an_outcome_for_an_id_no_longer_held_is_passed_over() -> None:
    driver = Driver(settings(), *fleet(1))
    request = driver.arrive()
    driver.end(request)
    assert driver.step(AttemptEnded(request, 0, AttemptResult.OK, 1.0, True)) == []
    assert driver.step(AttemptEnded("nobody", 3, AttemptResult.OK, 1.0, True)) == []


@pytest.mark.parametrize(
    "bad",
    [
        {"classes": ()},
        {"classes": (RequestClass(-1.0, 100.0),)},
        {"classes": (RequestClass(1.0, 100.0, priority_weight=-1.0),)},
        {"classes": (RequestClass(1.0, 100.0, priority_weight=0.0),)},
        {"classes": (RequestClass(1.0, 100.0, idempotency="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(1.0, 100.0, dedup_scope="odd"),)},  # type: ignore[arg-type]
        {"classes": (RequestClass(1.0, float("nan")),)},
    ],
)
def test_impossible_classes_are_named(bad: dict[str, object]) -> None:
    with pytest.raises(
        ValueError,
        match="^(class 0: (latency_objective|deadline|priority_weight|idempotency|dedup_scope)"
        "|classes|priority_weight)",
    ):
        Balancer(Settings(**bad), 1)  # type: ignore[arg-type]


@pytest.mark.parametrize(
    ("name", "value"),
    [
        (n, 0)
        for n in (
            "proxy_count",
            "max_attempts",
            "zone_count",
            "step_interval_ms",
            "max_poll_interval_ms",
            "slow_start_window_ms",
        )
    ]
    + [
        ("tenant_quotas", (1.0, -1.0)),
        ("slow_start_ms", -1.0),
        ("slow_start_overload_factor", float("inf")),
        ("proxy_index", -1),
    ],
)
def test_impossible_settings_are_named(name: str, value: object) -> None:
    with pytest.raises(ValueError, match=f"^{name} must"):
        Balancer(settings(**{name: value}), 1)


def test_where_keys_are_warm_every_proxy_draws_the_same_two_servers_for_a_key() -> None:
    used: dict[int, set[str]] = {}
    for seed in range(6):
        driver = Driver(settings(key_affinity=True), *fleet(9), seed=seed)
        for key in range(20):
            request = driver.arrive(key=key)
            used.setdefault(key, set()).update(driver.sends[request])
            driver.end(request)
    assert all(len(servers) <= 2 for servers in used.values())
    assert len({frozenset(s) for s in used.values()}) > 5


def test_all_limits_are_cut_when_answers_of_all_servers_take_much_of_the_aim() -> None:
    """Two answers of each server say nothing of it alone; twenty servers together say enough."""
    driver = Driver(settings(proxy_count=4), *fleet(20))
    servers = driver.balancer.backends.active
    before = sum(s.limit for s in servers)
    for _ in range(80):
        driver.end(driver.arrive(), after=150)
    assert all(s.window_responses < 8 for s in servers)
    assert sum(s.limit for s in servers) == pytest.approx(before / 2)  # two requests of all proxies at each


def test_a_proxy_with_more_than_its_part_of_traffic_does_not_judge_everyone_beyond_their_share() -> None:
    config = settings(
        tenant_quotas=(40.0, 10.0, 10.0, 10.0), over_quota_weight=0.05, proxy_count=4, zone_count=2
    )
    driver = Driver(config, *fleet(9))
    for second in range(12):  # this proxy gets half of all traffic; tenant 0 asks for three times its share
        for slot in range(80):
            tenant = 0 if slot < 60 else 1 + slot % 3
            driver.step(RequestArrived(f"{second}.{slot}", 0, tenant, None, driver.now + 900))
            driver.beat(after=12.5)
    balancer, spec = driver.balancer, config.classes[0]
    assert balancer.admission.quotas.traffic_share > 0.4
    driver.now += 1000
    assert [balancer.admission.priority_level(driver.now, spec, 1) for _ in range(4)] == [1] * 4
    levels = [balancer.admission.priority_level(driver.now, spec, 0) for _ in range(60)]
    assert 10 < levels.count(1) < 40


def test_in_a_flood_of_all_tenants_the_part_is_at_most_a_zone() -> None:
    config = settings(tenant_quotas=(10.0, 10.0, 10.0), over_quota_weight=0.05, proxy_count=4, zone_count=3)
    driver = Driver(config, *fleet(9))
    for count in range(800):
        driver.step(RequestArrived(f"{count}", 0, count % 3, None, driver.now + 900))
        driver.beat(after=10)
    assert driver.balancer.admission.quotas.traffic_share == pytest.approx(1 / 3)


def test_without_other_tenants_to_compare_the_part_is_one_in_n() -> None:
    driver = Driver(settings(tenant_quotas=(10.0,), over_quota_weight=0.05, proxy_count=4), *fleet(9))
    for _ in range(200):
        driver.arrive()
        driver.beat()
    assert driver.balancer.admission.quotas.traffic_share == 0.25


def test_level_four_comes_back_by_degrees_after_the_flag() -> None:
    classes = (
        RequestClass(300.0, 900.0, priority_weight=12.0),
        RequestClass(300.0, 900.0, priority_weight=1.0),
    )
    refused = []
    for since in (1.0, 600.0, 1201.0):
        driver = Driver(settings(*classes), *fleet(40))
        driver.balancer.queues[0].detector.overloaded_at = driver.now
        driver.balancer.queues[0].detector.release_objectives = 4.0
        driver.now += since
        refused.append(sum(bool(of(Reject, driver.last)) for _ in range(40) if driver.arrive(1)))
    assert refused[0] >= 38 and 8 < refused[1] < 32 and refused[2] == 0


def test_level_four_comes_back_more_slowly_only_where_the_flag_returns_soon() -> None:
    # After each short spike it was kept out for four aims, and servers stood idle meanwhile.
    detector = OverloadDetector(300.0, 1.0)

    def flags(every: float, times: int) -> float:
        for number in range(times):
            detector.set_overloaded(1e6 + number * every, True)
            detector.set_overloaded(1e6 + number * every + 1, False)
        return detector.release_objectives

    assert flags(200.0, 1) == 0.5
    assert flags(200.0, 6) == 4.0
    detector.overloaded_at = -1e9
    assert flags(5000.0, 3) == 0.5


def test_a_repeat_past_the_aim_of_its_first_try_is_not_sent() -> None:
    for late_worth, sent in ((0.0, False), (0.3, True)):
        driver = Driver(settings(RequestClass(300.0, 1000.0, late_weight=late_worth)), *fleet(2))
        driver.end(driver.arrive(wait=1000))
        driver.arrive(wait=690)  # its client has waited 310 ms already
        assert bool(of(Forward, driver.last)) is sent
        assert bool(of(Fail, driver.last)) is not sent
        driver.arrive(wait=900)
        assert of(Forward, driver.last)


def test_clients_that_come_with_less_time_are_no_repeats_unless_some_were_turned_away() -> None:
    # For a while three of four came with an eighth of the usual wait. Each looked like a repeat whose aim had
    # long passed, and failed unsent beside idle servers.
    for away, low, high in ((0.0, 30, 30), (100.0, 0, 0)):
        driver = Driver(settings(RequestClass(80.0, 400.0)), *fleet(4))
        sent = 0
        for number in range(40):
            driver.balancer.client_retries.expected = away
            request = driver.arrive(wait=45 if number % 4 else 398)
            if request in driver.sends:
                sent += number % 4 > 0
                driver.end(request, after=10.0)
        assert low <= sent <= high


def heavy_sends(driver: Driver, kinds: dict[str, int], work: float, n: int = 60) -> float:
    """The part of requests with this hint that goes to kind 1, the slow one."""
    slow = 0
    for _ in range(n):
        request = f"h{next(driver.ids)}"
        driver.step(RequestArrived(request, 0, 0, None, driver.now + 900, False, work))
        kind = kinds[driver.sends[request][0]]
        slow += kind
        driver.end(request, after=30.0, delay=(min(work, 30.0) or 30.0) * (1 + kind))
    return slow / n


def learn_paces(driver: Driver, kinds: dict[str, int]) -> None:
    for _ in range(200):
        request = f"l{next(driver.ids)}"
        driver.step(RequestArrived(request, 0, 0, None, driver.now + 900, False, 20.0))
        driver.end(request, after=30.0, delay=20.0 + 20.0 * kinds[driver.sends[request][0]])


@pytest.mark.parametrize("proxies", [3, 40])
def test_work_too_large_for_a_slow_kind_goes_to_a_fast_one(proxies: int) -> None:
    servers = [BackendInfo(f"10.0.0.{i}:80", kind=i % 2) for i in range(12)]
    kinds = {s.backend_id: s.kind for s in servers}
    driver = Driver(settings(RequestClass(300.0, 900.0), proxy_count=proxies), *servers)
    learn_paces(driver, kinds)
    assert heavy_sends(driver, kinds, 20.0) > 0.2  # short work is done in time by either kind
    assert heavy_sends(driver, kinds, 90.0) == 0.0
    assert heavy_sends(driver, kinds, 5000.0) == 0.0  # late on any, but least so on a fast one
    assert heavy_sends(driver, kinds, 0.0) > 0.2  # no hint


def test_a_few_fast_servers_do_not_get_all_the_large_work() -> None:
    servers = [BackendInfo(f"10.0.0.{i}:80", kind=min(i, 1)) for i in range(12)]
    kinds = {s.backend_id: s.kind for s in servers}
    driver = Driver(settings(RequestClass(300.0, 900.0)), *servers)
    learn_paces(driver, kinds)
    assert heavy_sends(driver, kinds, 90.0) > 0.5


def test_work_that_is_late_even_on_the_fastest_kind_is_of_a_lower_level() -> None:
    classes = tuple(RequestClass(300.0, 900.0, priority_weight=w) for w in (10.0, 5.0))
    balancer = Balancer(settings(*classes), 1)

    def levels(work: float) -> list[int]:
        return [balancer.admission.priority_level(0.0, spec, 0, work) for spec in classes]

    assert levels(5000.0) == [1, 3]  # before any kind's pace is known
    balancer.latencies.work_rates = {0: 1.5, 1: 3.0}
    assert levels(190.0) == [1, 3]
    assert levels(210.0) == [3, 4]
    assert levels(0.0) == [1, 3]
