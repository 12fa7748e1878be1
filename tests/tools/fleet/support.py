"""A small plan, and a client that sends raw bytes to the simulated discovery service."""

from __future__ import annotations

import asyncio
from typing import Any

import orjson

from scale.fleet.clock import VirtualLoop, create_virtual_loop
from scale.fleet.cluster import ClusterSettings, SimulatedCluster
from scale.fleet.network import RegionEndpoint

SMALL: dict[str, Any] = {"backends": 50, "proxies": 11, "seconds": 30, "rate": 2.0}


def advance(loop: VirtualLoop, seconds: float) -> None:
    loop.run_until(loop.time() + seconds)


class RawClient(asyncio.Protocol):
    """A client that sends raw requests to the service and collects the response bytes."""

    def __init__(self) -> None:
        self.data = b""
        self.reads = 0
        self.is_closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.reads += 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_closed = True

    def send_request(self, query: str = "", line: str = "GET /registry/instances{} HTTP/1.1") -> None:
        self.transport.write(line.format(query).encode() + b"\r\nHost: list\r\n\r\n")

    def take_response(self) -> Any:
        """Return the decoded body of the response so far, and drop the received bytes."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        self.data = b""
        assert head.startswith(b"HTTP/1.1 200 ")
        assert b"Content-Length: %d" % len(body) in head
        return orjson.loads(body)


def connect_client(size: int = 40) -> tuple[SimulatedCluster, RawClient]:
    loop = create_virtual_loop()
    cluster = SimulatedCluster(loop, size, 1, ClusterSettings())
    client = RawClient()
    loop.listeners["10.0.0.1", 80] = RegionEndpoint(cluster.discovery, 0)
    task = loop.create_task(loop.create_connection(lambda: client, "10.0.0.1", 80))
    advance(loop, 0.1)
    assert task.done()
    return cluster, client
