"""A list of very many backends on real sockets: what it may cost, and when what it says counts."""

from __future__ import annotations

import asyncio

from dunecove.policy.events import ListUpdateKind, TimerFired
from dunecove.policy.models import BackendInfo, BackendState
from dunecove.proxy.endpoint_list import Endpoint, EndpointListUpdate
from dunecove.proxy.long_list import ENDPOINTS_PER_SLICE
from tests.loopback import Proxy, proxy, run


def targets(n: int, first: int = 0, state: BackendState = BackendState.ACTIVE) -> tuple[Endpoint, ...]:
    """Nothing answers at these."""
    return tuple(
        Endpoint(f"s-{i:08x}", f"127.1.{i // 250 % 250}.{i % 250}", 9, BackendInfo(f"s-{i:08x}", state))
        for i in range(first, first + n)
    )


def names(p: Proxy) -> set[str]:
    backends = p.engine.balancer.backends
    return {*(s.id for s in backends.active), *backends.unsubscribed.names()}


async def told(p: Proxy) -> int:
    """Turns of the loop until the module has heard of all."""
    turns = 0
    while p.engine._next_step is not None or not p.engine.cached_list_feed.is_done:
        turns += 1
        await asyncio.sleep(0)
    return turns


def test_a_long_list_makes_no_pools_and_is_told_the_module_in_pieces() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.on_list(
                EndpointListUpdate(2, True, targets(10 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            assert (
                not p.engine.backends.backend_pools
                and p.engine.backends.active_count() == 10 * ENDPOINTS_PER_SLICE
            )
            assert await told(p) >= 10
            assert p.engine.balancer.backends.listed_count == 10 * ENDPOINTS_PER_SLICE and names(p) == set(
                p.engine.backends.endpoints
            )

    run(test())


def test_what_changes_while_it_is_told_counts_at_once() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.on_list(
                EndpointListUpdate(2, True, targets(5 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            last = targets(1, 5 * ENDPOINTS_PER_SLICE - 1, BackendState.DRAINING)
            p.engine.on_list(EndpointListUpdate(3, False, (*last, *targets(1, 9999))))
            assert p.engine.backends.active_count() == 5 * ENDPOINTS_PER_SLICE
            await told(p)
            assert names(p) == set(p.engine.backends.endpoints) and last[0].backend_id not in names(p)

    run(test())


def test_a_new_module_hears_of_the_whole_long_list() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.on_list(
                EndpointListUpdate(2, True, targets(5 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            await asyncio.sleep(0)
            old = p.engine.balancer
            p.engine.balancer.step = lambda now, events: [] if 1 / 0 else []  # type: ignore[method-assign]
            p.engine._raise_event(TimerFired(0))  # while the old one is still being told
            while p.engine.balancer is old:
                await asyncio.sleep(0)
            await told(p)
            assert p.engine.balancer.backends.listed_count == 5 * ENDPOINTS_PER_SLICE and names(p) == set(
                p.engine.backends.endpoints
            )

    run(test())


def test_pools_that_have_emptied_are_forgotten() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            (await p.backends[0].calls.get()).reply()
            assert (await client.reply()).status == 200
            p.engine.backends._close_expired()
            assert set(p.engine.backends.backend_pools) == {"s0"}  # its connection is kept
            p.engine.backends.backend_pools["s0"].close_idle()
            while p.engine.backends.connections:
                await asyncio.sleep(0)
            p.engine.backends._close_expired()
            assert not p.engine.backends.backend_pools

    run(test())
