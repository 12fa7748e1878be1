"""Clients on loopback: an open-loop load of ordinary requests, and some clients that misbehave."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Any, cast

from dunecove.policy.models import Idempotency
from soak.http import Message, MessageReader
from soak.loopback import split_address
from soak.proxies import ProxyProcess
from soak.records import MisbehavingClient, Request, RequestClass, RunRecord

CONNECT_AFTER_STOP_S = 0.3  # time after SIGTERM during which clients still open connections
SLOW_WRITE_CHUNKS = 3
SLOW_WRITE_PAUSE_S = (0.05, 0.3)  # between two chunks
MIN_BUDGET_FRACTION = 0.7  # smallest budget, as a fraction of the class's deadline
SHORT_BUDGET_SHARE = 0.03  # fraction of requests with a budget from SHORT_BUDGET_S
SHORT_BUDGET_S = (0.01, 0.15)
PIPELINE_LENGTH = (3, 6)  # requests
LONG_PIPELINE_LENGTH = (30, 60)
LONG_PIPELINE_SHARE = 0.1  # fraction of pipelines with a length from LONG_PIPELINE_LENGTH
CONNECTION_FLOOD_S = 4.0  # duration of a connection flood, unless the proxy closes the connections
MAX_DISCONNECT_DELAY_S = 0.1  # from the request to the disconnect
BYTE_FLOOD_BYTES = 2 * 1024 * 1024
BYTE_FLOOD_DELAY_S = 0.002  # between the request and the flood
GARBAGE = b"\x16\x03\x01 this is no request\r\n\r\n"
INCOMPLETE_REQUEST = b"POST /cargo HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 100\r\n\r\nhalf"
MISBEHAVIOURS = (("garbage", GARBAGE), ("incomplete request", INCOMPLETE_REQUEST), ("no request", b""))

ClientAction = Callable[[ProxyProcess], Coroutine[Any, Any, None]]


@dataclass(frozen=True)
class BehaviourShares:
    """Fractions of clients that do something unusual; the others send one ordinary request."""

    disconnect: float = 0.06  # close without waiting for the response
    slow: float = 0.04  # write the request in chunks with pauses between them
    pipeline: float = 0.03  # write several requests at once
    misbehave: float = 0.02  # send no well-formed, complete request
    byte_flood: float = 0.01  # send a request, followed by a large amount of garbage


class ClientConnection(asyncio.Protocol):
    """A connection to a proxy, on which responses arrive in the order of the requests."""

    def __init__(self, clients: Clients, proxy: ProxyProcess) -> None:
        assert proxy.incarnation is not None
        self.proxy_number = proxy.number
        self.incarnation = proxy.incarnation.number
        self.has_sent_request = self.is_lost = False
        self._clients = clients
        self._reader = MessageReader()
        self._in_flight: list[Request] = []
        self._misbehaving: MisbehavingClient | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self._transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the loss of the connection for the requests in flight."""
        self.is_lost = True
        now = self._clients.loop.time()
        self._record_misbehaviour_end(now)
        for request in self._in_flight:
            if request.disconnected_at is None and request.answered_at is None:
                request.connection_lost_at = now
        self._clients.remove(self)

    def is_usable(self) -> bool:
        """Return whether requests can be written."""
        return not self.is_lost and not self._transport.is_closing()

    def write(self, data: bytes) -> None:
        """Write bytes, which need not belong to a request."""
        self._transport.write(data)

    def record_sent(self, request: Request) -> None:
        """Record that the last byte of a request was written."""
        request.sent_at = self._clients.loop.time()
        self.has_sent_request = True
        self._in_flight.append(request)

    def record_misbehaviour(self, behaviour: str) -> MisbehavingClient:
        """Mark the client as misbehaving; return the entry, which the caller may add to the run record."""
        opened_at = self._clients.loop.time()
        self._misbehaving = MisbehavingClient(self.proxy_number, self.incarnation, opened_at, behaviour)
        return self._misbehaving

    def close(self) -> None:
        """Close after pending writes, unless the connection is lost already."""
        if not self.is_lost:
            self._transport.close()

    def abort(self) -> None:
        """Close immediately, discarding pending writes."""
        self._transport.abort()

    def _record_misbehaviour_end(self, now: float) -> None:
        if self._misbehaving is not None and self._misbehaving.ended_at is None:
            self._misbehaving.ended_at = now

    def data_received(self, data: bytes) -> None:
        """Handle each complete response."""
        for message in self._reader.feed(data):
            self._handle_response(message)

    def _handle_response(self, message: Message) -> None:
        now = self._clients.loop.time()
        status = int(message.start_line.split()[1])
        if not self._in_flight:
            self._record_misbehaviour_end(now)
            return
        request = self._in_flight.pop(0)
        request.answered_at = now
        request.status = status
        request.body = message.body
        if message.headers.get(b"connection") == b"close":
            self._transport.close()
        elif not self._in_flight and self._misbehaving is None:
            self._clients.release(self)


