"""Long endpoint lists: read in slices, published as deltas, and passed to the balancer in slices."""

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
from tests.loopback import Proxy, make_endpoint_list, make_list_entry, run, run_proxy, wait_until
from tests.proxy.list_entries import make_entries


class ClientHarness:
    """A client with a table that its updates change, and a count of event loop iterations."""

    def __init__(self) -> None:
        proxy_settings = ProxySettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.updates: list[tuple[int, EndpointListUpdate]] = []
        self.iterations = 0
        self.client = DiscoveryClient("127.0.0.1:9", proxy_settings, 1, self.on_update, lambda _: None)

    def on_update(self, update: EndpointListUpdate) -> None:
        self.updates.append((self.iterations, update))
        for endpoint in update.endpoints:
            shard = self.client.endpoints.shard_of(endpoint.backend_id)
            shard.pop(endpoint.backend_id, None)
            if endpoint.is_active:
                shard[endpoint.backend_id] = encode_endpoint(endpoint)

    async def _count_iterations(self) -> None:
        while True:
            self.iterations += 1
            await asyncio.sleep(0)

    async def process(self, data: Any) -> int:
        text = json.dumps(data).encode()
        counting = asyncio.create_task(self._count_iterations())
        try:
            return await self.client._process_list(
                [text[start : start + 65536] for start in range(0, len(text), 65536)]
            )
        finally:
            counting.cancel()

    def known_ids(self) -> set[str]:
        return set(self.client.endpoints)


def test_reading_a_long_list_yields_to_the_event_loop_between_slices() -> None:
    async def test() -> None:
        harness = ClientHarness()
        assert await harness.process(make_endpoint_list(2, *make_entries(30 * ENDPOINTS_PER_SLICE))) == 2
        assert len(harness.known_ids()) == 30 * ENDPOINTS_PER_SLICE
        assert (
            harness.iterations > 2 * 20
            and max(len(update.endpoints) for _, update in harness.updates) < 2 * ENDPOINTS_PER_SLICE
        )
        iterations = [iteration for iteration, _ in harness.updates]
        assert len(set(iterations)) == len(iterations) > 20  # at most one slice per iteration
        first = harness.updates[0][1]
        assert not first.is_snapshot and first.revision == 2

    run(test())


def test_only_the_changes_of_a_long_snapshot_are_published() -> None:
    async def test() -> None:
        harness = ClientHarness()
        await harness.process(make_endpoint_list(2, *make_entries(1000)))
        harness.updates.clear()
        await harness.process(
            make_endpoint_list(
                3, *make_entries(20, 30, weight=0.5), *make_entries(900, 50), *make_entries(5, 2000)
            )
        )
        states = {
            endpoint.backend_id: endpoint.info.state
            for _, update in harness.updates
            for endpoint in update.endpoints
        }
        removed = [backend_id for backend_id, state in states.items() if state is BackendState.REMOVED]
        assert len(states) == 20 + 5 + 30 + 50 and len(removed) == 30 + 50
        assert harness.known_ids() == {e["uid"] for e in (*make_entries(920, 30), *make_entries(5, 2000))}
        known = harness.client.endpoints.get("s-00000020")
        assert known is not None and decode_endpoint("s", known).info.weight == 0.5
        harness.updates.clear()
        await harness.process(make_endpoint_list(4, is_snapshot=False))
        # A list without changes is published, too.
        assert [update for _, update in harness.updates] == [EndpointListUpdate(4, False, ())]

    run(test())


def test_only_the_drains_of_a_malformed_long_list_take_effect() -> None:
    async def test() -> None:
        harness = ClientHarness()
        await harness.process(make_endpoint_list(2, *make_entries(2000)))
        before = harness.known_ids()
        harness.updates.clear()
        malformed = [*make_entries(1, 7, "leaving"), *make_entries(1500, 1000), {"uid": "odd"}]
        with pytest.raises(MalformedListError):
            await harness.process(make_endpoint_list(3, *malformed))
        assert harness.known_ids() == before - {"s-00000007"}
        # The revision is unchanged, so that the list is requested again.
        assert [update.revision for _, update in harness.updates] == [1]
        assert harness.updates[0][0] < harness.iterations - 5  # long before the malformed entry was read
        with pytest.raises(MalformedListError):
            await harness.process({"rev": 3, "targets": make_entries(900)})

    run(test())


async def wait_until_listed(proxy: Proxy, count: int) -> None:
    await wait_until(
        lambda: proxy.engine.balancer.backends.listed_count == count and proxy.engine._next_step is None
    )


def test_proxy_serves_while_it_reads_a_long_list() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            own_entry = make_list_entry("s0", proxy.backends[0].address)
            client = await proxy.client()
            (await proxy.discovery_server.requests.get()).respond(
                json.dumps(make_endpoint_list(2, own_entry, *make_entries(3000))).encode()
            )
            served = 0
            while proxy.engine.balancer.backends.listed_count != 3001:
                assert (await client.exchange("/health/ready", "GET")).status == 200
                served += 1
            assert served > 5
            (await proxy.discovery_server.requests.get()).respond(
                json.dumps(make_endpoint_list(3, own_entry)).encode()
            )
            await wait_until_listed(proxy, 1)
            assert set(proxy.engine.connection_pool.endpoints) == {"s0"}
            client.send()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200

    run(test())


