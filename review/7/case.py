"""Case 7: the proxy stays within its limit on memory while bad clients send what can't be read."""

from __future__ import annotations

import asyncio
import re
import sys
import time
from contextlib import suppress
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from standins import (  # noqa: E402
    BROKEN,
    HELD,
    Backend,
    CannotRunError,
    Client,
    Discovery,
    ProxyProcess,
    Request,
    World,
    disrupts,
    encode_answer,
    encode_request,
    new_id,
    run_case,
)

BACKENDS = 6
WORK_S = 0.03
MEMORY_MB = 32  # "32 to 192 MB"
SOCKETS = 1024  # "256 to 1,024 descriptors"
USUAL_CLIENTS = 20
BAD_CLIENTS = 300  # with the usual ones under a third of the descriptors
BAD_PROCESSES = 2
FLOOD_S = 40.0
MEAN_PAUSE_S = 0.1
SAMPLE_S = 0.01


async def work(backend: Backend, request: Request, _: asyncio.StreamReader, w: asyncio.StreamWriter) -> None:
    """Answer after some work."""
    await asyncio.sleep(WORK_S)
    w.write(encode_answer(b"answer to " + request.call_id.encode()))


def private_mb(proxy: ProxyProcess) -> float:
    """Return the anonymous memory of the proxy's process, in MiB: files and shared pages are not counted."""
    assert proxy.process is not None
    status = Path(f"/proc/{proxy.process.pid}/status").read_text(encoding="utf-8")
    match = re.search(r"RssAnon:\s+(\d+) kB", status)
    if match is None:
        raise CannotRunError("the system doesn't tell the memory of a process")
    return int(match[1]) / 1024


class Usual:
    """Usual clients, one request at a time on kept connections."""

    def __init__(self, world: World, address: str) -> None:
        """Count what the proxy at `address` answers."""
        self._world = world
        self._address = address
        self.answers: dict[str, int] = {}

    async def visit(self) -> None:
        """Send one request after the other until cancelled."""
        while True:
            with suppress(OSError, asyncio.IncompleteReadError):
                client = await Client.open(self._address)
                await self._use(client)
            await asyncio.sleep(MEAN_PAUSE_S)

    async def _use(self, client: Client) -> None:
        while True:
            call_id = new_id()
            client.writer.write(encode_request("cargo", 3000, call_id))
            try:
                answer = await client.read_answer()
            except (OSError, asyncio.IncompleteReadError):
                self.answers["none"] = self.answers.get("none", 0) + 1
                self._world.record.note(f"usual client: no answer to {call_id}")
                raise
            self.answers[str(answer.status)] = self.answers.get(str(answer.status), 0) + 1
            if answer.headers.get("connection") == "close":
                return
            await asyncio.sleep(MEAN_PAUSE_S)


async def watch_memory(world: World, proxy: ProxyProcess, end: float) -> float:
    """Kill the proxy as the platform does if it goes over its limit; return the most that it held."""
    peak = 0.0
    while time.monotonic() < end and not proxy.has_ended():
        used = private_mb(proxy)
        if used > peak:
            peak = used
        if used > MEMORY_MB:
            world.record.note(f"CRASH: {used:.1f} MiB of {MEMORY_MB}: killed for memory")
            await proxy.end()
            break
        await asyncio.sleep(SAMPLE_S)
    return peak


async def play(world: World) -> int:
    """Play the case; return its exit code."""
    discovery = Discovery(world.record)
    await world.add(discovery)
    for number in range(BACKENDS):
        backend = Backend(f"s{number}", world.record, work)
        await world.add(backend)
        discovery.publish(backend.entry())
    proxy = world.add_proxy(0, 1)
    proxy.memory_mb = MEMORY_MB
    proxy.sockets = SOCKETS
    proxy.write_config(discovery)
    await proxy.start()
    before = private_mb(proxy)
    usual = Usual(world, proxy.address)
    visits = [asyncio.create_task(usual.visit()) for _ in range(USUAL_CLIENTS)]
    floods = []
    for _ in range(BAD_PROCESSES if disrupts() else 0):
        arguments = [*proxy.address.split(":"), str(BAD_CLIENTS // BAD_PROCESSES), str(FLOOD_S)]
        floods.append(
            await asyncio.create_subprocess_exec(sys.executable, str(FOLDER / "flood.py"), *arguments)
        )
    try:
        peak = await watch_memory(world, proxy, time.monotonic() + FLOOD_S)
    finally:
        for flood in floods:
            if flood.returncode is None:
                flood.kill()
            await flood.wait()
    await asyncio.sleep(0.5)
    for visit in visits:
        visit.cancel()
    summary = f"{before:.1f} MiB before, {peak:.1f} at most of {MEMORY_MB}, usual clients {usual.answers}"
    world.record.note(summary)
    print(summary)
    return BROKEN if proxy.has_ended() else HELD


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play, 100.0))
