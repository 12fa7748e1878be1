"""Messages between a client connection and the engine: a parsed request and its response."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto
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


# To a request that the proxy rejects without asking the balancer.
REJECTION = ClientResponse(503, b"retry-after: 1\r\n")


class ClientState(Enum):
    """What is known of a client at a moment."""

    CONNECTED = auto()
    DISCONNECTED = auto()
    UNKNOWN = auto()  # a close may be hidden behind input that the kernel can't receive


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
    # Returns the state of the client; if it has disconnected, closes the connection and tells the engine.
    check_client: Callable[[], ClientState]
