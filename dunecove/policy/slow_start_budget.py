"""How many requests a cold backend gets from this proxy while it warms up."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from dunecove.policy.backend import Backend
from dunecove.policy.settings import Settings
from dunecove.policy.slow_start import SlowStart
from dunecove.policy.smoothing import MIN_RESPONSES

WARM_RATE_KEPT = 0.9  # part of a warm backend's known rate kept each second without one to look at
BURST_FRACTION = 1 / 4  # of a window's requests that may be saved up
MAX_SHARE_FACTOR = 1.2  # on a cold backend's share of a warm one's load, or half the overload factor


class SlowStartBudget:
    """Token buckets of cold backends, filled by what warm backends of their kind get."""

    def __init__(self, settings: Settings, rng: Random, slow_start: SlowStart) -> None:
        self._settings = settings
        self._rng = rng
        self._slow_start = slow_start
        self._is_sparse = settings.is_sparse_tier
        self._refilled_at = 0.0  # ms
        self._warm_rate: dict[int, float] = {}  # responses a second of a warm backend, by kind
        self._warm_base_latency_ms: dict[int, float] = {}  # of a warm backend, by kind

    def start(self, now: float) -> None:
        """Begin to fill the buckets."""
        self._refilled_at = now

    def update(self, now: float, backend: Backend) -> None:
        """Update until when a backend is cold; one that has just turned cold gets a small budget."""
        was_cold = backend.cold_until > now
        backend.cold_until = self._slow_start.cold_until(backend.id)
        if backend.cold_until <= now or was_cold:
            return
        backend.limit = min(1.0, backend.limit)
        # All proxies hear of it at once: their first requests must not come at once as well.
        backend.slow_start_tokens = self._rng.random() if self._is_sparse else 0.0
        window_ms = self._settings.slow_start_window_ms
        backend.next_token_draw_at = now + backend.slow_start_tokens * window_ms

    def refill(self, now: float, backends: Iterable[Backend], proxies_per_backend: float) -> None:
        """Add what has come in since the last refill; `proxies_per_backend`: that share a backend."""
        for backend in backends:
            if backend.cold_until > now:
                self._refill(now, backend, proxies_per_backend)
        self._refilled_at = now

    def _refill(self, now: float, backend: Backend, proxies_per_backend: float) -> None:
        window_ms = self._settings.slow_start_window_ms
        rate = self._rate_per_ms(now, backend)
        # Nothing observed yet: one request a window, of all proxies that share this backend.
        rate = max(rate, 1 / window_ms / (proxies_per_backend if self._is_sparse else 1))
        if self._is_sparse and rate * window_ms < 1:
            # One request saved up by each proxy while little came would be too many when all come at once:
            # each draws for each window whether it has one, and loses what it doesn't use.
            if now >= backend.next_token_draw_at:
                backend.slow_start_tokens = float(self._rng.random() < rate * window_ms)
                backend.next_token_draw_at = now + window_ms
            return
        burst = max(1.0, rate * window_ms * BURST_FRACTION)
        added = rate * (now - self._refilled_at)
        backend.slow_start_tokens = min(burst, backend.slow_start_tokens + added)

    def _rate_per_ms(self, now: float, backend: Backend) -> float:
        """Return a cold backend's part of what a warm one gets from this proxy.

        What all proxies send to a warm backend is under its capacity, so the sum of their parts is under the
        cold one's, however traffic is split.
        """
        settings = self._settings
        age = max(0.0, 1 - (backend.cold_until - now) / max(settings.slow_start_ms, 1.0))
        capacity = settings.slow_start_capacity + (1 - settings.slow_start_capacity) * age
        if backend.response_count >= MIN_RESPONSES and backend.kind in self._warm_base_latency_ms:
            # It has shown its speed: compared with the base latency of warm ones of its kind.
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
        """Learn what warm backends got in the last seconds; of a sparse proxy those of its subset count."""
        in_subset = set(subset)
        warm: dict[int, list[Backend]] = {}
        for backend in active:
            backend.update_response_rate(seconds)
            counts = not self._is_sparse or backend in in_subset
            if counts and backend.cold_until <= now and backend.latency_ms:
                warm.setdefault(backend.kind, []).append(backend)
        # Held for a while, for when a release leaves no warm backend to look at.
        self._warm_rate = {kind: rate * WARM_RATE_KEPT for kind, rate in self._warm_rate.items()}
        for kind, backends in warm.items():
            self._observe_kind(kind, backends)

    def _observe_kind(self, kind: int, warm: Sequence[Backend]) -> None:
        rates = sorted(backend.response_rate for backend in warm)
        if not self._is_sparse:  # slow and ejected ones hide what a backend of this kind carries
            rates = rates[len(rates) // 2 :]
        self._warm_rate[kind] = max(self._warm_rate.get(kind, 0.0), sum(rates) / len(rates))
        self._warm_base_latency_ms[kind] = sum(backend.base_latency_ms for backend in warm) / len(warm)
