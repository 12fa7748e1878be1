"""Outlier detection: backends that fail far more often than others are ejected for a while.

A sparse proxy sends too few requests to a backend to judge it alone, so proxies gossip failure reports. Three
reports within a second from at least two proxies eject the backend; a single proxy may itself be cut off.
"""

from __future__ import annotations

from random import Random

from dunecove.policy.actions import BackendEjected, SendGossip
from dunecove.policy.backend import (
    BACKEND_FAULTS,
    MAX_CONSECUTIVE_FAILURES,
    MAX_EJECTION_MS,
    MIN_EJECTION_MS,
    Backend,
    FailureReport,
)
from dunecove.policy.bandit import mean_payoff
from dunecove.policy.events import GossipReceived
from dunecove.policy.models import AttemptResult
from dunecove.policy.settings import Settings
from dunecove.policy.subsetting import BackendSet

EJECTION_JITTER = (0.75, 1.25)  # range of the random factor on the duration of an ejection
OUTLIER_PAYOFF_FRACTION = 0.5  # fraction of the subset's mean payoff up to which a backend is an outlier
SPARSE_OUTLIER_PAYOFF_FRACTION = 0.6  # the same for a sparse proxy

REPORT_WINDOW_MS = 1000.0
MIN_REPORTS = 3  # within the window, to eject a backend
MIN_REPORTERS = 2  # minimum number of proxies that sent these reports
MAX_KEPT_REPORTS = 60  # per backend, besides the newest
GOSSIP_INTERVAL_MS = 100.0  # minimum time between two reports of one backend; more would add no information
# Range of the random factor on the duration of an ejection caused by reports: all proxies eject the backend
# at the same moment, but must not all send requests to it again at the same moment.
REPORTED_JITTER = (1.0, 3.0)
GOSSIP_PREFIX = b"\x01"  # first byte of a message with failure reports
HASH_BYTES = 4  # per backend name
MAX_GOSSIP_BACKENDS = 60  # in one message of at most 256 bytes


class OutlierDetector:
    """Ejects backends after failures that this proxy observed or that others reported. Times are in ms."""

    def __init__(self, settings: Settings, rng: Random, backends: BackendSet) -> None:
        self._settings = settings
        self._rng = rng
        self._backends = backends
        self._is_sparse = settings.is_sparse_tier
        self.backends_to_report: list[Backend] = []  # failed in this step

    def record_success(self, now: float, backend: Backend) -> None:
        """Record that a backend responded."""
        backend.consecutive_failures = 0
        if backend.next_ejection_ms > MIN_EJECTION_MS and not self._is_suspect(now, backend):
            backend.next_ejection_ms = MIN_EJECTION_MS

    def record_failure(self, now: float, backend: Backend, result: AttemptResult) -> BackendEjected | None:
        """Record that a backend failed; return the action that logs the ejection if it is ejected."""
        backend.consecutive_failures += 1
        # A sparse proxy sends few requests to a backend: even if every other one fails, three failures in a
        # row are rare, so they are not the only criterion.
        if self._is_sparse and self._settings.may_gossip and result in BACKEND_FAULTS:
            self._report(now, backend, self._settings.proxy_index)
            if now - backend.last_reported_at >= GOSSIP_INTERVAL_MS:
                backend.last_reported_at = now
                self.backends_to_report.append(backend)
        # A timeout may be caused by load, which affects all backends alike.
        fails_often = self._is_sparse and result is not AttemptResult.TIMEOUT and self._is_outlier(backend)
        fails_repeatedly = backend.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        if (fails_often or fails_repeatedly) and backend.ejected_until <= now:
            return self._eject_outlier(now, backend)
        return None

    def on_gossip(self, now: float, event: GossipReceived) -> None:
        """Record another proxy's reports; unknown messages, such as those of a later release, are ignored."""
        if not self._is_sparse or event.sender_index == self._settings.proxy_index:
            return
        if not event.payload.startswith(GOSSIP_PREFIX):
            return
        last_start = len(event.payload) - HASH_BYTES
        for start in range(len(GOSSIP_PREFIX), last_start + 1, HASH_BYTES):
            name_hash = int.from_bytes(event.payload[start : start + HASH_BYTES], "big")
            same_hash = self._backends.find_by_hash(name_hash)
            if same_hash:
                self._report(now, same_hash[-1], event.sender_index)

    def take_gossip(self) -> SendGossip:
        """Return the message that reports the backends that failed in this step, and clear the list."""
        reported = self.backends_to_report[:MAX_GOSSIP_BACKENDS]
        self.backends_to_report = []
        hashes = b"".join(backend.name_hash.to_bytes(HASH_BYTES, "big") for backend in reported)
        return SendGossip(GOSSIP_PREFIX + hashes)

    def _is_suspect(self, now: float, backend: Backend) -> bool:
        """Whether the backend may still be failing in spite of a success.

        A sparse proxy sees too few of the backend's responses to tell from one success.
        """
        if not self._is_sparse:
            return False
        reports = backend.failure_reports
        reported = bool(reports) and now - reports[-1].reported_at < MAX_EJECTION_MS
        return reported or self._is_outlier(backend)

    def _is_outlier(self, backend: Backend) -> bool:
        fraction = SPARSE_OUTLIER_PAYOFF_FRACTION if self._is_sparse else OUTLIER_PAYOFF_FRACTION
        return backend.payoff <= fraction * mean_payoff(self._backends.subset)

    def _eject_outlier(self, now: float, backend: Backend) -> BackendEjected | None:
        """Eject a backend and return the action that logs it.

        If it is not an outlier, or if more than half of the backends fail, the cause is not this backend: its
        count of consecutive failures is reset, and nothing is returned.
        """
        active = self._backends.active
        failing = sum(
            other.consecutive_failures >= MAX_CONSECUTIVE_FAILURES and other is not backend
            for other in active
        )
        if 2 * (failing + 1) > len(active) or not self._is_outlier(backend):
            backend.consecutive_failures = 0
            return None
        ejection = BackendEjected(backend.id, backend.consecutive_failures)
        self._eject(now, backend, EJECTION_JITTER)
        return ejection

    def _report(self, now: float, backend: Backend, proxy_index: int) -> None:
        """Record a proxy's report of a failure; eject the backend once enough proxies have reported it."""
        recent = [r for r in backend.failure_reports if r.reported_at > now - REPORT_WINDOW_MS]
        reports = [*recent[-MAX_KEPT_REPORTS:], FailureReport(now, proxy_index)]
        backend.failure_reports = reports
        if len(reports) < MIN_REPORTS or len({report.proxy_index for report in reports}) < MIN_REPORTERS:
            return
        active = self._backends.active
        ejected = sum(other.ejected_until > now for other in active)
        if backend.ejected_until <= now and 2 * (ejected + 1) <= len(active):
            # After the ejection it gets one trial request first.
            backend.consecutive_failures = max(backend.consecutive_failures, MAX_CONSECUTIVE_FAILURES)
            self._eject(now, backend, REPORTED_JITTER)

    def _eject(self, now: float, backend: Backend, jitter: tuple[float, float]) -> None:
        backend.ejected_until = now + backend.next_ejection_ms * self._rng.uniform(*jitter)
        backend.next_ejection_ms = min(2 * backend.next_ejection_ms, MAX_EJECTION_MS)
