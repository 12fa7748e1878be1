"""A client connection: reads pipelined requests ahead, and responds to each once and in order."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from math import inf
from typing import cast

from dunecove.limits import FREE_BYTES
from dunecove.policy.request_rules import RESPONSE_GRACE_MS, Violation, may_close_connection
from dunecove.proxy.bounded_protocol import READ_BYTES, BoundedProtocol
from dunecove.proxy.client_messages import REJECTION, ClientResponse, ClientState
from dunecove.proxy.clock import now_ms
from dunecove.proxy.close_reason import CloseReason
from dunecove.proxy.connection_slots import ConnectionSlots
from dunecove.proxy.disconnect_watcher import DisconnectWatcher
from dunecove.proxy.engine import Engine
from dunecove.proxy.http_limits import MAX_BODY_BYTES
from dunecove.proxy.http_request import FailedRequest, HttpRequest, RequestError, RequestReader
from dunecove.proxy.memory_budget import MemoryAccount
from dunecove.proxy.receive_buffer import ReceiveBuffer, ReceivedChunk
from dunecove.proxy.request_lifecycle import Acceptance
from dunecove.proxy.request_pipeline import RequestPipeline, memory_bytes
from dunecove.proxy.request_validator import RequestValidator
from dunecove.proxy.socket_probe import has_unread_input, probe_input
from dunecove.proxy.telemetry import CounterName
from dunecove.proxy.unread_input import UnreadInput

PARSE_CHUNK_BYTES = 4096  # parsed at a time, so that a flood of requests is not parsed all at once
# The same while there is no memory for more than one request: fewer of the shortest requests are in it.
SCARCE_PARSE_CHUNK_BYTES = 256
MAX_BUFFERED_FRACTION = 0.125  # of the budget for requests, that one connection may read ahead
# Requests dispatched without a break: a flood of those that are answered at once must not delay others.
MAX_DISPATCHES_PER_TURN = 8
MAX_CONSECUTIVE_ERRORS = 8  # consecutive rejected requests after which a connection is closed
LINGER_READ_TIMEOUT_S = 5.0  # time for a lingering client to read its last response
MAX_LINGER_BYTES = 1024 * 1024  # received and discarded while lingering; any more abort the connection
MAX_UNREAD_RESPONSE_BYTES = 2 * MAX_BODY_BYTES  # response bytes that a client may leave unread
# Maximum time (ms) from the deadline of a pipelined request to its response: well within the grace period, in
# which a late response is no violation.
PIPELINED_GRACE_MS = RESPONSE_GRACE_MS / 2
READY_PATH = b"/health/ready"


@dataclass
class ServerState:
    """State that all client connections share."""

    engine: Engine
    request_validator: RequestValidator
    slots: ConnectionSlots
    disconnect_watcher: DisconnectWatcher
    is_shutting_down: bool = False  # each connection is closed after its response

    def is_ready(self) -> bool:
        """Return whether this proxy is ready for requests."""
        return not self.is_shutting_down and self.engine.connection_pool.active_count() > 0


class ClientConnection(BoundedProtocol):
    """The asyncio protocol of a client connection."""

    def __init__(
        self,
        server: ServerState,
        on_lost: Callable[[ClientConnection], None],
        accept_delayed_since: float = 0.0,
    ) -> None:
        """Initialize the connection.

        `accept_delayed_since` is the time, in ms of `now_ms`, since which the connection may have waited in
        the backlog; 0: it has not waited.
        """
        super().__init__()
        self.server = server
        self.transport: asyncio.Transport
        self.reader = RequestReader()
        self.buffer = ReceiveBuffer()
        self.pending = RequestPipeline()
        self.request_id: str | None = None  # of the current request, which the engine processes
        self._request_bytes = 0  # memory of the current request
        self._budgets = server.engine.budgets
        self._request_memory = MemoryAccount(self._budgets.requests)  # of all requests and unparsed input
        self._unsent_memory = MemoryAccount(self._budgets.responses)
        self.unread_since = 0.0  # time, in ms of `now_ms`, since which responses are unsent; 0: none is
        self._has_memory = True  # for the request that is being read
        self._is_continuing = False  # input is processed further in the next loop iteration
        self.keep_alive = True  # whether the last dispatched request lets the connection stay open
        self.is_closing = False  # no further requests are read
        self.has_responded = False
        self.consecutive_errors = 0
        self.discarded_bytes = 0  # received while lingering
        self.close_reason: CloseReason | None = None
        self.unread_input = UnreadInput(accept_delayed_since)
        self._on_lost = on_lost

    # asyncio callbacks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle the opening of the connection."""
        self.transport = cast(asyncio.Transport, transport)
        self.transport.set_write_buffer_limits(high=FREE_BYTES, low=0)
        self.server.slots.add(self)

    def eof_received(self) -> None:
        """Handle a half-close, which is treated as a disconnect of the client."""
        self._abandon_requests()
        self.close(CloseReason.CLIENT)

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection, whichever side closed it."""
        self._abandon_requests()
        self._record_close(CloseReason.CLIENT)
        self.reader.close()
        self._request_memory.release()
        self._unsent_memory.release()
        self._on_lost(self)

    def pause_writing(self) -> None:
        """Record that the client has left more than `FREE_BYTES` of its responses unread."""
        self.unread_since = now_ms()

    def resume_writing(self) -> None:
        """Record that the kernel has accepted all responses."""
        self.unread_since = 0.0
        self._unsent_memory.release()

    def read_bytes(self) -> int:
        """Return how many bytes may be read: only what there is memory for, and never beyond a long body."""
        if self.is_closing or self._budgets.requests.has_surplus():
            return READ_BYTES
        return max(self.reader.missing_body_bytes() if self._has_memory else 0, PARSE_CHUNK_BYTES)

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""
        if self.is_closing and self.has_unanswered_request():
            # If reading continued, a flood could get the connection aborted before its responses are written.
            self._pause_and_watch()
            return
        if self.is_closing:
            self.discarded_bytes += len(data)
            if self.discarded_bytes > MAX_LINGER_BYTES:
                self.abort(CloseReason.FLOOD)
            return
        arrived_at = self.unread_input.arrival_time(self.transport, self.may_have_unread_input)
        self.buffer.append(data, arrived_at)
        self._process()

    # State

    def has_unanswered_request(self) -> bool:
        """Return whether a request on this connection has no response yet."""
        return self.request_id is not None or bool(self.pending)

    def may_close(self) -> bool:
        """Return whether there is no unanswered request, and no unread input here or in the kernel."""
        has_unread = bool(self.buffer) or has_unread_input(self.transport)
        return may_close_connection(self.has_unanswered_request(), has_unread)

    def may_be_evicted(self) -> bool:
        """Return whether the slot of this connection may be given to a new one."""
        if self.server.slots.is_lingering(self):
            return not self.is_delivering()
        return self.may_close()

    def has_unsent_bytes(self) -> bool:
        """Return whether the write buffer holds response bytes that the client has not read yet."""
        return self.transport.get_write_buffer_size() > 0

    def is_delivering(self) -> bool:
        """Return whether a lingering connection needs more time to deliver its last response.

        It does for up to `LINGER_READ_TIMEOUT_S` while response bytes are unsent or the kernel holds unread
        input: closing it with unread input would reset it and drop what the kernel has not sent yet.
        """
        if now_ms() - self.server.slots.lingering_since(self) > LINGER_READ_TIMEOUT_S * 1000:
            return False
        return self.has_unsent_bytes() or has_unread_input(self.transport)

    def check_client(self) -> ClientState:
        """Return the state of the client; close the connection if the kernel reports its disconnect.

        The event loop reports the disconnect later, or never while reading is paused.
        """
        state = probe_input(self.transport)
        if state.is_closed:
            self._abandon_requests()
            self.close(CloseReason.CLIENT)
            return ClientState.DISCONNECTED
        if state.has_unread and self.unread_input.has_hidden_close_for_long(self.transport):
            return ClientState.UNKNOWN
        return ClientState.CONNECTED

    # Closing

    def close(self, reason: CloseReason) -> None:
        """Close the connection once the written responses are sent.

        If the client never reads them, `Listener.sweep` aborts the connection later.
        """
        self._record_close(reason)
        self.server.slots.mark_lingering(self)
        self.transport.close()

    def abort(self, reason: CloseReason) -> None:
        """Close the connection at once and drop unsent bytes."""
        self._record_close(reason)
        self.transport.abort()

    def time_out_request(self) -> None:
        """Reject an incomplete request, or close the connection if no request has begun."""
        if self.reader.is_mid_request:
            if not self.is_closing:
                self.pending.extend([self.reader.time_out()])
                self._stop_reading_requests()
            self._process()
        elif self.may_close():
            self.close(CloseReason.REQUEST_TIMEOUT)

    def _stop_reading_requests(self) -> None:
        """Ignore all further input: the boundaries of its requests are unknown, or they get no response."""
        self.is_closing = True
        self.buffer.clear()

    def _abandon_requests(self) -> None:
        """Drop all requests, since the client no longer waits for their responses."""
        self._stop_reading_requests()
        self.pending.clear()
        if self.request_id is not None:
            self.server.engine.requests.client_disconnected(self.request_id)
            self.request_id = None
        self._request_bytes = 0

    def _record_close(self, reason: CloseReason) -> None:
        """Count the first reason for closing the connection.

        Closing it with an unanswered request is a violation, unless the client has disconnected.
        """
        if self.close_reason is not None:
            return
        self.close_reason = reason
        telemetry = self.server.engine.telemetry
        telemetry.count(CounterName.CONNECTION_CLOSED, reason.value)
        if self.has_unanswered_request() and reason is not CloseReason.CLIENT:
            telemetry.report_violation(
                Violation.UNANSWERED,
                self.request_id or "(not dispatched)",
                f"connection was closed: {reason.value}",
            )

    def _linger(self) -> None:
        """Half-close the connection after the last response, and give the client time to close it first.

        If it were closed at once with unread input, the kernel would reset it, and the client could lose the
        response.
        """
        self._stop_reading_requests()
        self.pending.clear()  # requests behind one that closes the connection get no response
        self._record_close(CloseReason.ANSWERED)
        self.server.disconnect_watcher.unwatch(self)
        self.resume_reading()
        self.transport.write_eof()
        self.server.slots.mark_lingering(self)

    # Reading

    def _process(self) -> None:
        """Dispatch the pending requests in order, and parse further ones while few are pending."""
        dispatches_left = MAX_DISPATCHES_PER_TURN
        while not self.is_closing or self.pending:
            while self.request_id is None and self.pending and dispatches_left:
                self._dispatch(self.pending.popleft())
                dispatches_left -= 1
            if self.request_id is None and not dispatches_left:
                self._continue_later()
                break
            if not self.buffer or self.is_closing or not self._may_parse():
                break
            self._parse(self.buffer.pop(self._parse_bytes()))
        if not self.is_closing:
            self._reserve_memory()
        else:
            self._request_memory.hold(self._memory_bytes())
        if self.server.slots.is_lingering(self) or self.transport.is_closing():
            return
        self._update_state()
        if not self.is_closing:
            self._update_reading()

    def _continue_later(self) -> None:
        if not self._is_continuing and not self.transport.is_closing():
            self._is_continuing = True
            asyncio.get_running_loop().call_soon(self._continue)

    def _continue(self) -> None:
        self._is_continuing = False
        if not self.transport.is_closing():
            self._process()

    def _update_state(self) -> None:
        if self.has_unanswered_request() or self._is_continuing:
            self._shorten_current_deadline()
            self.server.slots.mark_active(self)
        elif self.reader.is_mid_request or not self.has_responded:
            self.server.slots.mark_awaiting_request(self)
        else:
            self.server.slots.mark_idle(self)

    def read_on(self) -> None:
        """Read on although reading is paused, if unread input may hide a close and there is memory."""
        if not self.is_closing and not self.transport.is_closing():
            self._update_reading()

    def _update_reading(self) -> None:
        """Pause reading while enough is buffered or there is no memory, and resume it otherwise."""
        if not self._may_read():
            self.unread_input.mark_pending()
            self._pause_and_watch()
            return
        self.server.disconnect_watcher.unwatch(self)
        if self.unread_input.pending_since and not has_unread_input(self.transport):
            self.unread_input.mark_empty()
        self.resume_reading()

    def _may_read(self) -> bool:
        """Return whether to read more: little is buffered, or what is unread may hide the client's close."""
        buffered_bytes = len(self.buffer)
        if not buffered_bytes or not self._has_memory:
            return self._has_memory
        budget = self._budgets.requests
        if not budget.has_surplus():
            return False
        if buffered_bytes <= PARSE_CHUNK_BYTES:
            return True
        max_buffered_bytes = budget.limit_bytes * MAX_BUFFERED_FRACTION
        return buffered_bytes <= max_buffered_bytes and self.unread_input.may_hide_close(self.transport)

    def _pause_and_watch(self) -> None:
        self.pause_reading()
        self.server.disconnect_watcher.watch(self)

    def _may_parse(self) -> bool:
        if not self._has_memory and not self._reserve_memory():
            return False
        if self.pending.is_full():
            return False
        return not self.has_unanswered_request() or self._budgets.requests.has_surplus()

    def _parse_bytes(self) -> int:
        """Return how much to parse at once: a body as a whole, and otherwise few requests."""
        has_surplus = self._budgets.requests.has_surplus()
        chunk_bytes = PARSE_CHUNK_BYTES if has_surplus else SCARCE_PARSE_CHUNK_BYTES
        return max(self.reader.missing_body_bytes(), chunk_bytes)

    def _shorten_current_deadline(self) -> None:
        """Limit the current request by the deadlines of those behind it: responses are sent in order."""
        deadline = self.pending.earliest_deadline()
        if self.request_id is not None and deadline < inf:
            self.server.engine.requests.shorten_deadline(self.request_id, deadline + PIPELINED_GRACE_MS)

    def _parse(self, chunk: ReceivedChunk) -> None:
        completed = self.reader.feed(chunk.data, chunk.arrived_at)
        if self.reader.expects_continue and not self.has_unanswered_request():
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.pending.extend(completed)
        if self.reader.has_failed:
            self._stop_reading_requests()
        else:
            self._reserve_memory()

    # Memory

    def _memory_bytes(self) -> int:
        """Return what the requests and the unparsed input take, all of an incomplete body included."""
        return (
            self.buffer.memory_bytes()
            + self.pending.memory_bytes
            + self._request_bytes
            + self.reader.memory_bytes()
        )

    def _reserve_memory(self) -> bool:
        """Hold memory for all input; return False if the request that is being read has to wait for it.

        It waits behind an unanswered request of its connection, which holds memory itself. If there is none,
        its body is discarded and it is rejected, since nothing says when another client frees memory. A
        short request is read in any case.
        """
        memory_bytes = self._memory_bytes()
        is_short = self.reader.memory_bytes() <= FREE_BYTES
        self._has_memory = self._request_memory.try_hold(memory_bytes) or is_short
        if self._has_memory:
            self._request_memory.hold(memory_bytes)
        elif self.has_unanswered_request():
            self._request_memory.hold(memory_bytes - self.reader.missing_memory_bytes())
        else:
            self._shed_request()
            self._has_memory = True
        return self._has_memory

    def _shed_request(self) -> None:
        error = self.reader.shed()
        if error is not None:
            self.pending.extend([error])
            self._stop_reading_requests()
        self._request_memory.hold(self._memory_bytes())
        self.server.engine.telemetry.count(CounterName.REQUEST_SHED, "memory")

    # Responses

    def _dispatch(self, request: HttpRequest | FailedRequest) -> None:
        """Respond to a request directly, or pass it to the engine."""
        if isinstance(request, FailedRequest):
            self.keep_alive = False
            self._reject(request.status)
            return
        self.keep_alive = request.keep_alive
        if request.is_shed:
            self._send_response(REJECTION)
            self.consecutive_errors = 0
            return
        try:
            self._route(request)
            self.consecutive_errors = 0
        except RequestError as error:
            self._reject(error.status)

    def _reject(self, status: int) -> None:
        """Respond with an error; the last one of a series closes the connection."""
        self.consecutive_errors += 1
        if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS:
            self.keep_alive = False
        self._send_response(ClientResponse(status))

    def _route(self, request: HttpRequest) -> None:
        """Respond to a readiness check, or pass the request to the engine; raise RequestError to reject."""
        # The client may have disconnected while the request waited in the kernel or behind other requests.
        client_state = self.check_client()
        if client_state is ClientState.DISCONNECTED:
            return
        if request.target.split(b"?", 1)[0] == READY_PATH:
            if request.method != b"GET":
                raise RequestError(405)
            self._send_response(ClientResponse(200 if self.server.is_ready() else 503))
            return
        validated = self.server.request_validator.validate(request, self.on_response, self.check_client)
        if client_state is ClientState.UNKNOWN:
            self._shed("client_unknown")
            return
        acceptance = self.server.engine.requests.accept(validated)
        if acceptance is Acceptance.DUPLICATE_ID:
            raise RequestError(400)
        if acceptance is Acceptance.TOO_MANY_IDS:
            self._shed("request_ids")
            return
        self.request_id = validated.request_id
        self._request_bytes = memory_bytes(request)

    def _shed(self, resource: str) -> None:
        self.server.engine.telemetry.count(CounterName.REQUEST_SHED, resource)
        self._send_response(REJECTION)

    def on_response(self, response: ClientResponse) -> None:
        """Send the engine's response to the current request and dispatch the next one."""
        if self.request_id is not None:
            self.request_id = None
            self._request_bytes = 0
            self._send_response(response)
            self._process()

    def _send_response(self, response: ClientResponse) -> None:
        if self.transport.is_closing():
            return
        # During shutdown, pipelined requests are still served; the last response closes the connection.
        keep_alive = self.keep_alive and (not self.server.is_shutting_down or self._has_further_requests())
        is_unread = bool(self.unread_since)
        encoded = response.encode(keep_alive)
        self.transport.write(encoded)
        self.has_responded = True
        if self.unread_since:
            self._unsent_memory.hold(self._unsent_memory.held_bytes + len(encoded))
        if not keep_alive:
            self._linger()
        elif self._has_too_many_unsent_bytes(is_unread):
            self.abort(CloseReason.NOT_READING)

    def _has_too_many_unsent_bytes(self, is_unread: bool) -> bool:
        """Return whether to give up a client, whose earlier responses are unread if `is_unread`."""
        if self.transport.get_write_buffer_size() > MAX_UNREAD_RESPONSE_BYTES:
            return True
        return is_unread and not self._budgets.responses.may_charge(0)

    def _has_further_requests(self) -> bool:
        """Return whether the client has sent anything after the current request."""
        return bool(self.pending or self.buffer) or has_unread_input(self.transport)
