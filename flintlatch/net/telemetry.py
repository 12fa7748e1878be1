"""What the program tells of itself: log lines."""

from __future__ import annotations

import os
import select

from flintlatch.net.clock import now_ms

STDERR = 2
LOG_LINES = 20  # lines a second: whatever floods the log must not keep the proxy from its work
WRITE_BYTES = 4096  # written at once: a pipe that tells it has room takes so many without waiting


def write_all(data: bytes) -> bool:
    """To standard error, as much as it takes at once; whether that was all. A disk without room, a reader that
    has gone and one that does not read must not end the proxy's work or hold it up."""
    poll = select.poll()
    poll.register(STDERR, select.POLLOUT)
    while data:
        try:
            if not poll.poll(0):
                return False
            written = os.write(STDERR, data[:WRITE_BYTES])
        except OSError:
            return False
        data = data[written:]
    return True


class Logger:
    """Lines to standard error, so many a second; how many more there were is told in the next one. It never
    raises and never waits."""

    def __init__(self) -> None:
        self.second, self.lines, self.dropped = 0, 0, 0
        self.cut = False  # the last line was written in part

    def __call__(self, line: str) -> None:
        second = int(now_ms() / 1000)
        if second != self.second:
            self.second, self.lines = second, 0
        self.lines += 1
        if self.lines > LOG_LINES:
            self.dropped += 1
            return
        told = f" ({self.dropped} lines before it left out)" if self.dropped else ""
        start = "\n" if self.cut else ""
        if write_all(f"{start}flintlatch: {line}{told}\n".encode(errors="backslashreplace")):
            self.dropped, self.cut = 0, False
        else:
            self.dropped, self.cut = self.dropped + 1, True


log = Logger()
