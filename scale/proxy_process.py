"""A real proxy in its own process, with its resource use as reported by the kernel."""

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

START_TIMEOUT_S = 30.0  # time within which the proxy must listen
START_POLL_S = 0.005
NEXT_LINE_TIMEOUT_S = 1.0
LISTENING_LINE = re.compile(r"listens on (\S+)")


class ProxyProcess:
    """A process that runs `python -m dunecove` with a configuration file; killed on exit from the context.

    Raise MeasurementError, with the last line of the log, if the proxy does not start.
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
        raise MeasurementError(f"the proxy did not start: {self.last_log_line()}")

    def last_log_line(self) -> str:
        """Return the last line of the log, or a placeholder if the log is empty."""
        return (self._log_file.read_text().splitlines() or ["(its log is empty)"])[-1]

    def next_log_line(self) -> str:
        """Wait up to a second for a log line after the one on listening, and return the last line."""
        deadline = time.monotonic() + NEXT_LINE_TIMEOUT_S
        while LISTENING_LINE.search(self.last_log_line()) and time.monotonic() < deadline:
            time.sleep(0.01)
        return self.last_log_line()

    def __enter__(self) -> ProxyProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill the proxy and remove its temporary folder."""
        stop_process(self._process)
        self._folder.cleanup()

    def cpu_ms(self) -> float:
        """Return the processor time (ms) that the proxy has used so far."""
        return self._schedstat_ms(0)

    def cpu_wait_ms(self) -> float:
        """Return the time (ms) that the proxy has waited so far for a core while runnable."""
        return self._schedstat_ms(1)

    def _schedstat_ms(self, field: int) -> float:
        """Return the sum of a schedstat field over all threads; `stat` only has a resolution of 10 ms."""
        tasks = Path(f"/proc/{self._process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[field]) for task in tasks) / 1e6

    def resident_bytes(self) -> int:
        """Return the current resident bytes of the proxy."""
        return resident_bytes(self._process.pid)


class ProbeResult(NamedTuple):
    """Results of a readiness probe since its previous result."""

    longest_gap_ms: float  # between two responses
    responses: int


class ReadinessProbe:
    """Requests a proxy's readiness about once per millisecond, from a separate process."""

    def __init__(self, address: str) -> None:
        self._child = ChildProcess("readiness_probe", address)

    def __enter__(self) -> ReadinessProbe:
        self.take_result()
        return self

    def __exit__(self, *_: object) -> None:
        self._child.close()

    def take_result(self) -> ProbeResult:
        """Return the result since the previous call; waits for the next response of the proxy."""
        self._child.write_line("report")
        return ProbeResult(*self._child.read_json())
