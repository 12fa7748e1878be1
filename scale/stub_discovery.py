"""A stub discovery service on loopback, which runs in its own thread and counts bytes."""

from __future__ import annotations

import asyncio
import re
import threading
from typing import NamedTuple, cast

from scale import synthetic

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
WATCH_QUERY = re.compile(rb"since=(\d+)&timeout_ms=(\d+)")
HEAD_END = b"\r\n\r\n"


class Exchange(NamedTuple):
    """Sizes of a request and its response in bytes, including headers."""

    request_bytes: int
    response_bytes: int


class WaitingWatch(NamedTuple):
    """An open watch that waits for an update after revision `since`."""

    since: int
    request_bytes: int
    timer: asyncio.TimerHandle


class _DiscoveryConnection(asyncio.Protocol):
    """A connection from a proxy to the service."""

    def __init__(self, discovery: StubDiscovery) -> None:
        self._discovery = discovery
        self._buffer = b""
        self._update_unacknowledged = False  # no request has followed the last update

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._discovery.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery.connections.discard(self)
        self._discovery.waiting.pop(self, None)
        if self._update_unacknowledged:
            self._discovery.record_refusal()

    def data_received(self, data: bytes) -> None:
        self._buffer += data
        while HEAD_END in self._buffer:
            head, self._buffer = self._buffer.split(HEAD_END, 1)
            self._update_unacknowledged = False
            self._discovery.handle_call(self, head + HEAD_END)

    def respond(self, request_bytes: int, body: bytes, is_update: bool = False) -> None:
        """Write a response and record the sizes of the exchange."""
        if not self.transport.is_closing():
            response = RESPONSE_HEAD % len(body) + body
            self._discovery.exchanges.append(Exchange(request_bytes, len(response)))
            self.transport.write(response)
            self._update_unacknowledged = is_update


class StubDiscovery:
    """Answers a watch from revision N with `updates[N]` at once, or with an empty delta after its timeout.

    With `answer_at_once`, a watch without an update gets the empty delta at once.
    """

    def __init__(self, initial_body: bytes, answer_at_once: bool = False) -> None:
        self._initial_body = initial_body  # response to a request without a revision
        self._answer_at_once = answer_at_once
        self.updates: dict[int, bytes] = {}  # response bodies, by the revision that they follow
        self.exchanges: list[Exchange] = []
        self.was_refused = False  # a proxy closed its connection after an update
        self.connections: set[_DiscoveryConnection] = set()
        self.waiting: dict[_DiscoveryConnection, WaitingWatch] = {}
        self._watched_revisions: set[int] = set()  # revisions that watches have started from so far
        self._changed = threading.Condition()
        self._loop = asyncio.new_event_loop()
        self._server = self._loop.run_until_complete(
            self._loop.create_server(lambda: _DiscoveryConnection(self), "127.0.0.1", 0)
        )
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname()[:2])
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def __enter__(self) -> StubDiscovery:
        return self

    def __exit__(self, *_: object) -> None:
        self._loop.call_soon_threadsafe(self._stop)
        self._thread.join()
        self._loop.close()

    def _stop(self) -> None:
        self._server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self._loop.call_soon(self._loop.stop)

    def handle_call(self, connection: _DiscoveryConnection, head: bytes) -> None:
        """Respond to a request, or keep the watch open; runs in the service's thread."""
        query = WATCH_QUERY.search(head)
        if query is None:
            connection.respond(len(head), self._initial_body)
            return
        since = int(query[1])
        wait_ms = int(query[2])
        if since in self.updates:
            connection.respond(len(head), self.updates[since], is_update=True)
        elif self._answer_at_once:
            connection.respond(len(head), synthetic.empty_delta_body(since))
        else:
            timer = self._loop.call_later(wait_ms / 1000, self._answer_timed_out_watch, connection)
            self.waiting[connection] = WaitingWatch(since, len(head), timer)
        with self._changed:
            self._watched_revisions.add(since)
            self._changed.notify_all()

    def _answer_timed_out_watch(self, connection: _DiscoveryConnection) -> None:
        watch = self.waiting.pop(connection, None)
        if watch is not None:
            connection.respond(watch.request_bytes, synthetic.empty_delta_body(watch.since))

    def publish(self, since: int, body: bytes) -> None:
        """Add an update from revision `since` and send it to open watches; may be called in any thread."""
        self._loop.call_soon_threadsafe(self._publish, since, body)

    def _publish(self, since: int, body: bytes) -> None:
        self.updates[since] = body
        for connection, watch in list(self.waiting.items()):
            if watch.since == since:
                del self.waiting[connection]
                watch.timer.cancel()
                connection.respond(watch.request_bytes, body, is_update=True)

    def record_refusal(self) -> None:
        """Record that a proxy closed its connection after an update."""
        with self._changed:
            self.was_refused = True
            self._changed.notify_all()

    def wait_for_watch(self, revision: int, timeout_s: float) -> bool:
        """Wait for a watch from `revision`, which shows that the proxy has applied the list up to it.

        Return False if an update was refused or after the timeout.
        """
        with self._changed:
            self._changed.wait_for(lambda: revision in self._watched_revisions or self.was_refused, timeout_s)
            return revision in self._watched_revisions
