"""Stand-ins for clients, backends and discovery, and the project's proxy as a separate process.

Everything is the standard library alone, on loopback addresses and free ports. A case builds a `World`, plays
its events, and judges what the clients, the backends and discovery saw.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import select
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD = 0
BROKEN = 1
NOT_RUN = 2
READY_TIMEOUT_S = 20.0
WATCH_QUERY = re.compile(r"since=(\d+)&timeout_ms=(\d+)")

# The classes, limits and obligations of the small deployment that the wire page prints as its example.
CLASSES: list[dict[str, Any]] = [
    {"Name": "ficha", "AimMs": 500.0, "HardLimitMs": 2500.0, "Effect": "read_like", "Points": 5.0},
    {"Name": "cargo", "AimMs": 750.0, "HardLimitMs": 3000.0, "Effect": "non_idempotent", "Points": 5.0},
    {
        "Name": "cuota",
        "AimMs": 1200.0,
        "HardLimitMs": 4000.0,
        "Effect": "idempotency_key",
        "KeyScope": "cell",
        "KeyTtlMs": 2500.0,
        "Points": 10.0,
    },
]


def disrupts() -> bool:
    """Return whether this run plays the disruption; `TROUBLE=0` plays the same without it."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRunError(Exception):
    """The case could not be played, so that nothing can be said of the rule."""


