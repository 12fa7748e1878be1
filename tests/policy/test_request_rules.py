"""The four rules, health, retries and the list, each by hand-made events."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace
from math import inf
from typing import Any

import pytest

from dunecove.policy.actions import BackendEjected, CancelAttempt, Fail, Forward, PollDiscovery, Reject
from dunecove.policy.discovery_polling import MAX_POLL_GAP_MS
from dunecove.policy.events import (
    AttemptEnded,
    BackendListUpdate,
    ClientDisconnected,
    ListUpdateKind,
    ResponseStarted,
)
from dunecove.policy.models import AttemptResult, BackendInfo, BackendState, DeduplicationScope, Idempotency
from dunecove.policy.queue_timeouts import TICK_MS
from dunecove.policy.settings import RequestClass
from tests.support import Driver, fleet, of, settings

SAFE = RequestClass(300.0, 1000.0)
UNSAFE = RequestClass(300.0, 1000.0, idempotency=Idempotency.NON_IDEMPOTENT)
KEYED = RequestClass(
    300.0, 1000.0, idempotency=Idempotency.KEYED, dedup_scope=DeduplicationScope.CELL, dedup_window_ms=200.0
)


# Rule 1


def test_a_request_without_time_left_is_failed_at_once() -> None:
    driver = Driver(settings(), *fleet(1))
    request = driver.arrive(wait=0.0)
    assert [f.request_id for f in of(Fail, driver.last)] == [request]


def test_no_server_known_fails_in_time() -> None:
    driver = Driver(settings())
    request = driver.arrive(wait=200)
    assert [f.request_id for f in of(Fail, driver.beats(175))] == [request]


def test_time_out_at_the_deadline_gets_its_answer_in_the_same_call() -> None:
    driver = Driver(settings(UNSAFE), *fleet(1))
    request = driver.arrive()
    assert [f.request_id for f in of(Fail, driver.end(request, AttemptResult.TIMEOUT, 299.0))] == [request]


def test_a_moot_attempt_ends_in_a_failure() -> None:
    driver = Driver(settings(), *fleet(1))
    assert of(Fail, driver.end(driver.arrive(), AttemptResult.WITHDRAWN, 0.0))


def test_a_client_gone_in_the_same_batch_as_the_end_is_passed_over() -> None:
    driver = Driver(settings(), *fleet(1))
    request = driver.arrive()
    actions = driver.step(AttemptEnded(request, 0, AttemptResult.OK, 9.0, True), ClientDisconnected(request))
    assert not of(Fail, actions) and not of(CancelAttempt, actions)


def test_nothing_is_sent_for_a_held_request_whose_client_left() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(1))
    first, held = driver.arrive(), driver.arrive()
    assert not of(
        Forward, driver.step(ClientDisconnected(held), AttemptEnded(first, 0, AttemptResult.OK, 5.0, True))
    )


def test_attempts_of_a_client_that_left_are_cancelled_where_permitted() -> None:
    for allowed in (True, False):
        driver = Driver(settings(may_cancel=allowed), *fleet(1))
        request = driver.arrive()
        assert bool(of(CancelAttempt, driver.step(ClientDisconnected(request)))) is allowed


def test_a_started_stream_is_left_alone() -> None:
    driver = Driver(settings(RequestClass(100.0, 1000.0, streams_response=True)), *fleet(2))
    request = driver.arrive()
    driver.step(ResponseStarted(request, 0, 5.0))
    assert not of(CancelAttempt, driver.beats(500)) and not of(Fail, driver.beats(1000))


def test_an_answer_without_measurable_delay_is_taken() -> None:
    driver = Driver(settings(), *fleet(1))
    for _ in range(20):
        driver.end(driver.arrive(), after=0.0)
    assert len(driver.sends) == 20


# Rule 2


@pytest.mark.parametrize("result", [AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.TIMEOUT])
def test_unsafe_that_may_have_run_is_failed_never_resent_or_refused(result: AttemptResult) -> None:
    driver = Driver(settings(UNSAFE), *fleet(3))
    actions = driver.end(driver.arrive(), result)
    assert of(Fail, actions) and not of(Forward, actions) and not of(Reject, actions)


@pytest.mark.parametrize("result", [AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED])
def test_unsafe_that_never_ran_goes_to_another_server(result: AttemptResult) -> None:
    driver = Driver(settings(UNSAFE), *fleet(3))
    request = driver.arrive()
    again = of(Forward, driver.end(request, result))
    assert len(again) == 1 and again[0].backend_id != driver.sends[request][0]


def cells() -> list[BackendInfo]:
    return [BackendInfo(f"10.0.{c}.{i}:80", cell=c, zone=c) for c in range(3) for i in range(2)]


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_keyed_retry_stays_with_the_group_that_drops_its_repeats(scope: DeduplicationScope) -> None:
    spec = RequestClass(
        300.0, 1000.0, idempotency=Idempotency.KEYED, dedup_scope=scope, dedup_window_ms=200.0
    )
    for seed in range(10):
        driver = Driver(settings(spec), *cells(), seed=seed)
        request = driver.arrive()
        assert len(of(Forward, driver.end(request, AttemptResult.ERROR))) == 1
        one, two = driver.sends[request]
        assert one.split(".")[2] == two.split(".")[2] and one != two


def test_keyed_retry_ends_with_the_window() -> None:
    driver = Driver(settings(KEYED), *cells())
    actions = driver.end(driver.arrive(), AttemptResult.ERROR, after=201)
    assert of(Fail, actions) and not of(Forward, actions)


@pytest.mark.parametrize(
    ("effect", "within"), [(Idempotency.KEYED, 200.0 - 20.0), (Idempotency.IDEMPOTENT, inf)]
)
def test_a_keyed_retry_goes_out_within_its_window_or_not_at_all(effect: Idempotency, within: float) -> None:
    """Its connection may take longer to come up than is left of the window."""
    driver = Driver(settings(replace(KEYED, idempotency=effect)), *cells())
    request = driver.arrive()
    (first,) = of(Forward, driver.last)
    (again,) = of(Forward, driver.end(request, AttemptResult.ERROR, after=20.0))
    assert (first.write_within_ms, again.write_within_ms) == (inf, within)


def test_keyed_without_room_in_its_group_fails_rather_than_leave_it() -> None:
    driver = Driver(settings(KEYED), *cells())
    request = driver.arrive()
    home = driver.sends[request][0].split(".")[2]
    for server in driver.balancer.backends.active:
        if str(server.cell) == home:
            server.ejected_until = driver.now + 10_000
    driver.end(request, AttemptResult.ERROR)
    actions = driver.beats(250)
    assert of(Fail, actions) and not of(Forward, actions)


def test_keyed_waits_for_room_in_its_group_within_its_window() -> None:
    # Now or never, it failed although a server of its group had room a moment later.
    for rest, sent in ((60.0, True), (190.0, False)):
        driver = Driver(settings(KEYED), *cells())
        request = driver.arrive()
        home = driver.sends[request][0].split(".")[2]
        for server in driver.balancer.backends.active:
            if str(server.cell) == home:
                server.ejected_until = driver.now + rest
        driver.end(request, AttemptResult.ERROR)
        assert len(driver.sends[request]) == 1
        actions = driver.beats(250)
        assert bool(of(Forward, actions)) is sent and bool(of(Fail, actions)) is not sent
        assert {name.split(".")[2] for name in driver.sends[request]} == {home}
        assert not driver.balancer.pinned_retries.waiting


def test_keyed_with_all_servers_as_group_does_not_outlive_its_window_in_the_buffer() -> None:
    spec = RequestClass(
        300.0,
        1000.0,
        idempotency=Idempotency.KEYED,
        dedup_scope=DeduplicationScope.ALL,
        dedup_window_ms=100.0,
    )
    driver = Driver(settings(spec, proxy_count=4), *fleet(1))
    request = driver.arrive()
    driver.balancer.backends.active[0].ejected_until = driver.now + 150
    driver.end(request, AttemptResult.ERROR)
    assert not of(Forward, driver.beats(250))


def test_attempts_are_capped() -> None:
    driver = Driver(settings(max_attempts=2), *fleet(4))
    request = driver.arrive()
    driver.end(request, AttemptResult.REJECTED)
    assert of(Fail, driver.end(request, AttemptResult.REJECTED))


def test_retries_of_what_may_have_run_are_budgeted() -> None:
    driver = Driver(settings(), *fleet(40))
    resent = sum(len(of(Forward, driver.end(driver.arrive(), AttemptResult.ERROR))) for _ in range(100))
    assert resent <= 10 + 0.1 * 100 + 1


# Late attempts


def test_a_late_attempt_is_neither_cancelled_nor_copied() -> None:
    """Servers go on with cancelled work: a second attempt beside it adds load where there is least room."""
    driver = Driver(settings(), *fleet(2))
    request = driver.arrive()
    assert not of(CancelAttempt, driver.beats(275)) and len(driver.sends[request]) == 1


def test_attempts_given_up_raise_the_usual_latency() -> None:
    driver = Driver(settings(), *fleet(2))
    for _ in range(20):
        driver.end(driver.arrive(), after=20)
    before = driver.balancer.latencies.class_latency_ms(0)
    driver.end(driver.arrive(), AttemptResult.CANCELLED, after=150)
    assert driver.balancer.latencies.class_latency_ms(0) > before


def test_a_given_up_attempt_leaves_its_slot_at_once() -> None:
    # Its work stops as its connection closes: a slot held longer counts what no socket holds.
    driver = Driver(settings(UNSAFE), *fleet(1))
    driver.end(driver.arrive(), AttemptResult.TIMEOUT, after=200)
    assert driver.balancer.backends.active[0].in_flight == 0


def test_a_time_out_cut_short_by_the_wait_blames_no_server() -> None:
    driver = Driver(settings(UNSAFE), *fleet(1))
    for _ in range(40):
        driver.end(driver.arrive(), after=50)
    server = driver.balancer.backends.active[0]
    before = server.limit, server.payoff, server.consecutive_failures
    driver.end(driver.arrive(), AttemptResult.TIMEOUT, after=20)
    assert (server.limit, server.payoff, server.consecutive_failures) == before


# Health


def fail_at(
    driver: Driver, server: int, times: int, result: AttemptResult = AttemptResult.ERROR
) -> list[Any]:
    actions: list[Any] = []
    for other in driver.balancer.backends.active:
        other.ejected_until = 0.0 if other is driver.balancer.backends.active[server] else driver.now + 1e9
    for _ in range(times):
        driver.balancer.retry_policy.budget = 0.0
        if not driver.balancer.backends.active[server].has_capacity(driver.now):
            break
        actions += driver.end(driver.arrive(), result)
    return actions


def test_a_server_that_fails_far_more_than_the_fleet_rests_and_comes_back_on_trial() -> None:
    driver = Driver(settings(UNSAFE), *fleet(4))
    server = driver.balancer.backends.active[0]
    assert [a for a in fail_at(driver, 0, 10) if isinstance(a, BackendEjected)]
    assert not server.has_capacity(driver.now)
    driver.now = server.ejected_until + 1
    assert server.has_capacity(driver.now)
    server.in_flight = 1
    assert not server.has_capacity(driver.now)  # one on trial, not a full load
    server.in_flight = 0
    driver.end(driver.arrive())
    assert server.consecutive_failures == 0


def test_never_more_than_half_rest() -> None:
    driver = Driver(settings(UNSAFE), *fleet(4))
    for n in range(4):
        fail_at(driver, n, 12)
    assert sum(s.consecutive_failures >= 3 for s in driver.balancer.backends.active) <= 2


def test_nobody_rests_when_all_serve_alike() -> None:
    driver = Driver(settings(UNSAFE), *fleet(4))
    for server in driver.balancer.backends.active:
        server.payoff = 0.2
    assert not [a for a in fail_at(driver, 0, 4) if isinstance(a, BackendEjected)]


# Rule 3


def change(name: str, state: BackendState) -> BackendListUpdate:
    return BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo(name, state),))


@pytest.mark.parametrize("state", [BackendState.DRAINING, BackendState.REMOVED])
def test_nothing_new_goes_to_a_server_that_drains_or_is_gone(state: BackendState) -> None:
    driver = Driver(settings(), *fleet(2))
    driver.step(change("10.0.0.0:80", state))
    for _ in range(10):
        driver.end(driver.arrive())
    assert {s for sends in driver.sends.values() for s in sends} == {"10.0.0.1:80"}


def test_a_full_list_that_leaves_a_server_out_removes_it() -> None:
    driver = Driver(settings(), *fleet(2))
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(fleet(1))))
    assert [s.id for s in driver.balancer.backends.active] == ["10.0.0.0:80"]


def test_a_keyed_repeat_goes_to_the_cell_of_its_first_attempt_though_the_list_moves_the_server() -> None:
    keyed = RequestClass(300.0, 900.0, Idempotency.KEYED, DeduplicationScope.CELL, dedup_window_ms=800.0)
    first, second = (BackendInfo(f"10.0.0.{i}:80", cell=i) for i in range(2))
    driver = Driver(settings(keyed), first)
    request = driver.arrive()
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (first._replace(cell=1), second)))
    driver.end(request, AttemptResult.ERROR)
    driver.beats(100)
    assert driver.sends[request] == [
        first.backend_id
    ]  # its cell has no server left; cell 1 never saw the key
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (second._replace(cell=0),)))
    assert driver.sends[request] == [first.backend_id, second.backend_id]


def test_a_removed_server_that_answers_late_does_no_harm() -> None:
    driver = Driver(settings(), *fleet(1))
    request = driver.arrive()
    driver.step(change("10.0.0.0:80", BackendState.REMOVED))
    driver.end(request)
    driver.arrive()
    assert not of(Forward, driver.last)


def test_the_list_is_asked_for_soon_and_again_after_failures_with_longer_waits() -> None:
    driver = Driver(settings(polls_discovery=True, proxy_count=3, max_poll_interval_ms=10_000.0), *fleet(1))
    assert of(PollDiscovery, driver.beats(350))
    gaps = []
    for _ in range(8):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        start = driver.now
        while not of(PollDiscovery, driver.beat()):
            pass
        gaps.append(driver.now - start)
    assert gaps[0] < 600 and gaps[-1] >= MAX_POLL_GAP_MS / 2 and max(gaps) <= MAX_POLL_GAP_MS + TICK_MS
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(fleet(1))))
    assert not of(PollDiscovery, driver.beats(30_000))


@pytest.mark.parametrize("me", [0, 342, 684])
def test_hundreds_of_proxies_ask_for_the_list_in_the_obliged_time(me: int) -> None:
    """Past it a proxy counts as told of drains it has not heard of (incident i7da933)."""
    driver = Driver(
        settings(polls_discovery=True, proxy_count=685, proxy_index=me, max_poll_interval_ms=10_000.0),
        *fleet(1),
    )
    assert of(PollDiscovery, driver.beats(8_000))


@pytest.mark.parametrize("proxies", [200, 1_000, 3_400])
def test_after_failed_calls_hundreds_of_proxies_leave_the_list_service_room(proxies: int) -> None:
    """All calls in a second: each must be told within 6 s of its return, so a sixth of them is the least."""
    config = settings(polls_discovery=True, proxy_count=proxies, max_poll_interval_ms=10_000.0)
    asked: Counter[int] = Counter()
    for me in range(0, proxies, proxies // 200):
        driver = Driver(replace(config, proxy_index=me), *fleet(1), seed=me)
        end = driver.now + 30_000
        while driver.now < end:
            if of(PollDiscovery, driver.beat()):
                asked[int(driver.now / 1000)] += proxies // 200
                driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    later = [asked[second] for second in range(8, 29)]  # the first ones are soon made again, see above
    assert max(later) <= 0.6 * proxies and min(later) >= proxies / 6
    assert max(asked.values()) <= 1.5 * proxies


def test_a_pushed_list_that_failed_is_read_again_soon_however_often_it_fails() -> None:
    driver = Driver(settings(proxy_count=40, max_poll_interval_ms=10_000.0), *fleet(1))
    for _ in range(8):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        assert of(PollDiscovery, driver.beats(250))


@pytest.mark.parametrize("ask", [True, False])
def test_a_list_service_that_stays_away_for_long_breaks_nothing(ask: bool) -> None:
    # Two minutes and a half of refused calls are 1,024 of them, and a wait doubled so often is no number.
    driver = Driver(settings(polls_discovery=ask), *fleet(2))
    for _ in range(1_100):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED), after=150.0)
    assert of(PollDiscovery, driver.beats(10_000))


def test_a_call_without_any_word_is_made_again() -> None:
    driver = Driver(settings(polls_discovery=True, max_poll_interval_ms=10_000.0), *fleet(1))
    assert len(of(PollDiscovery, driver.beats(12_000))) >= 2


# Rule 4

COLD = {
    "slow_start_capacity": 0.12,
    "slow_start_ms": 20_000.0,
    "slow_start_overload_factor": 3.0,
    "slow_start_window_ms": 2000.0,
}


def sent_to(name: str, drivers: list[Driver]) -> int:
    return sum(s == name for d in drivers for sends in d.sends.values() for s in sends)


@pytest.mark.parametrize("split", [(1, 1, 1), (1, 0, 0), (4, 1, 1)])
def test_cold_budget_of_all_proxies_stays_under_the_rule_for_any_split(split: tuple[int, ...]) -> None:
    """Warm servers carry 10 a second each; a cold one's capacity is at least its part of that."""
    config = settings(proxy_count=3, **COLD)
    drivers = [Driver(config, *fleet(4), seed=s) for s in range(3)]
    pause = 1000.0 / 40.0 * sum(split)
    sent: list[tuple[float, int]] = []
    for tick in range(400):
        for driver, weight in zip(drivers, split, strict=True):
            if tick == 200:
                driver.step(
                    BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo("new:1", started_at=driver.now),))
                )
            for _ in range(weight):
                driver.end(driver.arrive(), after=0.0, delay=20.0)
            driver.beat(after=pause)
        sent.append((drivers[0].now, sent_to("new:1", drivers)))
    start = sent[200][0]
    for now, count in sent[200:]:
        before = max((c for t, c in sent if t <= now - 2000), default=0)
        part = 0.12 + 0.88 * max(0.0, now - 2000 - start) / 20_000
        assert count - before <= 3 * part * 10 * 2 + 3  # and the rule's slack for chance
    assert sent[-1][1] > 3


