"""Probes of a process from outside, for any program: whether it is ready, whether it serves, and which it is.

Two processes that accept from one listening socket look alike to a client. The kernel tells which of them has
a
connection: the socket that has accepted it is among the descriptors of one of them.
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
INODE_COLUMN = 9  # of /proc/net/tcp; the columns 1 and 2 are the addresses


class ProbeResult(NamedTuple):
    """The result of a request."""

    pid: int  # of the process that took it; 0: none of the known ones did
    is_answered: bool


class AcceptedSocket(NamedTuple):
    """The other end of a connection."""

    inode: int  # 0: it has not been accepted yet, or is gone
    is_accepted: bool  # or gone


async def is_ready(address: Address, timeout_s: float) -> bool:
    """Whether the admin API at the address reports readiness within the time."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"ready\n")
                return (await reader.readline()).startswith(b"+OK")
            finally:
                writer.transport.abort()
    except (OSError, ValueError):  # TimeoutError is the former, a line without an end the latter
        return False


async def probe(address: Address, pids: Sequence[int], timeout_s: float) -> ProbeResult:
    """Send a request, and find out which of the processes took it, and whether it answered in time."""
    pid = 0
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            try:
                local_address = writer.get_extra_info("sockname")
                while not pid:
                    inode, is_accepted = find_accepted(local_address, address)
                    pid = next((one for one in pids if inode and has_socket(one, inode)), 0)
                    if is_accepted and not pid:
                        break  # another's, or gone already
                    if not pid:
                        await asyncio.sleep(ACCEPT_POLL_INTERVAL_S)
                writer.write(UP_REQUEST)
                return ProbeResult(pid, (await reader.readline()).startswith(b"HTTP/1.1 200 "))
            finally:
                writer.transport.abort()
    except (OSError, ValueError):
        return ProbeResult(pid, False)


def find_accepted(local_address: Address, address: Address) -> AcceptedSocket:
    """Return the other end of a connection from `local_address` to `address`."""
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
    """Whether a process has the socket of that inode."""
    wanted = f"socket:[{inode}]"
    with contextlib.suppress(OSError):
        for descriptor in Path(f"/proc/{pid}/fd").iterdir():
            with contextlib.suppress(OSError):
                if str(descriptor.readlink()) == wanted:
                    return True
    return False


def find_tagged(variable: str) -> Iterator[tuple[int, str]]:
    """Yield the ids of the processes with this variable in their environment, and its value in each.

    What they have started themselves has it, too, and is left out: it leads no session.
    """
    prefix = f"{variable}=".encode()
    for folder in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            for entry in (folder / "environ").read_bytes().split(b"\0"):
                if entry.startswith(prefix) and os.getsid(int(folder.name)) == int(folder.name):
                    yield int(folder.name), entry.removeprefix(prefix).decode(errors="replace")
