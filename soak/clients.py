"""Clients on loopback: an open loop of ordinary requests, and some clients that misbehave."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from itertools import count
from random import Random
from typing import Any, cast

from dunecove.policy.models import Idempotency
from soak.http import Message, Stream
from soak.proxies import ProxyProcess
from soak.records import BadClient, Journal, Lane, Request

NEW_AFTER_STOP_S = 0.3  # after SIGTERM, in which new connections still come
PIECES = 3  # of a request that is written slowly
LEAST_BUDGET = 0.7  # part of its class's deadline that a client waits
HURRIED = 0.03  # share of the requests that have very little time left
HURRIED_S = (0.01, 0.15)
PIPELINED = (3, 6)
PIPELINED_MANY, PIPELINED_MANY_SHARE = (30, 60), 0.1
CROWD_S = 4.0  # for which a crowd of silent connections stays, unless the proxy closes them
LEAVES_WITHIN_S = 0.1
FLOOD_BYTES = 2 * 1024 * 1024
GARBAGE = b"\x16\x03\x01 this is no request\r\n\r\n"
Behaviour = Callable[[ProxyProcess], Coroutine[Any, Any, None]]
HALF = b"POST /cargo HTTP/1.1\r\nHost: backend.local\r\nContent-Length: 100\r\n\r\nhalf"


@dataclass(frozen=True)
class Habits:
    """Shares of the clients that do something unusual."""

    leave: float = 0.06  # without waiting for the answer
    slow: float = 0.04  # write the request in pieces
    pipeline: float = 0.03  # send several at once
    bad: float = 0.02  # send what can't be read, or half a request
    flood: float = 0.01  # a request, and then noise without end


class Connection(asyncio.Protocol):
    """One connection to a proxy; answers come in the order of the requests."""

    def __init__(self, clients: Clients, proxy: ProxyProcess) -> None:
        assert proxy.life is not None
        self.clients, self.proxy, self.life = clients, proxy, proxy.life.life
        self.stream = Stream()
        self.open: list[Request] = []
        self.used = self.ended = False
        self.bad: BadClient | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended = True
        now = self.clients.loop.time()
        self._end_bad(now)
        for request in self.open:
            if request.left is None and request.answered is None:
                request.broken = now
        self.clients.forget(self)

    def _end_bad(self, now: float) -> None:
        if self.bad is not None and self.bad.ended is None:
            self.bad.ended = now

    def data_received(self, data: bytes) -> None:
        for message in self.stream.feed(data):
            self._answered(message)

    def _answered(self, message: Message) -> None:
        now, status = self.clients.loop.time(), int(message.first.split()[1])
        if not self.open:
            self._end_bad(now)
            return
        request = self.open.pop(0)
        request.answered, request.status, request.body = now, status, message.body
        if message.headers.get(b"connection") == b"close":
            self.transport.close()
        elif not self.open and self.bad is None:
            self.clients.keep(self)


class Clients:
    """Sends to all proxies at a rate, until it is stopped."""

    def __init__(
        self, proxies: Sequence[ProxyProcess], journal: Journal, random: Random, rate: float, habits: Habits
    ) -> None:
        self.proxies, self.journal, self.random = proxies, journal, random
        self.rate, self.habits = rate, habits
        self.loop = asyncio.get_running_loop()
        self.idle: dict[int, list[Connection]] = {proxy.number: [] for proxy in proxies}
        self.ids = count()
        self.tasks: set[asyncio.Task[None]] = set()
        self.connections: set[Connection] = set()

    async def run(self, seconds: float) -> None:
        end = following = self.loop.time()
        end += seconds
        while following < end:
            following += self.random.expovariate(self.rate)
            late = self.loop.time() - following
            if late < 0:
                await asyncio.sleep(-late)
            behaviour = self._behaviour()
            self._spawn(behaviour(self.random.choice(self.proxies)))
        if self.tasks:
            await asyncio.wait(self.tasks)

    def _behaviour(self) -> Behaviour:
        drawn, habits = self.random.random(), self.habits
        for share, behaviour in (
            (habits.leave, self._leaving),
            (habits.slow, self._slow),
            (habits.pipeline, self._pipelined),
            (habits.bad, self._bad),
            (habits.flood, self._flooding),
        ):
            drawn -= share
            if drawn < 0:
                return behaviour
        return self._ordinary

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # Connections

    def keep(self, connection: Connection) -> None:
        self.idle[connection.proxy.number].append(connection)

    def forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        kept = self.idle[connection.proxy.number]
        if connection in kept:
            kept.remove(connection)

    async def _connection(self, proxy: ProxyProcess, new: bool = False) -> Connection | None:
        """A kept one, or a new one if the front would open one there now."""
        kept = self.idle[proxy.number]
        while kept and not new:
            connection = kept.pop(self.random.randrange(len(kept)))
            if not connection.ended and not connection.transport.is_closing():
                return connection
        life = proxy.life
        if life is None or life.ready is None or life.ended is not None:
            return None
        if life.stopping is not None and self.loop.time() > life.stopping + NEW_AFTER_STOP_S:
            return None
        host, port = proxy.listen.split(":")
        try:
            _, made = await self.loop.create_connection(lambda: Connection(self, proxy), host, int(port))
        except OSError:
            return None
        self.connections.add(made)
        return made

    # Requests

    def _request(self, connection: Connection) -> tuple[Request, bytes]:
        """Written down once its last byte has been sent."""
        lane = self.random.randrange(len(self.journal.lanes))
        spec = self.journal.lanes[lane]
        budget_s = spec.deadline_s * self.random.uniform(LEAST_BUDGET, 1.0)
        if self.random.random() < HURRIED:
            budget_s = self.random.uniform(*HURRIED_S)
        request_id = f"r{next(self.ids):07d}"
        proxy = connection.proxy.number
        request = Request(request_id, proxy, connection.life, lane, 0.0, budget_s, connection.used)
        return request, encode(request, spec)

    def _sent(self, connection: Connection, request: Request) -> None:
        request.sent = self.loop.time()
        connection.used = True
        connection.open.append(request)
        self.journal.requests[request.id] = request

    async def _ordinary(self, proxy: ProxyProcess) -> None:
        if (connection := await self._connection(proxy)) is not None:
            request, data = self._request(connection)
            connection.transport.write(data)
            self._sent(connection, request)

    async def _leaving(self, proxy: ProxyProcess) -> None:
        if (connection := await self._connection(proxy)) is None:
            return
        request, data = self._request(connection)
        connection.transport.write(data)
        self._sent(connection, request)
        await asyncio.sleep(self.random.uniform(0.0, LEAVES_WITHIN_S))
        if request.answered is None and not connection.ended:
            request.left = self.loop.time()
            connection.transport.abort()

    async def _slow(self, proxy: ProxyProcess) -> None:
        if (connection := await self._connection(proxy)) is None:
            return
        request, data = self._request(connection)
        cuts = sorted(self.random.randrange(1, len(data)) for _ in range(PIECES - 1))
        for start, stop in zip([0, *cuts], [*cuts, len(data)], strict=True):
            if start:
                await asyncio.sleep(self.random.uniform(0.05, 0.3))
            if connection.ended or connection.transport.is_closing():
                return  # nothing was asked whole
            connection.transport.write(data[start:stop])
        self._sent(connection, request)

    async def _pipelined(self, proxy: ProxyProcess) -> None:
        if (connection := await self._connection(proxy)) is None:
            return
        many = self.random.random() < PIPELINED_MANY_SHARE
        number = self.random.randint(*(PIPELINED_MANY if many else PIPELINED))
        made = [self._request(connection) for _ in range(number)]
        connection.transport.write(b"".join(data for _, data in made))
        for request, _ in made:
            self._sent(connection, request)

    async def _bad(self, proxy: ProxyProcess) -> None:
        if (connection := await self._connection(proxy, new=True)) is not None:
            manner, data = self.random.choice((("garbage", GARBAGE), ("half", HALF), ("silent", b"")))
            self._watch_bad(connection, manner)
            connection.transport.write(data)

    async def _flooding(self, proxy: ProxyProcess) -> None:
        """A good request is owed its answer, whatever comes behind it."""
        if (connection := await self._connection(proxy, new=True)) is not None:
            request, data = self._request(connection)
            self._watch_bad(connection, "flood")
            connection.transport.write(data)
            self._sent(connection, request)
            await asyncio.sleep(0.002)
            connection.transport.write(GARBAGE + b"x" * FLOOD_BYTES)

    async def crowd(self, proxy: ProxyProcess, number: int) -> None:
        """Connections that say nothing, as many at once."""
        made = [await self._connection(proxy, new=True) for _ in range(number)]
        await asyncio.sleep(CROWD_S)
        for connection in made:
            if connection is not None and not connection.ended:
                connection.transport.close()

    def _watch_bad(self, connection: Connection, manner: str) -> None:
        connection.bad = BadClient(connection.proxy.number, connection.life, self.loop.time(), manner)
        if manner != "flood":
            self.journal.bad_clients.append(connection.bad)

    def close(self) -> None:
        for connection in list(self.connections):
            connection.transport.abort()


def encode(request: Request, lane: Lane) -> bytes:
    method = "GET" if lane.effect is Idempotency.IDEMPOTENT else "POST"
    lines = [
        f"{method} /{lane.name} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {request.id}",
        "X-Caller: all",
        f"X-Budget-Ms: {int(request.budget_s * 1000)}",
    ]
    if lane.effect is Idempotency.KEYED:
        lines.append(f"Idempotency-Key: k{request.id}")
    if method == "POST":
        lines.append("Content-Length: 0")
    return "\r\n".join([*lines, "", ""]).encode()
