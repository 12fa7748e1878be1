"""A child process with hollow backends: `hollow COUNT SERVICE_MS`. It prints their addresses as a JSON line
and ends when its standard input does. An answer's body is the time in us that the request has spent here."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import cast

import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"


class Served(asyncio.Protocol):
    service_s = 0.0

    def __init__(self) -> None:
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:  # requests without a body, one at a time
            self.buffer = self.buffer.split(b"\r\n\r\n", 1)[1]
            asyncio.get_running_loop().call_later(self.service_s, self.answer, time.monotonic())

    def answer(self, began: float) -> None:
        if not self.transport.is_closing():
            body = b"%d" % ((time.monotonic() - began) * 1e6)
            self.transport.write(ANSWER % (len(body), body))


async def serve(count: int, service_ms: float) -> None:
    Served.service_s = service_ms / 1000
    loop, over = asyncio.get_running_loop(), asyncio.Event()
    servers = [await loop.create_server(Served, "127.0.0.1", 0) for _ in range(count)]
    names = ["{}:{}".format(*server.sockets[0].getsockname()[:2]) for server in servers]
    print(json.dumps(names), flush=True)
    loop.add_reader(0, over.set)
    await over.wait()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), float(sys.argv[2])))
