"""Why client connections are closed."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why a connection was closed; counted as `close.<value>`."""

    CLIENT = "client"  # closed, half-closed or reset by the client
    ANSWERED = "answered"  # after the last response
    REQUEST_TIMEOUT = "request_timeout"  # no complete request within the timeout
    IDLE = "idle"
    EVICTED = "evicted"  # in favor of a new connection
    SHUTDOWN = "shutdown"
    NOT_READING = "not_reading"  # the client does not read its responses
    FLOOD = "flood"  # the client sent too much after its last response
