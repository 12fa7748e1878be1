"""The client side of HTTP/1.1: a connection to a server that carries one exchange at a time."""

from __future__ import annotations

import asyncio
from typing import NamedTuple, cast

import httptools

from dunecove.proxy.bounded_protocol import BoundedProtocol
from dunecove.proxy.http_limits import (
    CHUNK_FRAMING_FACTOR,
    HEADER_OVERHEAD_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_LENGTH_DIGITS,
    Headers,
)
from dunecove.proxy.socket_probe import shutdown_write

# A longer body is collected in parts of about this size: a growing buffer would be copied as it is enlarged.
BODY_PART_BYTES = MAX_BODY_BYTES
MAX_INTERIM_RESPONSES = 8  # 1xx before the final one; a server that sends more only delays its client
STATUSES_WITHOUT_BODY = frozenset((204, 205, 304))  # they need no declared length


class Response(NamedTuple):
    """A complete response; a long body is kept as several parts."""

    status: int
    headers: Headers
    body_parts: tuple[bytes | bytearray, ...]

    @property
    def body(self) -> bytes:
        """The body, copied into one object."""
        return b"".join(self.body_parts)

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of the header `name`, which is in lower case, or None."""
        return next((value for key, value in self.headers if key == name), None)


class HttpExchange(BoundedProtocol):
    """A connection to a server that carries one exchange at a time.

    A subclass overrides `on_response` and `on_failed`; one of them is called once at the end of each
    exchange, unless `close` abandons it. The methods from `on_message_begin` to `on_message_complete` are
    called by the httptools parser and collect the response.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__()
        self.max_body_bytes = max_body_bytes
        # Maximum bytes of head and body on the wire, including chunk framing.
        self.max_response_bytes = MAX_HEAD_BYTES + CHUNK_FRAMING_FACTOR * max_body_bytes
        self.is_awaiting_response = False  # a request was sent and its response is incomplete
        self.is_reusable = True  # whether another exchange may follow
        self.has_unsent_bytes = False  # the kernel has not accepted all of the request
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
        # Declared length of the body, or the longest that is accepted where none is declared.
        self._expected_body_bytes = 0
        self._ends_at_close = False  # no length is declared: the response lasts until the end of the stream

    def on_response(self, response: Response) -> None:
        """Handle the response to the request that was sent."""
        raise NotImplementedError

    def on_failed(self) -> None:
        """Handle a lost connection or a malformed response; an exchange in progress gets no response."""
        raise NotImplementedError

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport; abort it if the connection was closed while it was being opened."""
        self.transport = cast(asyncio.Transport, transport)
        # With a limit of 0, `pause_writing` is called whenever the kernel does not accept all bytes at once.
        self.transport.set_write_buffer_limits(high=0)
        if not self.is_reusable:
            self.transport.abort()

    def send_request(self, *parts: bytes) -> None:
        """Send a complete request, given as parts that are not copied, and start waiting for its response."""
        assert self.transport is not None
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()
        self.is_awaiting_response = True
        self.has_unsent_bytes = False
        self.transport.writelines(parts)
        if self.transport.is_closing():
            self.has_unsent_bytes = True  # the write itself failed

    def pause_writing(self) -> None:
        """Record that the kernel has not accepted all of the request."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Record that the kernel has accepted the rest of the request."""
        self.has_unsent_bytes = False

    def close(self) -> None:
        """Close the connection and abandon its exchange without a callback.

        The write side is shut down at once because the request may be retried elsewhere in this iteration of
        the event loop and must not be in flight twice; the loop itself closes the socket only afterwards.
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
        """Parse a part of the response; close the connection on unsolicited bytes."""
        if not self.is_awaiting_response:
            self._fail()  # unsolicited bytes must never be read as the response to the next request
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
        """Finish a response that lasts until the end of the stream; not called after a reset."""
        if self.is_awaiting_response and self._ends_at_close and not self._is_malformed:
            self._is_complete = True
            self._finish()

    def _finish(self) -> None:
        self.is_awaiting_response = False
        # After an early response, the unsent rest of the request would run into the next request.
        self.is_reusable = self._keep_alive and not self.has_unsent_bytes
        if not self.is_reusable and self.transport is not None:
            self.transport.abort()
        response = Response(self._status, self._headers, tuple(self._body_parts))
        self._release_response()
        self.on_response(response)

    def _release_response(self) -> None:
        """Drop what was received, so that an idle or closing connection does not keep it in memory."""
        self._headers = []
        self._body_parts = []

    def memory_bytes(self) -> int:
        """Return how much memory the response takes up to its end, all of its body included."""
        overhead_bytes = HEADER_OVERHEAD_BYTES * len(self._headers)
        if not self._headers_complete:
            return self._received_bytes + overhead_bytes
        header_bytes = sum(len(name) + len(value) for name, value in self._headers)
        return header_bytes + overhead_bytes + self._expected_body_bytes

    def missing_body_bytes(self) -> int:
        """Return how much of the body is still to come, without framing; 0 before the head is complete."""
        return max(self._expected_body_bytes - self._body_bytes, 0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange in progress, if any."""
        self._fail()
        self._release_response()
        self._parser = None  # breaks a reference cycle, which only the garbage collector would free

    def on_message_begin(self) -> None:
        """Detect a second response; called by httptools at the start of a message."""
        if self._is_complete:
            self._keep_alive = False  # a second response to the same request

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; called by httptools."""
        if self._headers_complete:
            return  # a trailer, or a header of a second response
        if len(self._headers) == MAX_HEADERS:
            self._is_malformed = True
            return
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
            # 101 switches to another protocol, which no request asks for.
            if self._interim_responses > MAX_INTERIM_RESPONSES or self._status == 101:
                self._is_malformed = True
            return
        self._check_framing()

    def _check_framing(self) -> None:
        """Check that the response declares its length at most once, in a supported way."""
        lengths = [value for name, value in self._headers if name == b"content-length"]
        codings = [value for name, value in self._headers if name == b"transfer-encoding"]
        self._expected_body_bytes = self.max_body_bytes
        if len(lengths) + len(codings) > 1:
            self._is_malformed = True
        elif codings:
            self._is_malformed |= codings[0].strip().lower() != b"chunked"
        elif lengths:
            # A declared length that is too long fails at once, without waiting for the body or the timeout.
            self._set_length(lengths[0].strip())
        elif self._status in STATUSES_WITHOUT_BODY:
            self._expected_body_bytes = 0
        else:
            self._ends_at_close = True

    def _set_length(self, length: bytes) -> None:
        is_number = length.isdigit() and len(length) <= MAX_LENGTH_DIGITS
        if is_number and int(length) <= self.max_body_bytes:
            self._expected_body_bytes = int(length)
        else:
            self._is_malformed = True

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
        """Finish the response, or prepare for the next one after an interim response; called by httptools."""
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
