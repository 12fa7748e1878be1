"""A child process with open-loop clients.

It reads a plan as a JSON line on standard input and writes the results as a JSON line to standard output.
The times at which requests are due are drawn in advance (a Poisson process) and do not depend on earlier
responses. Latency counts from the time at which a request was due, so that a stall counts for every request
that became due during it. The service time that the backend reports is subtracted. Both histograms are in us.
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

MAX_CONNECTIONS = 400  # requests beyond this number wait for a connection
INITIAL_CONNECTIONS = 50  # opened before the first request, divided among the addresses
DRAIN_S = 4.0  # time after the last request is sent in which responses still count
START_DELAY_S = 0.1  # from drawing the requests to time 0 of their due times
DEADLINE_MS = 3000
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
REQUEST = b"GET /lookup HTTP/1.1\r\nhost: backend.local\r\nx-call-id: c%x\r\nx-budget-ms: %d\r\n\r\n"
REJECTION_STATUSES = (429, 503)

Address = tuple[str, int]


@dataclass(frozen=True)
class LoadPlan:
    """The load that the clients generate."""

    addresses: list[str]
    rate: float  # requests per second over all addresses
    seconds: float  # length of the measured period
    warm_s: float  # warm-up before the measured period
    seed: int


class DueRequest(NamedTuple):
    """The address of a request and the time at which the request is due, in seconds after the start."""

    due_s: float
    address: Address


def create_histogram() -> Any:
    """Return an empty histogram of latencies in us."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def to_microseconds(seconds: float) -> int:
    """Return a time in whole us, clamped to the range of the histograms."""
    return max(1, min(MAX_LATENCY_US, round(seconds * 1e6)))


class LoadClients:
    """Sends the requests of one plan and records their outcomes."""

    def __init__(self, plan: LoadPlan, loop: asyncio.AbstractEventLoop) -> None:
        self._plan = plan
        self.loop = loop
        self._random = Random(plan.seed)
        self._addresses = [
            (host, int(port)) for host, _, port in (address.rpartition(":") for address in plan.addresses)
        ]
        self._added_latency = create_histogram()
        self._lateness = create_histogram()
        self._answered = self._rejected = self._failed = self._counted = self._in_flight = 0
        self._idle: dict[Address, list[ClientConnection]] = {address: [] for address in self._addresses}
        self._connections = 0
        self._waiting: deque[DueRequest] = deque()
        self._sent = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._started_at = 0.0
        self._drained = asyncio.Event()  # set while no request is in flight
        self._drained.set()

    async def run(self) -> None:
        """Send all requests and wait for their responses."""
        await self._open_initial_connections()
        due = self._schedule_requests()
        self._started_at = self.loop.time() + START_DELAY_S
        for request in due:
            wait_s = self._started_at + request.due_s - self.loop.time()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            if request.due_s >= self._plan.warm_s:
                self._counted += 1
                self._lateness.record_value(to_microseconds(self._elapsed_since_due(request.due_s)))
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
            "added": self._added_latency.encode().decode(),
            "late": self._lateness.encode().decode(),
        }

    def _elapsed_since_due(self, due_s: float) -> float:
        return self.loop.time() - self._started_at - due_s

    async def _open_initial_connections(self) -> None:
        """Open connections in advance, since real clients keep connections open."""
        for address in self._addresses:
            for _ in range(min(INITIAL_CONNECTIONS, MAX_CONNECTIONS // 2) // len(self._addresses)):
                await self._connect(address, None)

    def _schedule_requests(self) -> list[DueRequest]:
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
        """Open a connection and send a request that was due at `due_s`; None: send none."""
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
        """Count a complete response; the body of a 200 response is the service time in us."""
        self._finish_request()
        if status == 200:
            self._answered += 1
            if due_s >= self._plan.warm_s:
                self._added_latency.record_value(
                    to_microseconds(self._elapsed_since_due(due_s) - int(body) / 1e6)
                )
        elif status in REJECTION_STATUSES:
            self._rejected += 1
        else:
            self._failed += 1

    def record_failure(self) -> None:
        """Count a request that ended without a complete response."""
        self._finish_request()
        self._failed += 1

    def _finish_request(self) -> None:
        self._in_flight -= 1
        if not self._in_flight:
            self._drained.set()

    def release(self, connection: ClientConnection) -> None:
        """Reuse a connection for a request that waits for its address, or keep it as an idle connection."""
        for index, (due_s, address) in enumerate(self._waiting):
            if address == connection.address:
                del self._waiting[index]
                self._send_on(connection, due_s)
                return
        self._idle[connection.address].append(connection)

    def remove(self, connection: ClientConnection) -> None:
        """Drop a closed connection."""
        self._connections -= 1
        if connection in self._idle[connection.address]:
            self._idle[connection.address].remove(connection)


class ClientConnection(asyncio.Protocol):
    """A persistent connection that carries one request at a time."""

    def __init__(self, clients: LoadClients, address: Address) -> None:
        self.address = address
        self._clients = clients
        self._due_s: float | None = None  # due time of the request in flight; None: no request
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, to which requests are written."""
        self._transport = cast(asyncio.Transport, transport)

    def send(self, due_s: float, request: bytes) -> None:
        """Write a request that was due `due_s` seconds after the start."""
        self._due_s = due_s
        self._buffer = b""
        self._transport.write(request)

    def data_received(self, data: bytes) -> None:
        """Record the response once it is complete."""
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
        """Drop the connection, and count its request in flight as failed."""
        self._clients.remove(self)
        if self._due_s is not None:
            self._clients.record_failure()


def encode_plan(plan: LoadPlan) -> str:
    """Return a plan as the line that the child process reads on standard input."""
    return json.dumps(asdict(plan))


def main() -> None:
    """Run the plan that is read from standard input, and print the results."""
    plan = LoadPlan(**json.loads(sys.stdin.readline()))
    # select() timeouts have microsecond resolution, epoll() timeouts are whole milliseconds, which would send
    # requests late.
    loop = asyncio.SelectorEventLoop(selectors.SelectSelector())
    clients = LoadClients(plan, loop)
    loop.run_until_complete(clients.run())
    print(json.dumps(clients.results()), flush=True)


if __name__ == "__main__":
    main()
