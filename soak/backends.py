"""Backends on loopback, healthy and faulty, that record each request that they read in full."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import cast

from soak.http import Message, MessageReader
from soak.loopback import open_server
from soak.records import Attempt, Execution, RunRecord

OK_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
ERROR_RESPONSE = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
UNPARSEABLE_RESPONSE = bytes(range(128, 250))
FOLLOW_UP_DELAY_S = 0.004  # from a partial response to its reset; maximum delay of a duplicate response
SLOW_SERVICE_FACTOR = 6.0  # multiple of the usual service time
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with 0 s: a close sends a reset


class Behaviour(Enum):
    """How a backend answers a request; the values are printed in reports."""

    GOOD = "good"
    SLOW = "slow"
    NO_RESPONSE = "no response"
    ERROR = "error"  # status 500
    REJECT = "reject"  # status 503 with `X-Rejected`
    RESET = "reset"  # after the backend has read the request
    TRUNCATED = "truncated response"  # all but the end of a response, followed by a reset
    UNPARSEABLE = "unparseable response"  # not HTTP; the connection stays open
    NO_CONTENT_LENGTH = "no content length"  # a complete response that the close ends
    NO_CONTENT_LENGTH_RESET = "no content length, reset"  # a partial response that a reset ends
    DUPLICATE_RESPONSE = "duplicate response"  # a response, repeated after a short delay
    CLOSE_AFTER_RESPONSE = "close after response"


@dataclass
class BehaviourOverride:
    """A behaviour that replaces the usual one for a fraction of the requests."""

    behaviour: Behaviour
    share: float  # fraction of requests


class Backend:
    """A backend with one listening address.

    Call `open` before use. The overrides may change at any time.
    """

    def __init__(
        self, backend_id: str, cell: int, record: RunRecord, random: Random, service_s: float
    ) -> None:
        self.backend_id = backend_id
        self.cell = cell  # rack, whose backends deduplicate keyed requests together
        self.record = record
        self.overrides: list[BehaviourOverride] = []
        self.connections: set[BackendConnection] = set()
        self.address = ""
        self.boot_ms = 0  # start time as Unix time in ms; 0 for a backend that started long ago
        self._random = random
        self._service_s = service_s
        self._server: asyncio.Server | None = None

    async def open(self) -> Backend:
        """Start to listen and return the backend."""
        self._server, self.address = await open_server(lambda: BackendConnection(self))
        return self

    def draw_behaviour(self) -> Behaviour:
        """Draw the behaviour for one request."""
        drawn = self._random.random()
        for override in self.overrides:
            drawn -= override.share
            if drawn < 0:
                return override.behaviour
        return Behaviour.GOOD

    def draw_service_time(self) -> float:
        """Draw the service time of one request, in seconds."""
        return self._random.uniform(0.5, 1.5) * self._service_s

    def draw_duplicate_delay(self) -> float:
        """Draw the delay before a duplicate response, in seconds."""
        return FOLLOW_UP_DELAY_S * self._random.random()

    def kill(self) -> None:
        """Act as a killed process: reset the connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.reset()

    def close_idle_connections(self) -> None:
        """Close all connections without a request in flight."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()


class BackendConnection(asyncio.Protocol):
    """A connection from a proxy, with one request at a time."""

    def __init__(self, backend: Backend) -> None:
        self._backend = backend
        self._reader = MessageReader()
        self._loop = asyncio.get_running_loop()
        self._attempt: Attempt | None = None
        self._first_byte_at: float | None = None

    @property
    def is_idle(self) -> bool:
        """Whether the connection has no request in flight."""
        return self._attempt is None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register with the backend."""
        self._transport = cast(asyncio.Transport, transport)
        self._backend.connections.add(self)

    def eof_received(self) -> None:
        """End the attempt in flight, which the proxy has abandoned."""
        self._end_attempt()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the attempt in flight."""
        self._backend.connections.discard(self)
        self._end_attempt()

    def _end_attempt(self) -> None:
        if self._attempt is not None:
            self._attempt.closed_at = self._loop.time()
            self._attempt = None

    def close(self) -> None:
        """Close after pending writes."""
        self._transport.close()

    def reset(self) -> None:
        """Reset the connection, discarding pending writes."""
        if not self._transport.is_closing():
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Record an attempt for each complete request and schedule its response."""
        if self._first_byte_at is None:
            self._first_byte_at = self._loop.time()
        for message in self._reader.feed(data):
            self._begin_attempt(message)

    def _begin_attempt(self, message: Message) -> None:
        assert self._first_byte_at is not None
        attempt = Attempt(
            request_id=message.headers.get(b"x-call-id", b"").decode(),
            backend_id=self._backend.backend_id,
            cell=self._backend.cell,
            first_byte_at=self._first_byte_at,
            last_byte_at=self._loop.time(),
            budget_ms=int(message.headers.get(b"x-budget-ms", 0)),
        )
        self._first_byte_at = None
        self._attempt = attempt
        self._backend.record.attempts.append(attempt)
        behaviour = self._backend.draw_behaviour()
        service_s = self._backend.draw_service_time()
        if behaviour is Behaviour.REJECT:
            attempt.execution = Execution.REJECTED
        if behaviour is not Behaviour.NO_RESPONSE:
            factor = SLOW_SERVICE_FACTOR if behaviour is Behaviour.SLOW else 1.0
            self._loop.call_later(service_s * factor, self._respond, attempt, behaviour)

    def _respond(self, attempt: Attempt, behaviour: Behaviour) -> None:
        if attempt is not self._attempt or self._transport.is_closing():
            return  # The attempt has ended: the proxy abandoned it, or this backend was killed.
        body = f"{attempt.backend_id} {attempt.request_id}".encode()
        response = OK_STATUS_LINE + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
        match behaviour:
            case Behaviour.ERROR:
                self._write_response(ERROR_RESPONSE)
            case Behaviour.REJECT:
                self._write_response(REJECTION)
            case Behaviour.RESET:
                self.reset()
            case Behaviour.TRUNCATED:
                self._write_and_reset(response[:-3])
            case Behaviour.UNPARSEABLE:
                self._transport.write(UNPARSEABLE_RESPONSE)
            case Behaviour.NO_CONTENT_LENGTH_RESET:
                self._write_and_reset(OK_STATUS_LINE + b"\r\n" + body[:-2])
            case Behaviour.NO_CONTENT_LENGTH:
                attempt.execution = Execution.EXECUTED
                self._write_response(OK_STATUS_LINE + b"\r\n" + body)
                self._transport.close()
            case _:
                attempt.execution = Execution.EXECUTED
                self._write_response(response)
                self._follow_up(behaviour, response)

    def _follow_up(self, behaviour: Behaviour, response: bytes) -> None:
        if behaviour is Behaviour.DUPLICATE_RESPONSE:
            self._loop.call_later(self._backend.draw_duplicate_delay(), self._write_if_open, response)
        elif behaviour is Behaviour.CLOSE_AFTER_RESPONSE:
            self._transport.close()

    def _write_if_open(self, data: bytes) -> None:
        if not self._transport.is_closing():
            self._transport.write(data)

    def _write_and_reset(self, data: bytes) -> None:
        self._transport.write(data)
        self._loop.call_later(FOLLOW_UP_DELAY_S, self.reset)

    def _write_response(self, data: bytes) -> None:
        self._transport.write(data)
        self._end_attempt()
