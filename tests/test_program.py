"""The program as the platform runs it: configuration, signals and exit codes."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from dunecove.config import Config, read_config
from dunecove.limits import connection_limits
from tests.loopback import (
    TEST_TIMEOUT_S,
    Client,
    ReceivedRequest,
    ScriptedServer,
    encode_request,
    make_configuration,
    make_endpoint_list,
    make_list_entry,
    run,
    wait_until,
    write_configuration,
)

VALID_CONFIG = make_configuration("127.0.0.1:1")
COMMAND = [sys.executable, "-m", "dunecove"]


GOSSIP_CONFIG = make_configuration("127.0.0.1:1", Peers=True) | {
    "peer_listen": "127.0.0.1:1",
    "peers": ["127.0.0.1:1"],
    "peers_all": "127.0.0.1:2",
}


def without(removed_key: str, config: dict[str, Any] = VALID_CONFIG) -> dict[str, Any]:
    return {key: value for key, value in config.items() if key != removed_key}


@pytest.mark.parametrize(
    ("config", "expected_text"),
    [
        ("{", "not JSON"),
        ("[]", "configuration"),
        (without("settings"), "settings"),
        (without("seed"), "seed"),
        (without("known"), "known"),
        (VALID_CONFIG | {"seed": "xyz"}, "base 16"),
        (VALID_CONFIG | {"listen": "here"}, "listen: not a host:port address: 'here'"),
        (VALID_CONFIG | {"discovery": "there"}, "discovery: not a host:port address: 'there'"),
        (VALID_CONFIG | {"listen": "203.0.113.1:1"}, "assign"),
        (VALID_CONFIG | {"listen": "a..b:1"}, "a..b"),
        (VALID_CONFIG | {"listen": "127.0.0.1\0:1"}, "127.0.0.1"),
        (VALID_CONFIG | {"listen": "127.0.0.1:65536"}, "65536"),
        (VALID_CONFIG | {"discovery": None}, "discovery"),
        (VALID_CONFIG | {"seed": None}, "seed"),
        (VALID_CONFIG | {"known": None}, "list"),
        (VALID_CONFIG | {"known": []}, "list"),
        (VALID_CONFIG | {"known": {"rev": 1, "all": True, "targets": None}}, "targets"),
        (VALID_CONFIG | {"known": {"rev": 1, "all": True}}, "targets"),
        (VALID_CONFIG | {"known": {"rev": None, "all": True, "targets": []}}, "rev"),
        (GOSSIP_CONFIG | {"peers": [1]}, "peers"),
        (GOSSIP_CONFIG | {"peers": {"a": 1}}, "peers"),
        (GOSSIP_CONFIG | {"peers_all": None}, "peers_all"),
        (without("peers_all", GOSSIP_CONFIG), "peers_all"),
        (GOSSIP_CONFIG | {"peer_listen": "a..b:1"}, "a..b"),
        (VALID_CONFIG | {"known": {"rev": 1, "all": True, "targets": [{}]}}, "uid"),
        (VALID_CONFIG | {"limits": {"sockets": 0}}, "sockets"),
        (VALID_CONFIG | {"limits": {"sockets": -1}}, "sockets"),
        (VALID_CONFIG | {"limits": {"sockets": "64"}}, "sockets"),
        (VALID_CONFIG | {"limits": 5}, "limits"),
        (VALID_CONFIG | {"limits": {"memory_mb": 0}}, "memory_mb"),
        (VALID_CONFIG | {"settings": {"Lanes": []}}, "class"),
        (VALID_CONFIG | {"settings": {}}, "Lanes"),
        (
            VALID_CONFIG | {"settings": VALID_CONFIG["settings"] | {"TickMs": 0}},
            "config.json: TickMs must be above 0 and finite: 0.0",
        ),
        (
            VALID_CONFIG | {"settings": VALID_CONFIG["settings"] | {"Limits": {"ConnIdleMs": -1}}},
            "config.json: ConnIdleMs must be above 0",
        ),
    ],
)
def test_invalid_configuration_fails_startup_with_one_log_line(
    tmp_path: Path, config: Any, expected_text: str
) -> None:
    completed = subprocess.run(
        COMMAND,
        env=write_configuration(tmp_path, config),
        capture_output=True,
        text=True,
        timeout=TEST_TIMEOUT_S,
        check=False,
    )
    assert completed.returncode == 2
    assert completed.stderr.count("\n") == 1 and "Traceback" not in completed.stderr
    assert expected_text in completed.stderr


def test_address_in_use_fails_startup_with_one_log_line(tmp_path: Path) -> None:
    with socket.socket() as listening_socket:
        listening_socket.bind(("127.0.0.1", 0))
        listening_socket.listen()
        config = make_configuration("127.0.0.1:1", discovery_mode="push")
        config["listen"] = "{}:{}".format(*listening_socket.getsockname())
        completed = subprocess.run(
            COMMAND,
            env=write_configuration(tmp_path, config),
            capture_output=True,
            text=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    assert completed.returncode == 2 and "in use" in completed.stderr
    assert completed.stderr.count("\n") == 1 and "Traceback" not in completed.stderr


def test_null_settings_are_treated_as_absent(tmp_path: Path) -> None:
    def read(null_settings: dict[str, Any]) -> Config:
        request_class = {"Name": "a", "AimMs": 300, "HardLimitMs": 900, "Effect": "read_like"}
        settings = null_settings | {
            "Lanes": [request_class | ({"Points": None, "KeyScope": None} if null_settings else {})]
        }
        return read_config(
            write_configuration(
                tmp_path,
                VALID_CONFIG | {"settings": settings, "limits": {"sockets": None} if null_settings else {}},
            )
        )

    names_by_section = {
        "Limits": ("MostTries", "ConnectTimeoutMs", "ConnIdleMs", "MaxRetryAfterMs", "MayCancel", "Peers"),
        "Obligations": (
            "ColdMs",
            "StartCapacity",
            "FallMultiple",
            "OverloadForMs",
            "MustAskInMs",
            "DrainGraceMs",
        ),
    }
    null_settings_of_all_names: dict[str, Any] = {
        name: dict.fromkeys(names) for name, names in names_by_section.items()
    }
    null_settings_of_all_names |= dict.fromkeys(
        ("Balancers", "Me", "Az", "Dcs", "Kinds", "Projects", "OverShareWorth", "TickMs")
    )
    from_nulls, from_absent = read(null_settings_of_all_names), read({})
    assert (from_nulls.settings, from_nulls.proxy_settings, from_nulls.max_descriptors) == (
        from_absent.settings,
        from_absent.proxy_settings,
        from_absent.max_descriptors,
    )


def test_missing_configuration_variable_is_reported() -> None:
    environment = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
    completed = subprocess.run(
        COMMAND, env=environment, capture_output=True, text=True, timeout=TEST_TIMEOUT_S, check=False
    )
    assert (completed.returncode, completed.stderr) == (2, "dunecove: LB_CONFIG is not set\n")


def test_more_client_connections_than_descriptors_are_served(tmp_path: Path) -> None:
    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (64, 64))

    async def test() -> None:
        backend = await ScriptedServer().open()
        program = await asyncio.create_subprocess_exec(
            *COMMAND,
            env=write_configuration(
                tmp_path, make_configuration("127.0.0.1:1", make_list_entry("s", backend.address))
            ),
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=limit_descriptors,
        )
        assert program.stderr is not None
        address = (await program.stderr.readline()).decode().split()[-1]
        clients = []
        for _ in range(200):
            clients.append(await Client.open(address))
            assert (await clients[-1].exchange("/health/ready", "GET")).status == 200
        concurrent = await asyncio.gather(*(Client.open(address) for _ in range(60)))
        for client in concurrent:
            client.send("/health/ready", "GET")
        statuses = [(await client.read_response()).status for client in concurrent]
        assert statuses == [200] * 60
        program.send_signal(signal.SIGTERM)
        assert "Too many open files" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for client in clients + concurrent:
            client.close()
        backend.close()

    run(test())


@pytest.mark.parametrize("is_discovery_listening", [True, False])
@pytest.mark.parametrize(("descriptor_limit", "sockets"), [(256, 1024), (1024, 64), (64, 1024), (32, 1024)])
def test_full_proxy_polls_discovery_and_serves_waiting_and_new_clients(
    tmp_path: Path, descriptor_limit: int, sockets: int, is_discovery_listening: bool
) -> None:
    """Waiting and idle clients occupy all slots while discovery is down; the gossip socket is open too."""

    async def test() -> None:
        backend, new_backend, discovery = (
            await ScriptedServer().open(),
            await ScriptedServer().open(),
            ScriptedServer(),
        )
        discovery_socket = socket.socket()
        discovery_socket.bind(("127.0.0.1", 0))  # refuses connections until it listens
        address = "{}:{}".format(*discovery_socket.getsockname())
        if is_discovery_listening:
            await discovery.open(discovery_socket)
        entries = [make_list_entry(f"s{number}", backend.address) for number in range(150)]
        config = make_configuration(address, *entries, sockets=sockets, discovery_mode="push", Peers=True)
        config |= {"peer_listen": "127.0.0.1:0", "peers": ["127.0.0.1:1"], "peers_all": "127.0.0.1:1"}
        program, address = await start_with_descriptor_limit(
            descriptor_limit, write_configuration(tmp_path, config)
        )
        client_limit, backend_limit = connection_limits(min(descriptor_limit, sockets), 192)
        busy, received_requests = await occupy_all_slots(address, backend, client_limit, backend_limit)
        descriptors = Path(f"/proc/{program.pid}/fd")
        await wait_until(lambda: len(os.listdir(descriptors)) >= client_limit + backend_limit)
        assert len(os.listdir(descriptors)) < min(descriptor_limit, sockets)
        for client in busy[backend_limit:]:
            client.close()
        idle = await connect_ready_clients(address, client_limit)
        if not is_discovery_listening:
            await discovery.open(discovery_socket)
        body = json.dumps(make_endpoint_list(2, make_list_entry("t", new_backend.address))).encode()
        while "?since=2&" not in (received := await discovery.requests.get()).request_line:
            received.respond(body)
        for received in received_requests:
            received.respond(b"held")
        for client in busy[:backend_limit]:
            assert (await client.read_response()).body == b"held"
        new_client = await Client.open(address)
        new_client.send(x_call_id="new")
        (await new_backend.requests.get()).respond(b"new")
        assert (await new_client.read_response()).body == b"new"
        await stop_cleanly(program)
        for client in [*busy, *idle, new_client]:
            client.close()
        for server in (backend, new_backend, discovery):
            server.close()

    run(test())


async def start_with_descriptor_limit(
    limit: int, env: dict[str, str]
) -> tuple[asyncio.subprocess.Process, str]:
    """Start the program with a descriptor limit; return it and the address that it listens on."""

    def limit_descriptors() -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))

    program = await asyncio.create_subprocess_exec(
        *COMMAND, env=env, stderr=asyncio.subprocess.PIPE, preexec_fn=limit_descriptors
    )
    assert program.stderr is not None
    while " listens on " not in (line := (await program.stderr.readline()).decode()):
        assert line
    return program, line.split()[-1]


async def occupy_all_slots(
    address: str, backend: ScriptedServer, client_limit: int, backend_limit: int
) -> tuple[list[Client], list[ReceivedRequest]]:
    """Connect `client_limit` clients, each with a request; return them and what the backend has received."""
    clients, received_requests = [], []
    for number in range(client_limit):
        clients.append(await Client.open(address))
        clients[-1].send("/lookup", "GET", x_call_id=f"c{number}")
        if number < backend_limit:  # further requests are queued
            received_requests.append(await backend.requests.get())
    return clients, received_requests


async def connect_ready_clients(address: str, count: int) -> list[Client]:
    """Connect `count` clients at once and check that each gets a ready response; return them."""
    clients = [await Client.open(address) for _ in range(count)]
    for client in clients:
        client.send("/health/ready", "GET")
    for client in clients:  # clients without a slot are accepted as others are evicted
        assert (await client.read_response()).status == 200
    return clients


async def stop_cleanly(program: asyncio.subprocess.Process) -> None:
    assert program.stderr is not None
    program.send_signal(signal.SIGTERM)
    assert "Too many open files" not in (await program.stderr.read()).decode()
    assert await program.wait() == 0


@pytest.mark.parametrize("is_discovery_listening", [True, False])
@pytest.mark.parametrize("backend_count", [200, 20_000])
@pytest.mark.parametrize("discovery_mode", ["ask", "push"])
def test_proxy_is_ready_and_serves_from_the_cached_list_while_discovery_is_down(
    tmp_path: Path, backend_count: int, discovery_mode: str, is_discovery_listening: bool
) -> None:
    """A restart must not wait for discovery, which refuses connections or accepts them without responding."""

    async def test() -> None:
        backend = await ScriptedServer().open()
        with socket.socket() as discovery_socket:
            discovery_socket.bind(("127.0.0.1", 0))
            if is_discovery_listening:
                discovery_socket.listen()
            discovery_address = "{}:{}".format(*discovery_socket.getsockname())
            entries = [make_list_entry(f"s{number}", backend.address) for number in range(backend_count)]
            program = await asyncio.create_subprocess_exec(
                *COMMAND,
                env=write_configuration(
                    tmp_path, make_configuration(discovery_address, *entries, discovery_mode=discovery_mode)
                ),
                stderr=asyncio.subprocess.PIPE,
            )
            assert program.stderr is not None
            while " listens on " not in (line := (await program.stderr.readline()).decode()):
                assert line
            client = await Client.open(line.split()[-1])
            assert (await client.exchange("/health/ready", "GET")).status == 200
            client.send()
            (await backend.requests.get()).respond(b"from the saved list")
            assert (await client.read_response()).body == b"from the saved list"
            client.close()
            program.send_signal(signal.SIGTERM)
            assert "internal error" not in (await program.stderr.read()).decode()
            assert await program.wait() == 0
        backend.close()

    run(test())


def test_objects_created_from_the_cached_list_are_excluded_from_garbage_collection(tmp_path: Path) -> None:
    """Guards against each collection traversing 20,000 backends, which would delay requests."""
    program_source = """if True:
        import gc, os, signal, sys
        from dunecove import __main__ as program
        from dunecove.policy.balancer import Balancer
        step, freeze, on = Balancer.step, gc.freeze, gc.enable
        Balancer.step = lambda *args: (print("step", gc.isenabled()), step(*args))[1]
        gc.freeze = lambda: (print("freeze"), freeze())
        gc.enable = lambda: (on(), print("enable"), os.kill(os.getpid(), signal.SIGTERM))
        sys.exit(program.main())"""
    completed = subprocess.run(
        [sys.executable, "-c", program_source],
        env=write_configuration(tmp_path, VALID_CONFIG),
        capture_output=True,
        text=True,
        check=False,
    )
    assert (
        completed.stdout.split("\n")[:3] == ["step False", "freeze", "enable"] and completed.returncode == 0
    )


def test_sigterm_stops_the_program_after_accepted_requests_are_answered(tmp_path: Path) -> None:
    async def test() -> None:
        backend = await ScriptedServer().open()
        config = make_configuration("127.0.0.1:1", make_list_entry("s", backend.address))
        program = await asyncio.create_subprocess_exec(
            *COMMAND, env=write_configuration(tmp_path, config), stderr=asyncio.subprocess.PIPE
        )
        assert program.stderr is not None
        line = (await program.stderr.readline()).decode()
        assert line.startswith("dunecove: n0 listens on 127.0.0.1:")
        address = line.split()[-1]
        client = await Client.open(address)
        client.send()
        received = await backend.requests.get()
        program.send_signal(signal.SIGTERM)
        while "stopping" not in (await program.stderr.readline()).decode():
            pass
        new_client = await Client.open(address)  # new connections are still accepted for a short time
        readiness = await new_client.exchange("/health/ready", "GET")
        assert (readiness.status, readiness.headers["connection"]) == (503, "close")
        received.respond(b"taken before")
        response = await client.read_response()
        assert (response.status, response.body) == (200, b"taken before")
        client.close()
        new_client.close()
        remaining_log = (await program.stderr.read()).decode()
        assert await program.wait() == 0
        assert "internal error" not in remaining_log and "still open" not in remaining_log
        backend.close()

    run(test())


def test_sighup_polls_the_discovery_address_of_the_new_configuration(tmp_path: Path) -> None:
    # Guards against three failures: SIGHUP ends the program; a revision of the old service is sent to the new
    # one, which numbers its revisions independently; a failed first poll of the new address is retried only
    # after the usual delay.
    async def test() -> None:
        first_discovery, second_discovery, old_backend, new_backend = [
            await ScriptedServer().open() for _ in range(4)
        ]
        entry = make_list_entry("s", old_backend.address)
        env = write_configuration(tmp_path, make_configuration(first_discovery.address, entry)) | {
            "LB_DISCOVERY": first_discovery.address
        }
        program = await asyncio.create_subprocess_exec(*COMMAND, env=env, stderr=asyncio.subprocess.PIPE)
        assert program.stderr is not None
        address = (await program.stderr.readline()).decode().split()[-1]
        watch = await first_discovery.requests.get()
        assert "?since=1&" in watch.request_line
        write_configuration(tmp_path, make_configuration(second_discovery.address, entry))
        program.send_signal(signal.SIGHUP)
        poll = await second_discovery.requests.get()
        assert poll.request_line == "GET /registry/instances HTTP/1.1"
        await watch.closed.wait()
        program.send_signal(signal.SIGHUP)  # the address is unchanged, so the poll in flight continues
        poll.respond(status=503)
        poll = await second_discovery.requests.get()
        assert poll.request_line == "GET /registry/instances HTTP/1.1"
        poll.respond(json.dumps(make_endpoint_list(7, make_list_entry("t", new_backend.address))).encode())
        assert "?since=7&" in (await second_discovery.requests.get()).request_line
        client = await Client.open(address)
        client.send()
        (await new_backend.requests.get()).respond(b"by the new one")
        assert (await client.read_response()).body == b"by the new one"
        write_configuration(tmp_path, "{")
        program.send_signal(signal.SIGHUP)
        while "configuration reload failed: " not in (line := (await program.stderr.readline()).decode()):
            assert "keeping the current configuration" not in line and "internal error" not in line
        assert (await client.exchange("/health/ready", "GET")).status == 200
        program.send_signal(signal.SIGTERM)
        while "stopping" not in (await program.stderr.readline()).decode():
            pass
        write_configuration(tmp_path, make_configuration(first_discovery.address, entry))
        program.send_signal(signal.SIGHUP)
        assert (await first_discovery.requests.get()).request_line == "GET /registry/instances HTTP/1.1"
        client.close()
        assert "internal error" not in (await program.stderr.read()).decode()
        assert await program.wait() == 0
        for server in (first_discovery, second_discovery, old_backend, new_backend):
            server.close()

    run(test())


def start_reading_configuration(folder: Path) -> tuple[subprocess.Popen[str], Path]:
    """Start a program that reads its configuration from a named pipe; return it and the path to write to."""
    env = write_configuration(folder, "")
    config = folder / "config.json"
    config.unlink()
    os.mkfifo(config)
    return subprocess.Popen(COMMAND, env=env, stderr=subprocess.PIPE, text=True), config


def test_signals_during_startup_and_shutdown_do_not_kill_the_program(tmp_path: Path) -> None:
    """SIGHUP arrives while the configuration is read, and SIGTERM twice, with a SIGHUP in between."""
    program, path = start_reading_configuration(tmp_path)
    assert program.stderr is not None
    with socket.socket() as hung_backend:  # the kernel accepts connections; nothing responds
        hung_backend.bind(("127.0.0.1", 0))
        hung_backend.listen()
        backend = make_list_entry("s", "{}:{}".format(*hung_backend.getsockname()))
        with path.open("w") as file:
            program.send_signal(signal.SIGHUP)
            file.write(json.dumps(make_configuration("127.0.0.1:1", backend)))
        host, port = program.stderr.readline().split()[-1].split(":")
        with socket.create_connection((host, int(port))) as client:
            client.sendall(encode_request())
            program.send_signal(signal.SIGTERM)
            wait_for_log(program, "stopping")
            path.unlink()  # the reload fails and is logged, and the shutdown continues
            program.send_signal(signal.SIGHUP)
            wait_for_log(program, "keeping the current configuration")
            program.send_signal(signal.SIGTERM)
            client.settimeout(TEST_TIMEOUT_S)
            assert client.recv(1000).startswith(b"HTTP/1.1 504 ")
    remaining_log = program.stderr.read()
    assert program.wait() == 0
    assert "internal error" not in remaining_log and "Traceback" not in remaining_log


def wait_for_log(program: subprocess.Popen[str], text: str) -> None:
    assert program.stderr is not None
    while text not in (line := program.stderr.readline()):
        assert line


def test_sigterm_before_the_event_loop_runs_kills_the_program_without_output(tmp_path: Path) -> None:
    program, path = start_reading_configuration(tmp_path)
    with path.open("w"):
        program.send_signal(signal.SIGTERM)
        assert program.wait() == -signal.SIGTERM
    assert program.stderr is not None and program.stderr.read() == ""
