"""The proxies of a soak: real processes, started, signalled and watched."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import orjson

from soak.records import Journal, Life

SHIM_SOURCE = Path(__file__).parent / "shim" / "faults.c"
READY = b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n"
LOOK_S = 0.05  # between looks whether a proxy is ready
LINES_KEPT = 2000  # of one log


def build_shim(folder: Path) -> Path | None:
    """The library of faults, or None where there is no C compiler."""
    library = folder / "faults.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-o", str(library), str(SHIM_SOURCE), "-ldl"]
    try:
        subprocess.run(command, check=True, capture_output=True)
    except (OSError, subprocess.CalledProcessError):
        return None
    return library


def own_host() -> str:
    """A loopback host of this process alone: on the usual one the port of a proxy that restarts may be taken
    by the near end of any connection meanwhile."""
    process = os.getpid()
    return f"127.{64 + process % 64}.{process // 64 % 256}.1"


given: set[str] = set()  # addresses: the kernel may name one anew that nobody has bound yet


def free_address(kind: socket.SocketKind = socket.SOCK_STREAM) -> str:
    while True:
        with socket.socket(socket.AF_INET, kind) as sock:
            sock.bind((own_host(), 0))
            address = "{}:{}".format(*sock.getsockname())
        if address not in given:
            given.add(address)
            return address


class ProxyProcess:
    """One proxy over all its lives: the address, the name and the file of its configuration stay."""

    def __init__(
        self, number: int, folder: Path, journal: Journal, configure: Callable[[int], dict[str, Any]]
    ) -> None:
        self.number, self.journal, self.configure = number, journal, configure
        self.listen = free_address()
        self.path = folder / f"proxy-{number}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.life: Life | None = None
        self.reader: asyncio.Task[None] | None = None
        self.lives = 0

    def write(self) -> None:
        """The configuration as it is now, put there whole."""
        partial = self.path.with_suffix(".new")
        partial.write_bytes(orjson.dumps(self.configure(self.number)))
        partial.rename(self.path)

    async def start(self, environment: dict[str, str]) -> None:
        self.write()
        kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        loop = asyncio.get_running_loop()
        self.lives += 1
        self.life = Life(self.number, self.lives, loop.time())
        self.journal.lives.append(self.life)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dunecove",
            env=kept | environment | {"LB_CONFIG": str(self.path)},
            stderr=asyncio.subprocess.PIPE,
        )
        self.reader = loop.create_task(self._read(self.process, self.life))
        await self._wait_until_ready(self.life)

    async def _read(self, process: asyncio.subprocess.Process, life: Life) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            if len(life.log) < LINES_KEPT:
                life.log.append(line.decode(errors="replace").rstrip())
        life.code = await process.wait()
        life.ended = asyncio.get_running_loop().time()

    async def _wait_until_ready(self, life: Life) -> None:
        host, port = self.listen.split(":")
        while life.ended is None:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(READY)
                line = await reader.readline()
                writer.close()
            except OSError:
                line = b""
            if b" 200 " in line:
                life.ready = asyncio.get_running_loop().time()
                return
            await asyncio.sleep(LOOK_S)

    def up(self) -> bool:
        """Whether the front would deal out new connections to it."""
        life = self.life
        return life is not None and life.ready is not None and life.ended is None and life.stopping is None

    def send(self, number: signal.Signals) -> None:
        life = self.life
        if self.process is None or life is None or life.ended is not None:
            return
        now = asyncio.get_running_loop().time()
        if number is signal.SIGTERM and life.stopping is None:
            life.stopping = now
        elif number is signal.SIGKILL:
            life.killed = now
        try:
            self.process.send_signal(number)
        except ProcessLookupError:
            return

    async def ended(self) -> None:
        if self.reader is not None:
            await self.reader
