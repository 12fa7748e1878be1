"""Servers on the loopback interface whose responses the test scripts, an HTTP client, and a whole proxy."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import struct
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple, cast

import uvloop

from dunecove.config import read_config
from dunecove.limits import FREE_BYTES
from dunecove.proxy.client_connection import ClientConnection
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.engine import Engine
from dunecove.proxy.listener import Listener
from dunecove.proxy.memory_budget import MemoryAccount, MemoryBudget
from dunecove.proxy.socket_probe import has_unread_input
from dunecove.server import start

TEST_TIMEOUT_S = 60.0  # far longer than any test takes, so that only a hang reaches it
POLL_INTERVAL_S = 0.001
PURCHASE = {
    "Name": "purchase",
    "AimMs": 20000,
    "HardLimitMs": 30000,
    "Effect": "idempotency_key",
    "KeyScope": "cell",
    "KeyTtlMs": 10000,
    "Points": 12,
}
ANSWER = {"Name": "answer", "AimMs": 20000, "HardLimitMs": 30000, "Effect": "non_idempotent", "Points": 12}
LOOKUP = {"Name": "lookup", "AimMs": 20000, "HardLimitMs": 30000, "Effect": "read_like", "Points": 12}


def run(test: Coroutine[Any, Any, None]) -> None:
    uvloop.run(asyncio.wait_for(test, TEST_TIMEOUT_S))


async def wait_until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds; `TEST_TIMEOUT_S` ends the test if it never does."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_INTERVAL_S)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a TCP reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class ReceivedResponse(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    start_line, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[:-2]
    return start_line, {name.lower(): value for name, value in (line.split(": ", 1) for line in lines)}


class ReceivedRequest(NamedTuple):
    """A request that a scripted server has received; the test responds to it."""

    request_line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    connection_number: int  # 1 for the first connection that the server accepted
    closed: asyncio.Event  # set once the connection has ended

    def respond(
        self, body: bytes = b"done", status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{lines}\r\n"
        self.writer.write(head.encode() + body)


class ScriptedServer:
    """A server that puts each received request into `requests` for the test to respond to."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connection_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def open(self, sock: socket.socket | None = None) -> ScriptedServer:
        """Listen on a free port, or on `sock`, which is bound but not listening yet."""
        if sock is None:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        else:
            self.server = await asyncio.start_server(self._serve, sock=sock)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        connection_number, closed = self.connection_count, asyncio.Event()
        try:
            while True:
                request_line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.requests.put(
                    ReceivedRequest(request_line, headers, body, writer, connection_number, closed)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            closed.set()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


def encode_request(
    path: str = "/answer", method: str = "POST", *, body: bytes = b"", **headers: str | None
) -> bytes:
    all_headers: dict[str, str | None] = {
        "host": "backend.local",
        "x-call-id": "c1",
        "x-budget-ms": "20000",
        "content-length": str(len(body)),
    }
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    lines = "".join(f"{name}: {value}\r\n" for name, value in all_headers.items() if value is not None)
    return f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode() + body


class Client:
    """A client with one connection to the proxy."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    @staticmethod
    async def open(address: str) -> Client:
        host, port = address.split(":")
        return Client(*await asyncio.open_connection(host, int(port)))

    def send(
        self, path: str = "/answer", method: str = "POST", *, body: bytes = b"", **headers: str | None
    ) -> None:
        self.writer.write(encode_request(path, method, body=body, **headers))

    async def read_response(self) -> ReceivedResponse:
        status_line, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return ReceivedResponse(int(status_line.split()[1]), headers, body)

    async def exchange(
        self, path: str = "/answer", method: str = "POST", **headers: str | None
    ) -> ReceivedResponse:
        self.send(path, method, body=b"", **headers)
        return await self.read_response()

    async def wait_closed(self) -> bool:
        """Wait until the connection has ended; return whether no further bytes were received."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


async def send_unread(client: Client, connection: ClientConnection, x_call_id: str = "c1") -> None:
    """Send a request and pause reading, so that the request stays in the proxy's kernel receive buffer."""
    connection.transport.pause_reading()
    client.send(x_call_id=x_call_id)
    await wait_until(lambda: has_unread_input(connection.transport))


def make_list_entry(uid: str, address: str, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": address,
        "az": "a",
        "model": "m",
        "pod_group": 1,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
    }


def make_endpoint_list(rev: int, *targets: dict[str, Any], is_snapshot: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": is_snapshot, "targets": list(targets)}


def make_configuration(discovery_address: str, *targets: dict[str, Any], **overrides: Any) -> dict[str, Any]:
    """Return the content of a configuration file.

    `overrides` are keys of `Limits` in the settings, or `settings`, `memory_mb`, `sockets`, `discovery_mode`.
    """
    settings = overrides.pop("settings", {})
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery_address,
        "seed": "8c1f30d27a5be964",
        "limits": {
            "cores": 1.0,
            "memory_mb": overrides.pop("memory_mb", 192),
            "sockets": overrides.pop("sockets", 1024),
        },
        "known": make_endpoint_list(1, *targets),
        "settings": {
            "Lanes": [PURCHASE, ANSWER, LOOKUP],
            "Dcs": ["a"],
            "Kinds": ["m"],
            "Discovery": overrides.pop("discovery_mode", "ask"),
            "TickMs": 5.0,
            "Limits": {"MayCancel": True, "MostTries": 4, "ConnectTimeoutMs": 20000, "ConnIdleMs": 60000}
            | overrides,
        }
        | settings,
    }


def write_configuration(folder: Path, config: Any) -> dict[str, str]:
    """Write the configuration file of a proxy process; return the environment to start the process with."""
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return {name: value for name, value in os.environ.items() if not name.startswith("LB_")} | {
        "LB_CONFIG": str(path)
    }


class ConnectGate:
    """Wraps the event loop of a connection pool; each connection opens only once the test allows it."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.create_task, self.call_later = loop.create_task, loop.call_later
        self.connect = loop.create_connection
        # One event for each connection that the pool opens; setting the event lets the connection open.
        self.pending_connects: asyncio.Queue[asyncio.Event] = asyncio.Queue()

    async def create_connection(self, *args: Any) -> Any:
        may_open = asyncio.Event()
        await self.pending_connects.put(may_open)
        await may_open.wait()
        return await self.connect(*args)

    @staticmethod
    def install(pool: ConnectionPool) -> ConnectGate:
        gate = ConnectGate(pool.loop)
        pool.loop = cast(asyncio.AbstractEventLoop, gate)
        return gate


class Proxy(NamedTuple):
    engine: Engine
    listener: Listener
    backends: list[ScriptedServer]
    discovery_server: ScriptedServer

    async def client(self) -> Client:
        return await Client.open(self.listener.address)


@asynccontextmanager
async def run_proxy(backends: int = 1, **overrides: Any) -> AsyncIterator[Proxy]:
    """Run a whole proxy in this process, with scripted backends and a scripted discovery service.

    `overrides` are passed to `make_configuration`.
    """
    backend_servers = [await ScriptedServer().open() for _ in range(backends)]
    discovery = await ScriptedServer().open()
    entries = [make_list_entry(f"s{number}", server.address) for number, server in enumerate(backend_servers)]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(make_configuration(discovery.address, *entries, **overrides)))
        engine, listener = start(read_config({"LB_CONFIG": str(path)}))
    try:
        yield Proxy(engine, listener, backend_servers, discovery)
    finally:
        await listener.finish_shutdown(0.0)
        for connection in list(listener.slots.connections):
            connection.transport.abort()
        engine.close()
        await wait_until(lambda: not listener.slots.connections)
        # A charge that is never released would reject all requests in the end.
        await wait_until(lambda: engine.budgets.requests.used_bytes == 0)
        await wait_until(lambda: engine.budgets.responses.used_bytes == 0)
        for server in [*backend_servers, discovery]:
            server.close()


def use_up(budget: MemoryBudget, left_bytes: int = 0) -> MemoryAccount:
    """Return an account that holds all of a budget but `left_bytes`."""
    budget.limit_bytes = 200_000
    account = MemoryAccount(budget)
    account.hold(FREE_BYTES + 200_000 - left_bytes)
    return account


async def connect_slow_reader(
    proxy: Proxy, send_buffer_bytes: int = 4096, shutting_down: bool = True
) -> Client:
    """Return a client with an unread response; the kernel holds up to `send_buffer_bytes` of it."""
    if shutting_down:
        proxy.listener.begin_shutdown()
    host, port = proxy.listener.address.split(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect((host, int(port)))
    client = Client(*await asyncio.open_connection(sock=sock, limit=1000))
    await wait_until(lambda: proxy.listener.slots.connections)
    (connection,) = proxy.listener.slots.connections
    connection.transport.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes
    )
    client.send()
    (await proxy.backends[0].requests.get()).respond(b"r" * 65536)
    await wait_until(lambda: proxy.listener.slots.lingering if shutting_down else proxy.listener.slots.idle)
    assert send_buffer_bytes > 4096 or connection.transport.get_write_buffer_size()
    return client
