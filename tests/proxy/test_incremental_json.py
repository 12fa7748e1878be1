"""Long lists are read piece by piece, with the same result as at once."""

from __future__ import annotations

import asyncio
import json
import tracemalloc
from ipaddress import ip_address
from itertools import count
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from dunecove.config import read_config
from dunecove.errors import ConfigurationError
from dunecove.policy.models import BackendState
from dunecove.proxy import incremental_json
from dunecove.proxy.addresses import check_ip
from dunecove.proxy.discovery_client import LONG_LIST_BYTES, DiscoveryClient
from dunecove.proxy.discovery_errors import MalformedListError
from dunecove.proxy.endpoint_list import EndpointListUpdate, decode_endpoint, encode_endpoint
from dunecove.proxy.incremental_json import ArraySlices, drain
from dunecove.proxy.long_list import ENDPOINTS_PER_SLICE
from dunecove.wire.settings import ProxySettings
from tests.loopback import Proxy, configuration, listing, proxy, run, target

TEXT = st.text(alphabet='ab{}[],:"\\ \n', max_size=8)
JSON = st.recursive(
    st.none() | st.integers(-9, 9) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=6,
)
TARGETS = st.lists(st.dictionaries(TEXT, JSON, max_size=3), max_size=40)
LISTS = st.builds(
    lambda before, targets, after: before | {"targets": targets} | after,
    st.dictionaries(st.sampled_from(["rev", "all", "x"]), JSON, max_size=2),
    TARGETS,
    st.dictionaries(st.sampled_from(["rev", "more"]), JSON | TARGETS, max_size=2),
)


def read(text: bytes, size: int, *path: str) -> tuple[list[Any], Any]:
    slices = ArraySlices(drain([text[at : at + size] for at in range(0, len(text), size)]), *path)
    entries = [entry for some in slices for entry in some]
    return entries, slices.remainder


@settings(max_examples=300, derandomize=True, deadline=None)
@given(LISTS, st.integers(1, 60), st.sampled_from([None, 1]), st.sampled_from([(), ("known",)]))
def test_pieces_are_together_what_was_cut(
    data: dict[str, Any], size: int, indent: int | None, path: tuple[str, ...]
) -> None:
    text = json.dumps({"a": {"targets": [1]}, "known": data} if path else data, indent=indent).encode()
    old, incremental_json.SLICE_BYTES = incremental_json.SLICE_BYTES, size
    try:
        entries, rest = read(text, size, *path)
    finally:
        incremental_json.SLICE_BYTES = old
    inner = rest["known"] if path else rest
    inner["targets"] = entries + inner["targets"]
    assert rest == orjson.loads(text)


@pytest.mark.parametrize("bad", [b"", b"{", b'{"targets":[{}', b'{"targets":[{},]}', b'{"targets":[{}]]}'])
def test_what_is_no_json_is_no_list(bad: bytes) -> None:
    for text in (bad, bad.replace(b"[", b"[" + b'{"uid":"s"},' * 4000)):
        with pytest.raises(ValueError):
            read(text, 1000)


def test_a_fault_in_a_long_list_is_found_with_few_tries(monkeypatch: pytest.MonkeyPatch) -> None:
    tries, loads = count(), orjson.loads
    monkeypatch.setattr(orjson, "loads", lambda text: (next(tries), loads(text))[1])
    with pytest.raises(ValueError):
        read(b'{"targets":[{"uid":"s"},{"uid"}' + b',{"uid":"s"}' * 40_000 + b"]}", 65536)
    assert next(tries) < 50


HOSTS = [
    "10.1.0.18",
    "::1",
    "fe80::1%eth0",
    "1.2.3",
    "01.2.3.4",
    "1.2.3.4 ",
    "1.2.3.256",
    "host.name",
    "",
    "1.2.3.4\0",
    "\u0661.2.3.4",
    "::ffff:1.2.3.4",
]


