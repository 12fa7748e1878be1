"""Queries the kernel about a connection ahead of the event loop, and half-closes without delay."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Iterable
from typing import NamedTuple

# The offset of tcpi_last_data_recv in Linux's struct tcp_info, and the size up to the end of that field.
LAST_DATA_RECV_OFFSET = 52
TCP_INFO_BYTES = 56
INT_BYTES = 4  # size of the int that FIONREAD writes


class InputState(NamedTuple):
    """What the kernel reports of the input of a connection."""

    is_closed: bool  # by the peer: closed, half-closed or reset
    has_unread: bool  # bytes, or the end of the stream


_QUIET = InputState(is_closed=False, has_unread=False)


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Return whether the kernel holds bytes, or the end of the stream, that the event loop has not read."""
    if transport.is_closing():
        return False  # its descriptor may already belong to another connection
    return _poll(transport, select.POLLIN | select.POLLRDHUP) != 0


def is_closed_by_peer(transport: asyncio.Transport) -> bool:
    """Return whether the peer has closed, half-closed or reset the connection, even while reading is paused.

    A connection that is being closed on this side counts as closed too.
    """
    return transport.is_closing() or _poll(transport, select.POLLRDHUP) != 0


def probe_input(transport: asyncio.Transport) -> InputState:
    """Return both of the above with one system call."""
    if transport.is_closing():
        return InputState(is_closed=True, has_unread=False)
    events = _poll(transport, select.POLLIN | select.POLLRDHUP)
    if not events:
        return _QUIET
    return InputState(bool(events & ~select.POLLIN), bool(events & select.POLLIN))


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


def _poll(transport: asyncio.Transport, events: int) -> int:
    """Return those of the events that have occurred; errors and resets are reported in any case."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    occurred = poll.poll(0)
    return occurred[0][1] if occurred else 0


def unread_bytes(transport: asyncio.Transport) -> int | None:
    """Return how many received bytes the event loop has not read yet, or None if unknown."""
    try:
        result = fcntl.ioctl(transport.get_extra_info("socket").fileno(), termios.FIONREAD, bytes(INT_BYTES))
    except OSError:
        return None
    (byte_count,) = struct.unpack("=i", result)
    return int(byte_count)


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
