"""Worker threads of a process with an event loop; they block the process's signals (`process_signals`)."""

from __future__ import annotations

import asyncio
import socket
from concurrent.futures import ThreadPoolExecutor

from firvane.core import process_signals


def make_worker(name: str) -> ThreadPoolExecutor:
    """Return an executor with one thread, which blocks signals when it starts."""
    return ThreadPoolExecutor(1, name, initializer=process_signals.block)


async def start_loop_threads(loop: asyncio.AbstractEventLoop) -> None:
    """Make an event loop start its threads for address lookups while signals are blocked.

    The loop starts them at its first lookup, also if the address is numeric.
    """
    await loop.getnameinfo(("127.0.0.1", 0), socket.NI_NUMERICHOST | socket.NI_NUMERICSERV)