@pytest.mark.parametrize("host", HOSTS)
def test_an_address_is_what_the_library_takes_for_one(host: str) -> None:
    def taken(check: Any) -> bool:
        try:
            check(host)
        except ValueError:
            return False
        return True

    assert taken(check_ip) == taken(ip_address)


def entries(n: int, first: int = 0, state: str = "active", weight: float = 1.0) -> list[dict[str, Any]]:
    return [
        target(f"s-{i:08x}", f"127.1.{i // 250}.{i % 250}:9", state) | {"capacity_hint": weight}
        for i in range(first, first + n)
    ]


class Watched:
    """A watch whose news change what it holds, and a count of the loop's turns."""

    def __init__(self) -> None:
        wire = ProxySettings({}, {}, {"a": 0}, {"m": 0}, 1000.0, 1000.0)
        self.told: list[tuple[int, EndpointListUpdate]] = []
        self.turns = 0
        self.discovery = DiscoveryClient("127.0.0.1:9", wire, 1, self.on_list, lambda _: None)

    def on_list(self, news: EndpointListUpdate) -> None:
        self.told.append((self.turns, news))
        for t in news.endpoints:
            held = self.discovery.endpoints.shard_of(t.backend_id)
            held.pop(t.backend_id, None)
            if t.info.state is BackendState.ACTIVE:
                held[t.backend_id] = encode_endpoint(t)

    async def count(self) -> None:
        while True:
            self.turns += 1
            await asyncio.sleep(0)

    async def take(self, what: Any) -> int:
        text = json.dumps(what).encode()
        counting = asyncio.create_task(self.count())
        try:
            return await self.discovery._process_list(
                [text[at : at + 65536] for at in range(0, len(text), 65536)]
            )
        finally:
            counting.cancel()

    def held(self) -> set[str]:
        return set(self.discovery.endpoints)


def test_a_long_list_leaves_the_loop_to_others_between_its_pieces() -> None:
    async def test() -> None:
        watched = Watched()
        assert await watched.take(listing(2, *entries(30 * ENDPOINTS_PER_SLICE))) == 2
        assert len(watched.held()) == 30 * ENDPOINTS_PER_SLICE
        assert (
            watched.turns > 2 * 20
            and max(len(news.endpoints) for _, news in watched.told) < 2 * ENDPOINTS_PER_SLICE
        )
        turns = [turn for turn, _ in watched.told]
        assert len(set(turns)) == len(turns) > 20  # never two pieces in one turn
        first = watched.told[0][1]
        assert not first.is_snapshot and first.revision == 2

    run(test())


def test_a_whole_long_list_is_told_as_what_differs() -> None:
    async def test() -> None:
        watched = Watched()
        await watched.take(listing(2, *entries(1000)))
        watched.told.clear()
        await watched.take(listing(3, *entries(20, 30, weight=0.5), *entries(900, 50), *entries(5, 2000)))
        told = {t.backend_id: t.info.state for _, news in watched.told for t in news.endpoints}
        gone = [uid for uid, state in told.items() if state is BackendState.REMOVED]
        assert len(told) == 20 + 5 + 30 + 50 and len(gone) == 30 + 50
        assert watched.held() == {e["uid"] for e in (*entries(920, 30), *entries(5, 2000))}
        known = watched.discovery.endpoints.get("s-00000020")
        assert known is not None and decode_endpoint("s", known).info.weight == 0.5
        watched.told.clear()
        await watched.take(listing(4, whole=False))
        assert [news for _, news in watched.told] == [
            EndpointListUpdate(4, False, ())
        ]  # that it was read is news

    run(test())


