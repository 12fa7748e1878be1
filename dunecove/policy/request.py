"""A client's request and its attempts."""

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
        # Where it was sent, wherever the list puts the backend later.
        self.zone = backend.zone
        self.cell = backend.cell

    def end(self, result: AttemptResult) -> None:
        """Record that it has ended with this result."""
        self.is_open = False
        self.may_have_executed = result not in NEVER_EXECUTED


class Request:
    """A request that has no final response yet, or whose last attempt has not ended. Times are in ms."""

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
        self.work_hint_ms = event.work_hint_ms  # 0 where the client gives none
        self.deadline = event.deadline
        self.request_class = request_class
        self.queue = queue
        self.arrived_at = now
        # Where late responses earn something, a retry's objective counts from now.
        counted_from = now if request_class.late_weight > 0 else original_arrival_at
        self.objective_end = counted_from + request_class.latency_objective_ms
        # After this a response earns nothing, or the client has left.
        self.value_expires_at = self.deadline
        if request_class.late_weight <= 0:
            self.value_expires_at = min(self.deadline, self.objective_end)
        self.send_deadline = self.deadline
        self.attempts: list[Attempt] = []
        self.open_attempt_count = 0
        self.is_queued = False  # in its queue, or pinned and waiting for its group
        self.is_finished = False
        self.local_failure_count = 0  # attempts for which this proxy lacked a connection or another resource
        self.retry_at = 0.0  # when it is sent again after a local failure; 0: not waiting for that

    def has_backoff_ended(self, now: float) -> bool:
        """Whether it has waited long enough after a local failure."""
        return not self.is_finished and 0 < self.retry_at <= now
