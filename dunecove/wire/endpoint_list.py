"""The states of a backend, as an entry of an endpoint list names them."""

from __future__ import annotations

from dunecove.policy.models import BackendState

BACKEND_STATES = {
    "active": BackendState.ACTIVE,
    "leaving": BackendState.DRAINING,
    "left": BackendState.REMOVED,
}
