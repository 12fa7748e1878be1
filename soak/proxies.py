"""The proxy processes of a soak run: start, signals, log and exit."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from soak.loopback import free_address, split_address
from soak.records import Incarnation, RunRecord

FAULT_LIBRARY_SOURCE = Path(__file__).parent / "shim" / "faults.c"
READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"
READINESS_INTERVAL_S = 0.05  # between two readiness requests
MAX_LOG_LINES = 2000  # kept per process
TERMINATION_TIMEOUT_S = 6.0  # after which SIGKILL is sent; longer than the rules allow for a shutdown


def build_fault_library(folder: Path) -> Path | None:
    """Compile the library of system call faults; return None if that fails, as without a C compiler."""
    library = folder / "faults.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-o", str(library), str(FAULT_LIBRARY_SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True)
    except (OSError, subprocess.CalledProcessError):
        return None
    return library


class ProxyProcess:
    """One proxy across its incarnations, which share its number, address and configuration file."""

    def __init__(
        self, number: int, folder: Path, record: RunRecord, configure: Callable[[int], dict[str, Any]]
    ) -> None:
        self.number = number
        self.address = free_address()
        self.incarnation: Incarnation | None = None
        self.incarnation_count = 0
        self._record = record
        self._configure = configure
        self._config_file = folder / f"proxy-{number}.json"
        self._process: asyncio.subprocess.Process | None = None
        self._log_reader: asyncio.Task[None] | None = None

    def write_configuration(self) -> None:
        """Replace the configuration file with the current configuration, atomically."""
        temporary_file = self._config_file.with_suffix(".new")
        temporary_file.write_bytes(orjson.dumps(self._configure(self.number)))
        temporary_file.rename(self._config_file)

    async def start(self, environment: dict[str, str]) -> None:
        """Start a new incarnation and wait until it is ready or has exited."""
        self.write_configuration()
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        loop = asyncio.get_running_loop()
        self.incarnation_count += 1
        incarnation = Incarnation(self.number, self.incarnation_count, loop.time())
        self.incarnation = incarnation
        self._record.incarnations.append(incarnation)
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dunecove",
            env=inherited | environment | {"LB_CONFIG": str(self._config_file)},
            stderr=asyncio.subprocess.PIPE,
        )
        self._log_reader = loop.create_task(self._read_log(self._process, incarnation))
        await self._wait_until_ready(incarnation)

    async def _read_log(self, process: asyncio.subprocess.Process, incarnation: Incarnation) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            if len(incarnation.log) < MAX_LOG_LINES:
                incarnation.log.append(line.decode(errors="replace").rstrip())
        incarnation.exit_code = await process.wait()
        incarnation.ended_at = asyncio.get_running_loop().time()

    async def _wait_until_ready(self, incarnation: Incarnation) -> None:
        while incarnation.ended_at is None:
            if await self._is_ready():
                incarnation.ready_at = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(READINESS_INTERVAL_S)

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*split_address(self.address))
            writer.write(READINESS_REQUEST)
            status_line = await reader.readline()
            writer.close()
        except OSError:
            return False
        return b" 200 " in status_line

    def is_up(self) -> bool:
        """Return whether the load balancer in front would open new connections to the proxy."""
        current = self.incarnation
        return (
            current is not None
            and current.ready_at is not None
            and current.ended_at is None
            and current.stopping_at is None
        )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running; record the time of SIGTERM and SIGKILL."""
        incarnation = self.incarnation
        if self._process is None or incarnation is None or incarnation.ended_at is not None:
            return
        now = asyncio.get_running_loop().time()
        if number is signal.SIGTERM and incarnation.stopping_at is None:
            incarnation.stopping_at = now
        elif number is signal.SIGKILL:
            incarnation.killed_at = now
        try:
            self._process.send_signal(number)
        except ProcessLookupError:
            return

    async def wait_for_exit(self) -> None:
        """Wait until the process has exited; kill it after `TERMINATION_TIMEOUT_S`."""
        try:
            async with asyncio.timeout(TERMINATION_TIMEOUT_S):
                await asyncio.shield(self._wait_for_log_end())
        except TimeoutError:
            self.send_signal(signal.SIGKILL)
            await self._wait_for_log_end()

    async def _wait_for_log_end(self) -> None:
        if self._log_reader is not None:
            await self._log_reader
