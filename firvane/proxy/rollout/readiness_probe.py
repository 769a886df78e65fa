"""External probes: whether a process is ready, whether it serves, and which process accepts a connection.

A client cannot distinguish two processes that accept from the same listening socket. /proc shows which of
them has a connection: the accepted socket is among the descriptors of that process.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import NamedTuple

from firvane.core.address import Address

ACCEPT_POLL_INTERVAL_S = 0.01
UP_REQUEST = b"GET /up HTTP/1.1\r\nHost: place\r\n\r\n"
INODE_COLUMN = 9  # of /proc/net/tcp; columns 1 and 2 are the local and the remote address


class ProbeResult(NamedTuple):
    """The result of a probe request."""

    pid: int  # the process that accepted the request; 0 if it is none of the known processes
    is_answered: bool


class AcceptedSocket(NamedTuple):
    """The server's end of a connection."""

    inode: int  # 0 if the connection has not been accepted yet, or is closed
    is_accepted: bool  # true also for a closed connection


async def is_ready(address: Address, timeout_s: float) -> bool:
    """Whether the admin API at the address reports readiness within the time-out."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"ready\n")
                return (await reader.readline()).startswith(b"+OK")
            finally:
                writer.transport.abort()
    except (OSError, ValueError):  # TimeoutError is an OSError; a line that is too long raises ValueError
        return False


async def probe(address: Address, pids: Sequence[int], timeout_s: float) -> ProbeResult:
    """Send a request; return which of the processes accepted it, and whether it was answered in time."""
    pid = 0
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                local_address = writer.get_extra_info("sockname")
                while not pid:
                    inode, is_accepted = find_accepted(local_address, address)
                    pid = next((known for known in pids if inode and has_socket(known, inode)), 0)
                    if is_accepted and not pid:
                        break  # accepted by another process, or closed already
                    if not pid:
                        await asyncio.sleep(ACCEPT_POLL_INTERVAL_S)
                writer.write(UP_REQUEST)
                return ProbeResult(pid, (await reader.readline()).startswith(b"HTTP/1.1 200 "))
            finally:
                writer.transport.abort()
    except (OSError, ValueError):
        return ProbeResult(pid, False)


def find_accepted(local_address: Address, address: Address) -> AcceptedSocket:
    """Return the server's end of a connection from `local_address` to `address`."""
    wanted = [_hex(address), _hex(local_address)]
    with Path("/proc/net/tcp").open(encoding="ascii") as table:
        for row in table:
            columns = row.split()
            if columns[1:3] == wanted:
                inode = columns[INODE_COLUMN]
                return AcceptedSocket(int(inode), inode != "0")
    return AcceptedSocket(0, True)


def _hex(address: Address) -> str:
    host, port = address[:2]
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{port:04X}"


def has_socket(pid: int, inode: int) -> bool:
    """Whether a process has a descriptor of the socket with this inode."""
    wanted = f"socket:[{inode}]"
    with contextlib.suppress(OSError):
        for descriptor in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if str(descriptor.readlink()) == wanted:
                    return True
    return False


def find_tagged(variable: str) -> Iterator[tuple[int, str]]:
    """Yield the id and the value of each session leader with this environment variable.

    Child processes of these inherit the variable; they are left out, as they lead no session.
    """
    prefix = f"{variable}=".encode()
    for folder in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            for entry in (folder / "environ").read_bytes().split(b"\0"):
                if entry.startswith(prefix) and os.getsid(int(folder.name)) == int(folder.name):
                    yield int(folder.name), entry.removeprefix(prefix).decode(errors="replace")
