"""What this proxy knows of one backend."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from dunecove.policy.concurrency_limit import LearnedLimit
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.rendezvous_hash import name_hash

MAX_CONSECUTIVE_FAILURES = 3  # at which a backend may be ejected
MIN_EJECTION_MS = 500.0  # the first ejection; doubled each time, jittered
MAX_EJECTION_MS = 8000.0
MIN_WEIGHT = 0.01

# Failures that are the backend's own, not its load's.
BACKEND_FAULTS = (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CONNECT_FAILED)
LOAD_FAILURES = (AttemptResult.REJECTED, AttemptResult.TIMEOUT)


class FailureReport(NamedTuple):
    """A proxy saw the backend fail."""

    reported_at: float  # ms
    proxy_index: int


class Backend(LearnedLimit):
    """One backend: what the endpoint list says of it, and what was learned. Times are in ms.

    The learned limit is a base class since its fields are read for each backend at each dispatch.
    """

    __slots__ = (
        "cell",
        "cold_until",
        "consecutive_failures",
        "ejected_until",
        "failure_reports",
        "id",
        "kind",
        "last_progress_at",
        "last_reported_at",
        "name_hash",
        "next_ejection_ms",
        "next_token_draw_at",
        "outcome_count",
        "payoff",
        "rank",
        "response_rate",
        "responses_since_update",
        "slow_start_tokens",
        "started_at",
        "state",
        "weight",
        "zone",
    )

    def __init__(self, info: BackendInfo, proxy_count: int) -> None:
        super().__init__(proxy_count)
        self.id = info.backend_id
        self.name_hash = name_hash(info.backend_id)
        self.rank = 0  # in this proxy's order of all backends
        self.update(info)
        self._reset_outcomes()

    def update(self, info: BackendInfo) -> None:
        """Apply what the endpoint list says, except `started_at`: `BackendSet` sets that after `reset`."""
        self.state = info.state
        self.zone = info.zone
        self.kind = info.kind
        self.cell = info.cell
        self.weight = max(info.weight, MIN_WEIGHT)

    def info(self) -> BackendInfo:
        """Return what the endpoint list says of it."""
        return BackendInfo(self.id, self.state, self.zone, self.kind, self.cell, self.started_at, self.weight)

    def reset(self) -> None:
        """Forget all that was learned: a process that has just started shares nothing with the last one."""
        self.reset_limit()
        self._reset_outcomes()

    def _reset_outcomes(self) -> None:
        self.payoff = 1.0  # smoothed part of its outcomes that were good
        self.outcome_count = 0.0  # decayed
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.next_ejection_ms = MIN_EJECTION_MS  # the next one, before jitter
        self.failure_reports: list[FailureReport] = []  # of all proxies, the latest last
        self.last_reported_at = -inf  # when this proxy last reported a failure of it
        self.responses_since_update = 0
        self.response_rate = 0.0  # a second, smoothed
        self.slow_start_tokens = 0.0  # requests that it may get while cold
        self.next_token_draw_at = 0.0  # when it is next drawn whether it may get a request while cold
        self.last_progress_at = 0.0  # its last response, or the first attempt since none was in flight
        self.started_at: float | None = None
        self.cold_until = 0.0

    def has_capacity(self, now: float, min_limit: float = 0.0) -> bool:
        """Whether another request may be sent to it; its limit counts as `min_limit` at least."""
        if self.ejected_until > now:
            return False
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:  # after ejection: one request on trial
            return self.in_flight == 0
        if self.cold_until > now and self.slow_start_tokens < 1.0:
            return False
        return self.in_flight < max(self.limit, min_limit)

    def begin_attempt(self, now: float) -> None:
        """Count an attempt that is sent to it."""
        if self.in_flight == 0:
            self.last_progress_at = now
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.cold_until > now:
            self.slow_start_tokens -= 1

    def end_attempt(self) -> None:
        """Count an attempt that has ended, also an abandoned one: its work stops as its connection closes."""
        self.in_flight -= 1

    def record_response(self, now: float) -> None:
        """Count a response of it."""
        self.last_progress_at = now
        self.responses_since_update += 1

    def update_response_rate(self, seconds: float) -> None:
        """Close a period of so many seconds in which responses were counted."""
        self.response_rate = (self.response_rate + self.responses_since_update / seconds) / 2
        self.responses_since_update = 0
