"""Case 9: no attempt begins for a client that has sent much at once and gone."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Backend,
    CannotRunError,
    Client,
    ClientSideRelay,
    Discovery,
    Request,
    World,
    disrupts,
    encode_answer,
    encode_request,
    new_id,
    run_case,
)

BACKENDS = 6
VISITS = 8  # one after the other
BATCH_SIZE = 40  # requests that a client sends at once
BODY = b"m" * 60_000  # a body holds at most 64 KiB
BUDGET_MS = 4000  # the class's deadline
WORK_S = 0.2  # the brief: 130 to 240 ms for a `cuota`
ONE_WAY_S = 0.001  # the site file: 0.32 to 0.97 ms from clients
LIMIT_S = 0.1  # an attempt that begins later after the close is a break
SLACK_S = 0.05  # "each time limit is 50 ms longer"
SEND_TIME_S = 0.2  # in which the system takes all of a batch
PAUSE_S = 1.5  # until the next client


class Ledger:
    """When the clients went, and which attempts began after that."""

    def __init__(self, world: World) -> None:
        """Create an empty ledger."""
        self.world = world
        self.closed_at: dict[str, float] = {}
        self.broken = 0

    async def work(
        self, backend: Backend, request: Request, _: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Judge when an attempt begins, and answer after the work."""
        closed_at = self.closed_at.get(request.call_id)
        if closed_at is not None and request.received_at > closed_at + LIMIT_S + SLACK_S:
            self.broken += 1
            after_ms = (request.received_at - closed_at) * 1000
            self.world.record.note(f"BROKEN: {request.call_id} began {after_ms:.0f} ms after its client went")
        await asyncio.sleep(WORK_S)
        writer.write(encode_answer(b"answer to " + request.call_id.encode()))

    async def visit(self, address: str) -> None:
        """Send a batch at once, and go; without the disruption stay for the answers."""
        ids = [new_id() for _ in range(BATCH_SIZE)]
        text = b"".join(encode_request("cuota", BUDGET_MS, call_id, BODY) for call_id in ids)
        if not disrupts():
            client = await Client.open(address)
            client.writer.write(text)
            for _ in ids:
                await client.read_answer()
            client.close()
            return
        host, port = address.split(":")
        sock = socket.create_connection((host, int(port)))
        sock.setblocking(False)
        try:
            async with asyncio.timeout(SEND_TIME_S):
                await asyncio.get_running_loop().sock_sendall(sock, text)
        except TimeoutError as error:
            raise CannotRunError("the system did not take the batch at once") from error
        finally:
            sock.close()
        self.closed_at |= dict.fromkeys(ids, time.monotonic())
        self.world.record.note(f"a client of {len(ids)} requests, {len(text)} bytes, went")
        await asyncio.sleep(PAUSE_S)


async def play(world: World) -> int:
    """Play the case; return its exit code."""
    ledger = Ledger(world)
    discovery = Discovery(world.record)
    await world.add(discovery)
    backends = [Backend(f"s{number}", world.record, ledger.work) for number in range(BACKENDS)]
    for backend in backends:
        await world.add(backend)
        discovery.publish(backend.entry())
    proxy = world.add_proxy(0, 1)
    proxy.write_config(discovery)
    await proxy.start()
    relay = ClientSideRelay(proxy.address, ONE_WAY_S)
    await world.add(relay)
    for _ in range(VISITS):
        await ledger.visit(relay.address)
    begun = sum(len(backend.begun) for backend in backends)
    summary = f"{VISITS} clients, attempts {begun}, begun too long after the close {ledger.broken}"
    world.record.note(summary)
    print(summary)
    if proxy.has_ended() or not begun:
        raise CannotRunError("the proxy did not serve")
    return BROKEN if ledger.broken else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, 110.0))
