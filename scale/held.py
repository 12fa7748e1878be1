"""A child process that holds so many of one thing and says what that takes: `held KIND COUNT SEED HOW`.

HOW is `traced` (bytes that Python's allocator has given out since before, by tracemalloc) or `resident`
(bytes of the process in memory). It prints JSON lines: for connections first the address to connect to, and
the figure once a line has come on standard input. It imports the proxy and no library of this tool's.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
import tracemalloc
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson
import uvloop

from dunecove.policy.balancer import Balancer
from dunecove.policy.events import ListUpdateKind
from dunecove.proxy.endpoint_json import read_list_update
from dunecove.proxy.engine import Engine
from dunecove.proxy.gossip import GossipChannel, PeerAddresses
from dunecove.proxy.listener import Listener
from dunecove.proxy.request_parser import RequestParser
from dunecove.wire.settings import read_proxy_settings, read_settings
from scale import made

PROXIES = 3400
POOLS = 1000  # backends among which open requests are spread; all of them at one address


def engine_with(info: dict[str, Any], seed: int, most: int = 100) -> Engine:
    return Engine(read_settings(info), read_proxy_settings(info), seed, most)


async def backends(count: int, seed: int) -> object:
    info = made.settings(PROXIES)
    engine = engine_with(info, seed)
    listing = read_list_update(orjson.loads(made.list_bytes(1, count)), read_proxy_settings(info))
    engine.on_list(listing, ListUpdateKind.SNAPSHOT)
    return engine


async def classes(count: int, seed: int) -> object:
    info = made.settings(PROXIES, classes=count)
    return Balancer(read_settings(info), seed), RequestParser(read_settings(info), read_proxy_settings(info))


async def tenants(count: int, seed: int) -> object:
    info = made.settings(PROXIES, tenants=count)
    settings = read_settings(info)
    return Balancer(settings, seed), RequestParser(settings, read_proxy_settings(info))


async def peers(count: int, seed: int) -> object:
    addresses = tuple(made.address(number, 7946) for number in range(count))
    return GossipChannel(PeerAddresses("127.0.0.1:0", addresses, "127.0.0.1:9"), lambda *_: None)


async def connections(count: int, seed: int) -> object:
    """Clients connect from outside; the backends are at the address that the environment names."""
    info = made.settings(1)
    engine = engine_with(info, seed, 2000)
    at = os.environ["SCALE_BACKEND"]
    listing = made.listing(1, [made.entry(number, endpoint=at) for number in range(POOLS)])
    engine.on_list(read_list_update(listing, read_proxy_settings(info)), ListUpdateKind.SNAPSHOT)
    listener = Listener(engine, RequestParser(read_settings(info), read_proxy_settings(info)), 2000)
    listener.listen("127.0.0.1:0")
    return engine, listener, listener.address


KINDS: dict[str, Callable[[int, int], Any]] = {
    "backend": backends,
    "class": classes,
    "tenant": tenants,
    "peer": peers,
    "connection": connections,
}


def resident() -> int:
    return int(Path("/proc/self/statm").read_text().split()[1]) * os.sysconf("SC_PAGE_SIZE")


async def hold(kind: str, count: int, seed: int, traced: bool) -> None:
    loop = asyncio.get_running_loop()
    if traced:
        tracemalloc.start()
    held = await KINDS[kind](count, seed)
    if kind == "connection":
        go = asyncio.Event()
        loop.add_reader(0, go.set)
        print(json.dumps({"address": held[2]}), flush=True)
        await go.wait()
    await asyncio.sleep(0.01)  # the module's step comes in a later turn of the loop
    gc.collect()
    print(json.dumps(tracemalloc.get_traced_memory()[0] if traced else resident()), flush=True)
    # No tidy end: its parent kills it, or it ends here with all that it holds.
    os._exit(0)


if __name__ == "__main__":
    uvloop.run(hold(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4] == "traced"))
