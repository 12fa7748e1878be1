"""The state that this proxy keeps of one backend."""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from dunecove.policy.concurrency_limit import LearnedLimit
from dunecove.policy.models import AttemptResult, BackendInfo
from dunecove.policy.rendezvous_hash import name_hash

MAX_CONSECUTIVE_FAILURES = 3  # a backend with as many may be ejected
MIN_EJECTION_MS = 500.0  # duration of the first ejection, before jitter; doubled each time
MAX_EJECTION_MS = 8000.0
MIN_WEIGHT = 0.01

# Failures caused by the backend itself rather than by its load.
BACKEND_FAULTS = (AttemptResult.ERROR, AttemptResult.RESET, AttemptResult.CONNECT_FAILED)
LOAD_FAILURES = (AttemptResult.REJECTED, AttemptResult.TIMEOUT)


class FailureReport(NamedTuple):
    """A failure of a backend, as observed by one proxy."""

    reported_at: float  # ms
    proxy_index: int


class Backend(LearnedLimit):
    """A backend: its entry in the endpoint list and the state learned from its responses. Times are in ms.

    `LearnedLimit` is a base class rather than an attribute because its fields are read for each backend at
    each dispatch.
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
        self.rank = 0  # hash by which this proxy orders all backends, lowest first
        self.update(info)
        self._reset_outcomes()

    def update(self, info: BackendInfo) -> None:
        """Apply an entry of the endpoint list, except `started_at`: `BackendSet` sets that after `reset`."""
        self.state = info.state
        self.zone = info.zone
        self.kind = info.kind
        self.cell = info.cell
        self.weight = max(info.weight, MIN_WEIGHT)

    def info(self) -> BackendInfo:
        """Return the backend's entry in the endpoint list."""
        return BackendInfo(self.id, self.state, self.zone, self.kind, self.cell, self.started_at, self.weight)

    def reset(self) -> None:
        """Discard all learned state: none of it applies to a backend process that has restarted."""
        self.reset_limit()
        self._reset_outcomes()

    def _reset_outcomes(self) -> None:
        self.payoff = 1.0  # smoothed fraction of outcomes that were responses within the objective
        self.outcome_count = 0.0  # decays over time
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.next_ejection_ms = MIN_EJECTION_MS  # before jitter
        self.failure_reports: list[FailureReport] = []  # from all proxies, latest last
        self.last_reported_at = -inf  # time of the last failure report that this proxy sent
        self.responses_since_update = 0  # since the last update of the response rate
        self.response_rate = 0.0  # responses per second, smoothed
        self.slow_start_tokens = 0.0  # requests that the backend may get while it is cold
        self.next_token_draw_at = 0.0  # when a sparse proxy next draws whether it gets a token
        self.last_progress_at = 0.0  # last response, or last attempt started while none was in flight
        self.started_at: float | None = None
        self.cold_until = 0.0  # time at which the backend becomes warm; 0 if it is not known to be cold

    def has_capacity(self, now: float, min_limit: float = 0.0) -> bool:
        """Whether the backend may get another request; its limit counts as at least `min_limit`."""
        if self.ejected_until > now:
            return False
        if self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES:  # after an ejection: one trial request
            return self.in_flight == 0
        if self.cold_until > now and self.slow_start_tokens < 1.0:
            return False
        return self.in_flight < max(self.limit, min_limit)

    def begin_attempt(self, now: float) -> None:
        """Record the start of an attempt."""
        if self.in_flight == 0:
            self.last_progress_at = now
        self.in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self.in_flight)
        if self.cold_until > now:
            self.slow_start_tokens -= 1

    def end_attempt(self) -> None:
        """Record the end of an attempt, even an abandoned one: closing its connection stops the work."""
        self.in_flight -= 1

    def record_response(self, now: float) -> None:
        """Record a response."""
        self.last_progress_at = now
        self.responses_since_update += 1

    def update_response_rate(self, seconds: float) -> None:
        """Update the smoothed response rate with the responses of the last `seconds`."""
        self.response_rate = (self.response_rate + self.responses_since_update / seconds) / 2
        self.responses_since_update = 0
