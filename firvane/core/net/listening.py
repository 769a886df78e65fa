"""Options of listening sockets, which the connections that they accept inherit."""

from __future__ import annotations

import contextlib
import socket

TCP_NOTSENT_LOWAT = 25  # Linux option, which Python's socket module does not define
MAX_UNSENT_BYTES = 128 * 1024  # of a connection that the kernel has not sent yet


def limit_unsent(sock: socket.socket) -> None:
    """Bound the unsent data of a connection in the kernel, if the kernel supports this bound.

    Otherwise its send buffer grows to megabytes for a peer that reads nothing. Connections inherit the bound
    from the socket that accepted them.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
