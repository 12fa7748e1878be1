"""The numbers of connections and the shares of memory that follow from the limits of the platform."""

from __future__ import annotations

from typing import NamedTuple

BYTES_PER_MB = 1024 * 1024
# Descriptors for the program itself, for discovery and for connections that are being closed.
RESERVED_DESCRIPTORS = 40
# Below 160 descriptors a quarter of them is reserved, but at least this number. The assumption is that a
# running program has 16 open itself, including those for peers and discovery; the other 8 are for connections
# that are accepted or opened while others are still being closed.
MIN_RESERVED_DESCRIPTORS = 24
# Fraction of the unreserved descriptors for backend connections; the others are for client connections. The
# assumption is that requests hold at most a third of all descriptors as client connections and, with one
# attempt at a time per request, at most as many as backend connections. The rest is for client connections
# that are idle or have not yet sent a request.
BACKEND_SHARE = 0.42

PROCESS_BYTES = 18 * BYTES_PER_MB  # private memory of a process that has no connection and no long list
# Memory of one connection with its share of an open request, of which `FREE_BYTES` are content that is not
# charged to any budget.
CONNECTION_BYTES = 10 * 1024
FREE_BYTES = 4096
MAX_CONNECTION_FRACTION = 0.5  # of the memory besides `PROCESS_BYTES`, for all connections together
# The maximum size of a list, as a fraction of the memory that the process itself leaves free. The list that
# replaces another briefly takes nearly three times its bytes.
LIST_FRACTION = 0.25
LIST_PROCESS_BYTES = 32 * BYTES_PER_MB  # below this, a list has the minimum size
MIN_LIST_BYTES = BYTES_PER_MB
LIST_COPIES = 3
# Fraction of the remaining memory for the content of requests and responses; the rest is for fragmentation,
# for copies that last no longer than one call, and for bookkeeping that grows with the rate of requests.
CONTENT_FRACTION = 0.75
MIN_CONTENT_BYTES = BYTES_PER_MB
MAX_EXECUTED_IDS_PER_MB = 320


class ConnectionLimits(NamedTuple):
    """The maximum numbers of open connections."""

    clients: int
    backends: int


class MemoryLimits(NamedTuple):
    """What each use of memory may take, in bytes except for `executed_ids`."""

    requests: int  # content of unanswered requests beyond `FREE_BYTES` per connection
    responses: int  # content of responses that are received or unsent, beyond `FREE_BYTES` per connection
    endpoint_list: int  # the text of one endpoint list
    executed_ids: int  # number of ids of ended requests that are kept


def connection_limits(max_descriptors: int, memory_mb: float) -> ConnectionLimits:
    """Return the maximum numbers of client and backend connections for a limit on memory (MiB)."""
    reserved = max(min(RESERVED_DESCRIPTORS, max_descriptors // 4), MIN_RESERVED_DESCRIPTORS)
    max_by_memory = int(_free_bytes(memory_mb) * MAX_CONNECTION_FRACTION / CONNECTION_BYTES)
    available = min(max_descriptors - reserved, max_by_memory)
    backends = int(available * BACKEND_SHARE)
    return ConnectionLimits(available - backends, backends)


def memory_limits(memory_mb: float, connections: ConnectionLimits) -> MemoryLimits:
    """Return how a limit on memory (MiB) is divided; a limit too small for that gives minimum values."""
    free = _free_bytes(memory_mb) - sum(connections) * CONNECTION_BYTES
    endpoint_list = max_list_bytes(memory_mb)
    content = int((free - LIST_COPIES * endpoint_list) * CONTENT_FRACTION)
    content = max(content, MIN_CONTENT_BYTES)
    return MemoryLimits(
        requests=content // 2,
        responses=content // 2,
        endpoint_list=endpoint_list,
        executed_ids=int(memory_mb * MAX_EXECUTED_IDS_PER_MB),
    )


def max_list_bytes(memory_mb: float) -> int:
    """Return the maximum size of the text of an endpoint list for a limit on memory (MiB)."""
    return max(int((memory_mb * BYTES_PER_MB - LIST_PROCESS_BYTES) * LIST_FRACTION), MIN_LIST_BYTES)


def _free_bytes(memory_mb: float) -> float:
    """Return the memory besides that of the process itself, but at least a tenth of the limit."""
    return max(memory_mb * BYTES_PER_MB - PROCESS_BYTES, memory_mb * BYTES_PER_MB / 10)
