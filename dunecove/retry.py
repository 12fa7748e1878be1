"""Retries of what fails at the start of the program because something is lacking for a moment."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from dunecove.errors import UnreadableFileError
from dunecove.proxy.connection_pool import LOCAL_RESOURCE_ERRNOS

# What a system call may lack for a moment, as Linux documents it.
TRANSIENT_ERRNOS = LOCAL_RESOURCE_ERRNOS | {errno.EAGAIN, errno.EINTR, errno.EIO}
RETRY_INTERVAL_S = 0.05

_Result = TypeVar("_Result")


def retry_transient_errors(operation: Callable[[], _Result], deadline_s: float) -> _Result:
    """Return what `operation` returns; it is retried after a transient error, up to `deadline_s` of
    `time.monotonic`. Any other error, and the last one, is raised."""
    while True:
        try:
            return operation()
        except (OSError, UnreadableFileError) as error:
            if error.errno not in TRANSIENT_ERRNOS or time.monotonic() >= deadline_s:
                raise
        time.sleep(RETRY_INTERVAL_S)
