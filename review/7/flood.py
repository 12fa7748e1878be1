"""Bad clients in a process of their own: they send at full speed, and read what they are sent."""

from __future__ import annotations

import asyncio
import os
import sys
import time
from contextlib import suppress

AT_ONCE = 200  # requests that a client sends at once
SHORT_LINES = b"a:b\r\n" * 2900  # header lines of a head, under 16 KiB together
READ_BYTES = 65536


def encode_request() -> bytes:
    """Return a request with a head of many short lines."""
    call_id = os.urandom(8).hex()
    lines = f"Host: backend.local\r\nX-Call-Id: {call_id}\r\nX-Caller: ayuda-norte\r\nX-Budget-Ms: 3000\r\n"
    return b"POST /cargo HTTP/1.1\r\n" + lines.encode() + SHORT_LINES + b"\r\n"


async def flood_once(host: str, port: int) -> None:
    """Connect, send much at once, and read until the proxy closes."""
    reader, writer = await asyncio.open_connection(host, port)
    try:
        writer.write(b"".join(encode_request() for _ in range(AT_ONCE)))
        while await reader.read(READ_BYTES):
            pass
    finally:
        writer.transport.abort()


async def main() -> None:
    """Let so many clients flood until the time is over."""
    host, port, clients, seconds = sys.argv[1:]
    end = time.monotonic() + float(seconds)

    async def flood() -> None:
        while time.monotonic() < end:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(max(end - time.monotonic(), 0.0)):
                    await flood_once(host, int(port))
            await asyncio.sleep(0.01)

    await asyncio.gather(*(flood() for _ in range(int(clients))))


if __name__ == "__main__":
    asyncio.run(main())