class Clients:
    """Load generator that starts clients of random proxies at a fixed mean rate."""

    def __init__(
        self, proxies: Sequence[ProxyProcess], record: RunRecord, random: Random, rate: float
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self._proxies = proxies
        self._record = record
        self._random = random
        self._rate = rate
        self._shares = BehaviourShares()
        self._idle: dict[int, list[ClientConnection]] = {proxy.number: [] for proxy in proxies}
        self._request_numbers = count()
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[ClientConnection] = set()

    async def run(self, seconds: float) -> None:
        """Start clients for `seconds`, without waiting for responses; return when all requests are sent."""
        due_at = self.loop.time()
        end = due_at + seconds
        while due_at < end:
            due_at += self._random.expovariate(self._rate)
            wait_s = due_at - self.loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            behaviour = self._draw_behaviour()
            task = self.loop.create_task(behaviour(self._random.choice(self._proxies)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _draw_behaviour(self) -> ClientAction:
        drawn = self._random.random()
        shares = self._shares
        for share, behaviour in (
            (shares.disconnect, self._send_and_disconnect),
            (shares.slow, self._send_slowly),
            (shares.pipeline, self._send_pipelined),
            (shares.misbehave, self._misbehave),
            (shares.byte_flood, self._send_byte_flood),
        ):
            drawn -= share
            if drawn < 0:
                return behaviour
        return self._send_ordinary

    # Connections

    def release(self, connection: ClientConnection) -> None:
        """Return a connection without requests in flight to the idle ones."""
        self._idle[connection.proxy_number].append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Remove a lost connection."""
        self._connections.discard(connection)
        idle = self._idle[connection.proxy_number]
        if connection in idle:
            idle.remove(connection)

    async def _connect(self, proxy: ProxyProcess, force_new: bool = False) -> ClientConnection | None:
        """Return an idle or a new connection.

        Return None if no idle connection is usable and the load balancer in front of the proxy would open
        no connection now, or connecting fails.
        """
        idle = self._idle[proxy.number]
        while idle and not force_new:
            connection = idle.pop(self._random.randrange(len(idle)))
            if connection.is_usable():
                return connection
        if not self._accepts_connections(proxy):
            return None
        host, port = split_address(proxy.address)
        try:
            _, new_connection = await self.loop.create_connection(
                lambda: ClientConnection(self, proxy), host, port
            )
        except OSError:
            return None
        self._connections.add(new_connection)
        return new_connection

    def _accepts_connections(self, proxy: ProxyProcess) -> bool:
        incarnation = proxy.incarnation
        if incarnation is None or incarnation.ready_at is None or incarnation.ended_at is not None:
            return False
        stopping_at = incarnation.stopping_at
        return stopping_at is None or self.loop.time() <= stopping_at + CONNECT_AFTER_STOP_S

    def close(self) -> None:
        """Abort all connections."""
        for connection in list(self._connections):
            connection.abort()

    # Requests

    def _create_request(self, connection: ClientConnection) -> tuple[Request, bytes]:
        """Draw a request and return it encoded; the caller records it when its last byte is sent."""
        class_index = self._random.randrange(len(self._record.classes))
        request_class = self._record.classes[class_index]
        budget_s = request_class.deadline_s * self._random.uniform(MIN_BUDGET_FRACTION, 1.0)
        if self._random.random() < SHORT_BUDGET_SHARE:
            budget_s = self._random.uniform(*SHORT_BUDGET_S)
        request = Request(
            request_id=f"r{next(self._request_numbers):07d}",
            proxy=connection.proxy_number,
            incarnation=connection.incarnation,
            class_index=class_index,
            sent_at=0.0,
            budget_s=budget_s,
            on_reused_connection=connection.has_sent_request,
        )
        return request, encode_request(request, request_class)

    def _record_sent(self, connection: ClientConnection, request: Request) -> None:
        connection.record_sent(request)
        self._record.requests[request.request_id] = request

    def _send(self, connection: ClientConnection) -> Request:
        request, data = self._create_request(connection)
        connection.write(data)
        self._record_sent(connection, request)
        return request

    async def _send_ordinary(self, proxy: ProxyProcess) -> None:
        connection = await self._connect(proxy)
        if connection is not None:
            self._send(connection)

    async def _send_and_disconnect(self, proxy: ProxyProcess) -> None:
        connection = await self._connect(proxy)
        if connection is None:
            return
        request = self._send(connection)
        await asyncio.sleep(self._random.uniform(0.0, MAX_DISCONNECT_DELAY_S))
        if request.answered_at is None and not connection.is_lost:
            request.disconnected_at = self.loop.time()
            connection.abort()

    async def _send_slowly(self, proxy: ProxyProcess) -> None:
        connection = await self._connect(proxy)
        if connection is None:
            return
        request, data = self._create_request(connection)
        cuts = sorted(self._random.randrange(1, len(data)) for _ in range(SLOW_WRITE_CHUNKS - 1))
        for start, stop in zip([0, *cuts], [*cuts, len(data)], strict=True):
            if start:
                await asyncio.sleep(self._random.uniform(*SLOW_WRITE_PAUSE_S))
            if not connection.is_usable():
                return  # The request was not sent in full, so it is not recorded.
            connection.write(data[start:stop])
        self._record_sent(connection, request)

    async def _send_pipelined(self, proxy: ProxyProcess) -> None:
        connection = await self._connect(proxy)
        if connection is None:
            return
        is_long = self._random.random() < LONG_PIPELINE_SHARE
        length = self._random.randint(*(LONG_PIPELINE_LENGTH if is_long else PIPELINE_LENGTH))
        pipeline = [self._create_request(connection) for _ in range(length)]
        connection.write(b"".join(data for _, data in pipeline))
        for request, _ in pipeline:
            self._record_sent(connection, request)

    async def _misbehave(self, proxy: ProxyProcess) -> None:
        connection = await self._connect(proxy, force_new=True)
        if connection is not None:
            behaviour, data = self._random.choice(MISBEHAVIOURS)
            self._record.misbehaving_clients.append(connection.record_misbehaviour(behaviour))
            connection.write(data)

    async def _send_byte_flood(self, proxy: ProxyProcess) -> None:
        """Send a well-formed request, followed by garbage; the request must still get its response."""
        connection = await self._connect(proxy, force_new=True)
        if connection is not None:
            connection.record_misbehaviour("byte flood")
            self._send(connection)
            await asyncio.sleep(BYTE_FLOOD_DELAY_S)
            connection.write(GARBAGE + b"x" * BYTE_FLOOD_BYTES)

    async def flood_connections(self, proxy: ProxyProcess, connection_count: int) -> None:
        """Open this many connections and keep them open for a while without sending anything."""
        connections = [await self._connect(proxy, force_new=True) for _ in range(connection_count)]
        await asyncio.sleep(CONNECTION_FLOOD_S)
        for connection in connections:
            if connection is not None:
                connection.close()


def encode_request(request: Request, request_class: RequestClass) -> bytes:
    """Return the bytes of a request."""
    method = "GET" if request_class.idempotency is Idempotency.IDEMPOTENT else "POST"
    lines = [
        f"{method} /{request_class.name} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {request.request_id}",
        "X-Caller: all",
        f"X-Budget-Ms: {int(request.budget_s * 1000)}",
    ]
    if request_class.idempotency is Idempotency.KEYED:
        lines.append(f"Idempotency-Key: k{request.request_id}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
