"""Memory of what a proxy holds, each in a fresh child process (held.py)."""

from __future__ import annotations

import os
import socket
import subprocess

from dunecove.proxy.addresses import split_address
from scale.measures import Plan, Series, Trouble, Values, child, child_json, end, measure

HOW = ("traced", "resident")
WITHIN_S = 30.0


def series(name: str, of: str) -> tuple[Series, Series]:
    return (
        Series(f"traced-{name}", "bytes", f"memory given out for {of}"),
        Series(f"resident-{name}", "bytes", f"memory of a process that holds {of}"),
    )


def held(name: str, kind: str, size: int, plan: Plan) -> Values:
    values: Values = {}
    for how in HOW:
        process = subprocess.Popen(
            child("held", kind, size, plan.seed, how),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        try:
            values[f"{how}-{name}"] = float(child_json(process))
        finally:
            end(process)
    return values


@measure("memory-backend", "backend", *series("backend", "so many backends: lists, module and pools"))
def memory_backend(plan: Plan, size: int) -> Values:
    return held("backend", "backend", size, plan)


@measure(
    "memory-class", "class", *series("class", 'so many request classes ("services"), settings and module')
)
def memory_class(plan: Plan, size: int) -> Values:
    return held("class", "class", size, plan)


@measure("memory-tenant", "tenant", *series("tenant", "so many tenants with a quota, settings and module"))
def memory_tenant(plan: Plan, size: int) -> Values:
    return held("tenant", "tenant", size, plan)


@measure("memory-peer", "peer", *series("peer", "the addresses of so many peers"))
def memory_peer(plan: Plan, size: int) -> Values:
    return held("peer", "peer", size, plan)


def with_clients(name: str, size: int, plan: Plan, request: bool) -> Values:
    """A proxy in a child with `size` connections from here. Its one backend takes connections and requests
    and never answers: the kernel does that for a listening socket that nobody accepts from."""
    values: Values = {}
    for how in HOW:
        clients: list[socket.socket] = []
        backend = socket.create_server(("127.0.0.1", 0), backlog=4096)
        at = "{}:{}".format(*backend.getsockname())
        process = subprocess.Popen(
            child("held", "connection", size, plan.seed, how),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"SCALE_BACKEND": at},
        )
        try:
            host, port = split_address(child_json(process)["address"])
            for _ in range(size):
                clients.append(socket.create_connection((host, port), WITHIN_S))
                ask(clients[-1], b"GET /health/ready HTTP/1.1\r\nhost: backend.local\r\n\r\n")
                if not clients[-1].recv(4096).startswith(b"HTTP/1.1 200"):
                    raise Trouble("the proxy held for its memory isn't ready")
            if request:
                for number, client in enumerate(clients):
                    ask(
                        client,
                        b"GET /lookup HTTP/1.1\r\nhost: backend.local\r\nx-call-id: c%06d\r\n"
                        b"x-budget-ms: 60000\r\n\r\n" % number,
                    )
                # One more is answered only after all that came before it have been read.
                clients.append(socket.create_connection((host, port), WITHIN_S))
                ask(clients[-1], b"GET /health/ready HTTP/1.1\r\nhost: backend.local\r\n\r\n")
                clients[-1].recv(4096)
            assert process.stdin is not None
            process.stdin.write("go\n")
            process.stdin.flush()
            values[f"{how}-{name}"] = float(child_json(process))
        finally:
            end(process)
            for client in [*clients, backend]:
                client.close()
    return values


def ask(client: socket.socket, request: bytes) -> None:
    client.sendall(request)


@measure("memory-connection", "connection", *series("connection", "so many idle client connections"))
def memory_connection(plan: Plan, size: int) -> Values:
    return with_clients("connection", size, plan, request=False)


@measure(
    "memory-request",
    "request",
    *series("request", "so many open requests, each with its client's and its backend's connection"),
)
def memory_request(plan: Plan, size: int) -> Values:
    return with_clients("request", size, plan, request=True)
