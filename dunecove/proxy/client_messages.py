"""What passes between a client's connection and the engine: a request that was read, and its response."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple


class ClientResponse(NamedTuple):
    """A final response to a client."""

    status: int
    headers: bytes = b""  # whole lines
    body: bytes = b""


class ParsedRequest(NamedTuple):
    """A client's request, read to its last byte and checked."""

    request_id: str
    class_index: int  # in `Settings.classes`
    tenant: int
    affinity_key: int | None
    budget_ms: float  # for which the client waits from now on
    is_retry: bool
    work_hint_ms: float  # the client's estimate; 0 where it makes none
    head: bytes  # request line and headers for the backend, without the empty line at the end
    body: bytes
    respond: Callable[[ClientResponse], None]
    close_if_disconnected: Callable[[], bool]  # whether the client has left; the engine hears of it
