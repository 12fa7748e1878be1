"""Child processes that read lines on standard input and write JSON lines to standard output."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from typing import Any

from scale.measurement import MeasurementError


def stop_process(process: subprocess.Popen[Any]) -> None:
    """Kill a child process, wait for it to exit, and close its pipes."""
    process.kill()
    process.wait()
    for pipe in (process.stdin, process.stdout, process.stderr):
        if pipe is not None:
            pipe.close()


class ChildProcess:
    """A process that runs `python -m scale.MODULE ARGUMENTS`; killed on exit from the context."""

    def __init__(self, module: str, *arguments: object, environment: dict[str, str] | None = None) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", f"scale.{module}", *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | (environment or {}),
        )

    def __enter__(self) -> ChildProcess:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Kill the child process."""
        stop_process(self._process)

    def write_line(self, text: str) -> None:
        """Write a line to the child's standard input."""
        assert self._process.stdin is not None
        self._process.stdin.write(text + "\n")
        self._process.stdin.flush()

    def read_json(self) -> Any:
        """Return the decoded next line of output; raise MeasurementError if the child exited without one."""
        assert self._process.stdout is not None
        line = self._process.stdout.readline()
        if not line:
            exit_code = self._process.wait()
            raise MeasurementError(f"{self._process.args!r} exited with code {exit_code} without a result")
        return json.loads(line)
