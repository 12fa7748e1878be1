"""The program stays within its memory limit under floods, and ordinary clients are answered meanwhile."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from collections.abc import Awaitable, Callable
from itertools import count
from pathlib import Path
from typing import NamedTuple

import pytest

from dunecove.limits import BYTES_PER_MB
from tests.loopback import (
    TEST_TIMEOUT_S,
    Client,
    make_configuration,
    make_list_entry,
    read_head,
    run,
    write_configuration,
)

COMMAND = (sys.executable, "-m", "dunecove")
FLOOD_COMMAND = (sys.executable, "-m", "tests.flood_clients")
BACKENDS = 6
SERVICE_S = 0.03
LONG_BODY = b"r" * 65_000
ORDINARY_CLIENTS = 20
PAUSE_S = 0.1  # between a response and the next request of an ordinary client
BUDGET_MS = 3000
GRACE_S = 0.55  # after the budget; a later response counts as lost
ORDINARY_VIOLATION = re.compile(r"violation: .*request [0-9]+-[0-9]+:")
FLOOD_S = 3.0
MEMORY_SAMPLE_S = 0.005
MIN_SERVED_FRACTION = 0.5  # of the requests of ordinary clients
LOOKUP = {"Name": "lookup", "AimMs": 500, "HardLimitMs": 2500, "Effect": "read_like", "Points": 5}
ANSWER = {"Name": "answer", "AimMs": 750, "HardLimitMs": 3000, "Effect": "non_idempotent", "Points": 5}

Respond = Callable[[asyncio.StreamReader, asyncio.StreamWriter, int], Awaitable[None]]


class FloodCase(NamedTuple):
    """What the clients of a flood send, and what the backends do with it."""

    clients: str  # a key of `tests.flood_clients.FLOODS`
    respond: Respond
    path: str  # of the flood's requests
    min_served: float = 0.0  # fraction of the requests of ordinary clients
    max_clients: int = sys.maxsize  # of the flood


class Backend:
    """A backend that serves ordinary requests, and treats those of a flood as its case says."""

    def __init__(self, case: FloodCase) -> None:
        self.address = ""
        self._case = case

    async def open(self) -> Backend:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                request_line, headers = await read_head(reader)
                body_bytes = int(headers.get("content-length", 0))
                if request_line.split()[1] == self._case.path:
                    await self._case.respond(reader, writer, body_bytes)
                else:
                    await respond_shortly(reader, writer, body_bytes)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()


async def respond_shortly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body_bytes: int
) -> None:
    await reader.readexactly(body_bytes)
    await asyncio.sleep(SERVICE_S)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ndone")


async def respond_long(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body_bytes: int) -> None:
    await reader.readexactly(body_bytes)
    await asyncio.sleep(SERVICE_S)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(LONG_BODY), LONG_BODY))


async def respond_half(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body_bytes: int) -> None:
    """Hang in the middle of the response."""
    await reader.readexactly(body_bytes)
    writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b" % (len(LONG_BODY), LONG_BODY[:50_000]))
    await asyncio.sleep(TEST_TIMEOUT_S)


async def respond_with_short_headers(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body_bytes: int
) -> None:
    """Hang in the middle of a head with many short headers."""
    await reader.readexactly(body_bytes)
    writer.write(b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * 2900)
    await asyncio.sleep(TEST_TIMEOUT_S)


async def never_read(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, body_bytes: int) -> None:
    """Leave the body of the request unread."""
    writer.transport.pause_reading()  # type: ignore[attr-defined]
    await asyncio.sleep(TEST_TIMEOUT_S)


class Report(NamedTuple):
    """The peak of the program's memory, and how the requests of ordinary clients ended."""

    peak_mb: float
    served: float  # fraction of the requests
    longest_s: float  # from request to response
    violations: list[str]  # of ordinary requests, logged by the program


def private_memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    match = re.search(r"RssAnon:\s+(\d+) kB", status)
    assert match is not None
    return int(match[1]) * 1024 / BYTES_PER_MB


async def exchange(client: Client, request_id: str) -> int:
    """Send an ordinary request and return the status of its response."""
    client.send("/answer/ordinary", body=b"x" * 200, x_call_id=request_id, x_budget_ms=str(BUDGET_MS))
    return (await client.read_response()).status


class OrdinaryClients:
    """Clients that send one request after the other on kept connections."""

    def __init__(self, address: str) -> None:
        self.statuses: list[int] = []
        self.durations_s: list[float] = []
        self.tasks = [asyncio.create_task(self._run(address, number)) for number in range(ORDINARY_CLIENTS)]

    async def _run(self, address: str, client_number: int) -> None:
        client = await Client.open(address)
        for number in count():
            request_id = f"{client_number}-{number}"
            sent_at = time.monotonic()
            try:
                status = await exchange(client, request_id)
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                # A proxy may close a connection between two requests. The client then sends the request that
                # crossed the close once more; if the proxy had read it, it reports a violation.
                if isinstance(error, asyncio.IncompleteReadError) and error.partial:
                    raise
                client = await Client.open(address)
                status = await exchange(client, request_id)
            self.statuses.append(status)
            self.durations_s.append(time.monotonic() - sent_at)
            await asyncio.sleep(PAUSE_S)

    async def stop(self) -> None:
        """End the clients; raise the first error of any, as that its connection was reset."""
        for task in self.tasks:
            task.cancel()
        for result in await asyncio.gather(*self.tasks, return_exceptions=True):
            if not isinstance(result, asyncio.CancelledError):
                raise AssertionError(result)


