"""Log lines to standard error: a limited number a second, and never one that waits or raises."""

from __future__ import annotations

import logging
import os
import select

from dunecove.proxy.clock import now_ms

STDERR = 2
MAX_LINES_PER_S = 20  # whatever floods the log must not keep the proxy from its work
MAX_WRITE_BYTES = 4096  # a pipe that is ready for writing takes so many without waiting


class LogWriter:
    """Writes lines; how many were dropped is told in the next one."""

    def __init__(self) -> None:
        """Begin with nothing written."""
        self.line_count = 0  # in the present second
        self._second = 0
        self._dropped_count = 0
        self._is_cut = False  # the last line was written in part

    def __call__(self, message: str) -> None:
        """Write a line, or drop it if there are too many or standard error takes no more."""
        second = int(now_ms() / 1000)
        if second != self._second:
            self._second = second
            self.line_count = 0
        self.line_count += 1
        if self.line_count > MAX_LINES_PER_S:
            self._dropped_count += 1
            return
        dropped = f" ({self._dropped_count} lines before it left out)" if self._dropped_count else ""
        start = "\n" if self._is_cut else ""
        line = f"{start}dunecove: {message}{dropped}\n"
        if _write_without_waiting(line.encode(errors="backslashreplace")):
            self._dropped_count = 0
            self._is_cut = False
        else:
            self._dropped_count += 1
            self._is_cut = True


def _write_without_waiting(data: bytes) -> bool:
    """Write as much as standard error takes at once; return whether that was all.

    A disk without room, a reader that has gone and one that does not read must not end the proxy's work or
    hold it up.
    """
    poll = select.poll()
    poll.register(STDERR, select.POLLOUT)
    while data:
        try:
            if not poll.poll(0):
                return False
            written = os.write(STDERR, data[:MAX_WRITE_BYTES])
        except OSError:
            return False
        data = data[written:]
    return True


log = LogWriter()


class LibraryLogHandler(logging.Handler):
    """Writes what libraries log: their own handler would wait for a pipe that nobody reads."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record of a library."""
        log(f"{record.name}: {record.getMessage()}")


def handle_library_logs() -> None:
    """Send what libraries log to `log`; once, at the start of the program."""
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING)
