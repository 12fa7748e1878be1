"""Long endpoint lists: read in slices, published as differences, and notified to the balancer in slices."""

from __future__ import annotations

import asyncio
import json
from sys import maxsize
from typing import Any

import pytest

from dunecove.policy.actions import Action
from dunecove.policy.events import Event, ListUpdateKind, TimerFired
from dunecove.policy.models import BackendInfo, BackendState
from dunecove.proxy.discovery_client import LONG_LIST_BYTES, DiscoveryClient
from dunecove.proxy.discovery_errors import MalformedListError
from dunecove.proxy.endpoint_list import Endpoint, EndpointListUpdate, decode_endpoint, encode_endpoint
from dunecove.proxy.long_list import ENDPOINTS_PER_SLICE
from dunecove.wire.settings import ProxySettings
from tests.loopback import Proxy, make_endpoint_list, make_list_entry, proxy, run, wait_until
from tests.proxy.list_entries import entries


class RecordedClient:
    """A client whose updates change its table, and a count of the loop's turns."""

    def __init__(self) -> None:
        wire = ProxySettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.updates: list[tuple[int, EndpointListUpdate]] = []
        self.turns = 0
        self.client = DiscoveryClient("127.0.0.1:9", wire, 1, self.on_update, lambda _: None)

    def on_update(self, update: EndpointListUpdate) -> None:
        self.updates.append((self.turns, update))
        for endpoint in update.endpoints:
            shard = self.client.endpoints.shard_of(endpoint.backend_id)
            shard.pop(endpoint.backend_id, None)
            if endpoint.is_active:
                shard[endpoint.backend_id] = encode_endpoint(endpoint)

    async def _count_turns(self) -> None:
        while True:
            self.turns += 1
            await asyncio.sleep(0)

    async def process(self, data: Any) -> int:
        text = json.dumps(data).encode()
        counting = asyncio.create_task(self._count_turns())
        try:
            return await self.client._process_list(
                [text[at : at + 65536] for at in range(0, len(text), 65536)]
            )
        finally:
            counting.cancel()

    def known_ids(self) -> set[str]:
        return set(self.client.endpoints)


def test_long_list_yields_to_the_loop_between_its_slices() -> None:
    async def test() -> None:
        recorded = RecordedClient()
        assert await recorded.process(make_endpoint_list(2, *entries(30 * ENDPOINTS_PER_SLICE))) == 2
        assert len(recorded.known_ids()) == 30 * ENDPOINTS_PER_SLICE
        assert (
            recorded.turns > 2 * 20
            and max(len(update.endpoints) for _, update in recorded.updates) < 2 * ENDPOINTS_PER_SLICE
        )
        turns = [turn for turn, _ in recorded.updates]
        assert len(set(turns)) == len(turns) > 20  # never two slices in one turn
        first = recorded.updates[0][1]
        assert not first.is_snapshot and first.revision == 2

    run(test())


def test_long_snapshot_is_published_as_its_differences() -> None:
    async def test() -> None:
        recorded = RecordedClient()
        await recorded.process(make_endpoint_list(2, *entries(1000)))
        recorded.updates.clear()
        await recorded.process(
            make_endpoint_list(3, *entries(20, 30, weight=0.5), *entries(900, 50), *entries(5, 2000))
        )
        states = {t.backend_id: t.info.state for _, update in recorded.updates for t in update.endpoints}
        removed = [one for one, state in states.items() if state is BackendState.REMOVED]
        assert len(states) == 20 + 5 + 30 + 50 and len(removed) == 30 + 50
        assert recorded.known_ids() == {e["uid"] for e in (*entries(920, 30), *entries(5, 2000))}
        known = recorded.client.endpoints.get("s-00000020")
        assert known is not None and decode_endpoint("s", known).info.weight == 0.5
        recorded.updates.clear()
        await recorded.process(make_endpoint_list(4, is_snapshot=False))
        # A list without a change is an update, too.
        assert [update for _, update in recorded.updates] == [EndpointListUpdate(4, False, ())]

    run(test())


def test_only_the_drains_of_a_malformed_long_list_take_effect() -> None:
    async def test() -> None:
        recorded = RecordedClient()
        await recorded.process(make_endpoint_list(2, *entries(2000)))
        before = recorded.known_ids()
        recorded.updates.clear()
        bad = [*entries(1, 7, "leaving"), *entries(1500, 1000), {"uid": "odd"}]
        with pytest.raises(MalformedListError):
            await recorded.process(make_endpoint_list(3, *bad))
        assert recorded.known_ids() == before - {"s-00000007"}
        # The revision is that of before, so that the list is asked for again.
        assert [update.revision for _, update in recorded.updates] == [1]
        assert recorded.updates[0][0] < recorded.turns - 5  # long before the malformed entry was read
        with pytest.raises(MalformedListError):
            await recorded.process({"rev": 3, "targets": entries(900)})

    run(test())


async def until_listed(p: Proxy, n: int) -> None:
    await wait_until(lambda: p.engine.balancer.backends.listed_count == n and p.engine._next_step is None)