def test_cold_server_gets_little_before_anything_was_observed() -> None:
    driver = Driver(settings(proxy_count=2, **COLD), BackendInfo("new:1", started_at=900.0))
    for _ in range(40):
        driver.arrive(wait=5000)
        for request in list(driver.sends):
            driver.end(request, after=0.0)
        driver.beat(after=50.0)
    assert sent_to("new:1", [driver]) <= 3


def test_a_restart_of_a_known_server_is_cold_and_forgets_its_limit() -> None:
    driver = Driver(settings(**COLD), *fleet(2))
    server = driver.balancer.backends.active[0]
    server.limit, server.payoff = 9.0, 0.1
    driver.step(
        BackendListUpdate(ListUpdateKind.DELTA, (BackendInfo("10.0.0.0:80", started_at=driver.now - 5),))
    )
    assert server.limit <= 1 and server.payoff == 1.0
    assert not server.has_capacity(driver.now)


def test_nothing_more_is_sent_after_the_end() -> None:
    driver = Driver(settings(), *fleet(2))
    request = driver.arrive()
    driver.end(request, AttemptResult.ERROR)
    driver.end(request, AttemptResult.OK)
    assert not of(Forward, driver.beats(2000))
    assert driver.balancer.requests == {}


def test_arrival_order_is_kept_within_an_endpoint() -> None:
    driver = Driver(settings(proxy_count=4), *fleet(1))
    names = [driver.arrive(wait=5000) for _ in range(3)]
    driver.end(names[0])
    driver.end(names[1])
    assert list(driver.sends) == names


