"""The parties around a proxy: backends, discovery, and the reading of HTTP messages."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import Callable
from typing import Any, NamedTuple

from common.platform import Record

WATCH_QUERY = re.compile(rb"since=(\d+)&timeout_ms=(\d+)")


class Message(NamedTuple):
    """A request or a response whose length is declared."""

    start_line: bytes
    headers: dict[bytes, bytes]  # names in lower case
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read one message; raise `asyncio.IncompleteReadError` or OSError if the connection ends before."""
    head = await reader.readuntil(b"\r\n\r\n")
    start_line, *lines = head[:-4].split(b"\r\n")
    pairs = (line.partition(b":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return Message(start_line, headers, body)


class Backend:
    """A sound backend: each request takes `service_s`, and is served in the order of its connection."""

    def __init__(self, record: Record, name: str, service_s: Callable[[Message], float]) -> None:
        self.name = name
        self.address = ""
        self._record = record
        self._service_s = service_s
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Return the backend's entry in the list of discovery."""
        return {
            "uid": self.name,
            "endpoint": self.address,
            "az": "bilbao",
            "model": "nuevo",
            "pod_group": 0,
            "state": state,
            "capacity_hint": 1.0,
            "boot_ms": 0,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                request_id = request.headers.get(b"x-call-id", b"").decode()
                budget = request.headers.get(b"x-budget-ms", b"").decode()
                self._record.write(f"{self.name} begins {request_id}, told {budget} ms")
                await asyncio.sleep(self._service_s(request))
                body = f"answer to {request_id}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                self._record.write(f"{self.name} has run {request_id}")
        except (OSError, asyncio.IncompleteReadError):
            writer.close()


class Discovery:
    """The agent of discovery on the proxy's machine, with a list that does not change."""

    def __init__(self, entries: list[dict[str, Any]]) -> None:
        self.address = ""
        self.list: dict[str, Any] = {"rev": 41, "all": True, "targets": entries}
        self._server: asyncio.Server | None = None

    async def open(self) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self._server.sockets[0].getsockname())

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request = await read_message(reader)
                query = WATCH_QUERY.search(request.start_line)
                answer = self.list
                if query is not None:
                    await asyncio.sleep(int(query[2]) / 1000)
                    answer = {"rev": 41, "all": False, "targets": []}
                body = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError):
            writer.close()