class Record:
    """What was sent, answered and run, in order, written to a file at the end."""

    def __init__(self, path: Path) -> None:
        """Create an empty record that is written to `path`."""
        self._path = path
        self._began_at = time.monotonic()
        self._lines: list[str] = []

    def note(self, text: str) -> None:
        """Add a line with the time in seconds since the case began."""
        self._lines.append(f"{time.monotonic() - self._began_at:9.4f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self._path.write_text("\n".join(self._lines) + "\n", encoding="utf-8")


@dataclass
class Request:
    """A complete HTTP request that a stand-in has received."""

    start_line: str
    headers: dict[str, str]
    body: bytes
    received_at: float = 0.0

    @property
    def call_id(self) -> str:
        """The id that its client gave it."""
        return self.headers.get("x-call-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with a length or none; raise IncompleteReadError at the end of the stream."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(start_line, headers, body, time.monotonic())


def encode_answer(body: bytes, status: int = 200, headers: str = "") -> bytes:
    """Return an HTTP answer with a length; `headers` are whole lines."""
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n%b\r\n" % (status, len(body), headers.encode()) + body


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a TCP reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A TCP server on a free loopback port; `serve` handles one connection."""

    def __init__(self, host: str = "127.0.0.1") -> None:
        """Create a server that does not listen yet."""
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """The address as `host:port`."""
        return f"{self.host}:{self.port}"

    async def open(self) -> None:
        """Listen, on the port of an earlier call if there was one."""
        self._server = await asyncio.start_server(
            self._run, self.host, self.port, backlog=1024, reuse_address=True
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            await self.serve(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle one connection."""
        raise NotImplementedError

    def stop_listening(self) -> None:
        """Refuse new connections from now on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close(self) -> None:
        """Refuse new connections and end the open ones."""
        self.stop_listening()
        for writer in list(self.writers):
            writer.transport.abort()


Handler = Callable[["Backend", Request, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Backend(Server):
    """A backend: it begins a request when its last byte has come, and answers as its handler says."""

    def __init__(self, uid: str, record: Record, handler: Handler, cell: int = 1) -> None:
        """Create a backend; `handler` writes the answer to each request."""
        super().__init__()
        self.uid = uid
        self.cell = cell
        self.state = "active"
        self.boot_ms = 0
        self.record = record
        self.handler = handler
        self.begun: list[Request] = []

    def entry(self) -> dict[str, Any]:
        """Return the backend's entry in discovery's list."""
        return {
            "uid": self.uid,
            "endpoint": self.address,
            "az": "bilbao",
            "model": "nuevo",
            "pod_group": self.cell,
            "state": self.state,
            "capacity_hint": 1.0,
            "boot_ms": self.boot_ms,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Read requests one by one and hand each to the handler."""
        while True:
            request = await read_request(reader)
            self.begun.append(request)
            self.record.note(f"{self.uid} began {request.call_id} {request.start_line}")
            await self.handler(self, request, reader, writer)


class Relay(Server):
    """The network between a proxy and one server: it passes bytes on unchanged, a fixed time later."""

    def __init__(self, target: Server, one_way_s: float) -> None:
        """Create a relay to `target`."""
        super().__init__()
        self._target = target
        self._one_way_s = one_way_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection in both directions until one side ends it."""
        far_reader, far_writer = await asyncio.open_connection(self._target.host, self._target.port)
        far_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(
            self._pump(reader, far_writer), self._pump(far_reader, writer), return_exceptions=True
        )

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(65536):
                loop.call_later(self._one_way_s, writer.write, data)
        finally:
            loop.call_later(self._one_way_s, writer.close)


class ClientSideRelay(Server):
    """The network between clients and a proxy: bytes, ends and resets pass it, a fixed time later.

    An end comes behind the bytes before it. Bytes for a client that has closed are answered with a reset.
    """

    def __init__(self, address: str, one_way_s: float) -> None:
        """Create a relay to the proxy at `address`."""
        super().__init__()
        self._far_host, port = address.split(":")
        self._far_port = int(port)
        self._one_way_s = one_way_s

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until the proxy or a reset ends it."""
        far_reader, far_writer = await asyncio.open_connection(self._far_host, self._far_port)
        far_writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        upward = asyncio.create_task(self._pass_up(reader, far_writer))
        try:
            while data := await far_reader.read(65536):
                await asyncio.sleep(self._one_way_s)
                writer.write(data)
                if has_been_reset(writer):
                    await asyncio.sleep(self._one_way_s)
                    reset(far_writer)
                    return
            await asyncio.sleep(self._one_way_s)
        finally:
            upward.cancel()
            far_writer.close()

    async def _pass_up(self, reader: asyncio.StreamReader, far_writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(1 << 20):
                loop.call_later(self._one_way_s, far_writer.write, data)
            loop.call_later(self._one_way_s, far_writer.write_eof)
        except ConnectionError:
            loop.call_later(self._one_way_s, reset, far_writer)


def has_been_reset(writer: asyncio.StreamWriter) -> bool:
    """Return whether the kernel reports that the other side has reset the connection."""
    if writer.transport.is_closing():
        return True
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), 0)
    return bool(poll.poll(0))


class Discovery(Server):
    """Discovery's agent: whole list, changes and watches, with times at which changes were written."""

    def __init__(self, record: Record, name: str = "discovery") -> None:
        """Create a discovery without backends."""
        super().__init__()
        self.name = name
        self.record = record
        self.rev = 41
        self.entries: dict[str, dict[str, Any]] = {}
        self._changed_at: dict[str, int] = {}
        self._changed = asyncio.Event()
        self.silent_writers: set[asyncio.StreamWriter] = set()

    def publish(self, *entries: dict[str, Any]) -> None:
        """Change entries, as one version of the list."""
        self.rev += 1
        for entry in entries:
            self.entries[entry["uid"]] = dict(entry)
            self._changed_at[entry["uid"]] = self.rev
        self._changed.set()
        self._changed = asyncio.Event()

    def whole_list(self) -> dict[str, Any]:
        """Return the whole list in discovery's form."""
        targets = [entry for entry in self.entries.values() if entry["state"] != "left"]
        return {"rev": self.rev, "all": True, "targets": targets}

    def _changes(self, since: int) -> dict[str, Any]:
        targets = [self.entries[uid] for uid, rev in self._changed_at.items() if rev > since]
        return {"rev": self.rev, "all": False, "targets": targets}

    async def answer(self, query: re.Match[str] | None) -> dict[str, Any]:
        """Return the answer to a call, after the wait of a watch."""
        if query is None or int(query[1]) > self.rev:
            return self.whole_list()
        since = int(query[1])
        if since == self.rev:
            with suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), int(query[2]) / 1000)
        return self._changes(since)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls one by one."""
        while True:
            request = await read_request(reader)
            data = await self.answer(WATCH_QUERY.search(request.start_line))
            if writer in self.silent_writers:
                await asyncio.Event().wait()
            if data["targets"]:
                self.record.note(f"{self.name} told {json.dumps(data)}")
            writer.write(encode_answer(json.dumps(data).encode()))


def free_address(host: str = "127.0.0.1") -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return f"{host}:{sock.getsockname()[1]}"


class ProxyProcess:
    """One proxy, started with the `run` command of the deploy file."""

    def __init__(self, world: World, index: int, count: int, settings: dict[str, Any]) -> None:
        """Prepare a proxy; `settings` replace members of the default settings."""
        self.world = world
        self.sockets = 1024
        self.memory_mb = 192
        self.name = f"n{index}"
        self.address = free_address()
        self.config_path = world.folder / f"{self.name}.json"
        self.settings = default_settings(index, count) | settings
        self.process: asyncio.subprocess.Process | None = None
        self.log_path = world.folder / f"{self.name}.log"

    def write_config(self, discovery: Discovery, known: dict[str, Any] | None = None) -> None:
        """Write the configuration file, replacing it as a whole."""
        config = {
            "name": self.name,
            "listen": self.address,
            "discovery": discovery.address,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": discovery.whole_list() if known is None else known,
            "settings": self.settings,
        }
        new_path = self.config_path.with_suffix(".new")
        new_path.write_text(json.dumps(config), encoding="utf-8")
        new_path.rename(self.config_path)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        command = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environment |= {"LB_CONFIG": str(self.config_path), "TMPDIR": str(self.world.folder)}
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            with suppress(OSError, asyncio.IncompleteReadError):
                async with asyncio.timeout(1):
                    client = await Client.open(self.address)
                    client.writer.write(b"GET /health/ready HTTP/1.1\r\nHost: backend.local\r\n\r\n")
                    answer = await client.read_answer()
                    client.close()
                    if answer.status == 200:
                        self.world.record.note(f"{self.name} is ready")
                        return
            if self.process.returncode is not None:
                break
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} did not become ready: {self.log_text()[-400:]}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the proxy's process."""
        assert self.process is not None
        self.world.record.note(f"{number.name} to {self.name}")
        self.process.send_signal(number)

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process is None or self.process.returncode is not None

    def log_text(self) -> str:
        """Return what the process has logged."""
        return self.log_path.read_text(encoding="utf-8", errors="replace") if self.log_path.exists() else ""

    async def end(self) -> None:
        """Kill the process, if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def default_settings(index: int, count: int) -> dict[str, Any]:
    """Return the settings of a small deployment, as the wire page prints them."""
    return {
        "Balancers": count,
        "Me": index,
        "Az": 0,
        "Lanes": CLASSES,
        "Dcs": ["bilbao", "santander", "oviedo"],
        "Kinds": ["nuevo", "viejo"],
        "Discovery": "push",
        "Projects": [
            {"Name": "ayuda-norte", "QuotaPerS": 750.0, "Share": 0.66},
            {"Name": "fundacion-mar", "QuotaPerS": 190.0, "Share": 0.17},
            {"Name": "comedor-sol", "QuotaPerS": 190.0, "Share": 0.17},
        ],
        "OverShareWorth": 0.05,
        "TickMs": 5.0,
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
        "Obligations": {
            "ColdMs": 24000.0,
            "DrainGraceMs": 2500.0,
            "FallMultiple": 3.0,
            "GraceToAnswerMs": 20.0,
            "MustAskInMs": 10000.0,
            "OverloadForMs": 1000.0,
            "StartCapacity": 0.16,
        },
        "WorthBy": "work",
    }


@dataclass
class Answer:
    """A whole answer that a client has read."""

    status: int
    headers: dict[str, str]
    body: bytes
    received_at: float = field(default_factory=time.monotonic)


class Client:
    """A client's connection to a proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Wrap an open connection."""
        self.reader = reader
        self.writer = writer

    @staticmethod
    async def open(address: str) -> Client:
        """Connect to a proxy."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Client(reader, writer)

    async def read_answer(self) -> Answer:
        """Read one whole answer; raise IncompleteReadError or ConnectionError if the connection ends."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        start_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
        headers = {
            name.strip().lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)
        }
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        return Answer(int(start_line.split()[1]), headers, body)

    def close(self) -> None:
        """Close the connection."""
        self.writer.close()