async def play(folder: Path, memory_mb: int, sockets: int, case: FloodCase) -> Report:
    """Serve ordinary clients during a flood; all clients together hold a third of the descriptors."""
    backends = [await Backend(case).open() for _ in range(BACKENDS)]
    entries = [make_list_entry(f"s{number}", backend.address) for number, backend in enumerate(backends)]
    config = make_configuration(
        "127.0.0.1:1",  # no discovery service
        *entries,
        memory_mb=memory_mb,
        sockets=sockets,
        ConnectTimeoutMs=500,
        discovery_mode="push",
        settings={"Lanes": [LOOKUP, ANSWER]},
    )
    program, address = await start_program(write_configuration(folder, config))
    peak_mb = [0.0]
    sampling = asyncio.create_task(sample_memory(program.pid, peak_mb))
    try:
        ordinary = OrdinaryClients(address)
        clients = min(sockets // 3 - ORDINARY_CLIENTS, case.max_clients)
        flooding = await asyncio.create_subprocess_exec(
            *FLOOD_COMMAND, case.clients, *address.split(":"), str(clients), str(FLOOD_S)
        )
        await flooding.wait()
        await ordinary.stop()
        assert program.returncode is None
    finally:
        sampling.cancel()
        violations = await end_program(program)
        for backend in backends:
            backend.server.close()
    served = ordinary.statuses.count(200) / len(ordinary.statuses)
    return Report(peak_mb[0], served, max(ordinary.durations_s), violations)


async def end_program(program: asyncio.subprocess.Process) -> list[str]:
    """Kill the program, if it still runs; return the violations of ordinary requests that it has logged."""
    if program.returncode is None:
        program.kill()
    assert program.stderr is not None
    logged = (await program.stderr.read()).decode()
    await program.wait()
    return [line for line in logged.splitlines() if ORDINARY_VIOLATION.search(line)]


async def start_program(environment: dict[str, str]) -> tuple[asyncio.subprocess.Process, str]:
    """Start the program; return it and the address that it listens on."""
    program = await asyncio.create_subprocess_exec(*COMMAND, env=environment, stderr=asyncio.subprocess.PIPE)
    assert program.stderr is not None
    while " listens on " not in (line := (await program.stderr.readline()).decode()):
        assert line
    return program, line.split()[-1]


async def sample_memory(pid: int, peak_mb: list[float]) -> None:
    while True:
        peak_mb[0] = max(peak_mb[0], private_memory_mb(pid))
        await asyncio.sleep(MEMORY_SAMPLE_S)


FLOODS = {
    "bodies": FloodCase("bodies", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "chunked": FloodCase("chunked", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "headers": FloodCase("headers", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "headers at once": FloodCase("headers at once", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "endless head": FloodCase("endless head", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "readiness": FloodCase("readiness", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "small": FloodCase("small", respond_shortly, "/lookup", MIN_SERVED_FRACTION),
    "long responses": FloodCase("small", respond_long, "/lookup", MIN_SERVED_FRACTION),
    "unread responses": FloodCase("unread", respond_long, "/lookup", MIN_SERVED_FRACTION),
    "half bodies": FloodCase("half bodies", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "half heads": FloodCase("half heads", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "many fields": FloodCase("many fields", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "slow bodies": FloodCase("slow bodies", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "slow chunks": FloodCase("slow chunks", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "slow fields": FloodCase("slow fields", respond_shortly, "/answer", MIN_SERVED_FRACTION),
    "one client, small": FloodCase("endless small", respond_shortly, "/lookup", MIN_SERVED_FRACTION, 1),
    "one client, unsound": FloodCase("endless unsound", respond_shortly, "/lookup", MIN_SERVED_FRACTION, 1),
    # The backends themselves hang in the following ones, so ordinary requests may be rejected.
    "half responses": FloodCase("small", respond_half, "/lookup"),
    "response headers": FloodCase("small", respond_with_short_headers, "/lookup"),
    "unread requests": FloodCase("bodies", never_read, "/answer"),
    "leaving clients": FloodCase("leave", never_read, "/answer"),
}
SMALLEST_MEMORY = [(32, 1024, flood) for flood in FLOODS]
OTHER_SIZES = [
    (memory_mb, sockets, flood)
    for memory_mb, sockets in ((32, 256), (96, 512), (192, 1024))
    for flood in ("bodies", "headers", "headers at once")
]


@pytest.mark.parametrize(("memory_mb", "sockets", "flood"), SMALLEST_MEMORY + OTHER_SIZES)
def test_flood_neither_exceeds_the_memory_limit_nor_delays_ordinary_clients(
    tmp_path: Path, memory_mb: int, sockets: int, flood: str
) -> None:
    """Failure: 120 clients that sent 200 requests at once took a proxy of 96 MiB over its memory limit.

    And 300 clients that sent 200 heads of many short lines at once took one of 32 MiB over its own.
    """

    async def test() -> None:
        report = await play(tmp_path, memory_mb, sockets, FLOODS[flood])
        print(report)
        assert report.peak_mb < memory_mb
        assert report.violations == []
        assert report.longest_s < BUDGET_MS / 1000 + GRACE_S
        assert report.served >= FLOODS[flood].min_served

    run(test())
