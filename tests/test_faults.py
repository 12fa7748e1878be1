"""The program while system calls fail for a moment, as Linux documents them."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from tests.loopback import Client, Peer, configuration, listing, run, target


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


def write(folder: Path, config: dict[str, Any]) -> dict[str, str]:
    path = folder / "config.json"
    path.write_text(json.dumps(config))
    kept = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    return kept | {"LB_CONFIG": str(path)}


async def connected(address: str) -> Client:
    """As soon as the program listens there."""
    while True:
        try:
            return await Client.open(address)
        except OSError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def program(
    folder: Path, config: dict[str, Any], *arguments: str, stderr: int
) -> AsyncIterator[asyncio.subprocess.Process]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, *(arguments or ("-m", "flintlatch")), env=write(folder, config), stderr=stderr
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("log", ["full", "closed", "unread"])
def test_a_log_that_cannot_be_written_changes_nothing_else(tmp_path: Path, log: str) -> None:
    """A disk without room, a reader that has gone, and one that reads nothing."""

    async def test() -> None:
        backend, later, registry = [await Peer().open() for _ in range(3)]
        config = configuration(registry.address, target("s", backend.address))
        config["listen"] = free_address()
        reads, writes = os.pipe()
        if log == "full":
            os.close(writes)
            writes = os.open("/dev/full", os.O_WRONLY)
        if log in ("full", "closed"):
            os.close(reads)
        else:
            os.set_blocking(writes, False)
            with pytest.raises(BlockingIOError):
                while True:
                    os.write(writes, b"x" * 4096)
            os.set_blocking(writes, True)
        async with program(tmp_path, config, stderr=writes) as process:
            os.close(writes)
            call = asyncio.ensure_future(registry.calls.get())
            ended = asyncio.ensure_future(process.wait())
            await asyncio.wait((call, ended), return_when=asyncio.FIRST_COMPLETED)
            assert process.returncode is None
            (await call).reply(status=503)  # a failed call is logged, and made again
            (await registry.calls.get()).reply(json.dumps(listing(2, target("t", later.address))).encode())
            await registry.calls.get()
            client = await connected(config["listen"])
            client.send()
            (await later.calls.get()).reply(b"served")
            assert (await client.reply()).body == b"served"
            client.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        if log == "unread":
            os.close(reads)
        for peer in (backend, later, registry):
            peer.close()

    run(test())