def new_id() -> str:
    """Return a request id that was not used before."""
    return os.urandom(8).hex()


def encode_request(name: str, budget_ms: int, call_id: str, body: bytes = b"") -> bytes:
    """Return a client's request of one of the classes, as the protocol page prints it."""
    method = "GET" if name == "ficha" else "POST"
    lines = [
        f"{method} /{name} HTTP/1.1",
        "Host: backend.local",
        f"X-Call-Id: {call_id}",
        "X-Caller: ayuda-norte",
        f"X-Budget-Ms: {budget_ms}",
    ]
    if name == "cuota":
        lines.append(f"Idempotency-Key: {os.urandom(16).hex()}")
    if method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class World:
    """The folder, the record and everything that a case started."""

    def __init__(self, case_folder: Path) -> None:
        """Create a world without parties; `case_folder` gets `record.txt`."""
        self.record = Record(case_folder / "record.txt")
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.servers: list[Server] = []
        self.proxies: list[ProxyProcess] = []

    async def add(self, server: Server) -> None:
        """Open a server that is closed at the end."""
        self.servers.append(server)
        await server.open()

    def add_proxy(
        self, index: int = 0, count: int = 1, settings: dict[str, Any] | None = None
    ) -> ProxyProcess:
        """Prepare a proxy that is ended at the end."""
        proxy = ProxyProcess(self, index, count, settings or {})
        self.proxies.append(proxy)
        return proxy

    async def close(self) -> None:
        """End all processes and servers, and write the record."""
        for proxy in self.proxies:
            await proxy.end()
        for server in self.servers:
            server.close()
        for proxy in self.proxies:
            for line in proxy.log_text().splitlines()[:400]:
                self.record.note(f"log {proxy.name}: {line[:600]}")
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write()


def run_case(case_folder: Path, play: Callable[[World], Coroutine[Any, Any, int]], limit_s: float) -> int:
    """Play a case; return its exit code: 0 held, 1 broken, 2 not run."""

    async def main() -> int:
        world = World(case_folder)
        try:
            async with asyncio.timeout(limit_s):
                return await play(world)
        except (CannotRunError, TimeoutError, OSError) as error:
            world.record.note(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
            return NOT_RUN
        finally:
            await world.close()

    return asyncio.run(main())
