"""When discovery is polled."""

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


def test_discovery_is_polled_soon_and_after_failures_with_longer_waits() -> None:
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


@pytest.mark.parametrize("me", [0, 342, 684])
def test_hundreds_of_proxies_poll_within_the_longest_interval(me: int) -> None:
    """Past it a proxy counts as notified of drains it has not heard of (incident i7da933)."""
    driver = Driver(
        make_settings(polls_discovery=True, proxy_count=685, proxy_index=me, max_poll_interval_ms=10_000.0),
        *make_backends(1),
    )
    assert actions_of_type(PollDiscovery, driver.run_ticks(8_000))


@pytest.mark.parametrize("proxies", [200, 1_000, 3_400])
def test_after_failed_polls_hundreds_of_proxies_leave_discovery_capacity(proxies: int) -> None:
    """Each proxy must be notified within 6 s of the return, so a sixth of them polls each second at least."""
    config = make_settings(polls_discovery=True, proxy_count=proxies, max_poll_interval_ms=10_000.0)
    asked: Counter[int] = Counter()
    for me in range(0, proxies, proxies // 200):
        driver = Driver(replace(config, proxy_index=me), *make_backends(1), seed=me)
        end = driver.now + 30_000
        while driver.now < end:
            if actions_of_type(PollDiscovery, driver.tick()):
                asked[int(driver.now / 1000)] += proxies // 200
                driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    later = [asked[second] for second in range(8, 29)]  # the first ones are soon made again, see above
    assert max(later) <= 0.6 * proxies and min(later) >= proxies / 6
    assert max(asked.values()) <= 1.5 * proxies


def test_a_pushed_list_that_failed_is_read_again_soon_however_often_it_fails() -> None:
    driver = Driver(make_settings(proxy_count=40, max_poll_interval_ms=10_000.0), *make_backends(1))
    for _ in range(8):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        assert actions_of_type(PollDiscovery, driver.run_ticks(250))


@pytest.mark.parametrize("ask", [True, False])
def test_a_long_outage_of_discovery_breaks_nothing(ask: bool) -> None:
    # Two minutes and a half of rejected calls are 1,024 of them, and a wait doubled so often is no number.
    driver = Driver(make_settings(polls_discovery=ask), *make_backends(2))
    for _ in range(1_100):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED), elapsed_ms=150.0)
    assert actions_of_type(PollDiscovery, driver.run_ticks(10_000))


def test_a_poll_that_nothing_is_heard_of_is_repeated() -> None:
    driver = Driver(make_settings(polls_discovery=True, max_poll_interval_ms=10_000.0), *make_backends(1))
    assert len(actions_of_type(PollDiscovery, driver.run_ticks(12_000))) >= 2


def test_a_failed_poll_of_a_service_just_moved_to_is_repeated_at_once() -> None:
    # Its updates count as notified 4 s after the move: the wait grown by earlier failures is too long.
    driver = Driver(make_settings(polls_discovery=True), *make_backends(2))
    for _ in range(6):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    assert actions_of_type(PollDiscovery, driver.step(DiscoveryMoved()))
    for _ in range(3):
        driver.step(BackendListUpdate(ListUpdateKind.FAILED))
        assert actions_of_type(PollDiscovery, driver.run_ticks(250))
    driver.step(BackendListUpdate(ListUpdateKind.SNAPSHOT, tuple(make_backends(2))))
    assert not actions_of_type(PollDiscovery, driver.run_ticks(20_000))  # the watch stands
    driver.step(BackendListUpdate(ListUpdateKind.FAILED))
    assert not actions_of_type(PollDiscovery, driver.run_ticks(200))
