"""Virtual time: asyncio's own loop, on which time moves only when nothing is ready, and then at once.

Rules that hold here and nowhere else:

1. What is ready runs in the order in which it became so; what is due at one instant, in the order in which it
   was set. Nothing depends on the system's clock, on hashes or on addresses in memory.
2. The clock stands still while anything is ready. It then moves to the next thing due that is not cancelled.
3. A loop that cannot go on is an error: `Deadlock` where nothing is ready nor due, `Stuck` where the clock
   stands still for more turns than is reasonable. Both name what is to blame.
4. There is no other world: signals, threads, files and sockets are refused with `NotVirtual`.
"""

from __future__ import annotations

import asyncio
import itertools
from asyncio import format_helpers
from collections import deque
from collections.abc import Callable, Coroutine, Generator
from contextvars import Context, copy_context
from heapq import heapify, heappop, heappush
from typing import Any, NoReturn, TypeVar

from firvane.simulation.runner.arrivals import Arrivals
from firvane.simulation.runner.process import PROCESS, Process, ProcessLoop, Turn, host_here
from firvane.simulation.runner.virtual_network import Listening, Memory, Parcel
from firvane.simulation.runner.zones import Network, Same

T = TypeVar("T")
Callback = Callable[..., Any]
Coro = Generator[Any, None, T] | Coroutine[Any, Any, T]

TURNS = 10_000  # of the loop at one instant: more than any work that ends is in need of
FEW = 512  # cancelled timers that may lie about


class NotVirtual(RuntimeError):  # noqa: N818 - says what it is
    """Asked of the loop, but not to be had in virtual time."""


class Deadlock(RuntimeError):  # noqa: N818
    """Nothing is ready and nothing is due: it would wait for ever."""


class Stuck(RuntimeError):  # noqa: N818
    """The clock stands still however often the loop turns."""


class Soon(asyncio.Handle):
    """A handle that is quicker to make than asyncio's."""

    __slots__ = ()
    _context: Context
    _repr = _source_traceback = None  # only asyncio's debug mode has a use for them

    def __init__(
        self, callback: Callback, args: tuple[Any, ...], loop: VirtualLoop, context: Context | None
    ) -> None:
        self._context = copy_context() if context is None else context
        self._callback, self._args, self._loop, self._cancelled = callback, args, loop, False

    def cancel(self) -> None:
        self._cancelled = True


class Timer(asyncio.TimerHandle):
    """A timer that is quicker to make than asyncio's."""

    __slots__ = ()
    _callback: Any
    _args: Any
    _context: Context
    _repr = _source_traceback = None

    def __init__(
        self,
        when: float,
        callback: Callback,
        args: tuple[Any, ...],
        loop: VirtualLoop,
        context: Context | None,
    ) -> None:
        self._context = copy_context() if context is None else context
        self._callback, self._args, self._loop, self._cancelled = callback, args, loop, False
        self._when = when

    def cancel(self) -> None:
        if not self._cancelled:
            self._cancelled, self._callback, self._args = True, None, None
            if self._when > self._loop.now:  # else it is on its way out by itself
                self._loop.cancelled += 1


