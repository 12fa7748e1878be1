"""Clients that send as much as they can, as a program of its own, so that a test can judge other clients.

Arguments: kind, host, port, number of clients, seconds.
"""

from __future__ import annotations

import asyncio
import itertools
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
PIECE_INTERVAL_S = 0.05
MANY_FIELDS = b"".join(b"%d:b\r\n" % number for number in range(95))  # just under the limit on headers
LONG_FIELDS = b"".join(b"field-%d: %b\r\n" % (number, b"v" * 140) for number in range(90))
names = itertools.count()


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
    piece_bytes: int = 0  # written at a time, with `PIECE_INTERVAL_S` between; 0: all at once


def encode_half(*, headers: bytes = b"", head_only: bool = False) -> bytes:
    """Return the first half of a request with a long body, or its head without the end."""
    request = encode_request(b"/answer", body=BODY, headers=headers)
    head_bytes = request.index(b"\r\n\r\n")
    return request[:head_bytes] if head_only else request[: len(request) // 2]


def encode_unsound() -> bytes:
    """Return small requests, most of them invalid, but too few in a row for the connection to be closed."""
    invalid = [
        encode_request(b"/class-%d" % next(names)),
        encode_request(b"/answer", headers=b"x-call-id: twice\r\n"),
        encode_request(b"/lookup", headers=b"x-route-hash: none\r\n"),
        b"POST /lookup HTTP/1.1\r\nhost: b\r\nx-caller: tenant-%d\r\ncontent-length: 0\r\n\r\n" % next(names),
        encode_request(b"/answer").replace(b"x-budget-ms: 3000", b"x-budget-ms: soon"),
        b"DELETE /answer HTTP/1.1\r\nname-%d: b\r\nhost: b\r\n\r\n" % next(names),
    ]
    return b"".join(invalid) + encode_request(b"/lookup", headers=b"name-%d: b\r\n" % next(names))


FLOODS = {
    "bodies": Flood(lambda: encode_request(b"/answer", body=BODY), 200),
    "chunked": Flood(encode_chunked, 200),
    "headers": Flood(lambda: encode_request(b"/answer", headers=SHORT_HEADERS), 200),
    "headers at once": Flood(lambda: HEADERS_AT_ONCE, 1),
    "endless head": Flood(lambda: b"POST /answer HTTP/1.1\r\n" + SHORT_HEADERS * 4, 1),
    "readiness": Flood(lambda: READINESS_CHECKS, sys.maxsize),
    "small": Flood(lambda: encode_request(b"/lookup"), 900),
    "unread": Flood(lambda: encode_request(b"/lookup"), 900, reads=False),
    "half bodies": Flood(encode_half, 1),
    "half heads": Flood(lambda: encode_half(headers=LONG_FIELDS, head_only=True), 1),
    "many fields": Flood(lambda: encode_half(headers=MANY_FIELDS, head_only=True), 1),
    "slow bodies": Flood(encode_half, 1, piece_bytes=1500),
    "slow chunks": Flood(encode_chunked, 1, piece_bytes=1500),
    "slow fields": Flood(lambda: encode_half(headers=MANY_FIELDS), 1, piece_bytes=20),
    "endless small": Flood(lambda: b"".join(encode_request(b"/lookup") for _ in range(20)), sys.maxsize),
    "endless unsound": Flood(encode_unsound, sys.maxsize),
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
            await write(writer, flood.encode(), flood.piece_bytes)
        if flood.waits:
            await (reading if reading is not None else asyncio.sleep(inf))
    finally:  # also at the end of `main`
        writer.transport.abort()
        if reading is not None:
            reading.cancel()


async def write(writer: asyncio.StreamWriter, data: bytes, piece_bytes: int) -> None:
    """Write all at once, or in pieces with pauses between."""
    for start in range(0, len(data), piece_bytes or len(data)):
        writer.write(data[start : start + (piece_bytes or len(data))])
        await writer.drain()
        if piece_bytes:
            await asyncio.sleep(PIECE_INTERVAL_S)


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