@pytest.mark.parametrize("result", [AttemptResult.NO_LOCAL_RESOURCE, AttemptResult.BAD_REQUEST])
def test_what_is_not_a_servers_doing_blames_no_server(result: AttemptResult) -> None:
    # Our own lack of descriptors, or a request at fault itself, must not take a healthy server out.
    driver = Driver(settings(), *fleet(2))
    before = [(s.payoff, s.consecutive_failures, s.limit) for s in driver.balancer.backends.active]
    for _ in range(6):
        driver.end(driver.arrive(), result, done=True)
    assert [(s.payoff, s.consecutive_failures, s.limit) for s in driver.balancer.backends.active] == before


def test_a_request_at_fault_itself_is_not_sent_again() -> None:
    driver = Driver(settings(), *fleet(2))
    request = driver.arrive()
    assert of(Fail, driver.end(request, AttemptResult.BAD_REQUEST)) and len(driver.sends[request]) == 1


def test_one_that_found_no_connection_is_sent_again_whatever_its_class() -> None:
    driver = Driver(settings(UNSAFE), *fleet(2))
    request = driver.arrive()
    driver.end(request, AttemptResult.NO_LOCAL_RESOURCE)
    assert len(driver.sends[request]) == 2


@pytest.mark.parametrize("effect", list(Idempotency))
def test_a_moments_lack_of_connections_here_does_not_use_up_a_requests_attempts(effect: Idempotency) -> None:
    driver = Driver(
        settings(RequestClass(1000.0, 3000.0, effect, dedup_window_ms=1000.0), max_attempts=5), *fleet(5)
    )
    request, begun = driver.arrive(wait=3000.0), driver.now
    tried = 0
    while driver.now < begun + 200.0:
        actions = driver.step()
        if len(driver.sends[request]) > tried:
            tried += 1
            actions += driver.end(request, AttemptResult.NO_LOCAL_RESOURCE, after=0.1)
        actions += driver.beat()
        assert of(Fail, actions) == []
    driver.beats(500.0)
    assert len(driver.sends[request]) == tried + 1
    assert of(Fail, driver.end(request)) == []
