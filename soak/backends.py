"""Backends on loopback, good and bad, that write down each request to its last byte."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import cast

from soak.http import END, Message, Stream
from soak.records import Attempt, Journal, Ran

OK = b"HTTP/1.1 200 OK\r\n"
NOISE = bytes(range(128, 250))
LATE_COPY_S = 0.004  # until the second copy of an answer comes


class Manner(Enum):
    """How a backend answers."""

    GOOD = "good"
    SLOW = "slow"  # six times as slow
    HANG = "hang"  # reads, and says nothing
    ERROR = "error"  # 500
    REJECT = "reject"  # 503 with `X-Rejected`
    RESET = "reset"  # after it has read the request
    HALF = "half"  # half an answer, then a reset
    SPOILT = "spoilt"  # what can't be read; the connection stays open
    NO_LENGTH = "no length"  # whole, and ended by the close
    NO_LENGTH_RESET = "no length, reset"
    TWICE = "twice"  # a second copy right behind an answer
    CLOSES = "closes"  # the connection, right after an answer


SLOWNESS = 6.0


@dataclass
class Mix:
    """A manner that takes the place of the usual one for some requests."""

    manner: Manner
    share: float


class Backend:
    """One listening address. `open` before use; its manner may change at any time."""

    def __init__(self, uid: str, cell: int, journal: Journal, random: Random, work_s: float) -> None:
        self.uid, self.cell, self.journal, self.random, self.work_s = uid, cell, journal, random, work_s
        self.mix: list[Mix] = []
        self.connections: set[BackendConnection] = set()
        self.server: asyncio.Server | None = None
        self.address = ""
        self.boot_ms = 0

    async def open(self) -> Backend:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: BackendConnection(self), "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    def manner(self) -> Manner:
        drawn = self.random.random()
        for mix in self.mix:
            drawn -= mix.share
            if drawn < 0:
                return mix.manner
        return Manner.GOOD

    def vanish(self) -> None:
        """Its process dies: connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.reset()

    def close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.attempt is None:
                connection.transport.close()


class BackendConnection(asyncio.Protocol):
    def __init__(self, backend: Backend) -> None:
        self.backend, self.stream = backend, Stream()
        self.loop = asyncio.get_running_loop()
        self.attempt: Attempt | None = None
        self.first_byte: float | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.backend.connections.add(self)

    def eof_received(self) -> None:
        self._end_attempt()

    def connection_lost(self, exc: Exception | None) -> None:
        self.backend.connections.discard(self)
        self._end_attempt()

    def _end_attempt(self) -> None:
        if self.attempt is not None:
            self.attempt.closed = self.loop.time()
            self.attempt = None

    def reset(self) -> None:
        if not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.first_byte is None:
            self.first_byte = self.loop.time()
        for message in self.stream.feed(data):
            self._serve(message)

    def _serve(self, message: Message) -> None:
        assert self.first_byte is not None
        request = message.headers.get(b"x-call-id", b"").decode()
        attempt = Attempt(
            request,
            self.backend.uid,
            self.backend.cell,
            self.first_byte,
            self.loop.time(),
            int(message.headers.get(b"x-budget-ms", 0)),
        )
        self.first_byte, self.attempt = None, attempt
        self.backend.journal.attempts.append(attempt)
        manner = self.backend.manner()
        delay = self.backend.random.uniform(0.5, 1.5) * self.backend.work_s
        if manner is Manner.REJECT:
            attempt.ran = Ran.REJECTED
        if manner is not Manner.HANG:
            slow = SLOWNESS if manner is Manner.SLOW else 1.0
            self.loop.call_later(delay * slow, self._answer, attempt, manner)

    def _answer(self, attempt: Attempt, manner: Manner) -> None:
        if attempt is not self.attempt or self.transport.is_closing():
            return  # given up by then
        body = f"{attempt.backend} {attempt.request}".encode()
        whole = OK + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        if manner is Manner.ERROR:
            self._write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
        elif manner is Manner.REJECT:
            self._write(b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
        elif manner is Manner.RESET:
            self.reset()
        elif manner is Manner.HALF:
            self.transport.write(whole[:-3])
            self.loop.call_later(LATE_COPY_S, self.reset)
        elif manner is Manner.SPOILT:
            self.transport.write(NOISE)
        elif manner is Manner.NO_LENGTH:
            attempt.ran = Ran.SERVED
            self._write(OK + END[2:] + body)
            self.transport.close()
        elif manner is Manner.NO_LENGTH_RESET:
            self.transport.write(OK + END[2:] + body[:-2])
            self.loop.call_later(LATE_COPY_S, self.reset)
        else:
            attempt.ran = Ran.SERVED
            self._write(whole)
            if manner is Manner.TWICE:
                self.loop.call_later(LATE_COPY_S * self.backend.random.random(), self._copy, whole)
            elif manner is Manner.CLOSES:
                self.transport.close()

    def _copy(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        self._end_attempt()