def test_half_a_long_list_counts_for_nothing_but_its_drains() -> None:
    async def test() -> None:
        watched = Watched()
        await watched.take(listing(2, *entries(2000)))
        before = watched.held()
        watched.told.clear()
        bad = [*entries(1, 7, "leaving"), *entries(1500, 1000), {"uid": "odd"}]
        with pytest.raises(MalformedListError):
            await watched.take(listing(3, *bad))
        assert watched.held() == before - {"s-00000007"}
        assert [news.revision for _, news in watched.told] == [
            1
        ]  # nothing newer is held: it is asked for again
        assert watched.told[0][0] < watched.turns - 5  # long before the fault was met
        with pytest.raises(MalformedListError):
            await watched.take({"rev": 3, "targets": entries(900)})

    run(test())


async def taken(p: Proxy, n: int) -> None:
    while p.engine.balancer.backends.listed_count != n or p.engine._next_step is not None:
        await asyncio.sleep(0.001)


def test_a_proxy_takes_over_a_long_list_and_serves_meanwhile() -> None:
    async def test() -> None:
        async with proxy() as p:
            own = target("s0", p.backends[0].address)
            client = await p.client()
            (await p.registry.calls.get()).reply(json.dumps(listing(2, own, *entries(3000))).encode())
            served = 0
            while p.engine.balancer.backends.listed_count != 3001:
                assert (await client.ask("/health/ready", "GET")).status == 200
                served += 1
            assert served > 5
            (await p.registry.calls.get()).reply(json.dumps(listing(3, own)).encode())
            await taken(p, 1)
            assert set(p.engine.backends.endpoints) == {"s0"}
            client.send()
            (await p.backends[0].calls.get()).reply()
            assert (await client.reply()).status == 200

    run(test())


def test_a_list_of_megabytes_is_read_from_its_service_bit_by_bit() -> None:
    async def test() -> None:
        async with proxy(settings={}) as p:
            p.engine.discovery.max_list_bytes = 2**25  # type: ignore[union-attr]
            call = await p.registry.calls.get()
            body = json.dumps(listing(2, *entries(2)) | {"pad": "x" * 5 * 2**20}).encode()
            call.reply(body)
            await taken(p, 2)

    run(test())


def test_a_list_beyond_what_memory_bears_is_a_failed_call() -> None:
    wire = ProxySettings({}, {}, {}, {}, 1000.0, 1000.0)
    most = [
        DiscoveryClient("127.0.0.1:9", wire, 1, lambda _: None, lambda _: None, memory_mb=mb).max_list_bytes
        for mb in (16.0, 192.0)
    ]
    assert most[0] == 2**20 > LONG_LIST_BYTES and most[1] > 150_000 * 170


def test_a_long_saved_list_is_read_in_pieces_and_its_order_and_drains_count(tmp_path: Path) -> None:
    known = listing(7, *entries(900), *entries(1, 5, "leaving"), *entries(1, 900))
    config = configuration("127.0.0.1:9") | {"known": known}
    for indent in (None, 2):
        path = tmp_path / "config.json"
        path.write_text(json.dumps(config, indent=indent))
        saved = read_config({"LB_CONFIG": str(path)}).cached_list
        assert saved.revision == 7 and len(saved.table) == 900 and saved.table.get("s-00000005") is None
        assert saved.backend_ids == [e["uid"] for e in entries(901)]  # what has left meanwhile is passed over
    assert len(read_config({"LB_CONFIG": str(path)}, skips_long_list=True).cached_list.backend_ids) < 200
    bad = config | {"known": listing(7, *entries(900), {"uid": "odd"}, *entries(900, 900))}
    path.write_text(json.dumps(bad))
    with pytest.raises(ConfigurationError, match="endpoint"):
        read_config({"LB_CONFIG": str(path)})


def test_the_objects_of_a_long_saved_list_are_few_at_a_time(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(configuration("127.0.0.1:9") | {"known": listing(7, *entries(5000))}))
    read_config({"LB_CONFIG": str(path)})  # what is made once only
    tracemalloc.start()
    config = read_config({"LB_CONFIG": str(path)})
    held, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(config.cached_list.table) == 5000
    assert held / 5000 < 350 and peak - held < 2_000_000  # decoded at once it took 10.9 million
