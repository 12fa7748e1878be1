"""The requests of one connection that are parsed but not dispatched yet."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from math import inf

from dunecove.proxy.http_limits import MESSAGE_OVERHEAD_BYTES
from dunecove.proxy.http_request import FailedRequest, HttpRequest

MAX_PENDING = 2  # pending requests up to which parsing continues, whatever their size
# Small requests are parsed further ahead, since their deadlines limit the time for the current request.
MAX_PENDING_SMALL = 64
MAX_PENDING_SMALL_BYTES = 16 * 1024


class RequestPipeline:
    """A first-in first-out queue of requests, of which only the last may have failed."""

    def __init__(self) -> None:
        self._pending: deque[HttpRequest | FailedRequest] = deque()
        self._size_bytes = 0
        self.memory_bytes = 0  # that the pending requests take

    def __len__(self) -> int:
        return len(self._pending)

    def extend(self, requests: Iterable[HttpRequest | FailedRequest]) -> None:
        """Add requests behind the others."""
        for request in requests:
            self._pending.append(request)
            self.memory_bytes += memory_bytes(request)
            if isinstance(request, HttpRequest):
                self._size_bytes += request.size_bytes()

    def popleft(self) -> HttpRequest | FailedRequest:
        """Remove and return the first request; raise IndexError if there is none."""
        request = self._pending.popleft()
        self.memory_bytes -= memory_bytes(request)
        if isinstance(request, HttpRequest):
            self._size_bytes -= request.size_bytes()
        return request

    def clear(self) -> None:
        """Remove all requests."""
        self._pending.clear()
        self._size_bytes = 0
        self.memory_bytes = 0

    def is_full(self) -> bool:
        """Return whether no further request should be parsed, even if there is memory for it."""
        if len(self._pending) < MAX_PENDING:
            return False
        return len(self._pending) >= MAX_PENDING_SMALL or self._size_bytes >= MAX_PENDING_SMALL_BYTES

    def earliest_deadline(self) -> float:
        """Return the first time at which a client stops waiting, in ms of `now_ms`; infinity for none."""
        deadlines = (request.deadline() for request in self._pending if isinstance(request, HttpRequest))
        return min(deadlines, default=inf)


def memory_bytes(request: HttpRequest | FailedRequest) -> int:
    """Return about how much memory a request takes."""
    return request.memory_bytes() if isinstance(request, HttpRequest) else MESSAGE_OVERHEAD_BYTES
