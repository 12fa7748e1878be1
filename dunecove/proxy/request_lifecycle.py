"""The request lifecycle: arrival, deadline, attempts, the one final response, and removal."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from enum import Enum, auto
from math import inf

from dunecove.policy.actions import CancelAttempt, EndReason, Fail, Forward, Reject
from dunecove.policy.events import AttemptEnded, ClientDisconnected, Event, RequestArrived
from dunecove.policy.models import AttemptResult
from dunecove.policy.request_rules import (
    EXPECTED_DENIALS,
    RESPONSE_GRACE_MS,
    Denial,
    Violation,
    attempt_denial,
    may_reject,
)
from dunecove.policy.settings import Settings
from dunecove.proxy.attempt import Attempt
from dunecove.proxy.client_messages import REJECTION, ClientResponse, ClientState, ParsedRequest
from dunecove.proxy.clock import now_ms
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.http_exchange import Response
from dunecove.proxy.request_registry import ExecutedIds, OpenRequest
from dunecove.proxy.telemetry import CounterName, RequestStage, ResponseReason, Telemetry

# Headers that a client needs to read a body; all others concern only the proxy and the backend.
_FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding", b"content-language")


class Acceptance(Enum):
    """Whether a request was accepted, and if not, why."""

    ACCEPTED = auto()
    DUPLICATE_ID = auto()
    TOO_MANY_IDS = auto()  # that must be kept, so that the request could be executed twice


class RequestLifecycle:
    """The open requests. Each gets exactly one response, by its deadline, unless its client disconnects."""

    def __init__(
        self,
        settings: Settings,
        connection_pool: ConnectionPool,
        telemetry: Telemetry,
        raise_event: Callable[[Event], None],
        max_executed_ids: float = inf,
    ) -> None:
        """Create an empty registry of requests; `raise_event` queues an event for the balancer."""
        self.open: dict[str, OpenRequest] = {}  # by request id
        self.max_deadline_ms = max(request_class.deadline_ms for request_class in settings.classes)
        self.executed_ids = ExecutedIds(self.max_deadline_ms, max_executed_ids)
        self._settings = settings
        self._connection_pool = connection_pool
        self._telemetry = telemetry
        self._raise_event = raise_event
        self._ended: list[OpenRequest] = []  # to be removed once the balancer has been notified of their end
        self._rejects_new = False  # set at the end of the shutdown: no time is left for new requests
        self._loop = asyncio.get_running_loop()

    # Input from the client

    def accept(self, parsed: ParsedRequest) -> Acceptance:
        """Register a request and pass it to the balancer, unless its id is known or no id can be kept.

        An id must identify one request: a backend could execute it twice, or deduplicate another client's.
        """
        self.executed_ids.expire()
        request_id = parsed.request_id
        if request_id in self.executed_ids or request_id in self.open:
            self._telemetry.count(CounterName.DUPLICATE_REQUEST_ID)
            return Acceptance.DUPLICATE_ID
        if self.executed_ids.is_full():
            return Acceptance.TOO_MANY_IDS
        # Capped by the deadline of the class: the balancer recognises retries by how much less time they have
        # left than the longest remaining time seen in their class, which a single client must not raise.
        budget_ms = min(parsed.budget_ms, self._settings.classes[parsed.class_index].deadline_ms)
        request = OpenRequest(parsed)
        self.open[request_id] = request
        self._telemetry.record(request_id, RequestStage.ACCEPTED)
        if self._rejects_new:
            self._loop.call_soon(self._reject_at_shutdown, request)
            return Acceptance.ACCEPTED
        request.deadline_timer = self._loop.call_later(max(budget_ms, 0.0) / 1000, self._on_deadline, request)
        self._raise_event(
            RequestArrived(
                request_id,
                parsed.class_index,
                parsed.tenant,
                parsed.affinity_key,
                now_ms() + budget_ms,
                parsed.is_retry,
                parsed.work_hint_ms,
            )
        )
        return Acceptance.ACCEPTED

    def client_disconnected(self, request_id: str) -> None:
        """End a request whose client has disconnected."""
        request = self.open.get(request_id)
        if request is None or request.is_finished:
            return
        self._telemetry.record(request_id, RequestStage.CLIENT_DISCONNECTED)
        self._finish(request)
        self._abandon(request)

    def shorten_deadline(self, request_id: str, response_deadline: float) -> None:
        """Set an earlier response deadline for a request, in ms of `now_ms`; a later one is ignored.

        Pipelined requests behind it can't be answered before it is. The new time is compared with
        `response_deadline`: if the timer is set to an earlier deadline of the class, it may be postponed.
        """
        request = self.open.get(request_id)
        if request is None or request.is_finished or request.deadline_timer is None:
            return
        if response_deadline >= request.response_deadline:
            return
        request.response_deadline = response_deadline
        request.deadline_timer.cancel()
        remaining_s = max(response_deadline - now_ms(), 0.0) / 1000
        request.deadline_timer = self._loop.call_later(remaining_s, self._on_deadline, request)

    # Actions of the balancer

    def forward(self, action: Forward, decided_at: float) -> None:
        """Start an attempt. The durations in the action count from `decided_at`, in ms of `now_ms`."""
        request = self.open.get(action.request_id)
        if request is None:
            return
        attempt_index = len(request.attempts)
        elapsed_ms = now_ms() - decided_at
        attempt = Attempt(
            action.backend_id,
            request.parsed.head,
            request.parsed.body,
            action.timeout_ms - elapsed_ms,
            lambda ended, result, response: self._on_attempt_ended(
                request, attempt_index, ended, result, response
            ),
            action.write_timeout_ms - elapsed_ms,
            lambda: self._check_denial(request, attempt_index),
        )
        request.attempts.append(attempt)
        self._telemetry.record(request.parsed.request_id, RequestStage.ATTEMPT_STARTED)
        self._connection_pool.start(attempt)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Cancel an open attempt."""
        request = self.open.get(action.request_id)
        if request is not None and action.attempt_index < len(request.attempts):
            self._connection_pool.cancel(request.attempts[action.attempt_index])

    def send_final_response(self, action: Reject | Fail) -> None:
        """Send the final response that the balancer decided on, unless the request is already finished."""
        request = self.open.get(action.request_id)
        if request is not None and not request.is_finished:
            self._respond(request, self._final_response(request, action), action.reason)
            self._withdraw_incomplete(request)

    def pop_ended(self) -> list[OpenRequest]:
        """Return and clear the requests whose end the next step reports to the balancer."""
        ended = self._ended
        self._ended = []
        return ended

    def remove_ended(self, ended: Iterable[OpenRequest]) -> None:
        """Remove requests after the step that notified the balancer of their end.

        They are kept during that step because it may forward one of them again, and the result of each
        attempt must be reported.
        """
        for request in ended:
            request_id = request.parsed.request_id
            if self.open.get(request_id) is request and not request.has_open_attempts():
                del self.open[request_id]
                self._keep_executed_id(request)

    def _keep_executed_id(self, request: OpenRequest) -> None:
        if request.may_have_executed():
            self.executed_ids.add(request.parsed.request_id)

    # Failure of the balancer, and shutdown

    def fail_all(self) -> None:
        """Fail and remove all open requests, because their balancer has failed."""
        self._ended = []
        # Responding may accept the next request of a connection, which belongs to the new balancer.
        failed = self.open
        self.open = {}
        for request in failed.values():
            for attempt in request.attempts:
                self._connection_pool.cancel(attempt)
            self._keep_executed_id(request)
            if not request.is_finished:
                self._respond(request, ClientResponse(500), ResponseReason.BALANCER_FAILED)

    def expire_all(self) -> None:
        """Fail all unanswered requests now, pipelined ones included, and reject new requests."""
        self._rejects_new = True
        while unanswered := [request for request in self.open.values() if not request.is_finished]:
            for request in unanswered:
                self._on_deadline(request)

    def report_unanswered(self) -> None:
        """Report each request that is still unanswered as the process shuts down."""
        for request in self.open.values():
            if not request.is_finished:
                request_id = request.parsed.request_id
                self._telemetry.report_violation(
                    Violation.UNANSWERED, request_id, "the process is shutting down"
                )

    # State changes of a request

    def _on_deadline(self, request: OpenRequest) -> None:
        """Send an error response, since the balancer did not end the request in time."""
        if request.is_finished:
            return
        is_shortened = request.response_deadline < request.deadline
        reason = ResponseReason.PIPELINE_DEADLINE if is_shortened else ResponseReason.DEADLINE
        self._respond(request, ClientResponse(504), reason)
        self._abandon(request)

    def _reject_at_shutdown(self, request: OpenRequest) -> None:
        if not request.is_finished:
            self._respond(request, ClientResponse(503), Denial.SHUTTING_DOWN)
            self.open.pop(request.parsed.request_id, None)

    def _abandon(self, request: OpenRequest) -> None:
        """Notify the balancer that no client waits for the response any more.

        The balancer decides whether attempts in flight may be cancelled. Those whose request has not been
        completely written are withdrawn here.
        """
        self._raise_event(ClientDisconnected(request.parsed.request_id))
        self._withdraw_incomplete(request)

    def _withdraw_incomplete(self, request: OpenRequest) -> None:
        """Withdraw the attempts that a backend has not received completely: their text takes memory."""
        for attempt in request.attempts:
            self._connection_pool.withdraw(attempt)

    def _on_attempt_ended(
        self,
        request: OpenRequest,
        attempt_index: int,
        attempt: Attempt,
        result: AttemptResult,
        response: Response | None,
    ) -> None:
        request_id = request.parsed.request_id
        if result is AttemptResult.OK and response is not None and not request.is_finished:
            self._respond(request, _client_response(response), ResponseReason.SERVED)
            self._withdraw_incomplete(request)
        self._telemetry.record(request_id, RequestStage.ATTEMPT_ENDED, result.value)
        latency_ms = now_ms() - attempt.started_at
        self._raise_event(AttemptEnded(request_id, attempt_index, result, latency_ms, request.is_finished))
        self._queue_if_ended(request)

    def _check_denial(self, request: OpenRequest, attempt_index: int) -> Denial | None:
        """Return why an attempt may not be written now, or None if it may.

        A denial is recorded and, if unexpected, reported as a violation.
        """
        denial = self._find_denial(request, attempt_index)
        if denial is not None:
            request_id = request.parsed.request_id
            self._telemetry.record(request_id, RequestStage.ATTEMPT_DENIED, denial.value)
            if denial not in EXPECTED_DENIALS:
                self._telemetry.report_violation(Violation.FORBIDDEN_ATTEMPT, request_id, denial.value)
        if denial is Denial.CLIENT_UNKNOWN:
            self._end_without_attempt(request, attempt_index, denial)
        return denial

    def _find_denial(self, request: OpenRequest, attempt_index: int) -> Denial | None:
        """Return why an attempt may not be written now, or None if it may.

        Whether the client has disconnected is queried from the kernel: the event loop may not have processed
        the close yet, or reading from the connection may be paused.
        """
        if request.is_finished:
            return Denial.ANSWERED
        client_state = request.parsed.check_client()
        if client_state is ClientState.DISCONNECTED:
            return Denial.CLIENT_DISCONNECTED
        if client_state is ClientState.UNKNOWN:
            return Denial.CLIENT_UNKNOWN
        return attempt_denial(
            self._settings,
            self._settings.classes[request.parsed.class_index],
            request.attempts[:attempt_index],
            request.attempts[attempt_index],
            now_ms(),
        )

    def _end_without_attempt(self, request: OpenRequest, attempt_index: int, denial: Denial) -> None:
        """Send the final response to a request of which no further attempt may be written."""
        request_class = self._settings.classes[request.parsed.class_index]
        is_rejected = may_reject(request_class, request.attempts[:attempt_index])
        self._respond(request, REJECTION if is_rejected else ClientResponse(504), denial)
        self._abandon(request)

    def _final_response(self, request: OpenRequest, action: Reject | Fail) -> ClientResponse:
        if isinstance(action, Fail):
            return ClientResponse(504)
        if may_reject(self._settings.classes[request.parsed.class_index], request.attempts):
            return _rejection(action)
        self._telemetry.report_violation(
            Violation.FORBIDDEN_REJECTION, request.parsed.request_id, action.reason.value
        )
        return ClientResponse(504)

    def _respond(
        self, request: OpenRequest, response: ClientResponse, reason: ResponseReason | EndReason | Denial
    ) -> None:
        request_id = request.parsed.request_id
        self._telemetry.record(request_id, RequestStage.ANSWERED, reason.value)
        late_ms = now_ms() - request.deadline
        if late_ms > RESPONSE_GRACE_MS:
            detail = f"{late_ms:.0f} ms late, {reason.value}"
            self._telemetry.report_violation(Violation.LATE_RESPONSE, request_id, detail)
        self._finish(request)
        request.parsed.respond(response)

    def _finish(self, request: OpenRequest) -> None:
        request.is_finished = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
            request.deadline_timer = None
        request.release_content()
        self._queue_if_ended(request)

    def _queue_if_ended(self, request: OpenRequest) -> None:
        if request.is_finished and not request.has_open_attempts():
            self._ended.append(request)


def _client_response(response: Response) -> ClientResponse:
    """Return the response to the client for a response from a backend."""
    headers = [pair for pair in response.headers if pair[0] in _FORWARDED_RESPONSE_HEADERS]
    return ClientResponse(200, b"".join(b"%b: %b\r\n" % pair for pair in headers), response.body)


def _rejection(action: Reject) -> ClientResponse:
    if action.retry_after_ms <= 0:
        return ClientResponse(503)
    return ClientResponse(503, b"retry-after: %.3f\r\n" % (action.retry_after_ms / 1000))
