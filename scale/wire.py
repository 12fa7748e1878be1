"""Reading and holding the list on the sockets' side, and the bytes that it takes on the wire."""

from __future__ import annotations

import asyncio

import orjson

from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.endpoint_json import read_list_update
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.wire.settings import read_proxy_settings
from scale import made
from scale.measures import Plan, Series, Trouble, Values, measure, spent_ms
from scale.registry import HEAD, Exchanged, Registry, change, nothing

WITHIN_S = 10.0


@measure(
    "parse",
    "backend",
    Series("parse-json", "ms", "the bytes of a whole list become objects: orjson alone"),
    Series("parse", "ms", "the bytes of a whole list become an EndpointListUpdate"),
)
def parse(plan: Plan, size: int) -> Values:
    body, wire = made.list_bytes(1, size), read_proxy_settings(made.settings(plan.proxies))
    return {
        "parse-json": spent_ms(lambda: orjson.loads(body)),
        "parse": spent_ms(lambda: read_list_update(orjson.loads(body), wire)),
    }


@measure(
    "pools",
    "backend",
    Series("pools-list", "ms", "ConnectionPool takes over a whole list, holding nothing before"),
    Series("pools-again", "ms", "ConnectionPool takes over the same whole list once more"),
    Series("pools-change", "ms", "ConnectionPool takes a change of two entries"),
)
def pools(plan: Plan, size: int) -> Values:
    wire = read_proxy_settings(made.settings(plan.proxies))
    known = read_list_update(orjson.loads(made.list_bytes(1, size)), wire)
    again = read_list_update(orjson.loads(made.list_bytes(1, size)), wire)
    news = read_list_update(orjson.loads(change(2, 2)), wire)

    async def run() -> Values:
        backends = ConnectionPool(250.0, 15000.0, 100)
        values: Values = {}
        for name, taken in (("pools-list", known), ("pools-again", again), ("pools-change", news)):
            values[name] = spent_ms(lambda taken=taken: backends.update(taken.endpoints, taken.is_snapshot))  # type: ignore[misc]
        backends.close()
        return values

    return asyncio.run(run())


def exchanges(calls: int, news: dict[int, bytes], rev: int | None, plan: Plan) -> list[Exchanged]:
    """The first calls that a Discovery of the program makes to a registry that answers at once."""
    with Registry(nothing(1), at_once=True) as registry:
        registry.news.update(news)

        async def run() -> None:
            wire = read_proxy_settings(made.settings(plan.proxies))
            failures: list[str] = []
            discovery = DiscoveryClient(registry.address, wire, rev, taken, failures.append)
            discovery.watch()
            try:
                async with asyncio.timeout(WITHIN_S):
                    while len(registry.exchanged) < calls and not failures:
                        await asyncio.sleep(0.001)
            except TimeoutError:
                failures.append("no answer in time")
            discovery.close()
            if failures:
                raise Trouble(f"discovery: {failures[0]}")

        def taken(_: EndpointListUpdate) -> None:
            pass

        asyncio.run(run())
    return registry.exchanged[:calls]


@measure(
    "wire-list",
    "backend",
    Series("wire-list", "bytes", "discovery's whole list, headers of the answer included"),
)
def wire_list(plan: Plan, size: int) -> Values:
    # Not through Discovery: it may refuse a list so long, which the measurement `process` shows.
    body = made.list_bytes(1, size)
    return {"wire-list": float(len(HEAD % len(body)) + len(body))}


@measure(
    "wire-change",
    "changed-entry",
    Series("wire-change", "bytes", "a watch call and its answer with so many changed entries"),
)
def wire_change(plan: Plan, size: int) -> Values:
    first = exchanges(1, {1: change(2, size)}, 1, plan)[0]
    return {"wire-change": float(first.asked + first.answered)}


@measure(
    "wire-watch",
    "watch-call",
    Series("wire-watch", "bytes", "so many watch calls and their empty answers (one a second at rest)"),
)
def wire_watch(plan: Plan, size: int) -> Values:
    # The first call of a watch differs: it waits for 1 ms only.
    rest = exchanges(size + 1, {}, 1, plan)[1:]
    return {"wire-watch": float(sum(asked + answered for asked, answered in rest))}
