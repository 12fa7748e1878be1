"""Ejection of backends that fail far more often than others, and gossiped failure reports."""

from __future__ import annotations

from typing import Any

import pytest

from dunecove.policy.actions import (
    BackendEjected,
    SendGossip,
)
from dunecove.policy.events import (
    BackendListUpdate,
    GossipReceived,
    ListUpdateKind,
)
from dunecove.policy.models import AttemptResult
from tests.policy.helpers import NON_IDEMPOTENT, make_backends_in_two_zones
from tests.support import Driver, actions_of_type, make_backends, make_settings

GOSSIPING: dict[str, Any] = {"proxy_count": 40, "may_gossip": True}


def test_requests_go_to_other_zone_when_own_zone_fails() -> None:
    driver = Driver(make_settings(proxy_count=8, zone_count=2), *make_backends_in_two_zones(8))
    first_backends: list[str] = []
    for _ in range(100):
        request_id = driver.send_request()
        first_backends.append(driver.forwards[request_id][0])
        for attempt in range(4):
            if len(driver.forwards[request_id]) > attempt:
                in_own_zone = driver.forwards[request_id][attempt].split(".")[2] == "0"
                driver.end_attempt(
                    request_id,
                    AttemptResult.CONNECT_FAILED if in_own_zone else AttemptResult.OK,
                    elapsed_ms=1.0,
                )
        driver.run_ticks(100)
    assert sum(backend_id.split(".")[2] == "1" for backend_id in first_backends[60:]) > 15


def forwards_to_failing_backend(driver: Driver, bad: str, arrivals: int) -> int:
    """Return the number of forwards to `bad`, which fails two of each three, so rarely three in a row."""
    forward_count = 0
    for _ in range(arrivals):
        request_id = driver.send_request()
        is_bad = driver.forwards[request_id][0] == bad
        forward_count += is_bad
        fails = is_bad and forward_count % 3 != 0
        driver.end_attempt(
            request_id,
            AttemptResult.ERROR if fails else AttemptResult.OK,
            elapsed_ms=10.0,
            request_finished=True,
            latency_ms=40.0,
        )
        driver.tick(elapsed_ms=30.0)
    return forward_count


def test_backend_with_many_but_few_consecutive_failures_is_ejected_and_replaced() -> None:
    driver = Driver(make_settings(proxy_count=40), *make_backends(30))
    bad = driver.balancer.backends.subset[0]
    assert forwards_to_failing_backend(driver, bad.id, 250) <= 12  # an even share would be 20
    assert bad.next_ejection_ms > 1000.0  # a success between two failures does not reset it
    bad.ejected_until = driver.now + 3000.0
    driver.run_ticks(1100)
    assert bad not in driver.balancer.backends.subset and len(driver.balancer.backends.subset) >= 8


def fail_one_request(driver: Driver, result: AttemptResult) -> tuple[str, list[SendGossip]]:
    request_id = driver.send_request()
    return driver.forwards[request_id][0], actions_of_type(
        SendGossip, driver.end_attempt(request_id, result, request_finished=True)
    )


def test_backend_faults_are_reported_and_load_failures_are_not() -> None:
    driver = Driver(make_settings(**GOSSIPING), *make_backends(30))
    name, (gossip,) = fail_one_request(driver, AttemptResult.ERROR)
    assert gossip.payload == b"\x01" + driver.balancer.backends.by_id[name].name_hash.to_bytes(4, "big")
    for result in (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.REJECTED):
        assert fail_one_request(driver, result)[1] == []
    dense = Driver(make_settings(proxy_count=3, may_gossip=True), *make_backends(30))
    without_gossip = Driver(make_settings(proxy_count=40), *make_backends(30))
    assert (
        fail_one_request(dense, AttemptResult.ERROR)[1]
        == fail_one_request(without_gossip, AttemptResult.ERROR)[1]
        == []
    )


