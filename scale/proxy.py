"""A real proxy in a process of its own, and what the kernel says of it."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from scale.measures import Trouble, child, child_json, end

UP_S = 30.0  # s that a proxy may take until it listens
LISTENS = re.compile(r"listens on (\S+)")


class Proxy:
    """`python -m dunecove` with a configuration written to a temporary folder. Raises Trouble, with the
    last line of its log, if it doesn't come up."""

    def __init__(self, configuration: dict[str, Any]) -> None:
        self.folder = tempfile.TemporaryDirectory()
        folder = Path(self.folder.name)
        (folder / "config.json").write_text(json.dumps(configuration))
        self.log = folder / "log"
        env = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dunecove"],
                env=env | {"LB_CONFIG": str(folder / "config.json")},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        try:
            self.address = self._up()
        except BaseException:
            self.close()
            raise

    def _up(self) -> str:
        until = time.monotonic() + UP_S
        while time.monotonic() < until and self.process.poll() is None:
            found = LISTENS.search(self.log.read_text())
            if found is not None:
                return found[1]
            time.sleep(0.005)
        raise Trouble(f"the proxy didn't come up: {self.last_line()}")

    def last_line(self) -> str:
        return (self.log.read_text().splitlines() or ["(its log is empty)"])[-1]

    def next_line(self) -> str:
        """The last line, once there is one after that of its start; within a second or so."""
        until = time.monotonic() + 1.0
        while LISTENS.search(self.last_line()) and time.monotonic() < until:
            time.sleep(0.01)
        return self.last_line()

    def __enter__(self) -> Proxy:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        end(self.process)
        self.folder.cleanup()

    def cpu_ms(self) -> float:
        return cpu_ms(self.process.pid)

    def kept_ms(self) -> float:
        return cpu_ms(self.process.pid, 1)

    def resident(self) -> float:
        """Bytes in memory now."""
        pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        return float(pages) * os.sysconf("SC_PAGE_SIZE")


def cpu_ms(pid: int, field: int = 0) -> float:
    """Processor time of a process so far, in ms: the scheduler's own count, finer than stat's 10 ms. Field 1
    is the time that it has waited for a core which others had."""
    tasks = Path(f"/proc/{pid}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[field]) for task in tasks) / 1e6


class Probe:
    """Asks a proxy's readiness about every millisecond, from a process of its own (probe.py)."""

    def __init__(self, address: str) -> None:
        self.process = subprocess.Popen(
            child("probe", address), stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def __enter__(self) -> Probe:
        self.mark()
        return self

    def __exit__(self, *_: object) -> None:
        end(self.process)

    def mark(self) -> tuple[float, int]:
        """The longest time from one answer to the next since the mark before, in ms, and how many answers.
        It comes with the next answer."""
        assert self.process.stdin is not None
        self.process.stdin.write("mark\n")
        self.process.stdin.flush()
        longest, answers = child_json(self.process)
        return longest, answers
