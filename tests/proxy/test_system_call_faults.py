"""The program while system calls fail for a moment, as Linux documents them."""

from __future__ import annotations

import asyncio
import errno
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

from tests.loopback import Client, ScriptedServer, configuration, listing, run, target, write_configuration

RELOAD_S = 20.0  # far beyond the 4 s in which a move has to take effect


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


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
        sys.executable,
        *(arguments or ("-m", "dunecove")),
        env=write_configuration(folder, config),
        stderr=stderr,
    )
    try:
        yield process
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()


@pytest.mark.parametrize("log", ["full", "closed", "closed later", "unread"])
def test_a_log_that_cannot_be_written_changes_nothing_else(tmp_path: Path, log: str) -> None:
    """A disk without room, a reader that has gone, and one that reads nothing."""

    async def test() -> None:
        backend, later, registry = [await ScriptedServer().open() for _ in range(3)]
        config = configuration(registry.address, target("s", backend.address), list_mode="push")
        config["listen"] = free_address()
        reads, writes = os.pipe()
        if log == "full":
            os.close(writes)
            writes = os.open("/dev/full", os.O_WRONLY)
        if log in ("full", "closed"):
            os.close(reads)
        elif log == "unread":
            os.set_blocking(writes, False)
            with pytest.raises(BlockingIOError):
                while True:
                    os.write(writes, b"x" * 4096)
            os.set_blocking(writes, True)
        async with program(tmp_path, config, stderr=writes) as process:
            os.close(writes)
            call = asyncio.ensure_future(registry.requests.get())
            ended = asyncio.ensure_future(process.wait())
            await asyncio.wait((call, ended), return_when=asyncio.FIRST_COMPLETED)
            assert process.returncode is None
            if log == "closed later":
                os.close(reads)
            (await call).respond(status=503)  # a failed call is logged, and made again
            (await registry.requests.get()).respond(
                json.dumps(listing(2, target("t", later.address))).encode()
            )
            await registry.requests.get()
            client = await connected(config["listen"])
            client.send()
            (await later.requests.get()).respond(b"served")
            assert (await client.read_response()).body == b"served"
            client.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        if log == "unread":
            os.close(reads)
        for peer in (backend, later, registry):
            peer.close()

    run(test())


FAILS_AT_FIRST = """if True:
    import builtins, errno, os, socket, sys
    call, error, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
    count = 0

    def failing(real):
        def fails(*arguments, **options):
            global count
            if call != "open" or arguments[0] == os.environ["LB_CONFIG"]:
                count += 1
                if first <= count <= last:
                    raise OSError(error, os.strerror(error))
            return real(*arguments, **options)
        return fails

    if call == "socket":
        socket.socket.__init__ = failing(socket.socket.__init__)
    elif call == "bind":
        class Socket(socket.socket):
            bind = failing(socket.socket.bind)
        socket.socket = Socket
    else:
        builtins.open = failing(builtins.open)
    from dunecove.__main__ import main
    sys.exit(main())"""


def failing_at_first(call: str, error: int, first: int, last: int) -> list[str]:
    """A program in which these calls of a kind fail, counted from its start."""
    return ["-c", FAILS_AT_FIRST, call, str(error), str(first), str(last)]


@pytest.mark.parametrize(
    ("call", "error"),
    [
        ("socket", errno.ENFILE),
        ("socket", errno.ENOBUFS),
        ("bind", errno.EADDRNOTAVAIL),
        ("open", errno.ENFILE),
        ("open", errno.EIO),
    ],
)
def test_a_moments_lack_at_the_start_is_no_failed_start(tmp_path: Path, call: str, error: int) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        config = configuration("127.0.0.1:1", target("s", backend.address), Peers=True)
        config |= {"listen": free_address(), "peer_listen": free_address(), "peers": ["127.0.0.1:1"]}
        config["peers_all"] = "127.0.0.1:1"
        arguments = failing_at_first(call, error, 1, 3)
        async with program(tmp_path, config, *arguments, stderr=asyncio.subprocess.DEVNULL) as process:
            opened = asyncio.ensure_future(connected(config["listen"]))
            ended = asyncio.ensure_future(process.wait())
            await asyncio.wait((opened, ended), return_when=asyncio.FIRST_COMPLETED)
            assert process.returncode is None
            client = await opened
            client.send()
            (await backend.requests.get()).respond(b"served")
            assert (await client.read_response()).body == b"served"
            client.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        backend.close()

    run(test())


def test_a_reload_that_cannot_open_the_file_for_a_moment_takes_effect(tmp_path: Path) -> None:
    async def test() -> None:
        first, second = await ScriptedServer().open(), await ScriptedServer().open()
        config = configuration(first.address, target("s", "127.0.0.1:1"))
        async with program(
            tmp_path, config, *failing_at_first("open", errno.ENFILE, 2, 3), stderr=asyncio.subprocess.PIPE
        ) as process:
            assert process.stderr is not None
            await first.requests.get()
            write_configuration(tmp_path, configuration(second.address, target("s", "127.0.0.1:1")))
            process.send_signal(signal.SIGHUP)
            asked = asyncio.ensure_future(second.requests.get())
            failed = asyncio.ensure_future(
                process.stderr.readuntil(b"keeping the current configuration and retrying\n")
            )
            await asyncio.wait((asked, failed), return_when=asyncio.FIRST_COMPLETED)
            await failed
            assert (await asyncio.wait_for(asked, RELOAD_S)).request_line.startswith(
                "GET /registry/instances"
            )
        first.close()
        second.close()

    run(test())
