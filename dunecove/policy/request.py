"""Requests of clients and their attempts at backends."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunecove.policy.backend import Backend
from dunecove.policy.events import RequestArrived
from dunecove.policy.models import NEVER_EXECUTED, AttemptResult
from dunecove.policy.settings import RequestClass

if TYPE_CHECKING:
    from dunecove.policy.request_queue import RequestQueue


class Attempt:
    """One attempt of a request at a backend."""

    def __init__(self, backend: Backend, sent_at: float) -> None:
        self.backend = backend
        self.sent_at = sent_at  # ms
        self.is_open = True
        self.may_have_executed = True
        # The location at the time of sending: a later list update may move the backend.
        self.zone = backend.zone
        self.cell = backend.cell

    def end(self, result: AttemptResult) -> None:
        """Record the result of the attempt."""
        self.is_open = False
        self.may_have_executed = result not in NEVER_EXECUTED


class Request:
    """A request without a final response, or with an attempt that has not ended. Times are in ms."""

    def __init__(
        self,
        event: RequestArrived,
        request_class: RequestClass,
        queue: RequestQueue,
        now: float,
        original_arrival_at: float,
    ) -> None:
        self.id = event.request_id
        self.class_index = event.class_index
        self.affinity_key = event.affinity_key
        self.work_hint_ms = event.work_hint_ms  # 0 if the client gave none
        self.deadline = event.deadline
        self.request_class = request_class
        self.queue = queue
        self.arrived_at = now
        # If late responses have a value, the objective of a client's retry counts from the retry's arrival.
        objective_start = now if request_class.late_weight > 0 else original_arrival_at
        self.objective_end = objective_start + request_class.latency_objective_ms
        # After this time a response has no value, or the client has stopped waiting.
        self.value_expires_at = self.deadline
        if request_class.late_weight <= 0:
            self.value_expires_at = min(self.deadline, self.objective_end)
        self.send_deadline = self.deadline  # latest time for the next attempt; set by `QueueTimeouts`
        self.attempts: list[Attempt] = []
        self.open_attempt_count = 0
        self.is_queued = False  # in its queue, or waiting for a backend in its deduplication scope
        self.is_finished = False
        self.local_failure_count = 0  # attempts that ended with NO_LOCAL_RESOURCE
        self.retry_at = 0.0  # end of the backoff after a local failure; 0: no backoff

    def has_backoff_ended(self, now: float) -> bool:
        """Whether the request is unfinished and its backoff after a local failure has ended."""
        return not self.is_finished and 0 < self.retry_at <= now
