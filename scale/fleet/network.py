"""Simulated connections to the discovery service, which carry HTTP as bytes and can be partitioned."""

from __future__ import annotations

import asyncio
import socket
from contextvars import copy_context
from urllib.parse import parse_qs, urlsplit

from scale.fleet.discovery import SimulatedDiscovery
from scale.fleet.metrics import CURRENT_METRICS, ProxyMetrics

LIST_PATH = "/registry/instances"
ONE_WAY_DELAY_S = 0.001  # latency from a proxy to the service, and from the service to a proxy
BANDWIDTH_BYTES_PER_S = 125_000_000  # per connection: one gigabit per second
READ_BYTES = 64 * 1024  # maximum size of a read from a socket
RESPONSE_HEAD = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
HEAD_END = b"\r\n\r\n"
# Returned by transports, since the discovery client shuts down the socket's sending side.
UNCONNECTED_SOCKET = socket.socket()


class RegionEndpoint:
    """The service as reached from one region; while unreachable, data is lost and connecting hangs."""

    def __init__(self, discovery: SimulatedDiscovery, region: int) -> None:
        self.discovery = discovery
        self._region = region

    def is_unreachable(self) -> bool:
        """Return whether the service is unreachable from the region."""
        return self._region in self.discovery.unreachable_regions

    async def accept(self, protocol: asyncio.Protocol) -> asyncio.Transport:
        """Connect a proxy's protocol after a round trip; never return if the service is unreachable."""
        await asyncio.sleep(2 * ONE_WAY_DELAY_S)
        if self.is_unreachable():
            await self.discovery.loop.create_future()
        connection = DiscoveryConnection(self, protocol)
        protocol.connection_made(connection.client_transport)
        return connection.client_transport


class ClientTransport(asyncio.Transport):
    """The proxy's side of a connection."""

    def __init__(self, connection: DiscoveryConnection) -> None:
        super().__init__({"socket": UNCONNECTED_SOCKET})
        self._connection = connection
        self._is_closing = False

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send bytes to the service."""
        self._connection.receive_later(bytes(data))

    def pause_reading(self) -> None:
        """Do nothing: data arrives at fixed times, and a pause of one loop iteration has no effect."""

    def resume_reading(self) -> None:
        """Do nothing: see `pause_reading`."""

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writes are not buffered."""

    def is_closing(self) -> bool:
        """Return whether the proxy has closed the connection."""
        return self._is_closing

    def close(self) -> None:
        """Close the connection."""
        self.abort()

    def abort(self) -> None:
        """Close the connection."""
        if not self._is_closing:
            self._is_closing = True
            self._connection.close_later()


class DiscoveryConnection:
    """The service's side of a connection, which handles one request at a time."""

    def __init__(self, endpoint: RegionEndpoint, protocol: asyncio.Protocol) -> None:
        self._endpoint = endpoint
        self._protocol = protocol
        self._discovery = endpoint.discovery
        self._loop = endpoint.discovery.loop
        self._metrics: ProxyMetrics | None = CURRENT_METRICS.get()
        self._proxy_context = copy_context()
        self._service_context = copy_context()  # processor time of the service counts for no proxy
        self._service_context.run(CURRENT_METRICS.set, None)
        self._buffer = b""
        self.client_transport = ClientTransport(self)

    def receive_later(self, data: bytes) -> None:
        """Receive bytes, which the proxy sends now, after the one-way delay."""
        self._count_bytes(len(data))
        if not self._endpoint.is_unreachable():
            self._loop.call_later(ONE_WAY_DELAY_S, self._receive, data, context=self._service_context)

    def close_later(self) -> None:
        """Close the connection, which the proxy closes now, after the one-way delay."""
        self._loop.call_soon(self._protocol.connection_lost, None)
        # Not lost if unreachable: the service would keep the watch of a closed connection until its timeout.
        self._loop.call_later(
            ONE_WAY_DELAY_S, self._discovery.cancel_watch, self, context=self._service_context
        )

    def _count_bytes(self, size: int) -> None:
        second = self._loop.second()
        self._discovery.http_bytes.add(second, size)
        if self._metrics is not None:
            self._metrics.http_bytes.add(second, size)

    def _receive(self, data: bytes) -> None:
        self._buffer += data
        head, found, rest = self._buffer.partition(HEAD_END)
        if not found or self.client_transport.is_closing():
            return
        self._buffer = rest
        method, target, _ = head.split(b"\r\n")[0].decode().split(" ")
        url = urlsplit(target)
        if method != "GET" or url.path != LIST_PATH:
            self.respond(b"", None, b"404 Not Found")
            return
        query = parse_qs(url.query)
        try:
            since = int(query["since"][0]) if "since" in query else None
            wait_ms = int(query["timeout_ms"][0]) if "timeout_ms" in query else 0
        except ValueError:
            self.respond(b"", None, b"400 Bad Request")
            return
        self._discovery.handle_call(self, since, wait_ms)

    def respond(self, body: bytes, revision: int | None, status: bytes = b"200 OK") -> None:
        """Send a response; the proxy counts as notified of `revision` once it is complete."""
        if self.client_transport.is_closing() or self._endpoint.is_unreachable():
            return
        sent = READ_BYTES // 2  # bytes of the body in the first chunk, after the head
        first_chunk = RESPONSE_HEAD % (status, len(body)) + body[:sent]
        self._deliver_later(ONE_WAY_DELAY_S, first_chunk, body, sent, revision)

    def _deliver_later(
        self, delay_s: float, chunk: bytes, body: bytes, sent: int, revision: int | None
    ) -> None:
        """Deliver a chunk of the response later; `sent` counts the bytes of `body` including this chunk."""
        arrival_delay_s = delay_s + len(chunk) / BANDWIDTH_BYTES_PER_S
        self._loop.call_later(
            arrival_delay_s, self._deliver, chunk, body, sent, revision, context=self._proxy_context
        )

    def _deliver(self, chunk: bytes, body: bytes, sent: int, revision: int | None) -> None:
        if self.client_transport.is_closing() or self._endpoint.is_unreachable():
            return
        self._count_bytes(len(chunk))
        if sent < len(body):
            next_chunk = body[sent : sent + READ_BYTES]
            self._deliver_later(0.0, next_chunk, body, sent + len(next_chunk), revision)
        elif revision is not None and self._metrics is not None:
            self._metrics.notified.record(revision, self._loop.time())
        self._protocol.data_received(chunk)
