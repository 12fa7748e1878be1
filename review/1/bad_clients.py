"""Bad clients that send hundreds of requests at once, as a program of its own.

Arguments: host, port, number of clients, requests at once of each.
"""

from __future__ import annotations

import asyncio
import os
import sys

BODY = b"x" * 65_000  # a body holds at most 64 KiB
HEAD = (
    "POST /cargo HTTP/1.1\r\n"
    "Host: backend.local\r\n"
    "X-Call-Id: {request_id}\r\n"
    "X-Caller: ayuda-norte\r\n"
    "X-Budget-Ms: 3000\r\n"
    f"Content-Length: {len(BODY)}\r\n"
    "\r\n"
)


async def send_at_once(host: str, port: int, count: int) -> int:
    """Send requests without waiting for answers, read all that comes, and return the bytes sent."""
    reader, writer = await asyncio.open_connection(host, port)
    reading = asyncio.create_task(read_all(reader))
    sent = 0
    try:
        for _ in range(count):
            head = HEAD.format(request_id=os.urandom(8).hex()).encode()
            writer.write(head)
            writer.write(BODY)
            await writer.drain()
            sent += len(head) + len(BODY)
        await reading
    except OSError:
        reading.cancel()
    writer.close()
    return sent


async def read_all(reader: asyncio.StreamReader) -> None:
    """Read until the connection ends."""
    while await reader.read(65536):
        pass


async def main() -> None:
    """Run the clients side by side until the proxy has closed all connections."""
    host, port, clients, requests = sys.argv[1:]
    sent = await asyncio.gather(
        *(send_at_once(host, int(port), int(requests)) for _ in range(int(clients))), return_exceptions=True
    )
    total = sum(size for size in sent if isinstance(size, int))
    print(f"{clients} bad clients sent {total / 1e6:.0f} MB")


asyncio.run(main())
