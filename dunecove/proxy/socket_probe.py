"""Queries the kernel about a connection ahead of the event loop, and half-closes without delay."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Iterable

# The offset of tcpi_last_data_recv in Linux's struct tcp_info, and the size up to the end of that field.
LAST_DATA_RECV_OFFSET = 52
TCP_INFO_BYTES = 56


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds bytes, or the end of the stream, that the event loop has not read."""
    if transport.is_closing():
        return False  # its descriptor may already belong to another connection
    return _poll(transport, select.POLLIN | select.POLLRDHUP)


def is_closed_by_peer(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed, half-closed or reset the connection, even while reading is paused.

    A connection that is being closed on this side counts as closed too.
    """
    return transport.is_closing() or _poll(transport, select.POLLRDHUP)


def find_closed_by_peer(transports: Iterable[asyncio.Transport]) -> list[asyncio.Transport]:
    """Return the transports whose peer has closed, half-closed or reset the connection.

    One system call checks all of them.
    """
    poll = select.poll()
    by_fileno = {}
    for transport in transports:
        if not transport.is_closing():  # otherwise its descriptor may already belong to another connection
            fileno = transport.get_extra_info("socket").fileno()
            by_fileno[fileno] = transport
            poll.register(fileno, select.POLLRDHUP)
    return [by_fileno[fileno] for fileno, _ in poll.poll(0)]


def _poll(transport: asyncio.Transport, events: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))  # errors and resets are reported regardless of the mask


def last_data_age_ms(transport: asyncio.Transport) -> float | None:
    """Return the time in ms since the kernel last received data on the connection, or None if unknown."""
    try:
        info = transport.get_extra_info("socket").getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return None
    if len(info) < TCP_INFO_BYTES:
        return None
    (age_ms,) = struct.unpack_from("=I", info, LAST_DATA_RECV_OFFSET)
    return float(age_ms)


def shutdown_write(transport: asyncio.Transport) -> None:
    """Half-close the connection now; closing the transport would take until a later loop iteration."""
    if transport.is_closing():
        return  # its descriptor may already belong to another connection
    fileno = transport.get_extra_info("socket").fileno()
    # A temporary socket object on the same descriptor; detach() below keeps it from closing the descriptor.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno)
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # the connection has already ended
    finally:
        sock.detach()
