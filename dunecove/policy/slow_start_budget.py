"""The number of requests that this proxy may send to a cold backend while it warms up.

A cold backend fails if its load exceeds the overload factor times its current capacity throughout a window
(`slow_start_...` in `settings`). A tier with more than MAX_DENSE_PROXIES proxies is sparse. The kind of a
backend is its kind of hardware.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from dunecove.policy.backend import Backend
from dunecove.policy.settings import Settings
from dunecove.policy.slow_start import SlowStart
from dunecove.policy.smoothing import MIN_RESPONSES

# Factor on the remembered rate of warm backends at each observation, about once per second. The rate does not
# fall below the one just observed.
WARM_RATE_DECAY = 0.9
BURST_FRACTION = 1 / 4  # size of a token bucket, as a fraction of the tokens added per window; at least 1
# A cold backend's rate is a warm backend's rate, times its fraction of a warm backend's capacity, times this
# factor or half the overload factor, whichever is smaller.
MAX_SHARE_FACTOR = 1.2


class SlowStartBudget:
    """Token buckets of cold backends, refilled in proportion to the rate of warm backends of their kind."""

    def __init__(self, settings: Settings, rng: Random, slow_start: SlowStart) -> None:
        self._settings = settings
        self._rng = rng
        self._slow_start = slow_start
        self._is_sparse = settings.is_sparse_tier
        self._refilled_at = 0.0  # ms
        self._warm_rate: dict[int, float] = {}  # responses per second of a warm backend, by kind
        self._warm_base_latency_ms: dict[int, float] = {}  # of a warm backend, by kind

    def start(self, now: float) -> None:
        """Set the time from which the first refill counts."""
        self._refilled_at = now

    def update_cold_until(self, now: float, backend: Backend) -> None:
        """Update the time at which a backend becomes warm.

        A backend that has just become cold starts with less than one token and a limit of at most 1.
        """
        was_cold = backend.cold_until > now
        backend.cold_until = self._slow_start.slow_start_end(backend.id)
        if backend.cold_until <= now or was_cold:
            return
        backend.limit = min(1.0, backend.limit)
        # All proxies learn of the start at once. To keep their first requests apart in a sparse tier, each
        # starts with a random fraction of a token and delays its first token draw at random.
        backend.slow_start_tokens = self._rng.random() if self._is_sparse else 0.0
        window_ms = self._settings.slow_start_window_ms
        backend.next_token_draw_at = now + backend.slow_start_tokens * window_ms

    def refill(self, now: float, backends: Iterable[Backend], proxies_per_backend: float) -> None:
        """Add the tokens for the time since the last refill.

        `proxies_per_backend` is the mean number of proxies that have the same backend in their subset.
        """
        for backend in backends:
            if backend.cold_until > now:
                self._refill(now, backend, proxies_per_backend)
        self._refilled_at = now

    def _refill(self, now: float, backend: Backend, proxies_per_backend: float) -> None:
        window_ms = self._settings.slow_start_window_ms
        rate = self._rate_per_ms(now, backend)
        # Minimum rate, also before any observation: one request per window from this proxy, or in a sparse
        # tier from all proxies together that have this backend in their subset.
        rate = max(rate, 1 / window_ms / (proxies_per_backend if self._is_sparse else 1))
        if self._is_sparse and rate * window_ms < 1:
            # If each proxy kept a token from a time of low traffic, a burst could spend all of them at once
            # and overload the backend. So each draws at random, once per window, whether it has a token; an
            # unused token expires.
            if now >= backend.next_token_draw_at:
                backend.slow_start_tokens = float(self._rng.random() < rate * window_ms)
                backend.next_token_draw_at = now + window_ms
            return
        burst = max(1.0, rate * window_ms * BURST_FRACTION)
        added = rate * (now - self._refilled_at)
        backend.slow_start_tokens = min(burst, backend.slow_start_tokens + added)

    def _rate_per_ms(self, now: float, backend: Backend) -> float:
        """Return the requests per ms that this proxy may send to a cold backend, in proportion to a warm one.

        The rates of all proxies to a warm backend add up to less than its capacity. So, while these rates
        last, those to a cold backend add up to less than its capacity times at most MAX_SHARE_FACTOR, however
        the traffic is split between proxies.
        """
        settings = self._settings
        elapsed_fraction = max(0.0, 1 - (backend.cold_until - now) / max(settings.slow_start_ms, 1.0))
        capacity = settings.slow_start_capacity + (1 - settings.slow_start_capacity) * elapsed_fraction
        if backend.response_count >= MIN_RESPONSES and backend.kind in self._warm_base_latency_ms:
            # The latency shows how fast this backend is, relative to warm backends of its kind.
            speed = self._warm_base_latency_ms[backend.kind] / backend.latency_ms
            capacity = max(capacity, min(1.0, speed))
        if backend.kind in self._warm_rate:
            warm_rate = self._warm_rate[backend.kind]
        else:
            warm_rate = min(self._warm_rate.values(), default=0.0)
        return warm_rate * capacity * min(MAX_SHARE_FACTOR, settings.slow_start_overload_factor / 2) / 1000

    def observe(
        self, now: float, seconds: float, active: Sequence[Backend], subset: Sequence[Backend]
    ) -> None:
        """Update the response rate of each active backend and, by kind, the rate and latency of warm ones.

        `seconds` is the time since the previous call. In a sparse tier, only the warm backends of the subset
        count for their kind.
        """
        in_subset = set(subset)
        warm: dict[int, list[Backend]] = {}
        for backend in active:
            backend.update_response_rate(seconds)
            is_observed = not self._is_sparse or backend in in_subset
            if is_observed and backend.cold_until <= now and backend.latency_ms:
                warm.setdefault(backend.kind, []).append(backend)
        # The remembered rates decay slowly, since the rollout of a new version may restart all backends and
        # leave no warm one to observe.
        self._warm_rate = {kind: rate * WARM_RATE_DECAY for kind, rate in self._warm_rate.items()}
        for kind, backends in warm.items():
            self._observe_kind(kind, backends)

    def _observe_kind(self, kind: int, warm: Sequence[Backend]) -> None:
        rates = sorted(backend.response_rate for backend in warm)
        if not self._is_sparse:
            # Only the higher half counts: slow and ejected backends would hide what this kind can serve.
            rates = rates[len(rates) // 2 :]
        self._warm_rate[kind] = max(self._warm_rate.get(kind, 0.0), sum(rates) / len(rates))
        self._warm_base_latency_ms[kind] = sum(backend.base_latency_ms for backend in warm) / len(warm)
