"""Long endpoint lists: only subscribed backends have state, and no cost grows with the number of others."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from sys import maxsize
from unittest.mock import patch
from zlib import crc32

import pytest
from hypothesis import given
from hypothesis import settings as limits
from hypothesis import strategies as st

from dunecove.policy import rendezvous_hash, subsetting
from dunecove.policy.backend import Backend
from dunecove.policy.balancer import Balancer
from dunecove.policy.events import (
    BackendListUpdate,
    ListUpdateKind,
    RequestArrived,
    TimerFired,
)
from dunecove.policy.models import AttemptResult, BackendInfo, BackendState, DeduplicationScope, Idempotency
from dunecove.policy.rendezvous_hash import hash_pair
from dunecove.policy.settings import RequestClass
from tests.policy.helpers import (
    SPARSE_TIER,
    make_backends_in_two_zones,
)
from tests.support import Driver, make_backends, make_settings

LARGE_TIER = {"proxy_count": 3400, "proxy_index": 17, "zone_count": 2}
# Each `plumless` name has the same CRC-32 as the `buckeroo` name with the same number.
NAMES = [f"{name}{i}" for name in ("plumless", "buckeroo") for i in range(4)] + [f"s{i}" for i in range(40)]


def make_numbered_backends(count: int, first: int = 0, **fields: float) -> tuple[BackendInfo, ...]:
    return tuple(
        BackendInfo(f"s-{i:08x}", zone=i % 3, cell=i // 4, **fields)  # type: ignore[arg-type]
        for i in range(first, first + count)
    )


def by_rank(names: list[str], proxy_index: int) -> list[int]:
    return sorted(hash_pair(proxy_index + 1, crc32(name.encode())) for name in names)


@pytest.fixture
def hash_count() -> Iterator[list[int]]:
    """Count the hashes: one for each backend that is looked up, moved or compared by rank."""
    count = [0]

    def count_and_hash(key: int, number: int) -> int:
        count[0] += 1
        return hash_pair(key, number)

    with patch.object(rendezvous_hash, "hash_pair", count_and_hash):
        yield count


ENTRY = st.builds(
    BackendInfo,
    backend_id=st.sampled_from(NAMES),
    state=st.sampled_from([BackendState.ACTIVE] * 6 + [BackendState.DRAINING, BackendState.REMOVED]),
    started_at=st.sampled_from([None, 900.0]),
)
KINDS = [ListUpdateKind.DELTA] * 4 + [
    ListUpdateKind.CACHED_CONTINUED,
    ListUpdateKind.SNAPSHOT,
    ListUpdateKind.CACHED,
]
LISTS = st.tuples(st.sampled_from(KINDS), st.lists(ENTRY, max_size=60, unique_by=lambda e: e.backend_id))


# Hypothesis derives the examples from the name and source of this test: a change of either changes them.
@limits(max_examples=150, derandomize=True, deadline=None)
@given(st.integers(0, 9), st.lists(LISTS, min_size=1, max_size=12))
def test_the_subset_is_the_same_as_if_all_were_kept(
    me: int, lists: list[tuple[ListUpdateKind, list[BackendInfo]]]
) -> None:
    listed: dict[str, BackendState] = {}
    with patch.multiple(subsetting, MIN_SUBSCRIBED=16, SUBSCRIBED_SLACK=2):
        balancer = Balancer(make_settings(**LARGE_TIER | {"proxy_index": me, "slow_start_ms": 5000.0}), 1)
        for number, (kind, entries) in enumerate(lists):
            if kind in (ListUpdateKind.SNAPSHOT, ListUpdateKind.CACHED):
                listed.clear()
            listed.update({e.backend_id: e.state for e in entries})
            balancer.step(25.0 * number, [BackendListUpdate(kind, tuple(entries)), TimerFired(0)])
            active = [name for name, state in listed.items() if state is BackendState.ACTIVE]
            assert balancer.backends.listed_count == len(active)  # also of two that rank alike
            names = [
                *(s.id for s in balancer.backends.active),
                *balancer.backends.unsubscribed.first(maxsize),
            ]
            assert sorted(names) == sorted(active)
            assert [s.rank for s in balancer.backends.subset] == by_rank(active, me)[
                : balancer.backends.subset_size
            ]
            assert (
                sorted(s.rank for s in balancer.backends.active)
                == by_rank(active, me)[: len(balancer.backends.active)]
            )
            assert (
                len(balancer.backends.active) >= min(len(active), 16) and len(balancer.backends.by_id) <= 18
            )
            assert all(s in balancer.backends.find_by_hash(s.name_hash) for s in balancer.backends.active)


def test_small_deltas_on_long_list_hash_few_backends(hash_count: list[int]) -> None:
    driver = Driver(make_settings(**LARGE_TIER), *make_numbered_backends(20_000))
    hash_count[0] = 0
    for n in range(50):
        removed = make_numbered_backends(2, 400 * n)
        driver.step(
            BackendListUpdate(
                ListUpdateKind.DELTA,
                tuple(backend._replace(state=BackendState.DRAINING) for backend in removed),
            )
        )
        driver.step(
            BackendListUpdate(
                ListUpdateKind.DELTA,
                tuple(backend._replace(state=BackendState.REMOVED) for backend in removed),
            )
        )
        driver.step(BackendListUpdate(ListUpdateKind.DELTA, make_numbered_backends(2, 30_000 + 2 * n)))
    assert hash_count[0] / 150 < 30
    hash_count[0] = 0
    driver.run_ticks(3000)
    assert hash_count[0] == 0 and len(driver.balancer.backends.by_id) <= 320
    assert driver.balancer.backends.listed_count == 20_000


def test_new_weights_of_all_backends_change_their_entries_only() -> None:
    driver = Driver(make_settings(**LARGE_TIER), *make_numbered_backends(5_000))
    before = list(driver.balancer.backends.by_id.values())
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, make_numbered_backends(5_000, weight=0.5)))
    assert list(driver.balancer.backends.by_id.values()) == before and {
        backend.weight for backend in before
    } == {0.5}
    unsubscribed = driver.balancer.backends.unsubscribed
    weights = {entry.weight for name in unsubscribed.first(maxsize) if (entry := unsubscribed.get(name))}
    assert weights == {0.5}


def test_snapshot_keeps_learned_state_of_subscribed_backends() -> None:
    driver = Driver(make_settings(**LARGE_TIER), *make_numbered_backends(5_000))
    bad = driver.balancer.backends.subset[0]
    bad.payoff = 0.1
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, make_numbered_backends(6_000)))
    driver.run_ticks(3000)
    assert driver.balancer.backends.by_id[bad.id] is bad and bad.payoff < 1.0


def test_dense_proxy_subscribes_to_few_backends_and_to_more_under_load() -> None:
    driver = Driver(make_settings(RequestClass(300.0, 5000.0), proxy_count=3), *make_numbered_backends(5_000))
    assert len(driver.balancer.backends.subset) <= 320
    arrivals = [RequestArrived(f"q{n}", 0, 0, None, driver.now + 5000.0) for n in range(2_000)]
    for n in range(0, 2_000, 50):  # no attempt ends; all are forwarded, as there are enough backends
        driver.step(*arrivals[n : n + 50])
    assert len(driver.forwards) == 2_000 and 1_000 < len(driver.balancer.backends.subset) < 4_500
    for request_id in list(driver.forwards):
        driver.end_attempt(request_id, elapsed_ms=0.0, latency_ms=20.0)
    driver.run_ticks(40_000)
    assert len(driver.balancer.backends.by_id) <= 320 and driver.balancer.backends.listed_count == 5_000


def test_dense_proxy_subscribes_to_warm_backends_when_all_subscribed_ones_are_cold() -> None:
    cold = {"slow_start_capacity": 0.1, "slow_start_ms": 60_000.0, "slow_start_window_ms": 10_000.0}
    driver = Driver(make_settings(proxy_count=3, **cold), *make_numbered_backends(2_000))
    restarted = tuple(
        BackendInfo(backend.id, started_at=driver.now) for backend in driver.balancer.backends.active
    )
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, restarted))
    assert driver.send_request() in driver.forwards


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_keyed_retry_finds_backends_of_its_scope_among_unsubscribed_ones(scope: DeduplicationScope) -> None:
    """A cell has only three other backends, and few of the 1,250 cells are subscribed entirely."""
    request_class = RequestClass(900.0, 5000.0, Idempotency.KEYED, scope, 4000.0)
    driver = Driver(make_settings(request_class, **LARGE_TIER), *make_numbered_backends(5_000))
    request_id = driver.send_request(timeout_ms=5000)
    first = driver.forwards[request_id][0]
    drained = BackendInfo(first, BackendState.DRAINING)
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, (drained,)))
    driver.end_attempt(request_id, AttemptResult.ERROR, request_finished=False)
    assert len(driver.forwards[request_id]) == 2
    first_number, retry_number = (int(backend_id[2:], 16) for backend_id in driver.forwards[request_id])
    assert first_number != retry_number and (
        first_number // 4 == retry_number // 4
        if scope is DeduplicationScope.CELL
        else first_number % 3 == retry_number % 3
    )


def test_keyed_retry_skips_unsubscribed_backends_that_drain() -> None:
    request_class = RequestClass(900.0, 5000.0, Idempotency.KEYED, DeduplicationScope.CELL, 4000.0)
    driver = Driver(make_settings(request_class, **LARGE_TIER), *make_numbered_backends(5_000))
    request_id = driver.send_request(timeout_ms=5000)
    number = int(driver.forwards[request_id][0][2:], 16)
    cell_backends = make_numbered_backends(4, number - number % 4)
    drained = tuple(backend._replace(state=BackendState.DRAINING) for backend in cell_backends)
    driver.step(BackendListUpdate(ListUpdateKind.DELTA, drained))
    driver.end_attempt(request_id, AttemptResult.ERROR, request_finished=False)
    assert len(driver.forwards[request_id]) == 1  # no backend of its scope is left
    driver.step(
        BackendListUpdate(ListUpdateKind.DELTA, cell_backends[:1] if number % 4 else cell_backends[1:2])
    )
    assert len(driver.forwards[request_id]) == 2


def test_list_of_minimum_size_is_subscribed_entirely_in_list_order() -> None:
    names = [backend.backend_id for backend in make_numbered_backends(256)]
    for proxy_count in (3, 3400):
        driver = Driver(make_settings(proxy_count=proxy_count), *make_numbered_backends(256))
        driver.run_ticks(2000)
        assert [
            backend.id for backend in driver.balancer.backends.active
        ] == names and not driver.balancer.backends.unsubscribed.count


def test_tick_does_not_iterate_over_subset() -> None:
    driver = Driver(
        make_settings(slow_start_ms=60_000.0, **LARGE_TIER),
        *make_numbered_backends(300),
        *make_numbered_backends(1, 300, started_at=900.0),
    )
    iteration_count = [0]

    class CountingList(list[Backend]):
        def __iter__(self) -> Iterator[Backend]:
            iteration_count[0] += 1
            return super().__iter__()

    driver.run_ticks(2_000)
    driver.balancer.backends.subset = CountingList(driver.balancer.backends.subset)
    driver.run_ticks(900)
    assert iteration_count[0] == 0


def test_new_backend_ranked_before_newly_subscribed_ones_is_subscribed() -> None:
    ranked = sorted(
        make_numbered_backends(60),
        key=lambda backend: hash_pair(LARGE_TIER["proxy_index"] + 1, crc32(backend.backend_id.encode())),
    )
    with patch.multiple(subsetting, MIN_SUBSCRIBED=16, SUBSCRIBED_SLACK=2):
        driver = Driver(make_settings(**LARGE_TIER), *ranked[:20], *ranked[30:])
        removed = tuple(backend._replace(state=BackendState.REMOVED) for backend in ranked[:10])
        driver.step(BackendListUpdate(ListUpdateKind.DELTA, removed))
        driver.step(BackendListUpdate(ListUpdateKind.DELTA, tuple(ranked[20:22])))
        active = {backend.id for backend in driver.balancer.backends.active}
    assert active == {backend.backend_id for backend in [*ranked[10:22], *ranked[30 : 30 + len(active) - 12]]}


def used_backends(driver: Driver) -> set[str]:
    return {backend_id for backend_ids in driver.forwards.values() for backend_id in backend_ids}


def test_sparse_proxy_uses_few_backends_of_all_zones() -> None:
    """Guards against too many connections to a backend, and against uneven load of the zones.

    Connections from each of hundreds of proxies would fill a backend's connection table (incident i02567f).
    The traffic of one zone's proxies alone would be too much or too little for its backends.
    """
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends_in_two_zones(40))
    for _ in range(200):
        driver.end_attempt(driver.send_request())
        driver.tick()
    assert len(used_backends(driver)) <= 13 and {
        backend_id.split(".")[2] for backend_id in used_backends(driver)
    } == {"0", "1"}


def test_subsets_of_all_proxies_include_each_backend_about_equally_often() -> None:
    counts: Counter[str] = Counter()
    for proxy_index in range(100):
        driver = Driver(make_settings(proxy_index=proxy_index, **SPARSE_TIER), *make_backends(20))
        counts.update(backend.id for backend in driver.balancer.backends.subset)
    assert len(counts) == 20 and max(counts.values()) < 1.5 * 40 and min(counts.values()) > 40 / 1.5


def test_subset_keeps_other_backends_when_one_is_removed() -> None:
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends(20))
    before = [backend.id for backend in driver.balancer.backends.subset]
    remaining = [backend for backend in make_backends(20) if backend.backend_id != before[0]]
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(remaining)))
    assert len({backend.id for backend in driver.balancer.backends.subset} & set(before)) == len(before) - 1


def test_requests_are_forwarded_after_initial_empty_list() -> None:
    driver = Driver(
        make_settings(
            RequestClass(300.0, 900.0), RequestClass(300.0, 900.0, priority_weight=0.1), **SPARSE_TIER
        )
    )
    driver.send_request(1)
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(40))))
    driver.run_ticks(100)
    assert driver.forwards[driver.send_request()]


def test_subset_of_sparse_proxy_grows_with_its_in_flight_limit() -> None:
    """The few requests of one proxy of hundreds are too few to learn about a dozen backends."""
    driver = Driver(make_settings(**SPARSE_TIER), *make_backends(60))
    assert len(driver.balancer.backends.subset) <= 8
    driver.balancer.in_flight_limit.limit = 9.0
    driver.run_ticks(1100)
    assert len(driver.balancer.backends.subset) == 20