@pytest.mark.parametrize(
    ("senders", "interval_ms", "ejected"),
    [((1, 2, 1), 10.0, True), ((1, 1, 1), 10.0, False), ((1, 2, 3), 600.0, False)],
)
def test_backend_is_ejected_after_enough_recent_reports_of_two_proxies(
    senders: tuple[int, ...], interval_ms: float, ejected: bool
) -> None:
    driver = Driver(make_settings(**GOSSIPING), *make_backends(30))
    backend = driver.balancer.backends.subset[0]
    for sender in senders:
        driver.step(
            GossipReceived(sender, b"\x01" + backend.name_hash.to_bytes(4, "big")), elapsed_ms=interval_ms
        )
    assert (not backend.has_capacity(driver.now)) == ejected
    driver.run_ticks(2000)  # longer than its first ejection may last
    assert backend.has_capacity(driver.now)


def test_reports_eject_at_most_half_of_backends() -> None:
    driver = Driver(make_settings(**GOSSIPING), *make_backends(10))
    payload = b"\x01" + b"".join(
        backend.name_hash.to_bytes(4, "big") for backend in driver.balancer.backends.active
    )
    for sender in (1, 2, 3):
        driver.step(GossipReceived(sender, payload))
    assert sum(backend.has_capacity(driver.now) for backend in driver.balancer.backends.active) == 5


def test_own_reports_and_malformed_unknown_or_unlisted_ones_are_ignored() -> None:
    driver = Driver(make_settings(proxy_index=4, **GOSSIPING), *make_backends(30))
    removed_hash = driver.balancer.backends.subset[0].name_hash.to_bytes(4, "big")
    own_report = GossipReceived(4, b"\x01" + driver.balancer.backends.subset[1].name_hash.to_bytes(4, "big"))
    driver.step(
        BackendListUpdate(
            ListUpdateKind.SNAPSHOT,
            tuple(
                backend
                for backend in make_backends(30)
                if backend.backend_id != driver.balancer.backends.subset[0].id
            ),
        )
    )
    for payload in (b"", b"\x01", b"\x01abc", b"\x01abcd", b"\x02" + removed_hash, b"\x01" + removed_hash):
        for sender in (1, 2, 3):
            driver.step(GossipReceived(sender, payload), own_report)
    assert all(backend.has_capacity(driver.now) for backend in driver.balancer.backends.active)


def fail_often(
    driver: Driver, backend_index: int, failure_count: int, result: AttemptResult = AttemptResult.ERROR
) -> list[Any]:
    actions: list[Any] = []
    for backend in driver.balancer.backends.active:
        backend.ejected_until = (
            0.0 if backend is driver.balancer.backends.active[backend_index] else driver.now + 1e9
        )
    for _ in range(failure_count):
        driver.balancer.retry_policy.budget = 0.0
        if not driver.balancer.backends.active[backend_index].has_capacity(driver.now):
            break
        actions += driver.end_attempt(driver.send_request(), result)
    return actions


def test_outlier_is_ejected_and_gets_one_trial_request_afterwards() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(4))
    backend = driver.balancer.backends.active[0]
    assert [a for a in fail_often(driver, 0, 10) if isinstance(a, BackendEjected)]
    assert not backend.has_capacity(driver.now)
    driver.now = backend.ejected_until + 1
    assert backend.has_capacity(driver.now)
    backend.in_flight = 1
    assert not backend.has_capacity(driver.now)  # one trial request only
    backend.in_flight = 0
    driver.end_attempt(driver.send_request())
    assert backend.consecutive_failures == 0


def test_at_most_half_of_backends_are_ejected() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(4))
    for backend_index in range(4):
        fail_often(driver, backend_index, 12)
    assert sum(backend.consecutive_failures >= 3 for backend in driver.balancer.backends.active) <= 2


def test_no_backend_is_ejected_when_all_have_same_payoff() -> None:
    driver = Driver(make_settings(NON_IDEMPOTENT), *make_backends(4))
    for backend in driver.balancer.backends.active:
        backend.payoff = 0.2
    assert not [a for a in fail_often(driver, 0, 4) if isinstance(a, BackendEjected)]
