"""A process in virtual time: what runs under one name on one host, and dies as a whole; and its loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from contextvars import ContextVar, copy_context
from typing import Any, Protocol, TypeVar

T = TypeVar("T")


class Turn(Protocol):
    """What the loop can run: a handle, or an object of a connection that is its own."""

    _cancelled: bool

    def _run(self) -> object: ...


class Ending(Protocol):
    """What ends with its process: one side of a connection."""

    def die(self, silently: bool) -> None:
        """Its process has ended, or its whole machine `silently`."""


class ProcessLoop(asyncio.BaseEventLoop):
    """What processes and their connections ask of the loop in virtual time."""

    now: float  # s

    def push(self, when: float, turn: Turn) -> None:
        """Run something at a time, now where that has come, without a handle of its own."""
        raise NotImplementedError

    def drop(self, process: Process) -> None:
        """Cancel what a process has set."""
        raise NotImplementedError

    def drop_connections(self, process: Process, silently: bool) -> None:
        """End what a process has open; who is at the other side hears nothing of it where `silently`."""
        raise NotImplementedError


class Process:
    """Owns whatever its callbacks and tasks set and start, since all of that inherits their context."""

    def __init__(self, loop: ProcessLoop, name: str, host: str) -> None:
        self.loop, self.name, self.host = loop, name, host
        self.alive = True
        self.tasks: dict[asyncio.Task[Any], None] = {}
        self.ends: dict[Ending, None] = {}  # of connections
        self.context = copy_context()
        self.context.run(PROCESS.set, self)

    def call(self, callback: Callable[..., T], *args: Any) -> T:
        """Call something as a part of it."""
        return self.context.copy().run(callback, *args)

    def start(self, coro: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task as a part of it."""
        return self.loop.create_task(coro, context=self.context.copy())

    def done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.pop(task, None)

    def kill(self, silently: bool = False) -> None:
        """End it without a word to it: nothing that it has set runs any more.

        The other sides of its connections are told with a reset, unless its whole machine is gone `silently`:
        they then hear nothing until they send to a host that is back. Its coroutines see a CancelledError.
        """
        if not self.alive:
            return
        self.alive = False
        self.loop.drop_connections(self, silently)
        self.loop.drop(self)
        for task in list(self.tasks):
            task.cancel()
        self.loop.call_soon(self.loop.drop, self)  # and what the coroutines set in their last turn


PROCESS: ContextVar[Process | None] = ContextVar("PROCESS", default=None)


def host_here() -> str | None:
    """The host of the process that is at work, None outside of all."""
    process = PROCESS.get()
    return process.host if process else None
