"""Which backend gets a request: a bandit that compares two candidates by their outcomes (UCB1)."""

from __future__ import annotations

from collections.abc import Sequence
from heapq import nlargest
from math import log, sqrt
from random import Random

from dunecove.policy import rendezvous_hash
from dunecove.policy.backend import Backend
from dunecove.policy.latency_tracker import LatencyTracker
from dunecove.policy.request import Request
from dunecove.policy.settings import Settings

PAYOFF_WEIGHT = 0.1  # of one outcome in a backend's payoff: the last ten or so count
EXPLORATION_BONUS = 0.2  # payoff added to a backend with few recent outcomes: idle ones are tried again
OUTCOME_COUNT_DECAY = 0.8  # part of the outcome counts kept each second: a verdict lasts ten seconds at most
PAYOFF_TIE = 0.1  # payoffs closer than this are equal: one outcome moves a payoff by as much
SPARSE_PAYOFF_RECOVERY = 0.1  # part of the way back to the usual payoff in a second without outcomes

MAX_WORK_OBJECTIVE_FRACTION = (
    0.35  # of the objective that work may usually take on a kind and still be sent there
)
WORK_RATE_TIE_FACTOR = 1.15  # times the fastest work rate: kinds this close are as fast
COLD_WORK_RATE_FACTOR = 2.0  # on its kind's work rate, for a cold backend
MAX_BACKENDS_PER_SUITABLE = 3  # of the subset: where fewer suit, they would be overloaded


def mean_payoff(backends: Sequence[Backend]) -> float:
    """Return the mean payoff of these backends; 0 for none."""
    return sum(backend.payoff for backend in backends) / max(len(backends), 1)


class Bandit:
    """Payoffs by outcome, and the choice among backends that have capacity."""

    def __init__(self, settings: Settings, rng: Random, latencies: LatencyTracker) -> None:
        self.outcome_count = 1.0  # of all backends, decayed like that of each
        self._is_sparse = settings.is_sparse_tier
        self._has_key_affinity = settings.key_affinity
        self._rng = rng
        self._latencies = latencies

    def record_outcome(self, backend: Backend, succeeded: bool) -> None:
        """Learn from an outcome that is the backend's doing."""
        backend.outcome_count = min(backend.outcome_count + 1, 1 / PAYOFF_WEIGHT)
        self.outcome_count += 1
        # Of few outcomes each counts for more, or a sparse proxy would never distinguish backends.
        weight = max(PAYOFF_WEIGHT, self._is_sparse / (1 + backend.outcome_count))
        backend.payoff += ((1.0 if succeeded else 0.0) - backend.payoff) * weight

    def decay(self, active: Sequence[Backend], subset: Sequence[Backend]) -> None:
        """Let outcomes age by a second."""
        self.outcome_count = 1 + self.outcome_count * OUTCOME_COUNT_DECAY
        usual = mean_payoff(subset)
        recovery = SPARSE_PAYOFF_RECOVERY if self._is_sparse else 1
        for backend in active:
            backend.outcome_count *= OUTCOME_COUNT_DECAY
            if backend.outcome_count < 1:  # under light load one that was bad would never be chosen again
                backend.payoff += max(usual - backend.payoff, 0.0) * recovery

    def pick(self, now: float, request: Request, candidates: list[Backend], subset_size: int) -> Backend:
        """Choose one of the candidates, which have capacity; `subset_size`: backends of the subset."""
        if request.attempts:
            tried = [attempt.backend for attempt in request.attempts]
            candidates = [backend for backend in candidates if backend not in tried] or candidates
        candidates = self._suitable_candidates(now, request, candidates, subset_size)
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._choose_two(request, candidates)
        difference = self._score(first) - self._score(second)
        if abs(difference) < PAYOFF_TIE:
            return second if second.in_flight < first.in_flight else first
        return first if difference > 0 else second

    def _suitable_candidates(
        self, now: float, request: Request, candidates: list[Backend], subset_size: int
    ) -> list[Backend]:
        """Return those of a kind that usually does such work well inside the objective.

        Where there is no such kind, the fastest: a slow backend would be late with the work and be kept from
        shorter work for long.
        """
        work_rates = self._latencies.work_rates
        if request.work_hint_ms <= 0 or not work_rates:
            return candidates
        fastest = self._latencies.fastest_work_rate()
        highest = max(
            MAX_WORK_OBJECTIVE_FRACTION * request.queue.objective_ms / request.work_hint_ms,
            WORK_RATE_TIE_FACTOR * fastest,
        )
        suitable = []
        for backend in candidates:
            work_rate = work_rates.get(backend.kind, fastest)
            if work_rate * (COLD_WORK_RATE_FACTOR if backend.cold_until > now else 1.0) <= highest:
                suitable.append(backend)
        return suitable if len(suitable) * MAX_BACKENDS_PER_SUITABLE >= subset_size else candidates

    def _choose_two(self, request: Request, candidates: list[Backend]) -> tuple[Backend, Backend]:
        key = request.affinity_key
        if self._has_key_affinity and key is not None:
            # Backends do less work for a key that they met lately: every proxy draws the same two for it.
            first, second = nlargest(
                2, candidates, key=lambda backend: rendezvous_hash.hash_pair(key, backend.name_hash)
            )
            return first, second
        if self._is_sparse:
            first = self._draw_by_weight(candidates)
            return first, self._draw_by_weight([backend for backend in candidates if backend is not first])
        index = int(self._rng.random() * len(candidates))
        other = int(self._rng.random() * (len(candidates) - 1))
        return candidates[index], candidates[other + (other >= index)]

    def _draw_by_weight(self, candidates: list[Backend]) -> Backend:
        """With few in flight, ties alone would load small backends like large ones."""
        left = self._rng.random() * sum(backend.weight for backend in candidates)
        for backend in candidates:
            left -= backend.weight
            if left < 0:
                break
        return backend

    def _score(self, backend: Backend) -> float:
        rarity = sqrt(log(1 + self.outcome_count) / (1 + backend.outcome_count))
        return backend.payoff + EXPLORATION_BONUS * rarity
