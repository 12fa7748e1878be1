"""Measures the memory of a proxy's objects, each kind in a new child process (`memory_child`)."""

from __future__ import annotations

import socket
from contextlib import ExitStack, closing

from dunecove.proxy.addresses import split_address
from scale.child_process import ChildProcess
from scale.measurement import MeasurementError, RunParameters, Series, Values, measurement
from scale.memory_child import BACKEND_ADDRESS_VARIABLE

METHODS = ("traced", "resident")  # see `memory_child`
CONNECT_TIMEOUT_S = 30.0
READINESS_REQUEST = b"GET /health/ready HTTP/1.1\r\nhost: backend.local\r\n\r\n"
UNANSWERED_REQUEST = (
    b"GET /lookup HTTP/1.1\r\nhost: backend.local\r\nx-call-id: c%06d\r\nx-budget-ms: 60000\r\n\r\n"
)


def memory_series(name: str, subject: str) -> tuple[Series, Series]:
    """Return two rows of the report: memory traced by tracemalloc, and resident memory of the process."""
    return (
        Series(f"traced-{name}", "bytes", f"memory that Python allocated for {subject}"),
        Series(f"resident-{name}", "bytes", f"resident memory of a process that holds {subject}"),
    )


def measure_objects(kind: str, size: int, parameters: RunParameters) -> Values:
    """Measure a child process that holds `size` objects of a kind, by each method."""
    values: Values = {}
    for method in METHODS:
        with ChildProcess("memory_child", kind, size, parameters.seed, method) as child:
            values[f"{method}-{kind}"] = float(child.read_json())
    return values


@measurement(
    "memory-backend",
    "backend",
    *memory_series("backend", "N backends: endpoint list, balancer and connection pool"),
)
def memory_backend(parameters: RunParameters, size: int) -> Values:
    """Measure the memory of `size` backends."""
    return measure_objects("backend", size, parameters)


@measurement(
    "memory-class",
    "class",
    *memory_series("class", "N request classes: settings, balancer and request validator"),
)
def memory_class(parameters: RunParameters, size: int) -> Values:
    """Measure the memory of `size` request classes."""
    return measure_objects("class", size, parameters)


@measurement(
    "memory-tenant",
    "tenant",
    *memory_series("tenant", "N tenants with a quota: settings, balancer and request validator"),
)
def memory_tenant(parameters: RunParameters, size: int) -> Values:
    """Measure the memory of `size` tenants."""
    return measure_objects("tenant", size, parameters)


@measurement("memory-peer", "peer", *memory_series("peer", "the addresses of N peers"))
def memory_peer(parameters: RunParameters, size: int) -> Values:
    """Measure the memory of `size` peers."""
    return measure_objects("peer", size, parameters)


def check_readiness(host: str, port: int, stack: ExitStack) -> socket.socket:
    """Open a client connection, check the proxy's readiness on it, and return it; `stack` closes it."""
    client = stack.enter_context(closing(socket.create_connection((host, port), CONNECT_TIMEOUT_S)))
    client.sendall(READINESS_REQUEST)
    if not client.recv(4096).startswith(b"HTTP/1.1 200"):
        raise MeasurementError("the proxy whose memory is measured is not ready")
    return client


def measure_child_with_clients(method: str, size: int, seed: int, sends_requests: bool) -> float:
    """Return the memory (bytes) of a proxy with `size` client connections, as measured by `method`.

    The proxy runs in a child process. With `sends_requests`, each client sends one request. All backends
    share the address of one listening socket that never accepts: the kernel completes the connections and
    buffers the requests, and no response is sent.
    """
    with ExitStack() as stack:
        backend = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=4096))
        backend_address = "{}:{}".format(*backend.getsockname())
        environment = {BACKEND_ADDRESS_VARIABLE: backend_address}
        child = ChildProcess("memory_child", "connection", size, seed, method, environment=environment)
        with child:
            host, port = split_address(child.read_json())
            clients = [check_readiness(host, port, stack) for _ in range(size)]
            if sends_requests:
                for number, client in enumerate(clients):
                    client.sendall(UNANSWERED_REQUEST % number)
                # The readiness response shows that the proxy has read all requests that were sent before.
                check_readiness(host, port, stack)
            child.write_line("connected")
            return float(child.read_json())


def measure_with_clients(name: str, size: int, parameters: RunParameters, sends_requests: bool) -> Values:
    """Measure a proxy with `size` client connections, by each method."""
    return {
        f"{method}-{name}": measure_child_with_clients(method, size, parameters.seed, sends_requests)
        for method in METHODS
    }


@measurement("memory-connection", "connection", *memory_series("connection", "N idle client connections"))
def memory_connection(parameters: RunParameters, size: int) -> Values:
    """Measure the memory of `size` idle client connections."""
    return measure_with_clients("connection", size, parameters, sends_requests=False)


@measurement(
    "memory-request",
    "request",
    *memory_series("request", "N open requests, each with a client connection and a backend connection"),
)
def memory_request(parameters: RunParameters, size: int) -> Values:
    """Measure the memory of `size` open requests."""
    return measure_with_clients("request", size, parameters, sends_requests=True)
