"""Threads beside an event loop's own, all of which block the process's signals (`process_signals`)."""

from __future__ import annotations

import asyncio
import socket
from concurrent.futures import ThreadPoolExecutor

from firvane.core import process_signals


def make_worker(name: str) -> ThreadPoolExecutor:
    """An executor with one thread, which blocks signals whenever it is started."""
    return ThreadPoolExecutor(1, name, initializer=process_signals.block)


async def start_loop_threads(loop: asyncio.AbstractEventLoop) -> None:
    """Have an event loop start the threads that it keeps for address lookups, while signals are blocked.

    It starts them at its first lookup, and also looks up addresses that are numbers.
    """
    await loop.getnameinfo(("127.0.0.1", 0), socket.NI_NUMERICHOST | socket.NI_NUMERICSERV)
