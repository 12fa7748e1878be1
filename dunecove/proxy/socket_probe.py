"""What the kernel knows of a connection ahead of the event loop, and a half-close without delay."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections.abc import Iterable

# Of Linux's struct tcp_info: the offset of tcpi_last_data_recv, and the size up to the end of that field.
LAST_DATA_RECV_OFFSET = 52
TCP_INFO_BYTES = 56


def has_unread_input(transport: asyncio.Transport) -> bool:
    """Whether the kernel holds bytes, or the end of the stream, that the event loop has not read yet."""
    if transport.is_closing():
        return False  # its descriptor may belong to another connection by now
    return _poll(transport, select.POLLIN | select.POLLRDHUP)


def is_closed_by_peer(transport: asyncio.Transport) -> bool:
    """Whether the peer has closed or reset this connection, also while reading is paused."""
    return transport.is_closing() or _poll(transport, select.POLLRDHUP)


def find_closed_by_peer(transports: Iterable[asyncio.Transport]) -> list[asyncio.Transport]:
    """Those of the transports whose peer has closed or reset the connection, found with one system call."""
    poll = select.poll()
    by_fileno = {}
    for transport in transports:
        if not transport.is_closing():  # else its descriptor may belong to another connection by now
            fileno = transport.get_extra_info("socket").fileno()
            by_fileno[fileno] = transport
            poll.register(fileno, select.POLLRDHUP)
    return [by_fileno[fileno] for fileno, _ in poll.poll(0)]


def _poll(transport: asyncio.Transport, events: int) -> bool:
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))  # errors and resets are reported whatever the mask


def last_data_age_ms(transport: asyncio.Transport) -> float | None:
    """Time in ms since the kernel received the last bytes of this connection; None where it can't tell."""
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
    """Half-close the connection now, not in a later turn of the loop as closing the transport would."""
    if transport.is_closing():
        return  # its descriptor may belong to another connection by now
    fileno = transport.get_extra_info("socket").fileno()
    # A second socket object on the same descriptor, for this call alone: it is detached again below.
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, 0, fileno)
    try:
        sock.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # it is not connected any more
    finally:
        sock.detach()
