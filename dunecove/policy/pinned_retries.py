"""Pinned retries: retries of keyed requests that may have executed.

They are restricted to backends that recognise the idempotency key: those in the deduplication scope of the
earliest attempt that may have executed.
"""

from __future__ import annotations

from dunecove.policy.actions import Forward
from dunecove.policy.backend import Backend
from dunecove.policy.dispatcher import Dispatcher
from dunecove.policy.request import Attempt, Request
from dunecove.policy.request_rules import first_executed_attempt, in_dedup_scope
from dunecove.policy.subsetting import BackendSet
from dunecove.policy.unsubscribed_backends import ENOUGH_SCOPE_MEMBERS


class PinnedRetries:
    """The pinned retries that wait for capacity in their deduplication scope."""

    def __init__(self, backends: BackendSet, dispatcher: Dispatcher) -> None:
        self.waiting: list[Request] = []
        self._backends = backends
        self._dispatcher = dispatcher

    def add(self, request: Request) -> None:
        """Add a retry that waits for capacity in its scope."""
        request.is_queued = True
        self.waiting.append(request)

    def dispatch(self, now: float) -> list[Forward]:
        """Send the retries whose scope has capacity; drop those of ended requests."""
        waiting, self.waiting = self.waiting, []
        forwards: list[Forward] = []
        for request in waiting:
            executed = first_executed_attempt(request.attempts)
            if not request.is_queued or executed is None:
                continue
            candidates = [
                backend
                for backend in self._scope_members(now, request, executed)
                if backend.has_capacity(now, self._backends.min_backend_limit)
            ]
            if candidates and now < request.send_deadline:
                request.is_queued = False
                # `InFlightLimit` is not applied: the retry budget already limits these attempts.
                forwards.append(self._dispatcher.forward(now, request, candidates))
            else:
                self.waiting.append(request)
        return forwards

    def _scope_members(self, now: float, request: Request, executed: Attempt) -> list[Backend]:
        """Return the subscribed active backends in a request's scope; if few, subscribe to more first."""
        scope = request.request_class.dedup_scope
        members = [backend for backend in self._backends.active if in_dedup_scope(scope, backend, executed)]
        unsubscribed = self._backends.unsubscribed
        if not unsubscribed.count or len(members) >= ENOUGH_SCOPE_MEMBERS:
            return members
        self._backends.subscribe(now, unsubscribed.scope_members(scope, executed))
        return [backend for backend in self._backends.active if in_dedup_scope(scope, backend, executed)]
