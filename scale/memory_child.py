"""A child process that holds many objects of one kind and prints their memory use.

Usage: `python -m scale.memory_child KIND COUNT SEED METHOD`. METHOD is `traced` (bytes allocated by Python
for the objects, measured with tracemalloc) or `resident` (resident bytes of the process). It prints JSON
lines: the result, or for connections first the address to connect to and, after a line on standard input,
the result. The module imports the proxy but none of this tool's libraries, which would add to the result.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import sys
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import uvloop

from dunecove.policy.balancer import Balancer
from dunecove.policy.events import ListUpdateKind
from dunecove.proxy.endpoint_json import read_list_update
from dunecove.proxy.engine import Engine
from dunecove.proxy.gossip import GossipChannel, PeerAddresses
from dunecove.proxy.listener import Listener
from dunecove.proxy.request_validator import RequestValidator
from dunecove.wire.settings import read_proxy_settings, read_settings
from scale import synthetic
from scale.process_memory import resident_bytes

PROXIES = 3400
GOSSIP_PORT = 7946
CONNECTION_BACKENDS = 1000  # backends in the list of the proxy with client connections, all at one address
CLIENT_SLOTS = 2000
BACKEND_ADDRESS_VARIABLE = "SCALE_BACKEND"


def create_engine(raw_settings: dict[str, Any], seed: int, slots: int = 100) -> Engine:
    """Return an engine with `slots` slots for client connections."""
    return Engine(read_settings(raw_settings), read_proxy_settings(raw_settings), seed, slots)


async def create_backends(count: int, seed: int) -> object:
    """Return an engine with `count` backends."""
    raw_settings = synthetic.settings(PROXIES)
    engine = create_engine(raw_settings, seed)
    update = read_list_update(
        orjson.loads(synthetic.snapshot_body(1, count)), read_proxy_settings(raw_settings)
    )
    engine.on_list_update(update, ListUpdateKind.SNAPSHOT)
    return engine


async def create_classes(count: int, seed: int) -> object:
    """Return a balancer and a request validator with `count` request classes, each with its own settings."""
    raw_settings = synthetic.settings(PROXIES, classes=count)
    return Balancer(read_settings(raw_settings), seed), RequestValidator(
        read_settings(raw_settings), read_proxy_settings(raw_settings)
    )


async def create_tenants(count: int, seed: int) -> object:
    """Return a balancer and a request validator with `count` tenants with quotas, which share settings."""
    raw_settings = synthetic.settings(PROXIES, tenants=count)
    settings = read_settings(raw_settings)
    return Balancer(settings, seed), RequestValidator(settings, read_proxy_settings(raw_settings))


async def create_peers(count: int, seed: int) -> object:
    """Return a gossip channel with the addresses of `count` peers."""
    addresses = tuple(synthetic.loopback_address(number, GOSSIP_PORT) for number in range(count))
    return GossipChannel(PeerAddresses("127.0.0.1:0", addresses, "127.0.0.1:9"), lambda *_: None)


async def create_connections(count: int, seed: int) -> object:
    """Run a proxy that accepts clients until a line is read on standard input; return its objects.

    All backends have the address in the environment variable `BACKEND_ADDRESS_VARIABLE`.
    """
    raw_settings = synthetic.settings(1)
    engine = create_engine(raw_settings, seed, CLIENT_SLOTS)
    backend_address = os.environ[BACKEND_ADDRESS_VARIABLE]
    entries = [synthetic.list_entry(number, address=backend_address) for number in range(CONNECTION_BACKENDS)]
    proxy_settings = read_proxy_settings(raw_settings)
    engine.on_list_update(
        read_list_update(synthetic.endpoint_list(1, entries), proxy_settings), ListUpdateKind.SNAPSHOT
    )
    listener = Listener(engine, RequestValidator(read_settings(raw_settings), proxy_settings), CLIENT_SLOTS)
    listener.listen("127.0.0.1:0")
    clients_connected = asyncio.Event()
    asyncio.get_running_loop().add_reader(0, clients_connected.set)
    print(json.dumps(listener.address), flush=True)
    await clients_connected.wait()
    return engine, listener


FACTORIES: dict[str, Callable[[int, int], Awaitable[object]]] = {
    "backend": create_backends,
    "class": create_classes,
    "tenant": create_tenants,
    "peer": create_peers,
    "connection": create_connections,
}


async def main(kind: str, count: int, seed: int, is_traced: bool) -> None:
    """Create `count` objects of `kind`, print their memory use in bytes, and exit without cleanup."""
    if is_traced:
        tracemalloc.start()
    objects = await FACTORIES[kind](count, seed)
    await asyncio.sleep(0.01)  # lets the balancer's step run, in a later iteration of the event loop
    gc.collect()
    print(json.dumps(tracemalloc.get_traced_memory()[0] if is_traced else resident_bytes()), flush=True)
    del objects  # keeps the objects alive until they are measured
    # Exit without closing the connections, since an orderly shutdown would only take time.
    os._exit(0)


if __name__ == "__main__":
    uvloop.run(main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), sys.argv[4] == "traced"))
