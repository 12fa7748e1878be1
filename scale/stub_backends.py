"""A child process with stub backends.

Usage: `python -m scale.stub_backends COUNT SERVICE_MS`. It prints the addresses of the backends as a JSON
line and exits when standard input is readable or ends. The body of a response is the time (us) that the
request has spent in the backend.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from typing import cast

import uvloop

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b"
HEAD_END = b"\r\n\r\n"


class BackendConnection(asyncio.Protocol):
    """Responds to each request after the service time; expects requests without a body, one at a time."""

    def __init__(self, service_s: float) -> None:
        self._service_s = service_s
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, to which responses are written."""
        self._transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Schedule a response to each complete request."""
        self._buffer += data
        while HEAD_END in self._buffer:
            self._buffer = self._buffer.split(HEAD_END, 1)[1]
            asyncio.get_running_loop().call_later(self._service_s, self._respond, time.monotonic())

    def _respond(self, received_at: float) -> None:
        if not self._transport.is_closing():
            body = b"%d" % ((time.monotonic() - received_at) * 1e6)
            self._transport.write(RESPONSE % (len(body), body))


async def serve(count: int, service_ms: float) -> None:
    """Run `count` backends until standard input is readable or ends."""
    loop = asyncio.get_running_loop()
    input_readable = asyncio.Event()
    servers = [
        await loop.create_server(lambda: BackendConnection(service_ms / 1000), "127.0.0.1", 0)
        for _ in range(count)
    ]
    addresses = ["{}:{}".format(*server.sockets[0].getsockname()[:2]) for server in servers]
    print(json.dumps(addresses), flush=True)
    loop.add_reader(0, input_readable.set)
    await input_readable.wait()


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]), float(sys.argv[2])))
