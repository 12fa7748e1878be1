"""A persistent connection to the discovery service."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from dunecove.proxy.discovery_errors import DiscoveryConnectionError
from dunecove.proxy.http_exchange import HttpExchange, Response

# Bytes of a response after which its progress is reported and reading pauses for one loop iteration.
READ_SLICE_BYTES = 1024 * 1024


class DiscoveryConnection(HttpExchange):
    """A connection with an awaitable `request`, one at a time."""

    def __init__(self, max_body_bytes: int) -> None:
        super().__init__(max_body_bytes)
        self.on_progress: Callable[[], None] = lambda: None  # called for each slice of a long response
        self._response: asyncio.Future[Response] | None = None

    async def request(self, request: bytes) -> Response:
        """Send a request and return its response; raises DiscoveryConnectionError."""
        self._response = asyncio.get_running_loop().create_future()
        self.send_request(request)
        try:
            return await self._response
        finally:
            self._response = None

    def data_received(self, data: bytes) -> None:
        """Parse a part of the response; pause reading after each slice of a long one."""
        received_before = self._received_bytes if self.is_awaiting_response else 0
        super().data_received(data)
        if not self.is_awaiting_response or self.transport is None:
            return
        if self._received_bytes // READ_SLICE_BYTES > received_before // READ_SLICE_BYTES:
            self.on_progress()
            # Without the pause, the event loop would do nothing but read for as long as bytes arrive.
            self.transport.pause_reading()
            asyncio.get_running_loop().call_soon(self._resume_reading)

    def _resume_reading(self) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def on_response(self, response: Response) -> None:
        """Return the response to the pending `request` call."""
        if self._response is not None and not self._response.done():
            self._response.set_result(response)

    def on_failed(self) -> None:
        """Fail the pending `request` call."""
        if self._response is not None and not self._response.done():
            self._response.set_exception(DiscoveryConnectionError("connection lost or response malformed"))
