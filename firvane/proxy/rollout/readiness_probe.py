"""Whether a process is ready, whether it serves, and which it is: asked from outside, of any program.

Two processes that accept from one listening socket look alike to a client. Which of them has a connection is
told by the kernel: the socket that has accepted it is among the descriptors of one of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
from collections.abc import Iterator, Sequence
from pathlib import Path

from firvane.core.address import Address

LOOK_S = 0.01  # from one look for who has accepted to the next
MOST = 1 << 16  # bytes of an answer that are looked at
UP = b"GET /up HTTP/1.1\r\nHost: place\r\n\r\n"


async def ready(address: Address, wait: float) -> bool:
    """Whether the operators' door says so, within so many seconds."""
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"ready\n")
                return (await reader.readline()).startswith(b"+OK")
            finally:
                writer.transport.abort()
    except (OSError, ValueError):  # TimeoutError is the former, a line without an end the latter
        return False


async def served(address: Address, pids: Sequence[int], wait: float) -> tuple[int, bool]:
    """The process that took a request, 0 where none of these did, and whether it answered within `wait` s."""
    pid = 0
    try:
        async with asyncio.timeout(wait):
            reader, writer = await asyncio.open_connection(*address)
            try:
                ours = writer.get_extra_info("sockname")
                while not pid:
                    inode, is_taken = accepted(ours, address)
                    pid = next((one for one in pids if inode and holds(one, inode)), 0)
                    if is_taken and not pid:
                        break  # another's, or gone already
                    if not pid:
                        await asyncio.sleep(LOOK_S)
                writer.write(UP)
                return pid, (await reader.readline()).startswith(b"HTTP/1.1 200 ")
            finally:
                writer.transport.abort()
    except (OSError, ValueError):
        return pid, False


def accepted(ours: Address, address: Address) -> tuple[int, bool]:
    """The inode of the other end of a connection to `address`, 0 where nobody has accepted it yet; and
    whether somebody has, or it is gone."""
    wanted = [_hex(address), _hex(ours)]
    with open("/proc/net/tcp", encoding="ascii") as table:
        for row in table:
            words = row.split()
            if words[1:3] == wanted:
                return int(words[9]), words[9] != "0"
    return 0, True


def _hex(address: Address) -> str:
    host, port = address[:2]
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{port:04X}"


def holds(pid: int, inode: int) -> bool:
    """Whether a process has that socket."""
    wanted = f"socket:[{inode}]"
    folder = f"/proc/{pid}/fd"
    with contextlib.suppress(OSError):
        for name in os.listdir(folder):
            with contextlib.suppress(OSError):
                if os.readlink(f"{folder}/{name}") == wanted:
                    return True
    return False


def marked(name: str) -> Iterator[tuple[int, str]]:
    """The processes that were started with this variable in their environment, and its value in each.

    What they have started themselves has it, too, and is left out: it leads no session.
    """
    key = f"{name}=".encode()
    for folder in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            for one in (folder / "environ").read_bytes().split(b"\0"):
                if one.startswith(key) and os.getsid(int(folder.name)) == int(folder.name):
                    yield int(folder.name), one.removeprefix(key).decode(errors="replace")
