"""The listening socket: accepts clients up to a limit, closes overdue connections, shuts down gracefully."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from dunecove.proxy.addresses import split_address
from dunecove.proxy.client_connection import ClientConnection, ServerState
from dunecove.proxy.clock import now_ms
from dunecove.proxy.close_reason import CloseReason
from dunecove.proxy.connection_slots import ConnectionSlots
from dunecove.proxy.disconnect_watcher import DisconnectWatcher
from dunecove.proxy.engine import Engine
from dunecove.proxy.log_writer import log
from dunecove.proxy.request_validator import RequestValidator

ACCEPT_BACKLOG = 512  # connections that the kernel queues until they are accepted
MAX_ACCEPTS_PER_ITERATION = 16  # per event loop iteration, so that a flood does not delay open connections
ACCEPT_RETRY_S = 0.05  # delay before accepting again when no slot or file descriptor was free
BACKLOG_DRAIN_INTERVAL_S = 0.005  # delay between two rounds of accepting at shutdown
SWEEP_INTERVAL_S = 0.25
UNREAD_TIMEOUT_S = 1.0  # for a client to read its responses while others wait for the memory that they take
FINAL_RESPONSE_TIMEOUT_S = 0.1  # time for the last error responses to reach their clients


class Listener:
    """Accepts client connections, and closes them on a timeout, eviction or shutdown."""

    def __init__(self, engine: Engine, request_validator: RequestValidator, max_connections: int) -> None:
        self.engine = engine
        self.slots = ConnectionSlots(max_connections)
        self.disconnect_watcher = DisconnectWatcher()
        self.server = ServerState(engine, request_validator, self.slots, self.disconnect_watcher)
        self.sock: socket.socket | None = None  # None before `listen`, and once a shutdown has closed it
        self.address = ""  # `host:port` that the socket is bound to
        self.is_accepting = False
        # Time, in ms of `now_ms`, since which the backlog waits for a slot or a descriptor; 0: it does not.
        self.accept_delayed_since = 0.0
        self._loop = asyncio.get_running_loop()
        self._opening_tasks: set[asyncio.Task[object]] = set()
        self._all_closed = asyncio.Event()
        self._sweep_timer: asyncio.TimerHandle | None = None

    def listen(self, address: str) -> None:
        """Bind to `host:port` and start accepting clients; raise OSError if the address is not available."""
        host, port = split_address(address)
        self.sock = socket.socket(socket.AF_INET6 if ":" in host else socket.AF_INET)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind((host, port))
        self.sock.listen(ACCEPT_BACKLOG)
        self.sock.setblocking(False)
        self.address = "{}:{}".format(*self.sock.getsockname()[:2])
        self._resume_accepting()
        self.sweep()

    # Accepting

    def _resume_accepting(self) -> None:
        if self.sock is not None and not self.is_accepting:
            self.is_accepting = True
            self._loop.add_reader(self.sock.fileno(), self._accept)

    def _stop_accepting(self) -> None:
        if self.sock is not None and self.is_accepting:
            self.is_accepting = False
            self._loop.remove_reader(self.sock.fileno())

    def _pause_accepting(self) -> None:
        """Stop accepting until a connection closes, or for `ACCEPT_RETRY_S`: by then one may be evictable."""
        self.accept_delayed_since = self.accept_delayed_since or now_ms()
        self._stop_accepting()
        self._loop.call_later(ACCEPT_RETRY_S, self._resume_accepting)

    def _accept(self) -> bool:
        """Accept connections from the backlog; return whether the backlog is empty."""
        assert self.sock is not None
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            decision = self.slots.decide_accept(self.engine.requests.max_deadline_ms)
            if not decision.is_admitted:
                self._pause_accepting()
                return False
            try:
                sock, _ = self.sock.accept()
            except BlockingIOError:
                self.accept_delayed_since = 0.0
                return True
            except (InterruptedError, ConnectionAbortedError):
                continue
            except OSError as error:
                log(f"accepting a client connection failed: {error}; retrying in {ACCEPT_RETRY_S} s")
                self._pause_accepting()
                # File descriptors can run out below the connection limit too; an eviction frees one.
                self._evict(
                    decision.evicted or self.slots.eviction_candidate(self.engine.requests.max_deadline_ms)
                )
                return False
            self._evict(decision.evicted)  # only once a new connection has been accepted
            self._open(sock)
            if decision.evicted is not None:
                return False  # the evicted connection's descriptor is free in the next loop iteration
        return False

    def _evict(self, connection: ClientConnection | None) -> None:
        if connection is None:
            return
        if self.slots.is_lingering(connection) or connection.has_unsent_bytes():
            self.slots.mark_aborted(connection)
            connection.abort(CloseReason.EVICTED)
        else:
            connection.close(CloseReason.EVICTED)

    def _open(self, sock: socket.socket) -> None:
        self.slots.reserve()
        coroutine = self._loop.connect_accepted_socket(self._create_connection, sock)
        task = cast("asyncio.Task[object]", self._loop.create_task(coroutine))
        self._opening_tasks.add(task)
        task.add_done_callback(self._on_opened)

    def _create_connection(self) -> ClientConnection:
        return ClientConnection(self.server, self._on_connection_lost, self.accept_delayed_since)

    def _on_opened(self, task: asyncio.Task[object]) -> None:
        self._opening_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log(f"opening an accepted client connection failed: {task.exception()}; its slot is released")
            self._release_slot()

    def _on_connection_lost(self, connection: ClientConnection) -> None:
        self.slots.remove(connection)
        self.disconnect_watcher.unwatch(connection)
        self._release_slot()

    def _release_slot(self) -> None:
        self.slots.release()
        self._resume_accepting()
        # While the socket is open, another connection may arrive at any time.
        if self.sock is None and not self.slots.used:
            self._all_closed.set()

    # Timeouts

    def sweep(self) -> None:
        """Close connections that exceed a timeout, so that none holds its slot forever; repeat regularly."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self.sweep)
        for connection in self.slots.overdue_for_request():
            connection.time_out_request()
        for connection in self.slots.overdue_lingering():
            if not connection.is_delivering():
                connection.abort(CloseReason.NOT_READING)
        for connection in self.slots.overdue_idle():
            if connection.may_close():
                connection.close(CloseReason.IDLE)
        self._abort_slow_readers()
        if self.sock is None:
            self.close_between_requests()

    def _abort_slow_readers(self) -> None:
        """Abort clients that leave responses unread while there is no memory for others."""
        if not self.engine.budgets.responses.has_waiting():
            return
        unread_before = now_ms() - UNREAD_TIMEOUT_S * 1000
        for connection in list(self.slots.connections):
            if 0 < connection.unread_since < unread_before:
                connection.abort(CloseReason.NOT_READING)

    def close_between_requests(self) -> None:
        """Close idle connections, and new ones that were silent for `EVICTION_GRACE_MS`.

        Those with unread input are served first.
        """
        for connection in self.slots.between_requests():
            if connection.may_close():
                connection.close(CloseReason.SHUTDOWN)

    # Graceful shutdown

    def begin_shutdown(self) -> None:
        """Report not ready; still accept and serve connections, but close each after its response."""
        self.server.is_shutting_down = True

    async def finish_shutdown(self, timeout_s: float) -> None:
        """Stop accepting, close connections between requests, and wait until all connections are closed.

        Requests that have no response after `timeout_s` get an error response.
        """
        deadline = self._loop.time() + timeout_s
        await self._drain_backlog(deadline)
        self._stop_accepting()
        if self.sock is not None:
            self.sock.close()
            self.sock = None
        self.close_between_requests()
        if not await self._wait_all_closed(deadline - self._loop.time()):
            self.engine.requests.expire_all()
            if not await self._wait_all_closed(FINAL_RESPONSE_TIMEOUT_S):
                log(f"shutdown timed out; dropping {self.slots.used} client connections that are still open")
        if self._sweep_timer is not None:
            self._sweep_timer.cancel()

    async def _drain_backlog(self, deadline: float) -> None:
        """Accept the connections in the backlog, since closing the socket would reset them."""
        while self.sock is not None and not self._accept() and self._loop.time() < deadline:
            has_slots = self.slots.used < self.slots.limit
            await asyncio.sleep(BACKLOG_DRAIN_INTERVAL_S if has_slots else ACCEPT_RETRY_S)

    async def _wait_all_closed(self, timeout_s: float) -> bool:
        if self.slots.used:
            try:
                async with asyncio.timeout(timeout_s):
                    await self._all_closed.wait()
            except TimeoutError:
                return False
        return True
