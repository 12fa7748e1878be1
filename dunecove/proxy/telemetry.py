"""Counters, and recent request events, which are logged with each violation."""

from __future__ import annotations

from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

import orjson

from dunecove.policy.request_rules import Violation
from dunecove.proxy.clock import now_ms
from dunecove.proxy.log_writer import log

MAX_EVENTS = 2048  # of all requests together; an ordinary proxy records this many in about 20 s
MAX_EVENTS_PER_LINE = 40  # in the log line of one violation


class CounterName(Enum):
    """Names of counters other than request stages. A detail is appended to some, after a dot."""

    CONNECTION_CLOSED = "close"  # of a client connection; detail: the reason
    DISCOVERY_MOVED = "discovery.moved"
    DUPLICATE_REQUEST_ID = "request.duplicate_id"
    LIST_UPDATE = "list"  # detail: the kind of update
    RELOAD_FAILED = "reload.failed"
    RELOAD_SUCCEEDED = "reload.succeeded"
    REQUEST_SHED = "shed"  # before it reached the balancer; detail: the resource that was exhausted
    VIOLATION = "violation"  # detail: the violated rule


class RequestStage(Enum):
    """A stage in the lifecycle of a request."""

    ACCEPTED = "accepted"
    ANSWERED = "answered"  # detail: the reason for the response
    ATTEMPT_DENIED = "denied"  # detail: the reason
    ATTEMPT_ENDED = "attempt_ended"  # detail: the result of the attempt
    ATTEMPT_STARTED = "attempt_started"
    CLIENT_DISCONNECTED = "client_disconnected"


class ResponseReason(Enum):
    """The reason for a response that neither the balancer nor a rule decided on."""

    BALANCER_FAILED = "balancer_failed"
    DEADLINE = "deadline"
    PIPELINE_DEADLINE = "pipeline_deadline"  # of a later request on the same connection
    SERVED = "served"  # response from a backend


class RequestEvent(NamedTuple):
    """A recorded stage of a request."""

    at_ms: float  # time of `now_ms`
    request_id: str
    stage: str
    detail: str


class Telemetry:
    """Counters by name, and the most recent events of all requests."""

    def __init__(self) -> None:
        """Create telemetry with empty counters and no events."""
        self.counts: Counter[str] = Counter()
        self._events: deque[RequestEvent] = deque(maxlen=MAX_EVENTS)
        self._reported_counts: Counter[str] = Counter()

    def count(self, name: CounterName, detail: str = "") -> None:
        """Increment a counter."""
        self.counts[_counter_key(name.value, detail)] += 1

    def record(self, request_id: str, stage: RequestStage, detail: str = "") -> None:
        """Record a stage of a request and increment its counter."""
        self.counts[_counter_key(stage.value, detail)] += 1
        self._events.append(RequestEvent(now_ms(), request_id, stage.value, detail))

    def report_violation(self, violation: Violation, request_id: str, detail: str) -> None:
        """Count a violation and log it with the recorded events of the request."""
        self.count(CounterName.VIOLATION, violation.value)
        events = [event for event in self._events if event.request_id == request_id][-MAX_EVENTS_PER_LINE:]
        stages = [f"{event.at_ms:.1f} {event.stage} {event.detail}".rstrip() for event in events]
        log(f"violation: {violation.value}: request {request_id}: {detail}: {'; '.join(stages)}")

    def violation_count(self) -> int:
        """Return the number of violations so far."""
        prefix = f"{CounterName.VIOLATION.value}."
        return sum(count for name, count in self.counts.items() if name.startswith(prefix))

    def report(self) -> None:
        """Log the counters as one JSON object if any has changed since the last report."""
        if self.counts == self._reported_counts:
            return
        self._reported_counts = Counter(self.counts)
        log(f"counters {orjson.dumps(self.counts, option=orjson.OPT_SORT_KEYS).decode()}")


def _counter_key(name: str, detail: str) -> str:
    return f"{name}.{detail}" if detail else name
