"""The client of the discovery service, whose watch keeps the endpoint list up to date.

A watch is a sequence of long polls that ends when one fails. A call is one request to the service. An opening
call is the first call of a watch. If it times out, the watch fails but the call stays in flight (unless the
list is pushed), and its late response serves a later watch.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress
from math import inf

import orjson

from dunecove.limits import max_list_bytes
from dunecove.proxy.addresses import split_address
from dunecove.proxy.discovery_connection import DiscoveryConnection
from dunecove.proxy.discovery_errors import (
    DiscoveryStatusError,
    DiscoveryTimeoutError,
    malformed_list_errors,
)
from dunecove.proxy.endpoint_json import read_list_update
from dunecove.proxy.endpoint_list import EndpointListUpdate
from dunecove.proxy.long_list import LongListReader
from dunecove.proxy.sharded_table import ShardedTable
from dunecove.wire.settings import ProxySettings

OPENING_LONG_POLL_MS = 1  # the service responds at once, which shows that the watch works
# The platform counts a proxy as notified of an update 6 s after the service had it and could be reached. By
# then an unresponsive watch must have timed out (after 1 s in which the service may wait for a change and 1 s
# to respond) and been reopened, with a second opening call if the first one hangs (2 s each).
LONG_POLL_MS = 1000.0
RESPONSE_TIMEOUT_MS = 1000.0
# An opening call may hang, or be queued by the service if many proxies call at once. After this timeout
# another call is made, up to MAX_OPENING_CALLS in flight, while earlier calls keep their places in the
# service's queue: if each call replaced the one before it at the end of the queue, some proxies might never
# be served.
OPENING_TIMEOUT_MS = 2000.0
MAX_OPENING_CALLS = 3
# Where lists are pushed to an agent on this machine, the platform counts a proxy as notified at once. A watch
# that hangs until the agent has recovered must time out and be reopened within `drain_grace_ms`, in which
# attempts to a draining backend may still be written: each timeout is at most this fraction of it. The agent
# is assumed to be slow only when the machine is.
DRAIN_GRACE_FRACTION = 0.4
MIN_PUSHED_TIMEOUT_MS = 200.0
LONG_LIST_BYTES = 64 * 1024  # a longer list is read in slices
LONG_LIST_ENDPOINTS = 1000  # while more endpoints than this are known, any snapshot is read in slices
LIST_PATH = "/registry/instances"

BodyParts = list[bytes | bytearray]


@asynccontextmanager
async def _response_timeout(timeout_ms: float) -> AsyncIterator[asyncio.Timeout]:
    """Raise DiscoveryTimeoutError if the block does not end in time; the timeout may be rescheduled."""
    timeout = asyncio.timeout(timeout_ms / 1000)
    try:
        async with timeout:
            yield timeout
    except TimeoutError:
        if not timeout.expired():
            raise  # a timeout of the socket, not of the response
        raise DiscoveryTimeoutError("no response before the timeout") from None


class DiscoveryClient:
    """Polls the endpoint list back to back, from `watch` until a call fails."""

    def __init__(
        self,
        address: str,
        proxy_settings: ProxySettings,
        revision: int | None,
        on_update: Callable[[EndpointListUpdate], None],
        on_failure: Callable[[str], None],
        pushed: bool = False,
        memory_mb: float = 0.0,
        endpoints: ShardedTable | None = None,
    ) -> None:
        """Create a client of the service at `address`; without a `revision` it requests the whole list.

        `on_failure` is called with the reason as a text for the log. `pushed` means that the service is an
        agent on this machine to which the list is pushed. `memory_mb` is the memory limit of the process
        (MiB), which limits the size of a list. `endpoints` is the table that `on_update` keeps up to date.
        """
        self.address = address
        self.proxy_settings = proxy_settings
        self.revision = revision
        self.on_update = on_update
        self.on_failure = on_failure
        self.endpoints = ShardedTable() if endpoints is None else endpoints
        self.max_list_bytes = max_list_bytes(memory_mb)
        max_timeout_ms = inf
        if pushed:
            max_timeout_ms = max(proxy_settings.drain_grace_ms * DRAIN_GRACE_FRACTION, MIN_PUSHED_TIMEOUT_MS)
        self.long_poll_ms = int(min(LONG_POLL_MS, max_timeout_ms))
        self.response_timeout_ms = min(RESPONSE_TIMEOUT_MS, max_timeout_ms)
        self.opening_timeout_ms = min(OPENING_TIMEOUT_MS, max_timeout_ms)
        self.max_opening_calls = 1 if pushed else MAX_OPENING_CALLS
        self.connection: DiscoveryConnection | None = None  # the connection of the watch
        # Opening calls in flight, latest last.
        self.opening_calls: dict[asyncio.Task[BodyParts], DiscoveryConnection] = {}
        self._watch_task: asyncio.Task[None] | None = None

    @property
    def is_watching(self) -> bool:
        """Whether a watch is open or being opened."""
        return self._watch_task is not None and not self._watch_task.done()

    def watch(self) -> None:
        """Open a watch, unless there is one."""
        if not self.is_watching:
            self._watch_task = asyncio.get_running_loop().create_task(self._run_watch())

    def set_address(self, address: str) -> bool:
        """Use the service at `address` from the next watch on; return False if it is the current one."""
        if address == self.address:
            return False
        self.close()  # a cancelled watch is not reported as failed
        self._watch_task = None
        self.address = address
        # Each service has its own revisions: asking the new one for changes since this one would skip some.
        self.revision = None
        return True

    def close(self) -> None:
        """Stop watching, without a callback."""
        if self._watch_task is not None:
            self._watch_task.cancel()
        self._close_connection()
        self._close_opening_calls(keep=0)

    def _close_connection(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self.connection = None

    def _close_opening_calls(self, keep: int) -> None:
        """Close the oldest opening calls until at most `keep` are left."""
        while len(self.opening_calls) > keep:
            task = next(iter(self.opening_calls))
            self.opening_calls.pop(task).close()
            task.cancel()

    async def _connect(self, connection: DiscoveryConnection) -> None:
        host, port = split_address(self.address)
        await asyncio.get_running_loop().create_connection(lambda: connection, host, port)

    async def _run_watch(self) -> None:
        try:
            body_parts = await self._open_watch()
            while True:
                self.revision = await self._process_list(body_parts)
                body_parts = await self._long_poll()
        except Exception as error:
            # Every failure must be reported: without a watch, the balancer would keep using an outdated list
            # and forward requests to backends that drain.
            self._close_connection()
            self.on_failure(f"{type(error).__name__}: {error}")

    async def _long_poll(self) -> BodyParts:
        """Return the response to the next long poll, on the current connection if that is reusable."""
        async with _response_timeout(self.long_poll_ms + self.response_timeout_ms) as timeout:
            if self.connection is None or not self.connection.is_reusable:
                self._close_connection()
                # Assigned before it is connected, so that `close` can close it while it connects.
                self.connection = DiscoveryConnection(self.max_list_bytes)
            self.connection.on_progress = self._extend_on_progress(timeout)
            return await self._fetch(self.connection, self.long_poll_ms)

    async def _open_watch(self) -> BodyParts:
        """Return the first response to any opening call, including timed-out calls of earlier watches."""
        if self._find_answered_call() is None:
            self._start_opening_call()
        try:
            async with _response_timeout(self.opening_timeout_ms) as timeout:
                for task, connection in self.opening_calls.items():
                    connection.on_progress = self._prefer_on_progress(task, timeout)
                while not self._latest_call().done() and self._find_answered_call() is None:
                    await asyncio.wait(self.opening_calls, return_when=asyncio.FIRST_COMPLETED)
        except DiscoveryTimeoutError:
            self.connection = None  # the call stays in flight, as one of the opening calls
            if self.max_opening_calls == 1:
                self._close_opening_calls(keep=0)  # the next call replaces this one
            raise
        answered = self._find_answered_call() or self._latest_call()
        self.connection = self.opening_calls.pop(answered)
        body_parts = answered.result()  # raises the error of a failed call
        self._close_opening_calls(keep=0)
        return body_parts

    def _latest_call(self) -> asyncio.Task[BodyParts]:
        return next(reversed(self.opening_calls))

    def _start_opening_call(self) -> None:
        connection = DiscoveryConnection(self.max_list_bytes)
        self.connection = connection
        task = asyncio.get_running_loop().create_task(self._fetch(connection, OPENING_LONG_POLL_MS))
        self.opening_calls[task] = connection
        task.add_done_callback(self._on_opening_call_done)
        self._close_opening_calls(keep=self.max_opening_calls)

    def _prefer_on_progress(
        self, task: asyncio.Task[BodyParts], timeout: asyncio.Timeout
    ) -> Callable[[], None]:
        """Return a callback for an opening call that is receiving a long response.

        It closes the other calls: their responses would take as much memory again.
        """
        extend = self._extend_on_progress(timeout)

        def prefer() -> None:
            extend()
            for other in [call for call in self.opening_calls if call is not task]:
                self.opening_calls.pop(other).close()
                other.cancel()

        return prefer

    def _extend_on_progress(self, timeout: asyncio.Timeout) -> Callable[[], None]:
        """Return a callback that extends a timeout while a long response is being received."""
        loop = asyncio.get_running_loop()

        def extend() -> None:
            with suppress(RuntimeError):  # the timeout has expired, or its block has ended
                timeout.reschedule(loop.time() + self.response_timeout_ms / 1000)

        return extend

    def _find_answered_call(self) -> asyncio.Task[BodyParts] | None:
        for task in self.opening_calls:
            if task.done() and not task.cancelled() and not task.exception():
                return task
        return None

    def _on_opening_call_done(self, task: asyncio.Task[BodyParts]) -> None:
        """Use the response to an opening call, even one that had timed out; drop a failed call."""
        if task.cancelled() or task not in self.opening_calls:
            return
        if task.exception() is None:
            self.watch()
        elif not self.is_watching or task is not next(reversed(self.opening_calls)):
            # The failure of the latest call is reported by the watch that waits for it.
            self.opening_calls.pop(task).close()

    async def _fetch(self, connection: DiscoveryConnection, long_poll_ms: int) -> BodyParts:
        """Request the list, or its changes, for which the service may wait up to `long_poll_ms`."""
        if connection.transport is None:
            await self._connect(connection)
        path = LIST_PATH
        if self.revision is not None:
            path += f"?since={self.revision}&timeout_ms={long_poll_ms}"
        request = f"GET {path} HTTP/1.1\r\nHost: {self.address}\r\n\r\n"
        response = await connection.request(request.encode())
        if response.status != 200:
            raise DiscoveryStatusError(f"unexpected status {response.status}")
        return list(response.body_parts)

    async def _process_list(self, body_parts: BodyParts) -> int:
        """Publish the list and return its revision."""
        if sum(map(len, body_parts)) > LONG_LIST_BYTES:
            return await self._process_long_list(body_parts)
        with malformed_list_errors():
            update = read_list_update(orjson.loads(b"".join(body_parts)), self.proxy_settings)
        if update.is_snapshot and len(self.endpoints) > LONG_LIST_ENDPOINTS:
            return await self._process_long_list(body_parts)
        self.on_update(update)
        return update.revision

    async def _process_long_list(self, body_parts: BodyParts) -> int:
        reader = LongListReader(self.endpoints, self.proxy_settings, self.revision or 0, self.on_update)
        return await reader.read(body_parts)
