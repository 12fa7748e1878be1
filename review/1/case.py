"""Case 1: clients that send hundreds of requests at once make the proxy exceed its memory limit."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

from common.case import Case, main
from common.clients import Connection, Request
from common.parties import Backend, Discovery
from common.platform import Proxy, has_trouble

MEMORY_MB = 96  # the pages name 32 to 192 MB
DESCRIPTORS = 512  # the pages name 256 to 1,024
USUAL_CLIENTS = 20  # one request at a time each
USUAL_PAUSE_S = 0.15  # between an answer and the next request of a usual client
BAD_CLIENTS = 120  # with the usual ones under a third of the descriptors
REQUESTS_AT_ONCE = 200  # of each bad client
CALM_S = 2.0
TROUBLE_S = 6.0
SERVICE_S = 0.06
MEMORY_SAMPLE_S = 0.01


async def play(case: Case) -> None:
    """Serve usual clients, add the bad ones, and kill the proxy when it is over its memory limit."""
    backends = [Backend(case.record, f"s-{index}", lambda _: SERVICE_S) for index in range(6)]
    for backend in backends:
        await backend.open()
    discovery = Discovery([backend.entry() for backend in backends])
    await discovery.open()
    proxy = case.proxy()
    proxy.write_config(
        discovery=discovery.address,
        known=discovery.list,
        limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": DESCRIPTORS},
    )
    await proxy.start()
    memory = asyncio.create_task(watch_memory(case, proxy))
    usual = [asyncio.create_task(usual_client(case, proxy, number)) for number in range(USUAL_CLIENTS)]
    await asyncio.sleep(CALM_S)
    bad = [asyncio.create_task(run_bad_clients(case, proxy))] if has_trouble() else []
    await asyncio.sleep(TROUBLE_S)
    for task in (*usual, *bad, memory):
        task.cancel()
    await asyncio.gather(*usual, *bad, memory, return_exceptions=True)


async def watch_memory(case: Case, proxy: Proxy) -> None:
    """Act as the platform: kill the proxy once its anonymous memory alone exceeds the limit."""
    peak_mb = 0.0
    try:
        while proxy.exit_code() is None:
            memory_mb = proxy.memory_mb()
            if memory_mb > peak_mb + 5:
                case.record.write(f"the proxy holds {memory_mb:.0f} MiB")
            peak_mb = max(peak_mb, memory_mb)
            if memory_mb > MEMORY_MB:
                proxy.send_signal(signal.SIGKILL)
                case.report(f"the proxy held {memory_mb:.0f} MiB of {MEMORY_MB} and was killed for memory")
                return
            await asyncio.sleep(MEMORY_SAMPLE_S)
        case.report(f"the proxy exited with {proxy.exit_code()}")
    finally:
        case.record.say(f"peak of the proxy's anonymous memory: {peak_mb:.0f} MiB of {MEMORY_MB}")


async def usual_client(case: Case, proxy: Proxy, number: int) -> None:
    """Send one request after the other on a kept connection, until the proxy is gone."""
    connection = Connection(case.record, proxy.address)
    await connection.open()
    class_name, budget_ms = (("ficha", 2500), ("cargo", 3000), ("cuota", 4000))[number % 3]
    while True:
        request = Request(class_name, budget_ms, b"" if class_name == "ficha" else b"x" * 200)
        connection.send([request])
        try:
            await connection.read_answer(request)
        except OSError:
            case.record.say(f"lost: {request.describe()} was taken, and its connection was reset unanswered")
            return
        await asyncio.sleep(USUAL_PAUSE_S)


async def run_bad_clients(case: Case, proxy: Proxy) -> None:
    """Run the program of the bad clients; it is killed if it still runs at the end of the case."""
    arguments = [*proxy.address, BAD_CLIENTS, REQUESTS_AT_ONCE]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        str(Path(__file__).with_name("bad_clients.py")),
        *map(str, arguments),
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        output, _ = await process.communicate()
        case.record.say(output.decode().strip())
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


if __name__ == "__main__":
    main(play, __file__)
