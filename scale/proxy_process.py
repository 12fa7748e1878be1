"""A real proxy in a process of its own, and what the kernel tells of it."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any, NamedTuple

from scale.child_process import ChildProcess, stop_process
from scale.measurement import MeasurementError
from scale.process_memory import resident_bytes

START_TIMEOUT_S = 30.0  # until the proxy listens
START_POLL_S = 0.005
NEXT_LINE_TIMEOUT_S = 1.0
LISTENING_LINE = re.compile(r"listens on (\S+)")


class ProxyProcess:
    """`python -m dunecove` with a configuration in a temporary folder; killed at the end of the context.

    Raises MeasurementError, with the last line of the log, if the proxy doesn't come up.
    """

    def __init__(self, configuration: dict[str, Any]) -> None:
        self._folder = tempfile.TemporaryDirectory()
        folder = Path(self._folder.name)
        config_file = folder / "config.json"
        config_file.write_text(json.dumps(configuration))
        self._log_file = folder / "log"
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        with self._log_file.open("wb") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "dunecove"],
                env=environment | {"LB_CONFIG": str(config_file)},
                stdin=subprocess.DEVNULL,
                stdout=subprocess.DEVNULL,
                stderr=log,
            )
        try:
            self.address = self._wait_until_listening()
        except BaseException:
            self.close()
            raise

    def _wait_until_listening(self) -> str:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline and self._process.poll() is None:
            found = LISTENING_LINE.search(self._log_file.read_text())
            if found is not None:
                return found[1]
            time.sleep(START_POLL_S)
        raise MeasurementError(f"the proxy didn't come up: {self.last_log_line()}")

    def last_log_line(self) -> str:
        """Return the last line of the proxy's log."""
        return (self._log_file.read_text().splitlines() or ["(its log is empty)"])[-1]

    def next_log_line(self) -> str:
        """Return the last line once one follows that of the start, or after a second as it is."""
        deadline = time.monotonic() + NEXT_LINE_TIMEOUT_S
        while LISTENING_LINE.search(self.last_log_line()) and time.monotonic() < deadline:
            time.sleep(0.01)
        return self.last_log_line()

    def __enter__(self) -> ProxyProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill the proxy and remove its folder."""
        stop_process(self._process)
        self._folder.cleanup()

    def cpu_ms(self) -> float:
        """Return the processor time so far (ms)."""
        return self._schedstat_ms(0)

    def cpu_wait_ms(self) -> float:
        """Return the time so far that the proxy has waited for a core which others had (ms)."""
        return self._schedstat_ms(1)

    def _schedstat_ms(self, field: int) -> float:
        """Sum a field of the scheduler's own count, which is finer than the 10 ms of `stat`."""
        tasks = Path(f"/proc/{self._process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[field]) for task in tasks) / 1e6

    def resident_bytes(self) -> int:
        """Return the bytes that are in memory now."""
        return resident_bytes(self._process.pid)


class ProbeResult(NamedTuple):
    """What a readiness probe saw since it was last asked."""

    longest_gap_ms: float  # from one response to the next
    responses: int


class ReadinessProbe:
    """Asks a proxy's readiness about every millisecond, from a process of its own."""

    def __init__(self, address: str) -> None:
        self._child = ChildProcess("readiness_probe", address)

    def __enter__(self) -> ReadinessProbe:
        self.take_result()
        return self

    def __exit__(self, *_: object) -> None:
        self._child.close()

    def take_result(self) -> ProbeResult:
        """Return what was seen since the last call; it comes with the proxy's next response."""
        self._child.write_line("report")
        return ProbeResult(*self._child.read_json())
