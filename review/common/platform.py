"""The platform of a case: the configuration of a proxy, its process, and the record of the run."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
READY_TIMEOUT_S = 15.0


class CouldNotRunError(Exception):
    """The case could not be played, so it says nothing about the rule."""


def has_trouble() -> bool:
    """Return whether the disruption is played; the environment variable TROUBLE=0 leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The lines of `record.txt`, with the time in seconds since the start of the case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Return the time since the start of the case, in seconds."""
        return time.monotonic() - self._started_at

    def write(self, line: str) -> None:
        """Write one line with the current time."""
        self._file.write(f"{self.now():9.4f} {line}\n")
        self._file.flush()

    def say(self, line: str) -> None:
        """Write one line to the record and to standard output."""
        self.write(line)
        print(line, flush=True)


def free_port() -> int:
    """Return a free TCP port of 127.0.0.1."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def settings() -> dict[str, Any]:
    """Return the settings of a small deployment: the example of the wire page, for one proxy."""
    return {
        "Az": 0,
        "Balancers": 1,
        "Clients": {"MarksRetry": True},
        "Dcs": ["bilbao", "santander", "oviedo"],
        "Discovery": "push",
        "Domain": {"WarmKeys": False},
        "Kinds": ["nuevo", "viejo"],
        "Lanes": [
            _lane("ficha", "read_like", 500.0, 2500.0, "all", 5000.0, 5.0),
            _lane("cargo", "non_idempotent", 750.0, 3000.0, "all", 5000.0, 5.0),
            _lane("cuota", "idempotency_key", 1200.0, 4000.0, "cell", 2500.0, 10.0),
        ],
        "Limits": {
            "ConnIdleMs": 60000.0,
            "ConnectTimeoutMs": 150.0,
            "MaxRetryAfterMs": 2000.0,
            "MayCancel": True,
            "MayDuplicate": False,
            "MostTries": 5,
            "Peers": False,
            "Probes": True,
            "RetryAfter": True,
            "StreamsPerConn": 1,
        },
        "Me": 0,
        "Obligations": {
            "ColdMs": 24000.0,
            "DrainGraceMs": 2500.0,
            "FallMultiple": 3.0,
            "GraceToAnswerMs": 20.0,
            "MustAskInMs": 10000.0,
            "OverloadForMs": 1000.0,
            "StartCapacity": 0.16,
        },
        "OverShareWorth": 0.05,
        "Projects": [
            {"Name": "ayuda-norte", "QuotaPerS": 75.0, "Share": 0.66},
            {"Name": "fundacion-mar", "QuotaPerS": 19.0, "Share": 0.17},
            {"Name": "comedor-sol", "QuotaPerS": 19.0, "Share": 0.17},
        ],
        "Reporting": {"Fields": ["busy"], "Via": "on_probe"},
        "TickMs": 5.0,
        "Tiers": ["web-donativos"],
        "Weights": "off",
        "Workload": "proxy",
        "WorthBy": "work",
    }


def _lane(
    name: str, effect: str, aim_ms: float, limit_ms: float, scope: str, window_ms: float, points: float
) -> dict[str, Any]:
    return {
        "AimMs": aim_ms,
        "Effect": effect,
        "HardLimitMs": limit_ms,
        "KeyScope": scope,
        "KeyTtlMs": window_ms,
        "LateWorth": 0.0,
        "Name": name,
        "Points": points,
        "Stream": False,
    }


class Proxy:
    """One proxy process, started by the command `run` of the deploy file."""

    def __init__(self, record: Record, name: str = "n0") -> None:
        self.address = ("127.0.0.1", free_port())
        self.folder = tempfile.TemporaryDirectory()
        self.config: dict[str, Any] = {}
        self._name = name
        self._record = record
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the process id."""
        assert self._process is not None
        return self._process.pid

    def write_config(self, **fields: Any) -> None:
        """Write the configuration file, with `fields` added to or in place of the usual ones."""
        self.config = {
            "name": self._name,
            "listen": "{}:{}".format(*self.address),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings(),
            **self.config,
            **fields,
        }
        path = Path(self.folder.name, "config.json")
        path.with_suffix(".new").write_text(json.dumps(self.config))
        path.with_suffix(".new").replace(path)

    def launch(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        temporary = Path(self.folder.name, "tmp")
        temporary.mkdir(exist_ok=True)
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        own = {"LB_CONFIG": str(Path(self.folder.name, "config.json")), "TMPDIR": str(temporary)}
        with Path(self.folder.name, "log.txt").open("ab") as log:
            self._process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=inherited | own,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        self.launch()
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not await self._is_ready():
            if time.monotonic() > deadline or self.exit_code() is not None:
                raise CouldNotRunError(f"proxy {self._name} is not ready: {self.log()}")
            await asyncio.sleep(0.05)
        self._record.write(f"proxy {self._name} is ready at {self.config['listen']}, pid {self.pid}")

    async def _is_ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection(*self.address)
        except OSError:
            return False
        writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
        status_line = await reader.readline()
        writer.close()
        return b" 200 " in status_line

    def exit_code(self) -> int | None:
        """Return the exit code of the process; None while it runs."""
        return None if self._process is None else self._process.poll()

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        """Wait until the process has ended; return its exit code, or None after `timeout_s`."""
        assert self._process is not None
        try:
            return await asyncio.to_thread(self._process.wait, timeout_s)
        except subprocess.TimeoutExpired:
            return None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self.exit_code() is None:
            self._record.write(f"proxy {self._name} gets {number.name}")
            self._process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the anonymous memory that the process holds now (MiB); 0 if it has ended."""
        try:
            status = Path(f"/proc/{self.pid}/status").read_text()
        except OSError:
            return 0.0
        values = [line.split()[1] for line in status.splitlines() if line.startswith("RssAnon:")]
        return int(values[0]) / 1024 if values else 0.0

    def log(self) -> str:
        """Return what the process has logged."""
        return Path(self.folder.name, "log.txt").read_text(errors="replace")

    def end(self) -> None:
        """Kill the process if it still runs, copy its log to the record, and remove its folder."""
        if self._process is None:
            return
        if self._process.poll() is None:
            self._process.kill()
        self._process.wait()
        for line in self.log().splitlines():
            self._record.write(f"log of {self._name}: {line}")
        self.folder.cleanup()
