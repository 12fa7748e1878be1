"""The times at which discovery is polled."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest

from dunecove.policy.actions import (
    PollDiscovery,
)
from dunecove.policy.discovery_polling import MAX_POLL_GAP_MS
from dunecove.policy.events import (
    BackendListUpdate,
    DiscoveryMoved,
    ListUpdateKind,
)
from dunecove.policy.queue_timeouts import TICK_MS
from tests.support import Driver, actions_of_type, make_backends, make_settings


def test_first_poll_is_early_and_retry_delays_grow_to_maximum() -> None:
    driver = Driver(
        make_settings(polls_discovery=True, proxy_count=3, max_poll_interval_ms=10_000.0), *make_backends(1)
    )
    assert actions_of_type(PollDiscovery, driver.run_ticks(350))
    gaps = []
    for _ in range(8):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        start = driver.now
        while not actions_of_type(PollDiscovery, driver.tick()):
            pass
        gaps.append(driver.now - start)
    assert gaps[0] < 600 and gaps[-1] >= MAX_POLL_GAP_MS / 2 and max(gaps) <= MAX_POLL_GAP_MS + TICK_MS
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(1))))
    assert not actions_of_type(PollDiscovery, driver.run_ticks(30_000))


@pytest.mark.parametrize("proxy_index", [0, 342, 684])
def test_first_poll_of_large_tier_is_within_maximum_interval(proxy_index: int) -> None:
    """Guards against incident i7da933.

    After the maximum interval a proxy is considered notified of drains that it may not have received.
    """
    driver = Driver(
        make_settings(
            polls_discovery=True, proxy_count=685, proxy_index=proxy_index, max_poll_interval_ms=10_000.0
        ),
        *make_backends(1),
    )
    assert actions_of_type(PollDiscovery, driver.run_ticks(8_000))


@pytest.mark.parametrize("proxy_count", [200, 1_000, 3_400])
def test_retries_of_large_tier_are_within_rate_bounds_of_discovery(proxy_count: int) -> None:
    """Proxies must be notified within 6 s after an outage, so at least a sixth must poll each second."""
    settings = make_settings(polls_discovery=True, proxy_count=proxy_count, max_poll_interval_ms=10_000.0)
    polls: Counter[int] = Counter()  # by second
    for proxy_index in range(0, proxy_count, proxy_count // 200):
        driver = Driver(replace(settings, proxy_index=proxy_index), *make_backends(1), seed=proxy_index)
        end = driver.now + 30_000
        while driver.now < end:
            if actions_of_type(PollDiscovery, driver.tick()):
                polls[int(driver.now / 1000)] += proxy_count // 200
                driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    steady = [polls[second] for second in range(8, 29)]  # without the first retries, which are fast
    assert max(steady) <= 0.6 * proxy_count and min(steady) >= proxy_count / 6
    assert max(polls.values()) <= 1.5 * proxy_count


def test_failed_pushed_list_is_retried_fast_after_any_number_of_failures() -> None:
    driver = Driver(make_settings(proxy_count=40, max_poll_interval_ms=10_000.0), *make_backends(1))
    for _ in range(8):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        assert actions_of_type(PollDiscovery, driver.run_ticks(250))


@pytest.mark.parametrize("polls_discovery", [True, False])
def test_polling_continues_after_long_outage_of_discovery(polls_discovery: bool) -> None:
    # Guards against an overflow: 1,024 polls fail in two and a half minutes, and a delay that is doubled as
    # often exceeds the range of a float.
    driver = Driver(make_settings(polls_discovery=polls_discovery), *make_backends(2))
    for _ in range(1_100):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED), elapsed_ms=150.0)
    assert actions_of_type(PollDiscovery, driver.run_ticks(10_000))


def test_poll_without_result_is_repeated() -> None:
    driver = Driver(make_settings(polls_discovery=True, max_poll_interval_ms=10_000.0), *make_backends(1))
    assert len(actions_of_type(PollDiscovery, driver.run_ticks(12_000))) >= 2


def test_failed_poll_shortly_after_move_is_retried_fast() -> None:
    # The proxy is considered notified of the new service's updates 4 s after the move, so the delay that has
    # grown with earlier failures would be too long.
    driver = Driver(make_settings(polls_discovery=True), *make_backends(2))
    for _ in range(6):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    assert actions_of_type(PollDiscovery, driver.step(DiscoveryMoved()))
    for _ in range(3):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        assert actions_of_type(PollDiscovery, driver.run_ticks(250))
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(2))))
    assert not actions_of_type(PollDiscovery, driver.run_ticks(20_000))  # the watch is open
    driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    assert not actions_of_type(PollDiscovery, driver.run_ticks(200))
