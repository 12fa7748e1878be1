"""A child process with open-loop clients.

One JSON line on standard input says what to do, one on standard output what came of it. Requests are due at
times drawn ahead (Poisson), whatever becomes of those before them. Latency counts from the time at which a
request was due, so a stall counts for all that fell due in it. The time that the backend says it took is
taken off. Both histograms hold us.
"""

from __future__ import annotations

import asyncio
import json
import selectors
import sys
from collections import deque
from contextlib import suppress
from dataclasses import asdict, dataclass
from random import Random
from typing import Any, NamedTuple, cast

from hdrh.histogram import HdrHistogram

MAX_CONNECTIONS = 400  # beyond, requests wait for one
INITIAL_CONNECTIONS = 50
DRAIN_S = 4.0  # after the last request was due, in which responses still count
START_DELAY_S = 0.1
DEADLINE_MS = 3000
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST = b"GET /lookup HTTP/1.1\r\nhost: backend.local\r\nx-call-id: c%x\r\nx-budget-ms: %d\r\n\r\n"
REJECTION_STATUSES = (429, 503)

Address = tuple[str, int]


@dataclass(frozen=True)
class LoadPlan:
    """What the clients are to do."""

    addresses: list[str]
    rate: float  # requests a second over all addresses
    seconds: float  # that are counted
    warm_s: float  # before that
    seed: int


class DueRequest(NamedTuple):
    """A request and when it is due, in seconds after the start."""

    due_s: float
    address: Address


def create_histogram() -> Any:
    """Return an empty histogram of latencies in us."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def to_microseconds(seconds: float) -> int:
    """Return whole us within the histogram's range."""
    return max(1, min(MAX_LATENCY_US, round(seconds * 1e6)))


