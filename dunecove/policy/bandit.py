"""Chooses the backend of an attempt: a multi-armed bandit (UCB1) that compares two candidates."""

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

PAYOFF_WEIGHT = 0.1  # weight of one outcome in a backend's payoff: about the last ten outcomes count
EXPLORATION_WEIGHT = 0.2  # weight of the UCB1 exploration bonus, which lets idle backends be tried again
OUTCOME_COUNT_DECAY = 0.8  # factor per second: an idle backend's count falls below 1 in about ten seconds
# Scores (payoff + exploration bonus) with a smaller difference are equal: in a dense tier one outcome changes
# a payoff by up to this.
SCORE_TIE = 0.1
SPARSE_PAYOFF_RECOVERY = 0.1  # fraction of the gap to the mean payoff recovered by an idle backend per second

# A kind is suitable for a request if it is expected to do the hinted work (`Request.work_hint_ms`) in this
# fraction of the objective.
MAX_WORK_OBJECTIVE_FRACTION = 0.35
# Work rates are in ms of latency per ms of hinted work: lower is faster.
WORK_RATE_TIE_FACTOR = 1.15  # kinds up to this multiple of the fastest kind's work rate count as equal
COLD_WORK_RATE_FACTOR = 2.0  # a cold backend is assumed to have this multiple of its kind's work rate
# The choice is restricted to the suitable candidates (with capacity, and untried if possible) only if they
# are at least 1 in this many of the subset: fewer would be overloaded.
MAX_BACKENDS_PER_SUITABLE = 3


def mean_payoff(backends: Sequence[Backend]) -> float:
    """Return the mean payoff of these backends; 0 if there are none."""
    return sum(backend.payoff for backend in backends) / max(len(backends), 1)


class Bandit:
    """Updates the payoffs of backends, and chooses among backends with capacity."""

    def __init__(self, settings: Settings, rng: Random, latencies: LatencyTracker) -> None:
        self.outcome_count = 1.0  # outcomes of all backends; decays like the count of each backend
        self._is_sparse = settings.is_sparse_tier
        self._has_key_affinity = settings.key_affinity
        self._rng = rng
        self._latencies = latencies

    def record_outcome(self, backend: Backend, succeeded: bool) -> None:
        """Update the payoff of a backend with an outcome that the backend caused."""
        backend.outcome_count = min(backend.outcome_count + 1, 1 / PAYOFF_WEIGHT)
        self.outcome_count += 1
        # A sparse proxy has few outcomes: each has a higher weight, or the payoffs would hardly ever differ.
        weight = max(PAYOFF_WEIGHT, self._is_sparse / (1 + backend.outcome_count))
        backend.payoff += ((1.0 if succeeded else 0.0) - backend.payoff) * weight

    def decay(self, active: Sequence[Backend], subset: Sequence[Backend]) -> None:
        """Decay the outcome counts, and let idle backends recover; called once per second."""
        self.outcome_count = 1 + self.outcome_count * OUTCOME_COUNT_DECAY
        mean = mean_payoff(subset)
        recovery = SPARSE_PAYOFF_RECOVERY if self._is_sparse else 1
        for backend in active:
            backend.outcome_count *= OUTCOME_COUNT_DECAY
            if backend.outcome_count < 1:  # under light load a low payoff would exclude the backend for good
                backend.payoff += max(mean - backend.payoff, 0.0) * recovery

    def pick(self, now: float, request: Request, candidates: list[Backend], subset_size: int) -> Backend:
        """Choose one of the candidates, which all have capacity.

        `subset_size` is the number of backends in the subset, with or without capacity.
        """
        if request.attempts:
            tried = [attempt.backend for attempt in request.attempts]
            candidates = [backend for backend in candidates if backend not in tried] or candidates
        candidates = self._suitable_candidates(now, request, candidates, subset_size)
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._choose_two(request, candidates)
        difference = self._score(first) - self._score(second)
        if abs(difference) < SCORE_TIE:
            return second if second.in_flight < first.in_flight else first
        return first if difference > 0 else second

    def _suitable_candidates(
        self, now: float, request: Request, candidates: list[Backend], subset_size: int
    ) -> list[Backend]:
        """Return the candidates whose kind is expected to finish the hinted work well within the objective.

        If no kind is that fast, return those of the fastest kind: on a slower kind the work would take even
        longer and delay shorter work. If these are too few of the subset, return all candidates.
        """
        work_rates = self._latencies.work_rates
        if request.work_hint_ms <= 0 or not work_rates:
            return candidates
        fastest = self._latencies.fastest_work_rate()
        max_work_rate = max(
            MAX_WORK_OBJECTIVE_FRACTION * request.queue.objective_ms / request.work_hint_ms,
            WORK_RATE_TIE_FACTOR * fastest,
        )
        suitable = []
        for backend in candidates:
            work_rate = work_rates.get(backend.kind, fastest)
            if work_rate * (COLD_WORK_RATE_FACTOR if backend.cold_until > now else 1.0) <= max_work_rate:
                suitable.append(backend)
        return suitable if len(suitable) * MAX_BACKENDS_PER_SUITABLE >= subset_size else candidates

    def _choose_two(self, request: Request, candidates: list[Backend]) -> tuple[Backend, Backend]:
        key = request.affinity_key
        if self._has_key_affinity and key is not None:
            # A backend needs less work for a key it has recently handled: proxies with the same candidates
            # choose the same two.
            first, second = nlargest(
                2, candidates, key=lambda backend: rendezvous_hash.hash_pair(key, backend.name_hash)
            )
            return first, second
        if self._is_sparse:
            first = self._draw_by_weight(candidates)
            return first, self._draw_by_weight([backend for backend in candidates if backend is not first])
        first_index = int(self._rng.random() * len(candidates))
        second_index = int(self._rng.random() * (len(candidates) - 1))
        return candidates[first_index], candidates[second_index + (second_index >= first_index)]

    def _draw_by_weight(self, candidates: list[Backend]) -> Backend:
        """Return a random candidate, with a probability proportional to its weight.

        A sparse proxy has few requests in flight, so that comparing the numbers in flight alone would load
        small backends as much as large ones.
        """
        remaining = self._rng.random() * sum(backend.weight for backend in candidates)
        for backend in candidates:
            remaining -= backend.weight
            if remaining < 0:
                break
        return backend

    def _score(self, backend: Backend) -> float:
        uncertainty = sqrt(log(1 + self.outcome_count) / (1 + backend.outcome_count))
        return backend.payoff + EXPLORATION_WEIGHT * uncertainty
