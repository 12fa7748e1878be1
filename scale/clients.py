"""A child process with open-loop clients. One JSON line on standard input says what to do, one on standard
output what came of it.

Requests are due at times drawn ahead (Poisson), whatever becomes of those before them. Latency counts from
the time at which a request was due, so a stall counts for all that fell due in it. The time that the backend
says it took is taken off. Both histograms hold us.
"""

from __future__ import annotations

import asyncio
import json
import selectors
import sys
from collections import deque
from random import Random
from typing import Any, cast

from hdrh.histogram import HdrHistogram

MOST = 400  # connections; beyond, requests wait for one
LEFT_S = 4.0  # s after the last one was due in which answers still count
BUDGET_MS = 3000
LONGEST_US = 60_000_000
REQUEST = b"GET /lookup HTTP/1.1\r\nhost: backend.local\r\nx-call-id: c%x\r\nx-budget-ms: %d\r\n\r\n"


def histogram() -> Any:
    return HdrHistogram(1, LONGEST_US, 3)


class Run:
    def __init__(self, plan: dict[str, Any], loop: asyncio.AbstractEventLoop) -> None:
        self.loop, self.rng = loop, Random(plan["seed"])
        self.addresses = [
            (host, int(port)) for host, _, port in (a.rpartition(":") for a in plan["addresses"])
        ]
        self.rate, self.warm_s, self.seconds = plan["rate"], plan["warm_s"], plan["seconds"]
        self.added, self.late = histogram(), histogram()
        self.answered = self.refused = self.failed = self.counted = self.open = 0
        self.free: dict[tuple[str, int], list[Kept]] = {address: [] for address in self.addresses}
        self.connections = 0
        self.waiting: deque[tuple[float, tuple[str, int]]] = deque()
        self.number = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        for address in self.addresses:  # kept connections, as clients have them
            for _ in range(min(50, MOST // 2) // len(self.addresses)):
                await self.connect(address, None)
        at, due = 0.0, []
        while (at := at + self.rng.expovariate(self.rate)) < self.warm_s + self.seconds:
            due.append((at, self.rng.choice(self.addresses)))
        self.start = self.loop.time() + 0.1
        for at, address in due:
            if (wait := self.start + at - self.loop.time()) > 0:
                await asyncio.sleep(wait)
            if at >= self.warm_s:
                self.counted += 1
                self.late.record_value(micros(self.loop.time() - self.start - at))
            self.open += 1
            self.send(at, address)
        until = self.loop.time() + LEFT_S
        while self.open and self.loop.time() < until:
            await asyncio.sleep(0.005)
        self.failed += self.open

    def send(self, at: float, address: tuple[str, int]) -> None:
        if self.free[address]:
            self.free[address].pop().ask(at)
        elif self.connections < MOST:
            task = self.loop.create_task(self.connect(address, at))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        else:
            self.waiting.append((at, address))

    async def connect(self, address: tuple[str, int], at: float | None) -> None:
        self.connections += 1
        try:
            _, kept = await self.loop.create_connection(lambda: Kept(self, address), *address)
        except OSError:
            self.connections -= 1
            if at is not None:
                self.end(at, 0, b"")
            return
        if at is None:
            self.free[address].append(kept)
        else:
            kept.ask(at)

    def end(self, at: float, status: int, body: bytes) -> None:
        """A request is over; status 0: with no whole answer."""
        self.open -= 1
        if status == 200:
            self.answered += 1
            if at >= self.warm_s:
                took = self.loop.time() - self.start - at
                self.added.record_value(micros(took - int(body) / 1e6))
        elif status in (429, 503):
            self.refused += 1
        else:
            self.failed += 1

    def put_back(self, kept: Kept) -> None:
        for place, (at, address) in enumerate(self.waiting):
            if address == kept.address:
                del self.waiting[place]
                kept.ask(at)
                return
        self.free[kept.address].append(kept)


class Kept(asyncio.Protocol):
    """A kept connection with one request at a time on it."""

    def __init__(self, run: Run, address: tuple[str, int]) -> None:
        self.run, self.address = run, address
        self.at: float | None = None  # when the request that is out was due
        self.buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def ask(self, at: float) -> None:
        self.at, self.buffer = at, b""
        self.run.number += 1
        self.transport.write(REQUEST % (self.run.number, BUDGET_MS))

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        head, found, body = self.buffer.partition(b"\r\n\r\n")
        if not found or self.at is None:
            return
        length = next(
            int(line[15:]) for line in head.lower().split(b"\r\n") if line.startswith(b"content-length:")
        )
        if len(body) < length:
            return
        at, self.at = self.at, None
        self.run.end(at, int(head[9:12]), body)
        if b"connection: close" in head.lower():
            self.transport.close()
        else:
            self.run.put_back(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.run.connections -= 1
        if self in self.run.free[self.address]:
            self.run.free[self.address].remove(self)
        if self.at is not None:
            self.run.end(self.at, 0, b"")


def micros(seconds: float) -> int:
    return max(1, min(LONGEST_US, round(seconds * 1e6)))


def main() -> None:
    plan = json.loads(sys.stdin.readline())
    # select waits to the microsecond, epoll whole milliseconds: requests should go out when they are due.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    run = Run(plan, loop)
    loop.run_until_complete(run.run())
    print(
        json.dumps(
            {
                "counted": run.counted,
                "sent": run.number,
                "answered": run.answered,
                "refused": run.refused,
                "failed": run.failed,
                "connections": run.connections,
                "added": run.added.encode().decode(),
                "late": run.late.encode().decode(),
            }
        ),
        flush=True,
    )


if __name__ == "__main__":
    main()
