"""One client connection: requests are read ahead (pipelining) and answered in order, each once."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import cast

from dunecove.policy.request_rules import RESPONSE_GRACE_MS, Violation, may_close_connection
from dunecove.proxy.client_messages import ClientResponse
from dunecove.proxy.clock import now_ms
from dunecove.proxy.connection_slots import ConnectionSlots
from dunecove.proxy.disconnect_watcher import DisconnectWatcher
from dunecove.proxy.engine import Engine
from dunecove.proxy.http_limits import MAX_BODY_BYTES
from dunecove.proxy.http_request import HttpRequest, RequestError, RequestReader
from dunecove.proxy.receive_buffer import ReceiveBuffer, ReceivedChunk
from dunecove.proxy.request_validator import RequestValidator
from dunecove.proxy.socket_probe import has_unread_input, is_closed_by_peer, last_data_age_ms
from dunecove.proxy.telemetry import CounterName

MAX_PIPELINED = 2  # requests parsed ahead, whatever their size
# Small ones are parsed further ahead, since the deadline of each bounds the request in front of it.
MAX_PIPELINED_SMALL = 64
MAX_PIPELINED_SMALL_BYTES = 16 * 1024
PARSE_CHUNK_BYTES = 4096  # parsed at once, so that a flood of requests is not parsed in one turn
MAX_CONSECUTIVE_ERRORS = 8  # rejected requests after which a connection is closed
LINGER_READ_TIMEOUT_S = 5.0  # s in which a lingering client has to read its last response
MAX_LINGER_BYTES = 1024 * 1024  # received and discarded while lingering
MAX_UNREAD_RESPONSE_BYTES = 2 * MAX_BODY_BYTES  # of responses that a client leaves unread
# ms after its deadline at which a pipelined request is answered at the latest: well within the grace in
# which a response is still accepted.
PIPELINED_GRACE_MS = RESPONSE_GRACE_MS / 2
READY_PATH = b"/health/ready"

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}


class CloseReason(Enum):
    """Why a connection is closed; counted as `close.<value>`."""

    CLIENT = "client"  # closed, half-closed or reset by the client
    ANSWERED = "answered"  # after its last response
    REQUEST_TIMEOUT = "request_timeout"  # no complete request in time
    IDLE = "idle"
    EVICTED = "evicted"  # for a new connection
    SHUTDOWN = "shutdown"
    NOT_READING = "not_reading"  # the client leaves its responses unread
    FLOOD = "flood"  # the client sends without end after its last response


@dataclass
class ServerState:
    """What all client connections share."""

    engine: Engine
    request_validator: RequestValidator
    slots: ConnectionSlots
    disconnect_watcher: DisconnectWatcher
    is_shutting_down: bool = False  # connections are closed after their responses

    def is_ready(self) -> bool:
        """Return whether requests should be sent to this proxy."""
        return not self.is_shutting_down and self.engine.connection_pool.active_count() > 0


class ClientConnection(asyncio.Protocol):
    """The protocol of one connection, from its acceptance to its close."""

    def __init__(
        self,
        server: ServerState,
        on_lost: Callable[[ClientConnection], None],
        accept_delayed_since: float = 0.0,
    ) -> None:
        """`accept_delayed_since`: since when (ms) connections had to wait for a slot; 0 if they had not."""
        self.server = server
        self.transport: asyncio.Transport
        self.reader = RequestReader()
        self.buffer = ReceiveBuffer()
        self.pending: deque[HttpRequest | RequestError] = deque()  # parsed, and not dispatched yet
        self.request_id: str | None = None  # of the request that the engine has
        self.keep_alive = True  # as the last request that was dispatched asks
        self.is_closing = False  # no further request is read
        self.has_responded = False
        self.consecutive_errors = 0
        self.discarded_bytes = 0  # while lingering
        self.close_reason: CloseReason | None = None
        self.paused_since = 0.0  # since when (ms) nothing was read; 0 while it is read
        self._accept_delayed_since = accept_delayed_since
        self._on_lost = on_lost

    # Callbacks of asyncio

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the acceptance of the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.slots.add(self)

    def eof_received(self) -> None:
        """Handle a half-close, which this proxy takes for the client's leaving."""
        self._abandon_requests()
        self.close(CloseReason.CLIENT)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side closed it."""
        self._abandon_requests()
        self._record_close(CloseReason.CLIENT)
        self.reader.close()
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        if self.is_closing and self.has_unanswered_request():
            # Reading on could get it aborted as a flood before its responses are written.
            self.transport.pause_reading()
            self.server.disconnect_watcher.watch(self)
            return
        if self.is_closing:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_LINGER_BYTES:
                self.abort(CloseReason.FLOOD)
            return
        self.buffer.append(data, self._arrival_time())
        self._process()

    # State

    def has_unanswered_request(self) -> bool:
        """Return whether a request on it has no response yet."""
        return self.request_id is not None or bool(self.pending)

    def may_close(self) -> bool:
        """Return whether it owes no response and no unread request lies in the kernel."""
        return may_close_connection(self.has_unanswered_request(), has_unread_input(self.transport))

    def may_be_evicted(self) -> bool:
        """Return whether its slot may be given to another connection."""
        if self.server.slots.is_lingering(self):
            return not self.is_delivering()
        return self.may_close()

    def has_unsent_bytes(self) -> bool:
        """Return whether a part of a response waits for the client to read."""
        return self.transport.get_write_buffer_size() > 0

    def is_delivering(self) -> bool:
        """Return whether a lingering connection needs more time for its last response.

        Either a part of it is unsent, or unread bytes of the client lie in the kernel: closed over them,
        the connection would be reset together with what the kernel has yet to send.
        """
        if now_ms() - self.server.slots.lingering_since(self) > LINGER_READ_TIMEOUT_S * 1000:
            return False
        return self.has_unsent_bytes() or has_unread_input(self.transport)

    def close_if_disconnected(self) -> bool:
        """Ask the kernel whether the client has left, close the connection if so, and return whether it did.

        The event loop reports it later, or never while reading is paused.
        """
        if not is_closed_by_peer(self.transport):
            return False
        self._abandon_requests()
        self.close(CloseReason.CLIENT)
        return True

    # Closing

    def close(self, reason: CloseReason) -> None:
        """Close once the written responses are sent; a client that never reads them is aborted later."""
        self._record_close(reason)
        self.server.slots.mark_lingering(self)
        self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Close at once and drop what is unsent."""
        self._record_close(reason)
        self.transport.abort()

    def time_out_request(self) -> None:
        """Handle that no complete request came in time."""
        if self.reader.is_mid_request:
            if not self.is_closing:
                self.pending.append(self.reader.time_out())
                self._stop_reading()
            self._process()
        elif self.may_close():
            self.close(CloseReason.REQUEST_TIMEOUT)

    def _stop_reading(self) -> None:
        """Read no further requests: where they would begin is unknown, or nothing is owed to them."""
        self.is_closing = True
        self.buffer.clear()

    def _abandon_requests(self) -> None:
        """Drop all requests, since nobody waits for their responses any more."""
        self._stop_reading()
        self.pending.clear()
        if self.request_id is not None:
            self.server.engine.requests.client_disconnected(self.request_id)
            self.request_id = None

    def _record_close(self, reason: CloseReason) -> None:
        """Count the first reason for closing; it is a violation if a present client gets no response."""
        if self.close_reason is not None:
            return
        self.close_reason = reason
        telemetry = self.server.engine.telemetry
        telemetry.count(CounterName.CONNECTION_CLOSED, reason.value)
        if self.has_unanswered_request() and reason is not CloseReason.CLIENT:
            telemetry.report_violation(Violation.UNANSWERED, self.request_id or "", f"closed: {reason.value}")

    def _linger(self) -> None:
        """Close after the last response: end the sending, and give the client a moment to close first.

        Closed at once with bytes unread, the kernel would reset the connection, and the client could lose
        the response.
        """
        self._stop_reading()
        self.pending.clear()  # nothing is owed to what follows a request that asks for the close
        self._record_close(CloseReason.ANSWERED)
        self.server.disconnect_watcher.unwatch(self)
        self.transport.resume_reading()
        self.transport.write_eof()
        self.server.slots.mark_lingering(self)

    # Reading

    def _arrival_time(self) -> float:
        """Return when the bytes just read arrived, in ms of `now_ms`.

        They may have lain in the kernel for as long as the connection was not read, or not accepted.
        """
        now = now_ms()
        unread_since = self.paused_since or self._accept_delayed_since
        if not unread_since:
            return now
        age_ms = last_data_age_ms(self.transport)
        paused_since = self.paused_since
        self.paused_since = 0.0
        self._accept_delayed_since = 0.0
        if age_ms is None:
            return paused_since or now  # the earliest time, where the pause was this proxy's own
        return max(unread_since, now - age_ms)

    def _process(self) -> None:
        """Dispatch the requests in order, and parse further ones while few are pending."""
        while not self.is_closing or self.pending:
            while self.request_id is None and self.pending:
                self._dispatch(self.pending.popleft())
            if not self.buffer or self.is_closing or not self._may_parse_ahead():
                break
            self._parse(self.buffer.pop(PARSE_CHUNK_BYTES))
        if self.server.slots.is_lingering(self) or self.transport.is_closing():
            return
        self._update_state()
        if not self.is_closing:
            self._update_reading()

    def _update_state(self) -> None:
        if self.has_unanswered_request():
            self._bound_current_request()
            self.server.slots.mark_active(self)
        elif self.reader.is_mid_request or not self.has_responded:
            self.server.slots.mark_awaiting_request(self)
        else:
            self.server.slots.mark_idle(self)

    def _update_reading(self) -> None:
        """Pause reading while the buffer is full enough, resume it otherwise."""
        if len(self.buffer) > PARSE_CHUNK_BYTES:
            self.paused_since = self.paused_since or now_ms()
            self.transport.pause_reading()
            self.server.disconnect_watcher.watch(self)
            return
        self.server.disconnect_watcher.unwatch(self)
        if self.paused_since and not has_unread_input(self.transport):
            self.paused_since = 0.0
        self.transport.resume_reading()

    def _may_parse_ahead(self) -> bool:
        pipelined = len(self.pending)
        if pipelined < MAX_PIPELINED:
            return True
        if pipelined >= MAX_PIPELINED_SMALL:
            return False
        requests = (pending for pending in self.pending if isinstance(pending, HttpRequest))
        return sum(request.size_bytes() for request in requests) < MAX_PIPELINED_SMALL_BYTES

    def _bound_current_request(self) -> None:
        """Bound the current request by the deadlines of those behind it: responses are sent in order."""
        if self.request_id is None:
            return
        deadlines = [pending.deadline() for pending in self.pending if isinstance(pending, HttpRequest)]
        if deadlines:
            self.server.engine.requests.shorten_deadline(self.request_id, min(deadlines) + PIPELINED_GRACE_MS)

    def _parse(self, chunk: ReceivedChunk) -> None:
        completed = self.reader.feed(chunk.data, chunk.arrived_at)
        if self.reader.expects_continue and not self.has_unanswered_request():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.pending.extend(completed)
        if self.reader.has_failed:
            self._stop_reading()

    # Responses

    def _dispatch(self, request: HttpRequest | RequestError) -> None:
        """Answer a request here, or give it to the engine."""
        try:
            if isinstance(request, RequestError):
                self.keep_alive = False
                raise request
            self.keep_alive = request.keep_alive
            self._route(request)
            self.consecutive_errors = 0
        except RequestError as error:
            self.consecutive_errors += 1
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
                self.keep_alive = False
            self._send_response(ClientResponse(error.status))

    def _route(self, request: HttpRequest) -> None:
        """Serve the readiness check here and all else by the engine; RequestError rejects the request."""
        if self.close_if_disconnected():  # while the request waited behind others, or in the kernel
            return
        if request.target.split(b"?", 1)[0] == READY_PATH:
            if request.method != b"GET":
                raise RequestError(405)
            self._send_response(ClientResponse(200 if self.server.is_ready() else 503))
            return
        validated = self.server.request_validator.validate(
            request, self.on_response, self.close_if_disconnected
        )
        if not self.server.engine.requests.accept(validated):
            raise RequestError(400)
        self.request_id = validated.request_id

    def on_response(self, response: ClientResponse) -> None:
        """Send the engine's response to the current request, and go on with the next one."""
        if self.request_id is not None:
            self.request_id = None
            self._send_response(response)
            self._process()

    def _send_response(self, response: ClientResponse) -> None:
        if self.transport.is_closing():
            return
        # At shutdown, pipelined requests are still answered: the last response closes the connection.
        keep_alive = self.keep_alive and (not self.server.is_shutting_down or self._has_further_requests())
        self.transport.write(_encode(response, keep_alive))
        self.has_responded = True
        if not keep_alive:
            self._linger()
        elif self.transport.get_write_buffer_size() > MAX_UNREAD_RESPONSE_BYTES:
            self.abort(CloseReason.NOT_READING)

    def _has_further_requests(self) -> bool:
        """Return whether the client has sent anything behind the current request."""
        return bool(self.pending or self.buffer) or has_unread_input(self.transport)


def _encode(response: ClientResponse, keep_alive: bool) -> bytes:
    return b"HTTP/1.1 %d %b\r\n%bcontent-length: %d\r\n%b\r\n%b" % (
        response.status,
        REASON_PHRASES[response.status],
        response.headers,
        len(response.body),
        b"" if keep_alive else b"connection: close\r\n",
        response.body,
    )
