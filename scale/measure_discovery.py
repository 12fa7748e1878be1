"""Measures parsing the endpoint list, applying it to the connection pool, and its size on the wire."""

from __future__ import annotations

import asyncio

import orjson

from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.discovery_client import DiscoveryClient
from dunecove.proxy.endpoint_json import read_list_update
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.wire.settings import read_proxy_settings
from scale import synthetic
from scale.measurement import (
    MeasurementError,
    RunParameters,
    Series,
    Values,
    cpu_time_ms,
    measurement,
)
from scale.stub_discovery import RESPONSE_HEAD, Exchange, StubDiscovery

CALLS_TIMEOUT_S = 10.0  # for all calls of a measurement together
POLL_S = 0.001  # between two checks of the number of completed calls
CONNECT_TIMEOUT_MS = 250.0
IDLE_TIMEOUT_MS = 15000.0
POOL_CONNECTIONS = 100


@measurement(
    "parse",
    "backend",
    Series("parse-json", "ms", "decodes the JSON of a snapshot with orjson alone"),
    Series("parse", "ms", "decodes the JSON of a snapshot into an EndpointListUpdate"),
)
def parse_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure decoding a snapshot."""
    body = synthetic.snapshot_body(1, size)
    proxy_settings = read_proxy_settings(synthetic.settings(parameters.proxies))
    return {
        "parse-json": cpu_time_ms(lambda: orjson.loads(body)),
        "parse": cpu_time_ms(lambda: read_list_update(orjson.loads(body), proxy_settings)),
    }


@measurement(
    "pools",
    "backend",
    Series("pools-list", "ms", "an empty ConnectionPool applies a snapshot"),
    Series("pools-again", "ms", "ConnectionPool applies the same snapshot again"),
    Series("pools-change", "ms", "ConnectionPool applies a delta of two entries"),
)
def pool_update_cpu(parameters: RunParameters, size: int) -> Values:
    """Measure the connection pool applying a snapshot, the same snapshot again, and a delta."""
    proxy_settings = read_proxy_settings(synthetic.settings(parameters.proxies))
    snapshot = synthetic.snapshot_body(1, size)
    updates = {
        "pools-list": read_list_update(orjson.loads(snapshot), proxy_settings),
        "pools-again": read_list_update(orjson.loads(snapshot), proxy_settings),
        "pools-change": read_list_update(orjson.loads(synthetic.delta_body(2, 2)), proxy_settings),
    }

    async def run() -> Values:
        pool = ConnectionPool(CONNECT_TIMEOUT_MS, IDLE_TIMEOUT_MS, POOL_CONNECTIONS)

        def update_cpu_ms(update: EndpointListUpdate) -> float:
            return cpu_time_ms(lambda: pool.update(update.endpoints, update.is_snapshot))

        values: Values = {name: update_cpu_ms(update) for name, update in updates.items()}
        pool.close()
        return values

    return asyncio.run(run())


def record_exchanges(
    calls: int, updates: dict[int, bytes], revision: int | None, proxies: int
) -> list[Exchange]:
    """Return the first `calls` exchanges of a discovery client with a service that responds at once.

    Raise MeasurementError if a call fails or the calls time out.
    """
    with StubDiscovery(synthetic.empty_delta_body(1), answer_at_once=True) as service:
        service.updates.update(updates)

        async def run() -> None:
            proxy_settings = read_proxy_settings(synthetic.settings(proxies))
            failures: list[str] = []
            discovery = DiscoveryClient(
                service.address, proxy_settings, revision, lambda update: None, failures.append
            )
            discovery.watch()
            give_up_at = asyncio.get_running_loop().time() + CALLS_TIMEOUT_S
            while len(service.exchanges) < calls and not failures:
                if asyncio.get_running_loop().time() > give_up_at:
                    failures.append("calls timed out")
                await asyncio.sleep(POLL_S)
            discovery.close()
            if failures:
                raise MeasurementError(f"discovery call failed: {failures[0]}")

        asyncio.run(run())
    return service.exchanges[:calls]


@measurement(
    "wire-list",
    "backend",
    Series("wire-list", "bytes", "a discovery response with a snapshot, including headers"),
)
def snapshot_bytes(parameters: RunParameters, size: int) -> Values:
    """Measure the bytes of a snapshot."""
    # Computed without a discovery client, which may refuse a long list; see the measurement `process`.
    body = synthetic.snapshot_body(1, size)
    return {"wire-list": float(len(RESPONSE_HEAD % len(body)) + len(body))}


@measurement(
    "wire-change",
    "changed-entry",
    Series("wire-change", "bytes", "a watch request and its response with N changed entries"),
)
def delta_bytes(parameters: RunParameters, size: int) -> Values:
    """Measure the bytes of a watch whose response has `size` changed entries."""
    first = record_exchanges(1, {1: synthetic.delta_body(2, size)}, 1, parameters.proxies)[0]
    return {"wire-change": float(first.request_bytes + first.response_bytes)}


@measurement(
    "wire-watch",
    "watch-call",
    Series("wire-watch", "bytes", "N watch requests and their empty responses (one per second when idle)"),
)
def idle_watch_bytes(parameters: RunParameters, size: int) -> Values:
    """Measure the bytes of `size` watches without an update."""
    # The first watch request differs: its timeout is only 1 ms.
    exchanges = record_exchanges(size + 1, {}, 1, parameters.proxies)[1:]
    total = sum(exchange.request_bytes + exchange.response_bytes for exchange in exchanges)
    return {"wire-watch": float(total)}
