"""The client side of HTTP/1.1: a connection to a server that carries one exchange at a time."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

from dunecove.proxy.http_limits import (
    CHUNK_FRAMING_FACTOR,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_LENGTH_DIGITS,
    Headers,
)
from dunecove.proxy.socket_probe import shutdown_write

BODY_PART_BYTES = MAX_BODY_BYTES  # a longer body is collected in several parts, so that none is ever copied
MAX_INTERIM_RESPONSES = 8  # 1xx ahead of the final one: a server that sends more only delays its client
STATUSES_WITHOUT_BODY = frozenset((204, 205, 304))  # they need not declare a length


class Response(NamedTuple):
    """A complete response. A long body stays in parts that are not joined."""

    status: int
    headers: Headers
    body_parts: tuple[bytes | bytearray, ...]

    @property
    def body(self) -> bytes:
        """The whole body as one copy."""
        return b"".join(self.body_parts)

    def header(self, name: bytes) -> bytes | None:
        """The first value of a header, by its name in lower case."""
        return next((value for key, value in self.headers if key == name), None)


class HttpExchange(asyncio.Protocol):
    """A connection to a server that carries one exchange at a time.

    A subclass overrides `on_response` and `on_failed`, one of which ends each exchange, once. The methods
    that httptools calls as it parses (`on_message_begin` to `on_message_complete`) collect the response.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.transport: asyncio.Transport | None = None
        self.max_body_bytes = max_body_bytes
        # As sent, the framing of chunks included.
        self.max_response_bytes = MAX_HEAD_BYTES + CHUNK_FRAMING_FACTOR * max_body_bytes
        self.is_awaiting_response = False  # a request has been sent and its response is incomplete
        self.is_reusable = True  # another exchange may follow
        self.has_unsent_bytes = False  # a part of the request has surely not left
        self._parser: httptools.HttpResponseParser | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        self._status = 0
        self._headers: Headers = []
        self._body_parts = [bytearray()]
        self._body_bytes = 0
        self._received_bytes = 0
        self._interim_responses = 0
        self._headers_complete = False
        self._is_malformed = False
        self._is_complete = False
        self._keep_alive = False
        self._ends_at_close = False  # the response declares no length: the end of the stream ends it

    def on_response(self, response: Response) -> None:
        """Handle the response to the request that was sent."""
        raise NotImplementedError

    def on_failed(self) -> None:
        """Handle the end of the connection; an exchange in progress gets no response."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport, or drop it if the connection was closed while it was being opened."""
        self.transport = cast(asyncio.Transport, transport)
        # Without a write buffer what the kernel does not take at once can be told apart (`pause_writing`).
        self.transport.set_write_buffer_limits(high=0)
        if not self.is_reusable:
            self.transport.abort()

    def send_request(self, request: bytes) -> None:
        """Send a complete request and begin to wait for its response."""
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()
        self.is_awaiting_response = True
        self.has_unsent_bytes = False
        self.transport.write(request)
        if self.transport.is_closing():
            self.has_unsent_bytes = True  # the write itself failed

    def pause_writing(self) -> None:
        """Note that the kernel has not taken all of the request."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Note that the kernel has taken the rest of the request."""
        self.has_unsent_bytes = False

    def close(self) -> None:
        """Close the connection and abandon its exchange without a callback.

        The request may be retried elsewhere in this turn of the loop and must not be in flight twice: the
        server sees the end of the stream before that, while the loop closes a socket only after the turn.
        """
        self.is_awaiting_response = False
        self.is_reusable = False
        if self.transport is not None:
            shutdown_write(self.transport)
            self.transport.abort()

    def _fail(self) -> None:
        if self.is_reusable or self.is_awaiting_response:
            self.close()
            self.on_failed()

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; unsolicited bytes end the connection."""
        if not self.is_awaiting_response:
            self._fail()  # a response to no request must never be taken for that to the next one
            return
        self._received_bytes += len(data)
        assert self._parser is not None
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._keep_alive = False
            self._is_malformed = not self._is_complete
        if self._is_complete:
            self._finish()
        elif self._is_malformed or self._is_too_long():
            self._fail()

    def _is_too_long(self) -> bool:
        limit_bytes = self.max_response_bytes if self._headers_complete else MAX_HEAD_BYTES
        return self._received_bytes > limit_bytes

    def eof_received(self) -> None:
        """Finish a response that lasts until the end of the stream. A reset does not lead here."""
        if self.is_awaiting_response and self._ends_at_close and not self._is_malformed:
            self._is_complete = True
            self._finish()

    def _finish(self) -> None:
        self.is_awaiting_response = False
        # After an early response the rest of the request must not run into the next one.
        self.is_reusable = self._keep_alive and not self.has_unsent_bytes
        if not self.is_reusable and self.transport is not None:
            self.transport.abort()
        body_parts = tuple(self._body_parts)
        self._body_parts = []
        self.on_response(Response(self._status, self._headers, body_parts))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, if any."""
        self._fail()
        self._parser = None  # it refers to this object in turn: a cycle would wait for the garbage collector

    def on_message_begin(self) -> None:
        """Begin a message; called by httptools."""
        if self._is_complete:
            self._keep_alive = False  # a second response to one request

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by httptools."""
        if not self._headers_complete:  # else it is a trailer, or of a second response
            self._headers.append((name.strip().lower(), value))

    def on_headers_complete(self) -> None:
        """Check status and framing; called by httptools."""
        if self._is_complete:
            return
        assert self._parser is not None
        self._status = self._parser.get_status_code()
        self._headers_complete = True
        if self._status < 200:
            self._interim_responses += 1
            # 101 would turn the stream into another protocol, which no request asks for.
            if self._interim_responses > MAX_INTERIM_RESPONSES or self._status == 101:
                self._is_malformed = True
            return
        self._check_framing()

    def _check_framing(self) -> None:
        """Check that the response declares its length in one way, or lasts until the end of the stream."""
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        if len(lengths) + len(codings) > 1:
            self._is_malformed = True
        elif codings:
            self._is_malformed = codings[0].strip().lower() != b"chunked"
        elif lengths:
            # A body that will be too long is refused now, not once so much has arrived or the time is up.
            self._is_malformed = not self._is_acceptable_length(lengths[0].strip())
        else:
            self._ends_at_close = self._status not in STATUSES_WITHOUT_BODY

    def _is_acceptable_length(self, length: bytes) -> bool:
        if not length.isdigit() or len(length) > MAX_LENGTH_DIGITS:
            return False
        return int(length) <= self.max_body_bytes

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; called by httptools."""
        if self._is_complete or self._is_malformed:
            return
        if len(self._body_parts[-1]) >= BODY_PART_BYTES:
            self._body_parts.append(bytearray())
        self._body_parts[-1] += body
        self._body_bytes += len(body)
        self._is_malformed = self._body_bytes > self.max_body_bytes

    def on_message_complete(self) -> None:
        """Finish the response, or go on to the final one after an interim one; called by httptools."""
        if self._is_complete or self._is_malformed:
            return
        if self._status < 200:
            self._headers = []
            self._headers_complete = False
            self._received_bytes = 0
            return
        assert self._parser is not None
        self._is_complete = True
        self._keep_alive = self._parser.should_keep_alive()
