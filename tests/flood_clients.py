"""Clients that send as much as they can, as a program of its own, so that a test can judge other clients.

Arguments: kind, host, port, number of clients, seconds.
"""

from __future__ import annotations

import asyncio
import os
import socket
import sys
from collections.abc import Callable
from contextlib import suppress
from math import inf
from typing import NamedTuple

import uvloop

BODY = b"x" * 65_000
CHUNK_BYTES = 1000
SHORT_HEADERS = b"a:b\r\n" * 2900
READINESS_CHECKS = b"GET /health/ready HTTP/1.1\r\nhost: backend.local\r\n\r\n" * 100
RECEIVE_BUFFER_BYTES = 4096  # of a client that does not read


def encode_request(path: bytes, *, body: bytes = b"", headers: bytes = b"") -> bytes:
    """Return a request with a new id; a GET for `/lookup`, a POST otherwise."""
    method = b"GET" if path == b"/lookup" else b"POST"
    length = b"" if b"chunked" in headers or method == b"GET" else b"content-length: %d\r\n" % len(body)
    return b"%b %b HTTP/1.1\r\nhost: backend.local\r\nx-call-id: %b\r\nx-budget-ms: 3000\r\n%b%b\r\n%b" % (
        method,
        path,
        os.urandom(8).hex().encode(),
        length,
        headers,
        body,
    )


def encode_chunked() -> bytes:
    """Return a request whose body comes in many chunks."""
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    body = chunk * (len(BODY) // CHUNK_BYTES) + b"0\r\n\r\n"
    return encode_request(b"/answer", body=body, headers=b"transfer-encoding: chunked\r\n")


# One object for all clients and with the same ids, which nobody reads: the heads have too many headers.
HEADERS_AT_ONCE = encode_request(b"/answer", headers=SHORT_HEADERS) * 200


class Flood(NamedTuple):
    """What each client sends."""

    encode: Callable[[], bytes]
    requests_at_once: int
    reads: bool = True
    waits: bool = True  # for the end of the connection; otherwise it closes as soon as all is sent


FLOODS = {
    "bodies": Flood(lambda: encode_request(b"/answer", body=BODY), 200),
    "chunked": Flood(encode_chunked, 200),
    "headers": Flood(lambda: encode_request(b"/answer", headers=SHORT_HEADERS), 200),
    "headers at once": Flood(lambda: HEADERS_AT_ONCE, 1),
    "endless head": Flood(lambda: b"POST /answer HTTP/1.1\r\n" + SHORT_HEADERS * 4, 1),
    "readiness": Flood(lambda: READINESS_CHECKS, sys.maxsize),
    "small": Flood(lambda: encode_request(b"/lookup"), 900),
    "unread": Flood(lambda: encode_request(b"/lookup"), 900, reads=False),
    "leave": Flood(lambda: encode_request(b"/answer", body=BODY), 1, waits=False),
}


async def flood_once(flood: Flood, host: str, port: int) -> None:
    """Open a connection and send, until the proxy closes it."""
    sock = socket.socket()
    if not flood.reads:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, port))
    reader, writer = await asyncio.open_connection(sock=sock, limit=2**16)
    reading = asyncio.create_task(read_all(reader)) if flood.reads else None
    try:
        for _ in range(flood.requests_at_once):
            writer.write(flood.encode())
            await writer.drain()
        if flood.waits:
            await (reading if reading is not None else asyncio.sleep(inf))
    finally:  # also at the end of `main`
        writer.transport.abort()
        if reading is not None:
            reading.cancel()


async def read_all(reader: asyncio.StreamReader) -> None:
    """Read until the connection ends."""
    while await reader.read(2**16):
        pass


async def flood_again(flood: Flood, host: str, port: int) -> None:
    """Open one connection after the other."""
    while True:
        with suppress(OSError):
            await flood_once(flood, host, port)
        await asyncio.sleep(0.01)


async def main() -> None:
    """Run the clients side by side until the time is over."""
    kind, host, port, clients, seconds = sys.argv[1:]
    tasks = [asyncio.create_task(flood_again(FLOODS[kind], host, int(port))) for _ in range(int(clients))]
    await asyncio.sleep(float(seconds))
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


if __name__ == "__main__":
    uvloop.run(main())