class VirtualLoop(ProcessLoop):
    """An event loop in virtual time, with connections in memory.

    `now` is the time in seconds, from `start` on. `network` tells how long what goes from one host to another
    is on its way. More than `turns` turns at one instant are an error.
    """

    _ready: deque[Any]  # Turn; the base class's own, which it clears when it is closed
    _stopping: bool

    def __init__(self, network: Network | None = None, start: float = 0.0, turns: int = TURNS) -> None:
        super().__init__()
        self.now, self.turns = start, turns
        self.memory = Memory(self, network or Same())
        self.stalled: dict[Process, list[Turn]] = {}  # processes that stand still, and what waits for them
        self.cancelled = 0  # timers cancelled since those were last taken away
        self._due: list[tuple[float, int, Any]] = []  # a heap: when, in which order, what (Turn)
        self._order = itertools.count().__next__

    def time(self) -> float:
        return self.now

    # What is to run

    def call_soon(  # type: ignore[override]
        self, callback: Callback, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        handle = Soon(callback, args, self, context)
        self._ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callback, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        if when != when:
            raise ValueError("a time that is not a number")
        timer = Timer(when, callback, args, self, context)
        heappush(self._due, (when, self._order(), timer))
        return timer

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callback, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        return self.call_at(self.now + delay, callback, *args, context=context)

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callback, *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        # Only asyncio's handler of Ctrl-C has a use for it, which runs in the loop's own thread.
        return self.call_soon(callback, *args, context=context)

    def push(self, when: float, turn: Turn) -> None:
        """Run something at a time, now where that has come, without a handle of its own."""
        if when > self.now:
            heappush(self._due, (when, self._order(), turn))
        else:
            self._ready.append(turn)

    def create_task(
        self, coro: Coro[T], *, name: object = None, context: Context | None = None
    ) -> asyncio.Task[T]:
        task = super().create_task(coro, name=name, context=context)
        process = PROCESS.get() if context is None else context.get(PROCESS)
        if process:
            process.tasks[task] = None
            task.add_done_callback(process.done)
        return task

    def _run_once(self) -> None:
        """Turns, until the loop is to stop; each runs what is due and what is ready when it begins."""
        ready, due = self._ready, self._due
        stood = 0  # turns since the clock last moved
        while True:
            if self.cancelled > FEW and 2 * self.cancelled > len(due):
                due[:] = [entry for entry in due if not entry[2]._cancelled]
                heapify(due)
                self.cancelled = 0
            stood += 1
            if not ready:
                while due and due[0][2]._cancelled:
                    heappop(due)
                if not due or due[0][0] == float("inf"):
                    raise Deadlock(f"nothing is ready nor due at {self.now:.6f} s, and {self._waiting()}")
                when, _, turn = heappop(due)
                if when > self.now:
                    self.now, stood = when, 0
                if stood < self.turns and (not due or due[0][0] > when):  # alone, as nearly always
                    if not (self.stalled and self._holds(turn)):
                        turn._run()
                    if self._stopping:
                        return
                    continue
                ready.append(turn)
            now = self.now
            if stood >= self.turns:
                raise Stuck(f"{stood} turns at {now:.6f} s and no end; next is {describe(ready[0])}")
            while due and due[0][0] <= now:
                ready.append(heappop(due)[2])
            for _ in range(len(ready)):
                turn = ready.popleft()
                if not (turn._cancelled or (self.stalled and self._holds(turn))):
                    turn._run()
            if self._stopping:
                return

    def stall(self, process: Process, stands: bool) -> None:
        """Hold back all that is a process's until it goes on; then it runs in its order, late."""
        if stands:
            self.stalled.setdefault(process, [])
        else:
            self._ready.extend(self.stalled.pop(process, ()))

    def _holds(self, turn: Turn) -> bool:
        """Whether the turn is of a process that stands still; it is kept for later, then."""
        process = owner(turn)
        if process is None or process not in self.stalled:
            return False
        self.stalled[process].append(turn)
        return True

    def _waiting(self) -> str:
        tasks = sorted(str(task.get_coro()) for task in asyncio.all_tasks(self))
        return f"these wait: {', '.join(tasks)}" if tasks else "no task waits"

    def drop(self, process: Process) -> None:
        """Cancel what a process has set."""
        self.stalled.pop(process, None)
        for turn in [*self._ready, *(entry[2] for entry in self._due)]:
            if (
                isinstance(turn, Soon | Timer)
                and turn._context.get(PROCESS) is process
                and not _is_inner(turn)
            ):
                turn.cancel()

    def drop_connections(self, process: Process, silently: bool) -> None:
        self.memory.drop(process, silently)

    # Connections

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: str | None = None,
        port: int | None = None,
        *,
        local_addr: tuple[str, int] | None = None,
        **more: Any,
    ) -> tuple[asyncio.Transport, Any]:
        """Connect in memory. `OSError` as on sockets."""
        _refuse(more)
        assert host is not None and port is not None
        future: asyncio.Future[tuple[asyncio.Transport, Any]] = self.create_future()
        source = local_addr[0] if local_addr else host_here() or host

        def up(transport: asyncio.Transport, protocol: asyncio.BaseProtocol) -> None:
            if not future.done():
                future.set_result((transport, protocol))

        def refused(error: OSError) -> None:
            if not future.done():
                future.set_exception(error)

        connecting = self.memory.connect(source, (host, port), protocol_factory, up, refused)
        try:
            return await future
        except asyncio.CancelledError:
            connecting.close()
            raise

    async def create_server(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: Any = None,
        port: int | None = None,
        **more: Any,
    ) -> Listening:
        """Listen in memory. `OSError` where the address is taken."""
        _refuse(more)
        host = host_here() if host is None else host
        if not isinstance(host, str):
            raise NotVirtual("a server listens at one address")
        return self.memory.listen((host, port or 0), protocol_factory)

    async def create_datagram_endpoint(  # type: ignore[override]
        self,
        protocol_factory: Callable[[], asyncio.DatagramProtocol],
        local_addr: tuple[str, int] | None = None,
        remote_addr: tuple[str, int] | None = None,
        **more: Any,
    ) -> tuple[asyncio.DatagramTransport, Any]:
        """Send and take datagrams in memory. `OSError` where the address is taken."""
        _refuse(more)
        local = local_addr or (host_here() or "127.0.0.1", 0)
        return self.memory.datagrams(local, remote_addr, protocol_factory)