class LoadClients:
    """Sends the requests of one plan and counts what comes of them."""

    def __init__(self, plan: LoadPlan, loop: asyncio.AbstractEventLoop) -> None:
        self._plan = plan
        self.loop = loop
        self._random = Random(plan.seed)
        self._addresses = [
            (host, int(port)) for host, _, port in (address.rpartition(":") for address in plan.addresses)
        ]
        self._added = create_histogram()
        self._lateness = create_histogram()
        self._answered = self._rejected = self._failed = self._counted = self._in_flight = 0
        self._idle: dict[Address, list[ClientConnection]] = {address: [] for address in self._addresses}
        self._connections = 0
        self._waiting: deque[DueRequest] = deque()
        self._sent = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0
        self._drained = asyncio.Event()  # nothing is in flight
        self._drained.set()

    async def run(self) -> None:
        """Send all requests, and wait for their responses."""
        await self._open_initial_connections()
        due = self._draw_requests()
        self._started_at = self.loop.time() + START_DELAY_S
        for request in due:
            wait_s = self._started_at + request.due_s - self.loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if request.due_s >= self._plan.warm_s:
                self._counted += 1
                self._lateness.record_value(to_microseconds(self._since(request.due_s)))
            self._in_flight += 1
            self._drained.clear()
            self._send(request)
        with suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_S):
                await self._drained.wait()
        self._failed += self._in_flight

    def results(self) -> dict[str, Any]:
        """Return the counts and the encoded histograms as a JSON object."""
        return {
            "counted": self._counted,
            "sent": self._sent,
            "answered": self._answered,
            "refused": self._rejected,
            "failed": self._failed,
            "connections": self._connections,
            "added": self._added.encode().decode(),
            "late": self._lateness.encode().decode(),
        }

    def _since(self, due_s: float) -> float:
        return self.loop.time() - self._started_at - due_s

    async def _open_initial_connections(self) -> None:
        """Open some ahead, as clients keep theirs."""
        for address in self._addresses:
            for _ in range(min(INITIAL_CONNECTIONS, MAX_CONNECTIONS // 2) // len(self._addresses)):
                await self._connect(address, None)

    def _draw_requests(self) -> list[DueRequest]:
        due: list[DueRequest] = []
        due_s = self._random.expovariate(self._plan.rate)
        while due_s < self._plan.warm_s + self._plan.seconds:
            due.append(DueRequest(due_s, self._random.choice(self._addresses)))
            due_s += self._random.expovariate(self._plan.rate)
        return due

    def _send(self, request: DueRequest) -> None:
        if self._idle[request.address]:
            self._send_on(self._idle[request.address].pop(), request.due_s)
        elif self._connections < MAX_CONNECTIONS:
            task = self.loop.create_task(self._connect(request.address, request.due_s))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        else:
            self._waiting.append(request)

    def _send_on(self, connection: ClientConnection, due_s: float) -> None:
        self._sent += 1
        connection.send(due_s, REQUEST % (self._sent, DEADLINE_MS))

    async def _connect(self, address: Address, due_s: float | None) -> None:
        """Open a connection and send the request that is due, if there is one."""
        self._connections += 1
        try:
            _, connection = await self.loop.create_connection(
                lambda: ClientConnection(self, address), *address
            )
        except OSError:
            self._connections -= 1
            if due_s is not None:
                self.record_failure()
            return
        if due_s is None:
            self._idle[address].append(connection)
        else:
            self._send_on(connection, due_s)

    def record_response(self, due_s: float, status: int, body: bytes) -> None:
        """Count a whole response; the body of a success is the service time in us."""
        self._end_one()
        if status == 200:
            self._answered += 1
            if due_s >= self._plan.warm_s:
                self._added.record_value(to_microseconds(self._since(due_s) - int(body) / 1e6))
        elif status in REJECTION_STATUSES:
            self._rejected += 1
        else:
            self._failed += 1

    def record_failure(self) -> None:
        """Count a request that ended without a whole response."""
        self._end_one()
        self._failed += 1

    def _end_one(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._drained.set()

    def release(self, connection: ClientConnection) -> None:
        """Take a connection back, or use it for a request that waits for one to its address."""
        for index, (due_s, address) in enumerate(self._waiting):
            if address == connection.address:
                del self._waiting[index]
                self._send_on(connection, due_s)
                return
        self._idle[connection.address].append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that is closed."""
        self._connections -= 1
        if connection in self._idle[connection.address]:
            self._idle[connection.address].remove(connection)


class ClientConnection(asyncio.Protocol):
    """A persistent connection with one request at a time on it."""

    def __init__(self, clients: LoadClients, address: Address) -> None:
        self.address = address
        self._clients = clients
        self._due_s: float | None = None  # of the request in flight
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport for the requests."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, due_s: float, request: bytes) -> None:
        """Write a request that was due at `due_s` (s after the start)."""
        self._due_s = due_s
        self._buffer = b""
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Hand on the response once it is whole."""
        self._buffer += data
        head, found, body = self._buffer.partition(b"\r\n\r\n")
        if not found or self._due_s is None:
            return
        lines = head.lower().split(b"\r\n")
        length = next(int(line[15:]) for line in lines if line.startswith(b"content-length:"))
        if len(body) < length:
            return
        due_s, self._due_s = self._due_s, None
        self._clients.record_response(due_s, int(head[9:12]), body)
        if b"connection: close" in head.lower():
            self._transport.close()
        else:
            self._clients.release(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the request in flight as failed."""
        self._clients.remove(self)
        if self._due_s is not None:
            self._clients.record_failure()


def encode_plan(plan: LoadPlan) -> str:
    """Return the line of standard input that the child takes."""
    return json.dumps(asdict(plan))


def main() -> None:
    """Run the plan on standard input."""
    plan = LoadPlan(**json.loads(sys.stdin.readline()))
    # select waits to the microsecond, epoll whole milliseconds: requests should go out when they are due.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    clients = LoadClients(plan, loop)
    loop.run_until_complete(clients.run())
    print(json.dumps(clients.results()), flush=True)


if __name__ == "__main__":
    main()
