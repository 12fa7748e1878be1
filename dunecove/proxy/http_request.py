"""Reading HTTP/1.1 requests from a byte stream: complete requests, or the error that ends the stream."""

from __future__ import annotations

import re
from math import inf
from typing import NamedTuple

import httptools

from dunecove.proxy.http_limits import (
    CHUNK_FRAMING_FACTOR,
    MAX_BODY_BYTES,
    MAX_HEAD_BYTES,
    MAX_LENGTH_DIGITS,
    Headers,
)

# Of one request as sent, the framing of its chunks included.
MAX_REQUEST_BYTES = MAX_HEAD_BYTES + CHUNK_FRAMING_FACTOR * MAX_BODY_BYTES
BUDGET_MS_PATTERN = re.compile(rb"0{0,8}[1-9][0-9]{0,8}")


class RequestError(Exception):
    """A request that the proxy itself answers with an HTTP error status."""

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class HttpRequest(NamedTuple):
    """A complete request as it was read, not validated beyond its framing."""

    method: bytes
    target: bytes
    headers: Headers  # without trailers
    body: bytes
    keep_alive: bool
    arrived_at: float  # when its last bytes arrived, in ms of `now_ms`

    def size_bytes(self) -> int:
        """Return the size of target, headers and body without their framing."""
        header_bytes = sum(len(name) + len(value) for name, value in self.headers)
        return len(self.target) + len(self.body) + header_bytes

    def deadline(self) -> float:
        """Return when its client stops waiting, in ms of `now_ms`; infinite without a valid budget."""
        budget = next((value for name, value in self.headers if name == b"x-budget-ms"), b"")
        return self.arrived_at + float(budget) if BUDGET_MS_PATTERN.fullmatch(budget) else inf


def check_framing(headers: Headers) -> None:
    """Raise RequestError unless the headers delimit the body unambiguously (request smuggling)."""
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


class RequestReader:
    """Collects the requests of one connection from its bytes, by the callbacks of httptools.

    After an error the boundaries of what follows are unknown: nothing is read any more.
    """

    def __init__(self) -> None:
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(self)
        self._completed: list[HttpRequest | RequestError] = []
        self.has_failed = False
        self.is_mid_request = False  # a request has begun and is not complete
        self.expects_continue = False  # the last bytes ended a head whose client waits for `100 Continue`
        self.arrived_at = 0.0  # of the bytes that are being parsed, in ms of `now_ms`
        self._start_request()

    def _start_request(self) -> None:
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._is_head_complete = False
        self.size_bytes = 0  # of the current request as sent

    def feed(self, data: bytes, arrived_at: float) -> list[HttpRequest | RequestError]:
        """Parse bytes of one arrival; return the requests that they complete, and the error last."""
        assert self._parser is not None
        self.expects_continue = False
        self.arrived_at = arrived_at
        self.size_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # Invalid bytes right behind a request put that request's own length in doubt.
            if self._completed and isinstance(self._completed[-1], HttpRequest):
                self._completed.pop()
            self._fail(400)
        if not self._is_head_complete and self.size_bytes > MAX_HEAD_BYTES:
            self._fail(400)
        elif self.size_bytes > MAX_REQUEST_BYTES:
            self._fail(413)
        completed = self._completed
        self._completed = []  # an idle connection must not hold the last body
        return completed

    def time_out(self) -> RequestError:
        """Give up the request that has begun and never became complete; return the error for it."""
        self.has_failed = True
        self.is_mid_request = False
        return RequestError(408)

    def _fail(self, status: int) -> None:
        """End the stream with an error, unless one has ended it before."""
        if not self.has_failed:
            self.has_failed = True
            self.is_mid_request = False
            self._completed.append(RequestError(status))

    def close(self) -> None:
        """Release the parser, which refers to this reader in turn: memory must not wait for the GC."""
        self._parser = None

    # Callbacks of httptools

    def on_message_begin(self) -> None:
        """Handle the first byte of a request."""
        self.is_mid_request = True

    def on_url(self, url: bytes) -> None:
        """Handle a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header; trailers are dropped, since none of them was checked."""
        if not self._is_head_complete:
            self._headers.append((name.strip().lower(), value))

    def on_headers_complete(self) -> None:
        """Handle the end of the head."""
        self._is_head_complete = True
        try:
            check_framing(self._headers)
        except RequestError as error:
            self._fail(error.status)
            return
        if sum(len(name) + len(value) for name, value in self._headers) + len(self._target) > MAX_HEAD_BYTES:
            self._fail(400)
        elif (b"expect", b"100-continue") in self._headers and not self._completed:
            self.expects_continue = True

    def on_body(self, body: bytes) -> None:
        """Handle a part of the body."""
        if self.has_failed:
            return
        if len(self._body) + len(body) > MAX_BODY_BYTES:
            self._fail(413)
        else:
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
            )
        )
        self.is_mid_request = False
        self._start_request()