def test_proxy_serves_while_it_reads_a_long_list() -> None:
    async def test() -> None:
        async with proxy() as p:
            own = make_list_entry("s0", p.backends[0].address)
            client = await p.client()
            (await p.discovery_server.requests.get()).respond(
                json.dumps(make_endpoint_list(2, own, *entries(3000))).encode()
            )
            served = 0
            while p.engine.balancer.backends.listed_count != 3001:
                assert (await client.exchange("/health/ready", "GET")).status == 200
                served += 1
            assert served > 5
            (await p.discovery_server.requests.get()).respond(json.dumps(make_endpoint_list(3, own)).encode())
            await until_listed(p, 1)
            assert set(p.engine.connection_pool.endpoints) == {"s0"}
            client.send()
            (await p.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_list_of_megabytes_is_received_in_slices() -> None:
    async def test() -> None:
        async with proxy(settings={}) as p:
            p.engine.discovery.max_list_bytes = 2**25  # type: ignore[union-attr]
            call = await p.discovery_server.requests.get()
            body = json.dumps(make_endpoint_list(2, *entries(2)) | {"pad": "x" * 5 * 2**20}).encode()
            call.respond(body)
            await until_listed(p, 2)

    run(test())


def test_longest_list_follows_from_the_memory_limit() -> None:
    wire = ProxySettings({}, {}, {}, {}, 1000.0, 1000.0)
    limits = [
        DiscoveryClient("127.0.0.1:9", wire, 1, lambda _: None, lambda _: None, memory_mb=mb).max_list_bytes
        for mb in (16.0, 192.0)
    ]
    assert limits[0] == 2**20 > LONG_LIST_BYTES and limits[1] > 150_000 * 170


def endpoints(n: int, first: int = 0, state: BackendState = BackendState.ACTIVE) -> tuple[Endpoint, ...]:
    """Endpoints at which nothing listens."""
    return tuple(
        Endpoint(f"s-{i:08x}", f"127.1.{i // 250 % 250}.{i % 250}", 9, BackendInfo(f"s-{i:08x}", state))
        for i in range(first, first + n)
    )


def names(p: Proxy) -> set[str]:
    backends = p.engine.balancer.backends
    return {*(s.id for s in backends.active), *backends.unsubscribed.first(maxsize)}


async def turns_until_notified(p: Proxy) -> int:
    """Turns of the loop until the balancer has been notified of the whole list."""
    turns = 0
    while p.engine._next_step is not None or not p.engine.cached_list_feed.is_done:
        turns += 1
        await asyncio.sleep(0)
    return turns


def test_long_list_opens_no_pools_and_reaches_the_balancer_in_slices() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.on_list_update(
                EndpointListUpdate(2, True, endpoints(10 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            assert (
                not p.engine.connection_pool.connections_by_backend
                and p.engine.connection_pool.active_count() == 10 * ENDPOINTS_PER_SLICE
            )
            assert await turns_until_notified(p) >= 10
            assert p.engine.balancer.backends.listed_count == 10 * ENDPOINTS_PER_SLICE and names(p) == set(
                p.engine.connection_pool.endpoints
            )

    run(test())


def test_update_takes_effect_while_a_long_list_is_being_notified() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.on_list_update(
                EndpointListUpdate(2, True, endpoints(5 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            last = endpoints(1, 5 * ENDPOINTS_PER_SLICE - 1, BackendState.DRAINING)
            p.engine.on_list_update(EndpointListUpdate(3, False, (*last, *endpoints(1, 9999))))
            assert p.engine.connection_pool.active_count() == 5 * ENDPOINTS_PER_SLICE
            await turns_until_notified(p)
            assert names(p) == set(p.engine.connection_pool.endpoints) and last[0].backend_id not in names(p)

    run(test())


def broken_step(now: float, events: list[Event]) -> list[Action]:
    raise ZeroDivisionError


def test_new_balancer_is_notified_of_the_whole_long_list() -> None:
    async def test() -> None:
        async with proxy() as p:
            p.engine.on_list_update(
                EndpointListUpdate(2, True, endpoints(5 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            await asyncio.sleep(0)
            old = p.engine.balancer
            p.engine.balancer.step = broken_step  # type: ignore[method-assign]
            p.engine._raise_event(TimerFired(0))  # while the old one is still being notified
            await wait_until(lambda: p.engine.balancer is not old)
            await turns_until_notified(p)
            assert p.engine.balancer.backends.listed_count == 5 * ENDPOINTS_PER_SLICE and names(p) == set(
                p.engine.connection_pool.endpoints
            )

    run(test())


def test_empty_pools_are_forgotten() -> None:
    async def test() -> None:
        async with proxy() as p:
            client = await p.client()
            client.send()
            (await p.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            p.engine.connection_pool._close_expired()
            assert set(p.engine.connection_pool.connections_by_backend) == {"s0"}  # its connection is kept
            p.engine.connection_pool.connections_by_backend["s0"].close_idle()
            await wait_until(lambda: not p.engine.connection_pool.connections)
            p.engine.connection_pool._close_expired()
            assert not p.engine.connection_pool.connections_by_backend

    run(test())
