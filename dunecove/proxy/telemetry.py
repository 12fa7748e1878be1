"""What the program tells of itself: log lines, counters, and the last events of each request."""

from __future__ import annotations

import logging
import os
import select
from collections import Counter, deque
from typing import NamedTuple

import orjson

from dunecove.policy.request_rules import Violation
from dunecove.proxy.clock import now_ms

STDERR = 2
LOG_LINES = 20  # lines a second: whatever floods the log must not keep the proxy from its work
WRITE_BYTES = 4096  # written at once: a pipe that tells it has room takes so many without waiting
EVENTS_KEPT = 2048  # of all requests together, some 20 s of an ordinary proxy
EVENTS_SHOWN = 40  # of one request in a line


def write_all(data: bytes) -> bool:
    """To standard error, as much as it takes at once; whether that was all.

    A disk without room, a reader that has gone and one that does not read must not end the proxy's work or
    hold it up.
    """
    poll = select.poll()
    poll.register(STDERR, select.POLLOUT)
    while data:
        try:
            if not poll.poll(0):
                return False
            written = os.write(STDERR, data[:WRITE_BYTES])
        except OSError:
            return False
        data = data[written:]
    return True


class Logger:
    """Lines to standard error, so many a second; how many more there were is told in the next one. It never
    raises and never waits."""

    def __init__(self) -> None:
        self.second, self.lines, self.dropped = 0, 0, 0
        self.cut = False  # the last line was written in part

    def __call__(self, line: str) -> None:
        second = int(now_ms() / 1000)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        if self.lines > LOG_LINES:
            self.dropped += 1
            return
        told = f" ({self.dropped} lines before it left out)" if self.dropped else ""
        start = "\n" if self.cut else ""
        if write_all(f"{start}dunecove: {line}{told}\n".encode(errors="backslashreplace")):
            self.dropped, self.cut = 0, False
        else:
            self.dropped, self.cut = self.dropped + 1, True


log = Logger()


class LibraryHandler(logging.Handler):
    """What the libraries log, by the same way: theirs would wait for a pipe that nobody reads."""

    def emit(self, record: logging.LogRecord) -> None:
        log(f"{record.name}: {record.getMessage()}")


def take_library_logs() -> None:
    """Once, at the start of the program."""
    logging.basicConfig(handlers=[LibraryHandler()], level=logging.WARNING)


class RequestEvent(NamedTuple):
    """One step in the life of a request."""

    at_ms: float
    request: str
    name: str
    detail: str


class Telemetry:
    """Counters by name, and the last events of all requests, for when one of them breaks a rule."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.events: deque[RequestEvent] = deque(maxlen=EVENTS_KEPT)
        self.reported: Counter[str] = Counter()

    def count(self, name: str) -> None:
        self.counts[name] += 1

    def note(self, request: str, name: str, detail: str = "") -> None:
        """Keep an event and count it."""
        self.counts[f"{name}.{detail}" if detail else name] += 1
        self.events.append(RequestEvent(now_ms(), request, name, detail))

    def violation(self, kind: Violation, request: str, detail: str) -> None:
        """Count it, and log it with all that is still known of that request."""
        self.counts[f"violation.{kind.value}"] += 1
        known = [event for event in self.events if event.request == request][-EVENTS_SHOWN:]
        steps = [f"{event.at_ms:.1f} {event.name} {event.detail}".rstrip() for event in known]
        log(f"violation: {kind.value}: request {request}: {detail}: {'; '.join(steps)}")

    def violations(self) -> int:
        return sum(number for name, number in self.counts.items() if name.startswith("violation."))

    def report(self) -> None:
        """Log the counters as one JSON object, if any has changed since the last time."""
        if self.counts == self.reported:
            return
        self.reported = Counter(self.counts)
        log(f"counters {orjson.dumps(self.counts, option=orjson.OPT_SORT_KEYS).decode()}")
