"""The names of backend states in the entries of an endpoint list."""

from __future__ import annotations

from dunecove.policy.models import BackendState

BACKEND_STATES = {
    "active": BackendState.ACTIVE,
    "leaving": BackendState.DRAINING,
    "left": BackendState.REMOVED,
}