def test_list_of_several_megabytes_is_received_in_slices() -> None:
    async def test() -> None:
        async with run_proxy(settings={}) as proxy:
            proxy.engine.discovery.max_list_bytes = 2**25  # type: ignore[union-attr]
            call = await proxy.discovery_server.requests.get()
            body = json.dumps(make_endpoint_list(2, *make_entries(2)) | {"pad": "x" * 5 * 2**20}).encode()
            call.respond(body)
            await wait_until_listed(proxy, 2)

    run(test())


def test_maximum_list_size_follows_from_the_memory_limit() -> None:
    proxy_settings = ProxySettings({}, {}, {}, {}, 1000.0, 1000.0)
    max_list_bytes = [
        DiscoveryClient(
            "127.0.0.1:9", proxy_settings, 1, lambda _: None, lambda _: None, memory_mb=memory_mb
        ).max_list_bytes
        for memory_mb in (16.0, 192.0)
    ]
    assert max_list_bytes[0] == 2**20 > LONG_LIST_BYTES and max_list_bytes[1] > 150_000 * 170


def make_endpoints(
    count: int, first_index: int = 0, state: BackendState = BackendState.ACTIVE
) -> tuple[Endpoint, ...]:
    """Return endpoints on which nothing listens."""
    return tuple(
        Endpoint(f"s-{i:08x}", f"127.1.{i // 250 % 250}.{i % 250}", 9, BackendInfo(f"s-{i:08x}", state))
        for i in range(first_index, first_index + count)
    )


def ids(proxy: Proxy) -> set[str]:
    """Return the ids of the backends that the balancer knows."""
    backends = proxy.engine.balancer.backends
    return {*(backend.id for backend in backends.active), *backends.unsubscribed.first(maxsize)}


async def iterate_until_notified(proxy: Proxy) -> int:
    """Run the event loop until the balancer has the whole list; return the number of iterations."""
    iterations = 0
    while proxy.engine._next_step is not None or not proxy.engine.cached_list_feed.is_done:
        iterations += 1
        await asyncio.sleep(0)
    return iterations


def test_long_cached_list_opens_no_connections_and_reaches_the_balancer_in_slices() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.engine.on_list_update(
                EndpointListUpdate(2, True, make_endpoints(10 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            assert (
                not proxy.engine.connection_pool.connections_by_backend
                and proxy.engine.connection_pool.active_count() == 10 * ENDPOINTS_PER_SLICE
            )
            assert await iterate_until_notified(proxy) >= 10
            assert proxy.engine.balancer.backends.listed_count == 10 * ENDPOINTS_PER_SLICE and ids(
                proxy
            ) == set(proxy.engine.connection_pool.endpoints)

    run(test())


def test_update_takes_effect_while_a_long_cached_list_is_being_fed_to_the_balancer() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.engine.on_list_update(
                EndpointListUpdate(2, True, make_endpoints(5 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            drained = make_endpoints(1, 5 * ENDPOINTS_PER_SLICE - 1, BackendState.DRAINING)
            proxy.engine.on_list_update(EndpointListUpdate(3, False, (*drained, *make_endpoints(1, 9999))))
            assert proxy.engine.connection_pool.active_count() == 5 * ENDPOINTS_PER_SLICE
            await iterate_until_notified(proxy)
            assert ids(proxy) == set(proxy.engine.connection_pool.endpoints) and drained[
                0
            ].backend_id not in ids(proxy)

    run(test())


def failing_step(now: float, events: list[Event]) -> list[Action]:
    raise ZeroDivisionError


def test_replaced_balancer_is_notified_of_the_whole_long_cached_list() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            proxy.engine.on_list_update(
                EndpointListUpdate(2, True, make_endpoints(5 * ENDPOINTS_PER_SLICE)), ListUpdateKind.CACHED
            )
            await asyncio.sleep(0)
            old = proxy.engine.balancer
            proxy.engine.balancer.step = failing_step  # type: ignore[method-assign]
            proxy.engine._raise_event(TimerFired(0))  # while the old balancer is still being notified
            await wait_until(lambda: proxy.engine.balancer is not old)
            await iterate_until_notified(proxy)
            assert proxy.engine.balancer.backends.listed_count == 5 * ENDPOINTS_PER_SLICE and ids(
                proxy
            ) == set(proxy.engine.connection_pool.endpoints)

    run(test())


def test_backend_without_connections_is_dropped_from_the_pool() -> None:
    async def test() -> None:
        async with run_proxy() as proxy:
            client = await proxy.client()
            client.send()
            (await proxy.backends[0].requests.get()).respond()
            assert (await client.read_response()).status == 200
            proxy.engine.connection_pool._close_expired()
            # The backend has an idle connection.
            assert set(proxy.engine.connection_pool.connections_by_backend) == {"s0"}
            proxy.engine.connection_pool.connections_by_backend["s0"].close_idle()
            await wait_until(lambda: not proxy.engine.connection_pool.connections)
            proxy.engine.connection_pool._close_expired()
            assert not proxy.engine.connection_pool.connections_by_backend

    run(test())
