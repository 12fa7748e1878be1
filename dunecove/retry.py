"""Retries of startup operations that fail because of a temporary lack of resources."""

from __future__ import annotations

import errno
import time
from collections.abc import Callable
from typing import TypeVar

from dunecove.errors import UnreadableFileError
from dunecove.proxy.connection_pool import LOCAL_RESOURCE_ERRNOS

# Errors of system calls that may be temporary, according to the Linux manual pages.
TRANSIENT_ERRNOS = LOCAL_RESOURCE_ERRNOS | {errno.EAGAIN, errno.EINTR, errno.EIO}
RETRY_INTERVAL_S = 0.05

_Result = TypeVar("_Result")


def retry_transient_errors(operation: Callable[[], _Result], deadline_s: float) -> _Result:
    """Return the result of `operation`, retrying after transient errors until `deadline_s`.

    `deadline_s` is a time of `time.monotonic`. Any other error, and a transient one after the deadline, is
    raised.
    """
    while True:
        try:
            return operation()
        except (OSError, UnreadableFileError) as error:
            if error.errno not in TRANSIENT_ERRNOS or time.monotonic() >= deadline_s:
                raise
        time.sleep(RETRY_INTERVAL_S)
