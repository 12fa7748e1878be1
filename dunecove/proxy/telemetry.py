"""Counters, and the last events of each request, for when one of them breaks a rule."""

from __future__ import annotations

from collections import Counter, deque
from enum import Enum
from typing import NamedTuple

import orjson

from dunecove.policy.request_rules import Violation
from dunecove.proxy.clock import now_ms
from dunecove.proxy.log_writer import log

MAX_EVENTS = 2048  # of all requests together, some 20 s of an ordinary proxy
MAX_EVENTS_PER_LINE = 40  # of one request


class CounterName(Enum):
    """What is counted beside the stages of requests; some have a detail behind a dot."""

    CONNECTION_CLOSED = "close"  # a client's; detail: why
    DISCOVERY_MOVED = "discovery.moved"
    DUPLICATE_REQUEST_ID = "request.duplicate_id"
    LIST_UPDATE = "list"  # detail: its kind
    RELOAD_FAILED = "reload.failed"
    RELOAD_SUCCEEDED = "reload.succeeded"
    VIOLATION = "violation"  # of a rule; detail: which


class RequestStage(Enum):
    """A step in the way of a request."""

    ACCEPTED = "accepted"
    ANSWERED = "answered"  # detail: why so
    ATTEMPT_DENIED = "denied"  # detail: why
    ATTEMPT_ENDED = "attempt_ended"  # detail: its result
    ATTEMPT_STARTED = "attempt_started"
    CLIENT_DISCONNECTED = "client_disconnected"


class ResponseReason(Enum):
    """Why a request was answered as it was, where the balancer or a rule did not say so."""

    BALANCER_FAILED = "balancer_failed"
    DEADLINE = "deadline"
    PIPELINE_DEADLINE = "pipeline_deadline"  # that of a request behind it on its connection
    SERVED = "served"  # by a backend


class RequestEvent(NamedTuple):
    """One step in the way of a request."""

    at_ms: float
    request_id: str
    stage: str
    detail: str


class Telemetry:
    """Counters by name, and the last events of all requests."""

    def __init__(self) -> None:
        """Begin with nothing counted."""
        self.counts: Counter[str] = Counter()
        self._events: deque[RequestEvent] = deque(maxlen=MAX_EVENTS)
        self._reported_counts: Counter[str] = Counter()

    def count(self, name: CounterName, detail: str = "") -> None:
        """Count something that has happened."""
        self.counts[_counter_key(name.value, detail)] += 1

    def record(self, request_id: str, stage: RequestStage, detail: str = "") -> None:
        """Keep an event of a request, and count it."""
        self.counts[_counter_key(stage.value, detail)] += 1
        self._events.append(RequestEvent(now_ms(), request_id, stage.value, detail))

    def report_violation(self, violation: Violation, request_id: str, detail: str) -> None:
        """Count a violation, and log it with all that is still known of that request."""
        self.count(CounterName.VIOLATION, violation.value)
        events = [event for event in self._events if event.request_id == request_id][-MAX_EVENTS_PER_LINE:]
        steps = [f"{event.at_ms:.1f} {event.stage} {event.detail}".rstrip() for event in events]
        log(f"violation: {violation.value}: request {request_id}: {detail}: {'; '.join(steps)}")

    def violation_count(self) -> int:
        """Return how many violations there were."""
        prefix = f"{CounterName.VIOLATION.value}."
        return sum(count for name, count in self.counts.items() if name.startswith(prefix))

    def report(self) -> None:
        """Log the counters as one JSON object, if any has changed since the last time."""
        if self.counts == self._reported_counts:
            return
        self._reported_counts = Counter(self.counts)
        log(f"counters {orjson.dumps(self.counts, option=orjson.OPT_SORT_KEYS).decode()}")


def _counter_key(name: str, detail: str) -> str:
    return f"{name}.{detail}" if detail else name
