"""The program while system calls fail temporarily, with errors that the Linux manual pages document."""

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

from tests.loopback import (
    Client,
    ScriptedServer,
    make_configuration,
    make_endpoint_list,
    make_list_entry,
    run,
    write_configuration,
)

RELOAD_TIMEOUT_S = 20.0  # well above the 4 s within which a new discovery address must take effect


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "{}:{}".format(*sock.getsockname())


async def connect_when_listening(address: str) -> Client:
    """Connect to an address, retrying until the program listens on it."""
    while True:
        try:
            return await Client.open(address)
        except OSError:
            await asyncio.sleep(0.01)


@asynccontextmanager
async def run_program(
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


@pytest.mark.parametrize("stderr_state", ["full", "closed", "closed later", "unread"])
def test_proxy_serves_while_its_log_cannot_be_written(tmp_path: Path, stderr_state: str) -> None:
    """Standard error is a full disk, a pipe closed before or after the start, or a pipe that nobody reads."""

    async def test() -> None:
        cached_backend, new_backend, discovery = [await ScriptedServer().open() for _ in range(3)]
        config = make_configuration(
            discovery.address, make_list_entry("s", cached_backend.address), discovery_mode="push"
        )
        config["listen"] = free_address()
        read_end, write_end = os.pipe()
        if stderr_state == "full":
            os.close(write_end)
            write_end = os.open("/dev/full", os.O_WRONLY)
        if stderr_state in ("full", "closed"):
            os.close(read_end)
        elif stderr_state == "unread":
            os.set_blocking(write_end, False)
            with pytest.raises(BlockingIOError):
                while True:
                    os.write(write_end, b"x" * 4096)
            os.set_blocking(write_end, True)
        async with run_program(tmp_path, config, stderr=write_end) as process:
            os.close(write_end)
            polled = asyncio.ensure_future(discovery.requests.get())
            exited = asyncio.ensure_future(process.wait())
            await asyncio.wait((polled, exited), return_when=asyncio.FIRST_COMPLETED)
            assert process.returncode is None
            if stderr_state == "closed later":
                os.close(read_end)
            (await polled).respond(status=503)  # a failed poll is logged and retried
            (await discovery.requests.get()).respond(
                json.dumps(make_endpoint_list(2, make_list_entry("t", new_backend.address))).encode()
            )
            await discovery.requests.get()
            client = await connect_when_listening(config["listen"])
            client.send()
            (await new_backend.requests.get()).respond(b"served")
            assert (await client.read_response()).body == b"served"
            client.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        if stderr_state == "unread":
            os.close(read_end)
        for server in (cached_backend, new_backend, discovery):
            server.close()

    run(test())


FAILING_PROGRAM = """if True:
    import builtins, errno, os, socket, sys
    call, error, first, last = sys.argv[1], int(sys.argv[2]), int(sys.argv[3]), int(sys.argv[4])
    count = 0

    def failing(real):
        def wrapper(*arguments, **options):
            global count
            if call != "open" or arguments[0] == os.environ["LB_CONFIG"]:
                count += 1
                if first <= count <= last:
                    raise OSError(error, os.strerror(error))
            return real(*arguments, **options)
        return wrapper

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


def failing_program(call: str, error: int, first: int, last: int) -> list[str]:
    """Return arguments of a program in which the calls `first` to `last` of the system call `call` fail."""
    return ["-c", FAILING_PROGRAM, call, str(error), str(first), str(last)]


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
def test_startup_succeeds_despite_temporary_resource_errors(tmp_path: Path, call: str, error: int) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        config = make_configuration("127.0.0.1:1", make_list_entry("s", backend.address), Peers=True)
        config |= {"listen": free_address(), "peer_listen": free_address(), "peers": ["127.0.0.1:1"]}
        config["peers_all"] = "127.0.0.1:1"
        arguments = failing_program(call, error, 1, 3)
        async with run_program(tmp_path, config, *arguments, stderr=asyncio.subprocess.DEVNULL) as process:
            connected = asyncio.ensure_future(connect_when_listening(config["listen"]))
            exited = asyncio.ensure_future(process.wait())
            await asyncio.wait((connected, exited), return_when=asyncio.FIRST_COMPLETED)
            assert process.returncode is None
            client = await connected
            client.send()
            (await backend.requests.get()).respond(b"served")
            assert (await client.read_response()).body == b"served"
            client.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        backend.close()

    run(test())


def test_reload_takes_effect_despite_a_temporary_failure_to_open_the_file(tmp_path: Path) -> None:
    async def test() -> None:
        first_discovery, second_discovery = await ScriptedServer().open(), await ScriptedServer().open()
        config = make_configuration(first_discovery.address, make_list_entry("s", "127.0.0.1:1"))
        async with run_program(
            tmp_path, config, *failing_program("open", errno.ENFILE, 2, 3), stderr=asyncio.subprocess.PIPE
        ) as process:
            assert process.stderr is not None
            await first_discovery.requests.get()
            write_configuration(
                tmp_path, make_configuration(second_discovery.address, make_list_entry("s", "127.0.0.1:1"))
            )
            process.send_signal(signal.SIGHUP)
            polled = asyncio.ensure_future(second_discovery.requests.get())
            failure_logged = asyncio.ensure_future(
                process.stderr.readuntil(b"keeping the current configuration and retrying\n")
            )
            await asyncio.wait((polled, failure_logged), return_when=asyncio.FIRST_COMPLETED)
            await failure_logged
            assert (await asyncio.wait_for(polled, RELOAD_TIMEOUT_S)).request_line.startswith(
                "GET /registry/instances"
            )
        first_discovery.close()
        second_discovery.close()

    run(test())
