"""Parses a byte stream into complete HTTP/1.1 requests, or the error that ends the stream."""

from __future__ import annotations

import re
from math import inf
from typing import NamedTuple

import httptools

from dunecove.proxy.http_limits import (
    CHUNK_FRAMING_FACTOR,
    HEADER_OVERHEAD_BYTES,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    MAX_LENGTH_DIGITS,
    MESSAGE_OVERHEAD_BYTES,
    Headers,
)

# Size of one request on the wire, including the framing of its chunks.
MAX_REQUEST_BYTES = MAX_HEAD_BYTES + CHUNK_FRAMING_FACTOR * MAX_BODY_BYTES
BUDGET_MS_PATTERN = re.compile(rb"0{0,8}[1-9][0-9]{0,8}")


class RequestError(Exception):
    """A request that the proxy itself rejects with an HTTP error status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class FailedRequest(NamedTuple):
    """A request that could not be read, with the HTTP status to answer it; none is read after it.

    It is no exception: one that is kept and raised later refers to the frames of its callers, and these to it
    and to the bytes that were read, which only the garbage collector would free.
    """

    status: int


class HttpRequest(NamedTuple):
    """A complete request, of which only the framing is validated."""

    method: bytes
    target: bytes
    headers: Headers  # without trailers
    body: bytes
    keep_alive: bool
    arrived_at: float  # arrival time of its last bytes, in ms of `now_ms`
    is_shed: bool = False  # its body was discarded, since there was no memory for it

    def size_bytes(self) -> int:
        """Return the size of target, headers and body, without HTTP framing."""
        header_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target) + len(self.body) + header_bytes

    def memory_bytes(self) -> int:
        """Return about how much memory the request takes."""
        return self.size_bytes() + MESSAGE_OVERHEAD_BYTES + HEADER_OVERHEAD_BYTES * len(self.headers)

    def deadline(self) -> float:
        """Return when the client stops waiting, in ms of `now_ms`; infinity without a valid budget."""
        budget = next((value for name, value in self.headers if name == b"x-budget-ms"), b"")
        return self.arrived_at + float(budget) if BUDGET_MS_PATTERN.fullmatch(budget) else inf


def check_framing(headers: Headers) -> int | None:
    """Return the declared length of the body; None if it is chunked.

    Raise RequestError if the body is too large, or its length is invalid or its coding not supported.

    An ambiguous length is invalid, since it would allow request smuggling.
    """
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    if len(lengths) + len(codings) > 1:
        raise RequestError(400)
    if codings and codings[0].strip().lower() != b"chunked":
        raise RequestError(400)
    if lengths:
        if not lengths[0].isdigit():
            raise RequestError(400)
        if len(lengths[0]) > MAX_LENGTH_DIGITS or int(lengths[0]) > MAX_BODY_BYTES:
            raise RequestError(413)
        return int(lengths[0])
    return None if codings else 0


class RequestReader:
    """Parses the requests of one connection; httptools calls the `on_` methods.

    After an error, the boundaries of further requests are unknown, so nothing more may be fed to it.
    """

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._completed: list[HttpRequest | FailedRequest] = []
        self.has_failed = False
        self.is_mid_request = False  # a request has begun and is incomplete
        # The last fed bytes completed a head with `expect: 100-continue`, and no request before it.
        self.expects_continue = False
        self.arrived_at = 0.0  # arrival time of the bytes being parsed, in ms of `now_ms`
        self._start_request()

    def _start_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._is_head_complete = False
        self._is_shed = False
        # Declared length of the body, or the longest that is accepted where none is declared.
        self._max_body_bytes = 0
        self._received_body_bytes = 0
        # Size of the current request on the wire, without bytes that were fed together with an earlier one.
        self.size_bytes = 0

    def feed(self, data: bytes, arrived_at: float) -> list[HttpRequest | FailedRequest]:
        """Parse bytes that arrived together; return the requests that they complete, a failed one last."""
        assert self._parser is not None
        self.expects_continue = False
        self.arrived_at = arrived_at
        self.size_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # The request completed before the invalid bytes is dropped too: its declared length may be wrong.
            # A request for an upgrade is completed before the parser raises; the error replaces it.
            if self._completed and isinstance(self._completed[-1], HttpRequest):
                self._completed.pop()
            self._fail(400)
        if not self._is_head_complete and self.size_bytes > MAX_HEAD_BYTES:
            self._fail(400)
        elif self.size_bytes > MAX_REQUEST_BYTES:
            self._fail(413)
        completed = self._completed
        self._completed = []  # an idle connection must not keep the last body in memory
        return completed

    def time_out(self) -> FailedRequest:
        """Abandon the incomplete request."""
        return self._end_stream(408)

    def memory_bytes(self) -> int:
        """Return how much memory the incomplete request takes up to its end, all of its body included."""
        if not self.is_mid_request:
            return 0
        overhead_bytes = HEADER_OVERHEAD_BYTES * len(self._headers)
        if not self._is_head_complete:
            return self.size_bytes + overhead_bytes
        header_bytes = sum(len(name) + len(value) for name, value in self._headers)
        body_bytes = 0 if self._is_shed else self._max_body_bytes
        return MESSAGE_OVERHEAD_BYTES + len(self._target) + header_bytes + overhead_bytes + body_bytes

    def missing_body_bytes(self) -> int:
        """Return how much of the incomplete request's body is still to come; 0 before its head is complete.

        Of a chunked body this is the most that is accepted, without framing.
        """
        return max(self._max_body_bytes - self._received_body_bytes, 0)

    def missing_memory_bytes(self) -> int:
        """Return the part of `memory_bytes` that is for bytes still to come."""
        return 0 if self._is_shed else self.missing_body_bytes()

    def shed(self) -> FailedRequest | None:
        """Discard the body of the incomplete request, for which there is no memory.

        If its head is not complete, so that its end is unknown, abandon it and return it as failed.
        """
        if self._is_head_complete:
            self._is_shed = True
            self._body = bytearray()
            return None
        return self._end_stream(503)

    def _fail(self, status: int) -> None:
        """End the stream with a failed request, unless an earlier one has ended it."""
        if not self.has_failed:
            self._completed.append(self._end_stream(status))

    def _end_stream(self, status: int) -> FailedRequest:
        self.has_failed = True
        self.is_mid_request = False
        self._start_request()  # releases what was received of it
        return FailedRequest(status)

    def close(self) -> None:
        """Release the parser, whose reference cycle with this reader would need the garbage collector."""
        self._parser = None

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""
        self.is_mid_request = True

    def on_url(self, url: bytes) -> None:
        """Handle a fragment of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header, or drop a trailer: trailers are not validated."""
        if self._is_head_complete or self.has_failed:
            return
        if len(self._headers) == MAX_HEADERS:
            self._fail(431)
            return
        self._headers.append((name.strip().lower(), value))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        if self.has_failed:
            return
        self._is_head_complete = True
        try:
            body_bytes = check_framing(self._headers)
            self._max_body_bytes = MAX_BODY_BYTES if body_bytes is None else body_bytes
        except RequestError as error:
            self._fail(error.status)
            return
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD_BYTES:
            self._fail(400)
        elif (b"expect", b"100-continue") in self._headers and not self._completed:
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Handle a fragment of the body."""
        if self.has_failed:
            return
        self._received_body_bytes += len(body)
        if self._received_body_bytes > MAX_BODY_BYTES:
            self._fail(413)
        elif not self._is_shed:
            self._body += body

    def on_message_complete(self) -> None:
        """Handle the end of a request."""
        if self.has_failed:
            return
        assert self._parser is not None
        self._completed.append(
            HttpRequest(
                self._parser.get_method(),
                self._target,
                self._headers,
                bytes(self._body),
                self._parser.should_keep_alive(),
                self.arrived_at,
                self._is_shed,
            )
        )
        self.is_mid_request = False
        self._start_request()
