"""Scripted servers on loopback, whose responses the test gives by hand, and a plain client."""

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
from dunecove.proxy.client_connection import ClientConnection
from dunecove.proxy.connection_pool import ConnectionPool
from dunecove.proxy.engine import Engine
from dunecove.proxy.listener import Listener
from dunecove.proxy.socket_probe import has_unread_input
from dunecove.server import start

TEST_TIMEOUT_S = 60.0  # only a hang comes near it
POLL_S = 0.001
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


async def until(condition: Callable[[], object]) -> None:
    """Wait until the condition holds; the limit on the test ends it otherwise."""
    while True:
        if condition():
            return
        await asyncio.sleep(POLL_S)


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the other side gets a reset."""
    linger = struct.pack("ii", 1, 0)
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class ReceivedResponse(NamedTuple):
    status: int
    headers: dict[str, str]
    body: bytes


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    first, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")[:-2]
    return first, {k.lower(): v for k, v in (line.split(": ", 1) for line in lines)}


class ReceivedRequest(NamedTuple):
    """A request that a scripted server has read; the test responds to it."""

    request_line: str
    headers: dict[str, str]
    body: bytes
    writer: asyncio.StreamWriter
    connection: int
    closed: asyncio.Event  # the proxy has closed this connection

    def respond(
        self, body: bytes = b"done", status: int = 200, headers: dict[str, str] | None = None
    ) -> None:
        lines = "".join(f"{name}: {value}\r\n" for name, value in (headers or {}).items())
        head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{lines}\r\n"
        self.writer.write(head.encode() + body)


class ScriptedServer:
    """A server that puts each request it reads into `requests`, and leaves the response to the test."""

    def __init__(self) -> None:
        self.requests: asyncio.Queue[ReceivedRequest] = asyncio.Queue()
        self.connection_count = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def open(self, sock: socket.socket | None = None) -> ScriptedServer:
        """Listen on a free address, or with a socket that is bound and does not listen yet."""
        if sock is None:
            self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        else:
            self.server = await asyncio.start_server(self._serve, sock=sock)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connection_count += 1
        self.writers.append(writer)
        connection, closed = self.connection_count, asyncio.Event()
        try:
            while True:
                line, headers = await read_head(reader)
                body = await reader.readexactly(int(headers.get("content-length", 0)))
                await self.requests.put(ReceivedRequest(line, headers, body, writer, connection, closed))
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            closed.set()

    def close(self) -> None:
        self.server.close()
        for writer in self.writers:
            writer.close()


def request(
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
        self.writer.write(request(path, method, body=body, **headers))

    async def read_response(self) -> ReceivedResponse:
        line, headers = await read_head(self.reader)
        body = await self.reader.readexactly(int(headers["content-length"]))
        return ReceivedResponse(int(line.split()[1]), headers, body)

    async def exchange(
        self, path: str = "/answer", method: str = "POST", **headers: str | None
    ) -> ReceivedResponse:
        self.send(path, method, body=b"", **headers)
        return await self.read_response()

    async def wait_closed(self) -> bool:
        """Wait for the end of the connection; return whether no bytes came before it."""
        try:
            return await self.reader.read() == b""
        except ConnectionError:
            return True

    def close(self) -> None:
        self.writer.close()


async def send_unread(client: Client, connection: ClientConnection, x_call_id: str = "c1") -> None:
    """Send a request that stays in the kernel, as if the event loop had not read it yet."""
    connection.transport.pause_reading()
    client.send(x_call_id=x_call_id)
    await until(lambda: has_unread_input(connection.transport))


def target(uid: str, address: str, state: str = "active", boot_ms: int = 0) -> dict[str, Any]:
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


def listing(rev: int, *targets: dict[str, Any], whole: bool = True) -> dict[str, Any]:
    return {"rev": rev, "all": whole, "targets": list(targets)}


def configuration(discovery: str, *targets: dict[str, Any], **limits: Any) -> dict[str, Any]:
    more = limits.pop("settings", {})
    return {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {
            "cores": 1.0,
            "memory_mb": limits.pop("memory_mb", 192),
            "sockets": limits.pop("sockets", 1024),
        },
        "known": listing(1, *targets),
        "settings": {
            "Lanes": [PURCHASE, ANSWER, LOOKUP],
            "Dcs": ["a"],
            "Kinds": ["m"],
            "Discovery": limits.pop("list_mode", "ask"),
            "TickMs": 5.0,
            "Limits": {"MayCancel": True, "MostTries": 4, "ConnectTimeoutMs": 20000, "ConnIdleMs": 60000}
            | limits,
        }
        | more,
    }


def write_configuration(folder: Path, config: Any) -> dict[str, str]:
    """Write the configuration file of a program; return the environment to start it in."""
    path = folder / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    return {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {"LB_CONFIG": str(path)}


class ConnectGate:
    """Stands in for the event loop of the backend connections: each opens only when the test says so."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.create_task, self.call_later = loop.create_task, loop.call_later
        self.connect = loop.create_connection
        self.attempts: asyncio.Queue[asyncio.Event] = (
            asyncio.Queue()
        )  # one for each connection that is opened

    async def create_connection(self, *args: Any) -> Any:
        comes_up = asyncio.Event()
        await self.attempts.put(comes_up)
        await comes_up.wait()
        return await self.connect(*args)

    @staticmethod
    def of(backends: ConnectionPool) -> ConnectGate:
        gate = ConnectGate(backends.loop)
        backends.loop = cast(asyncio.AbstractEventLoop, gate)
        return gate


class Proxy(NamedTuple):
    engine: Engine
    listener: Listener
    backends: list[ScriptedServer]
    registry: ScriptedServer

    async def client(self) -> Client:
        return await Client.open(self.listener.address)


@asynccontextmanager
async def proxy(backends: int = 1, **limits: Any) -> AsyncIterator[Proxy]:
    """Run the whole proxy in this process, with scripted backends and a scripted registry."""
    peers = [await ScriptedServer().open() for _ in range(backends)]
    registry = await ScriptedServer().open()
    targets = [target(f"s{number}", peer.address) for number, peer in enumerate(peers)]
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(configuration(registry.address, *targets, **limits)))
        engine, listener = start(read_config({"LB_CONFIG": str(path)}))
    try:
        yield Proxy(engine, listener, peers, registry)
    finally:
        await listener.finish_shutdown(0.0)
        for client in list(listener.slots.connections):
            client.transport.abort()
        engine.close()
        for peer in [*peers, registry]:
            peer.close()
