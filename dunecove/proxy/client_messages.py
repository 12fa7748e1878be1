"""Messages between a client connection and the engine: a parsed request and its response."""

from __future__ import annotations

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class ClientResponse(NamedTuple):
    """A final response to a client."""

    status: int
    headers: bytes = b""  # complete header lines
    body: bytes = b""

    def encode(self, keep_alive: bool) -> bytes:
        """Return the response as HTTP/1.1 text; without `keep_alive` it says that the connection closes."""
        return b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n%b" % (
            self.status,
            REASON_PHRASES[self.status],
            self.headers,
            len(self.body),
            b"" if keep_alive else b"connection: close\r\n",
            self.body,
        )


class ParsedRequest(NamedTuple):
    """A client's complete and valid request."""

    request_id: str
    class_index: int  # index in `Settings.classes`
    tenant: int  # index in `Settings.tenant_quotas`
    affinity_key: int | None
    budget_ms: float  # time for which the client still waits
    is_retry: bool
    work_hint_ms: float  # the client's estimate of the work; 0: no estimate
    head: bytes  # request line and headers for the backend, without the final empty line
    body: bytes
    respond: Callable[[ClientResponse], None]
    # Closes the connection if the client has disconnected, tells the engine, and returns whether it has.
    close_if_disconnected: Callable[[], bool]
