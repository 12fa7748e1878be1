"""Logging to standard error. It is rate-limited, and writing a line never blocks or raises."""

from __future__ import annotations

import logging
import os
import select

from dunecove.proxy.clock import now_ms

STDERR_FILENO = 2
MAX_LINES_PER_S = 20  # a flood of log lines must not keep the proxy from serving requests
MAX_WRITE_BYTES = 4096  # PIPE_BUF on Linux: a writable pipe accepts this many without blocking


class LogWriter:
    """Writes log lines; the next line written after dropped ones states their number."""

    def __init__(self) -> None:
        """Create a writer that has not written or dropped any line."""
        self.line_count = 0  # lines logged in the current second, dropped ones included
        self._second = 0  # the second of `now_ms` in which `line_count` counts
        self._dropped_count = 0
        self._is_line_truncated = False  # whether the last line may have been written only partially

    def __call__(self, message: str) -> None:
        """Write a line, or drop it if the rate limit is exceeded or standard error is not writable."""
        second = int(now_ms() / 1000)
        if second != self._second:
            self._second = second
            self.line_count = 0
        self.line_count += 1
        if self.line_count > MAX_LINES_PER_S:
            self._dropped_count += 1
            return
        dropped_note = f" ({self._dropped_count} earlier lines dropped)" if self._dropped_count else ""
        line_break = "\n" if self._is_line_truncated else ""
        line = f"{line_break}dunecove: {message}{dropped_note}\n"
        if _write_nonblocking(line.encode(errors="backslashreplace")):
            self._dropped_count = 0
            self._is_line_truncated = False
        else:
            self._dropped_count += 1
            self._is_line_truncated = True


def _write_nonblocking(data: bytes) -> bool:
    """Write as much as standard error accepts without blocking; return whether all was written.

    A full disk, a closed pipe or a reader that does not read must neither stop nor block the proxy.
    """
    poll = select.poll()
    poll.register(STDERR_FILENO, select.POLLOUT)
    while data:
        try:
            if not poll.poll(0):
                return False
            written = os.write(STDERR_FILENO, data[:MAX_WRITE_BYTES])
        except OSError:
            return False
        data = data[written:]
    return True


log = LogWriter()


class LibraryLogHandler(logging.Handler):
    """Writes the log records of libraries; the standard handler would block on a pipe that nobody reads."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write a log record."""
        log(f"{record.name}: {record.getMessage()}")


def handle_library_logs() -> None:
    """Route the log records of libraries to `log`. Call this once, at startup."""
    logging.basicConfig(handlers=[LibraryLogHandler()], level=logging.WARNING)