def _no(self: VirtualLoop, *args: Any, **more: Any) -> NoReturn:
    raise NotVirtual("virtual time has no signals, threads, files, sockets, names or other processes")


for name in (
    *("add_signal_handler", "remove_signal_handler", "run_in_executor", "getaddrinfo", "getnameinfo"),
    *(
        "add_reader",
        "remove_reader",
        "add_writer",
        "remove_writer",
        "sock_recv",
        "sock_recv_into",
        "sock_sendall",
    ),
    *("sock_connect", "sock_accept", "connect_accepted_socket", "connect_read_pipe", "connect_write_pipe"),
    *(
        "create_unix_connection",
        "create_unix_server",
        "subprocess_exec",
        "subprocess_shell",
        "start_tls",
        "sendfile",
    ),
):
    setattr(VirtualLoop, name, _no)


def _refuse(more: dict[str, Any]) -> None:
    for name, value in more.items():
        if value is not None and name not in ("backlog", "start_serving", "reuse_address", "reuse_port"):
            raise NotVirtual(f"connections in memory have no {name}")


def owner(turn: Any) -> Process | None:
    """Whose turn it is: a handle's, an arrival's at one side of a connection, or a datagram's."""
    if isinstance(turn, Soon | Timer):
        return None if _is_inner(turn) else turn._context.get(PROCESS)
    if isinstance(turn, Arrivals):
        return turn.process or getattr(getattr(turn.on_open, "__self__", None), "process", None)
    return turn.owner() if isinstance(turn, Parcel) else None


def _is_inner(handle: Any) -> bool:
    """Whether it is a task's step or tells of a future's end: without these no task could be cancelled."""
    args: tuple[Any, ...] = handle._args or ()
    return isinstance(getattr(handle._callback, "__self__", None), asyncio.Task) or (
        len(args) == 1 and isinstance(args[0], asyncio.Future)
    )


def describe(turn: Any) -> str:
    """What a handle calls, or what else stands to be run."""
    callback = getattr(turn, "_callback", None)
    return format_helpers._format_callback_source(callback, turn._args) if callback else repr(turn)
