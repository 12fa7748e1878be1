"""The way of each request: its arrival, deadline, attempts, its one answer, and its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

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
from dunecove.proxy.client_messages import ClientResponse, ParsedRequest
from dunecove.proxy.clock import now_ms
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.http_exchange import Response
from dunecove.proxy.request_registry import OpenRequest, RecentIds
from dunecove.proxy.telemetry import CounterName, RequestStage, ResponseReason, Telemetry

# What a client needs to read a body; all else is between the proxy and the backend.
_FORWARDED_RESPONSE_HEADERS = (b"content-type", b"content-encoding", b"content-language")


class RequestLifecycle:
    """All open requests. Each client gets one answer, by its deadline."""

    def __init__(
        self,
        settings: Settings,
        connection_pool: ConnectionPool,
        telemetry: Telemetry,
        raise_event: Callable[[Event], None],
    ) -> None:
        """Begin without requests; `raise_event` takes what the balancer has to hear of."""
        self.open: dict[str, OpenRequest] = {}
        self.max_deadline_ms = max(request_class.deadline_ms for request_class in settings.classes)
        self.recent_ids = RecentIds(self.max_deadline_ms)
        self._settings = settings
        self._connection_pool = connection_pool
        self._telemetry = telemetry
        self._raise_event = raise_event
        self._ended: list[OpenRequest] = []  # to be forgotten once the balancer has heard of their end
        self._is_shutting_down = False  # no new request could be answered in time any more
        self._loop = asyncio.get_running_loop()

    # From the client

    def accept(self, parsed: ParsedRequest) -> bool:
        """Begin with a request.

        False if its id is in use or was used of late: an id names one request.
        """
        self.recent_ids.expire()
        request_id = parsed.request_id
        if request_id in self.recent_ids or request_id in self.open:
            self._telemetry.count(CounterName.DUPLICATE_REQUEST_ID)
            return False
        self.recent_ids.add(request_id)
        # No client waits longer than its class allows: a larger budget would skew what the balancer learns.
        budget_ms = min(parsed.budget_ms, self._settings.classes[parsed.class_index].deadline_ms)
        request = OpenRequest(parsed)
        self.open[request_id] = request
        self._telemetry.record(request_id, RequestStage.ACCEPTED)
        if self._is_shutting_down:
            self._loop.call_soon(self._reject_at_shutdown, request)
            return True
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
        return True

    def client_disconnected(self, request_id: str) -> None:
        """End a request whose client has left."""
        request = self.open.get(request_id)
        if request is None or request.is_finished:
            return
        self._telemetry.record(request_id, RequestStage.CLIENT_DISCONNECTED)
        self._finish(request)
        self._abandon(request)

    def shorten_deadline(self, request_id: str, response_deadline: float) -> None:
        """Answer a request by that time: pipelined ones behind it can't be answered before it."""
        request = self.open.get(request_id)
        if request is None or request.is_finished or request.deadline_timer is None:
            return
        if response_deadline >= request.response_deadline:
            return
        request.response_deadline = response_deadline
        request.deadline_timer.cancel()
        remaining_s = max(response_deadline - now_ms(), 0.0) / 1000
        request.deadline_timer = self._loop.call_later(remaining_s, self._on_deadline, request)

    # From the balancer

    def forward(self, action: Forward, decided_at: float) -> None:
        """Begin an attempt. The action's durations count from `decided_at`, a time in ms."""
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
            lambda: self._record_denial(request, attempt_index),
        )
        request.attempts.append(attempt)
        self._telemetry.record(request.parsed.request_id, RequestStage.ATTEMPT_STARTED)
        self._connection_pool.start(attempt)

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Give up an open attempt."""
        request = self.open.get(action.request_id)
        if request is not None and action.attempt_index < len(request.attempts):
            self._connection_pool.cancel(request.attempts[action.attempt_index])

    def send_final_response(self, action: Reject | Fail) -> None:
        """Send the final response that the balancer decided on, unless the request has had one."""
        request = self.open.get(action.request_id)
        if request is not None and not request.is_finished:
            self._respond(request, self._final_response(request, action), action.reason)

    def pop_ended(self) -> list[OpenRequest]:
        """Return the requests that ended since the last call; the balancer is about to hear of their end."""
        ended = self._ended
        self._ended = []
        return ended

    def remove_ended(self, ended: Iterable[OpenRequest]) -> None:
        """Forget requests of whose end the balancer has heard.

        Not earlier: it may have forwarded one again in the step that told it of the end, and each attempt is
        owed its result.
        """
        for request in ended:
            request_id = request.parsed.request_id
            if self.open.get(request_id) is request and not request.has_open_attempts():
                del self.open[request_id]

    # The end of the balancer, and that of the program

    def fail_all(self) -> None:
        """Answer all open requests with an error, and forget them: their balancer has failed."""
        self._ended = []
        # An answer may bring the next request of its connection, which is the new balancer's.
        failed = self.open
        self.open = {}
        for request in failed.values():
            for attempt in request.attempts:
                self._connection_pool.cancel(attempt)
            if not request.is_finished:
                self._respond(request, ClientResponse(500), ResponseReason.BALANCER_FAILED)

    def expire_all(self) -> None:
        """Answer now whoever still waits, pipelined requests too, and reject what comes from now on."""
        self._is_shutting_down = True
        while waiting := [request for request in self.open.values() if not request.is_finished]:
            for request in waiting:
                self._on_deadline(request)

    def report_unanswered(self) -> None:
        """Count the requests that the end of the program leaves without an answer."""
        for request in self.open.values():
            if not request.is_finished:
                request_id = request.parsed.request_id
                self._telemetry.report_violation(Violation.UNANSWERED, request_id, "the program ends")

    # One request

    def _on_deadline(self, request: OpenRequest) -> None:
        """The balancer let the client's time run out; the client gets its one answer all the same."""
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
        """Nobody waits for it any more. Whether attempts in flight may be cancelled is for the balancer to
        decide; one that is not written whole is withdrawn here."""
        self._raise_event(ClientDisconnected(request.parsed.request_id))
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
        self._telemetry.record(request_id, RequestStage.ATTEMPT_ENDED, result.value)
        latency_ms = now_ms() - attempt.started_at
        self._raise_event(AttemptEnded(request_id, attempt_index, result, latency_ms, request.is_finished))
        self._note_end(request)

    def _record_denial(self, request: OpenRequest, attempt_index: int) -> Denial | None:
        """Return why an attempt may not be written now, recorded and, if unexpected, reported; or None.

        That its client has left may wait for its turn of the loop, or lie behind what isn't read for now, so
        the kernel is asked.
        """
        denial: Denial | None
        if request.is_finished:
            denial = Denial.ANSWERED
        elif request.parsed.close_if_disconnected():
            denial = Denial.CLIENT_DISCONNECTED
        else:
            denial = attempt_denial(
                self._settings,
                self._settings.classes[request.parsed.class_index],
                request.attempts[:attempt_index],
                request.attempts[attempt_index],
                now_ms(),
            )
        if denial is not None:
            request_id = request.parsed.request_id
            self._telemetry.record(request_id, RequestStage.ATTEMPT_DENIED, denial.value)
            if denial not in EXPECTED_DENIALS:
                self._telemetry.report_violation(Violation.FORBIDDEN_ATTEMPT, request_id, denial.value)
        return denial

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
            detail = f"{late_ms:.0f} ms, {reason.value}"
            self._telemetry.report_violation(Violation.LATE_RESPONSE, request_id, detail)
        self._finish(request)
        request.parsed.respond(response)

    def _finish(self, request: OpenRequest) -> None:
        request.is_finished = True
        if request.deadline_timer is not None:
            request.deadline_timer.cancel()
        self._note_end(request)

    def _note_end(self, request: OpenRequest) -> None:
        if request.is_finished and not request.has_open_attempts():
            self._ended.append(request)


def _client_response(response: Response) -> ClientResponse:
    """Return what a client gets of a backend's response."""
    headers = [pair for pair in response.headers if pair[0] in _FORWARDED_RESPONSE_HEADERS]
    return ClientResponse(200, b"".join(b"%b: %b\r\n" % pair for pair in headers), response.body)


def _rejection(action: Reject) -> ClientResponse:
    if action.retry_after_ms <= 0:
        return ClientResponse(503)
    return ClientResponse(503, b"retry-after: %.3f\r\n" % (action.retry_after_ms / 1000))
