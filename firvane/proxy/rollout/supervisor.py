"""A place's keeper: it holds the clients' listening socket, starts and ends processes, and is called.

Rules that hold here and nowhere else:

1. The socket is the keeper's, from its start to its end: whatever dies, whoever connects waits for the next.
2. What `Keep` says is on disk, with its folder, before what follows it is done. Where it cannot be written
   the call is refused, or the place stays as it is; nothing is started or ended for it.
3. Processes live on when the keeper is killed. The one that comes after it finds them by a word in their
   environment. It cannot have their socket back: it opens another beside it (SO_REUSEPORT), starts the same
   version on that, and ends those of before once that one is proven.
4. The file of the place is read again at each `place-replace` and `place-back`; of what it says then only
   the versions and the times count.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import signal
import socket
import subprocess
from collections.abc import Callable, Iterator
from functools import partial
from pathlib import Path
from typing import IO, cast

import msgspec

from firvane.core import validation
from firvane.core.address import parse_address
from firvane.core.atomic_write import write_atomically
from firvane.core.checksum import Damaged, verify, with_header
from firvane.core.logs import Log
from firvane.proxy.admin_api.calls import LONGEST, Useless, lines, no, yes
from firvane.proxy.rollout import readiness_probe, supervisor_config
from firvane.proxy.rollout.plan import Version
from firvane.proxy.rollout.slot import Slot
from firvane.proxy.rollout.slot_types import (
    Action,
    Keep,
    Kept,
    Kill,
    Mark,
    Note,
    Process,
    Refused,
    Start,
    State,
    Terminate,
)
from firvane.proxy.rollout.supervisor_calls import Order, ordered, told

MAGIC, FORMAT = b"FVPL", 1
MARK = "FIRVANE_PLACE"  # in the environment of a place's processes: number, version, door, the state's file
BACKLOG = 1024
TURN_S = 0.05  # from one look at time and processes to the next
ASK_S = 1.0  # for an answer to `ready`
ANSWER_S = 2.0  # for one to a request
STAY_S = 5.0  # that a caller may take for its line
CALLERS = 32


def read_kept(path: str | os.PathLike[str]) -> Kept:
    """What a place keeps; `OSError` or `Damaged`."""
    _, body = verify(Path(path).read_bytes(), MAGIC, FORMAT, "place")
    try:
        return msgspec.msgpack.decode(body, type=Kept)
    except (msgspec.MsgspecError, ValueError) as error:
        raise Damaged(f"its words do not fit: {error}") from None


class Child:
    """A process of the place, started here or found."""

    def __init__(self, pid: int, made: subprocess.Popen[bytes] | None) -> None:
        self.pid, self.made = pid, made
        self.handle = os.pidfd_open(pid)  # `OSError` where it is gone

    def send(self, number: int) -> None:
        with contextlib.suppress(ProcessLookupError):
            signal.pidfd_send_signal(self.handle, number)

    def code(self) -> int:
        """How it has ended, which only whoever started it can tell."""
        return self.made.wait() if self.made else 0


class Keeper:
    """One place's. `open` comes first; `over` is called when all has ended after `close`."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, path: str, log: Log, over: Callable[[], None] = lambda: None
    ) -> None:
        """Raises `ValidationError` for a file of no use, `OSError` where another keeper has the place."""
        self.loop, self.path, self.over = loop, path, over
        self.site = supervisor_config.read(path)
        self.log = log.bind(place=self.site.name)
        self.state = os.path.abspath(self.site.state)
        self.listen, self.door = parse_address(self.site.listen), parse_address(self.site.door)
        self.ops = tuple(map(parse_address, self.site.ops))
        self.children: dict[int, Child] = {}
        self.asks: set[asyncio.Task[None]] = set()
        self.asking = 0  # the process that is being asked, one question at a time
        self.callers: set[Caller] = set()
        self.server: asyncio.Server | None = None
        self.is_over = False
        self.lock: IO[bytes] = open(f"{self.site.state}.lock", "ab")  # noqa: SIM115 - held until the end
        try:
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.lock.close()
            raise OSError(f"{self.site.state}: another keeper has this place") from None
        self.place = Slot(self._recall(), self.site.times, len(self.ops))
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def _recall(self) -> Kept:
        try:
            return read_kept(self.site.state)
        except FileNotFoundError:
            pass
        except (OSError, Damaged) as error:
            self.log.warning("place_file_useless", file=self.site.state, why=str(error))
        return Kept(self.site.version)

    async def open(self) -> None:
        """Be there; `OSError` where an address cannot be had, or the disk is of no use."""
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.sock.bind(self.listen)
        self.sock.listen(BACKLOG)
        self.server = await self.loop.create_server(lambda: Caller(self), *self.door)
        found = list(self._found())
        if found:
            text = "their socket is not this keeper's: another one is opened beside it"
            self.log.warning("place_found", pids=",".join(str(pid) for _, pid in found), text=text)
        self._do(self.place.open(self.loop.time(), found))
        self.log.info("place", listen=self.site.listen, door=self.site.door, version=self.place.kept.version)
        self._turn()

    def _found(self) -> Iterator[tuple[Mark, int]]:
        for pid, value in readiness_probe.marked(MARK):
            number, version, door, state = [*value.split(" ", 3), "", "", ""][:4]
            with contextlib.suppress(OSError, ValueError):
                if state == self.state:
                    mark = Mark(int(number), version, int(door))
                    self._watch(mark.number, Child(pid, None))
                    yield mark, pid

    def close(self) -> None:
        """Give the place up: all its processes end, then `over` is called."""
        self._do(self.place.close(self.loop.time()))
        self._look_over()

    def release(self) -> None:
        """Leave the loop: what runs is left running."""
        self.is_over = True
        for ask in self.asks:
            ask.cancel()
        for caller in list(self.callers):
            caller.transport.close()
        if self.server:
            self.server.close()
        self.sock.close()
        self.lock.close()

    # What is done

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Keep(kept):
                    write_atomically(
                        self.site.state, with_header(MAGIC, FORMAT, msgspec.msgpack.encode(kept))
                    )
                case Start(mark):
                    self._start(mark)
                case Terminate(number):
                    self._send(number, signal.SIGTERM)
                    self._send(number, signal.SIGCONT)  # one that stands still would not hear it
                case Kill(number):
                    self._send(number, signal.SIGKILL)
                case Note(event, fields):
                    self.log.info(event, **fields)

    def _send(self, number: int, which: int) -> None:
        if child := self.children.get(number):
            child.send(which)
        else:  # it never came to be
            self.loop.call_soon(self._gone, number, -signal.SIGKILL)

    def _start(self, mark: Mark) -> None:
        how = self.site.versions.get(mark.version)
        try:
            if how is None:
                raise OSError(f"{mark.version} is not in {self.path}")
            child = self._launch(how, mark)
        except OSError as error:
            why = f"{error.filename}: {error.strerror}" if error.filename else str(error)
            self._do(self.place.unstartable(self.loop.time(), mark.number, why))
            return
        self._watch(mark.number, child)
        self.place.started(mark.number, child.pid)

    def _launch(self, how: Version, mark: Mark) -> Child:
        env = {**os.environ, "NODE_LISTEN": self.site.listen, **how.environment}
        env |= {"NODE_SOCKET_FD": str(self.sock.fileno()), "NODE_OPS": self.site.ops[mark.door]}
        env["FIRVANE_VERSION"] = mark.version  # what its measures say
        env[MARK] = f"{mark.number} {mark.version} {mark.door} {self.state}"
        with contextlib.ExitStack() as files:
            log = files.enter_context(open(self.site.log, "ab")) if self.site.log else None
            made = subprocess.Popen(
                how.command,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(self.sock.fileno(),),
                start_new_session=True,  # what ends the keeper's terminal does not end it
            )
        return Child(made.pid, made)

    # What is seen

    def _watch(self, number: int, child: Child) -> None:
        self.children[number] = child
        self.loop.add_reader(child.handle, self._ended, number, child)

    def _ended(self, number: int, child: Child) -> None:
        self.loop.remove_reader(child.handle)
        os.close(child.handle)
        del self.children[number]
        self._gone(number, child.code())

    def _gone(self, number: int, code: int) -> None:
        self._do(self.place.exited(self.loop.time(), number, code))
        self._look_over()

    def _look_over(self) -> None:
        if self.place.state is State.CLOSED and not self.children:
            self.over()

    def _turn(self) -> None:
        if self.is_over:
            return
        try:
            self._do(self.place.tick(self.loop.time()))
            self._ask()
        except OSError as error:  # the disk, above all: the next turn tries again
            self.log.error("place_stuck", why=str(error))
        self.loop.call_later(TURN_S, self._turn)

    def _ask(self) -> None:
        """One question at a time to the process that is to come: whether it is ready, then a request."""
        coming = self.place.coming
        if coming is None or self.asking == coming.number or not coming.pid:
            return
        self.asking = coming.number
        is_ready = coming.ready_at <= self.loop.time()
        ask = self.loop.create_task((self._probe if is_ready else self._ready)(coming))
        self.asks.add(ask)
        ask.add_done_callback(self._asked)

    def _asked(self, ask: asyncio.Task[None]) -> None:
        self.asks.discard(ask)
        self.asking = 0
        if not ask.cancelled() and (error := ask.exception()):
            self.log.error("place_stuck", why=str(error))

    async def _ready(self, one: Process) -> None:
        if await readiness_probe.ready(self.ops[one.mark.door], ASK_S):
            self._do(self.place.ready(self.loop.time(), one.number))

    async def _probe(self, one: Process) -> None:
        pids = [child.pid for child in self.children.values()]
        pid, is_well = await readiness_probe.served(self.listen, pids, ANSWER_S)
        # What was lost before anybody was seen to have it is laid to the new one: the other served so far.
        if pid == one.pid or (not pid and not is_well):
            self._do(self.place.probed(self.loop.time(), one.number, is_well))

    # What is called

    def answer(self, line: bytes) -> bytes:
        """The answer to a call."""
        try:
            asked = ordered(line)
        except Useless as useless:
            return no(str(useless))
        now, place = self.loop.time(), self.place
        if asked.order is Order.STATUS:
            return lines(told(self._status()))
        try:
            match asked.order:
                case Order.CLAIM:
                    self._do(place.claim(asked.roll, asked.word))
                case Order.ABANDON:
                    self._do(place.abandon(now, asked.roll))
                case Order.BACK:
                    self._reread()
                    self._do(place.back(now, asked.roll))
                case _:
                    self._reread()
                    if asked.word not in self.site.versions:
                        return no(f"unknown version: there are {', '.join(sorted(self.site.versions))}")
                    self._do(place.replace(now, asked.word, asked.roll))
        except (Refused, validation.ValidationError) as error:
            return no(str(error).splitlines()[0])
        except OSError as error:
            if (coming := place.coming) and not coming.pid:  # it was not started
                with contextlib.suppress(OSError):
                    self._do(place.unstartable(now, coming.number, "its place cannot be kept on disk"))
            return no(f"it cannot be kept: {error.strerror or error}")
        return yes(place.state.value)

    def _reread(self) -> None:
        read = supervisor_config.read(self.path)
        self.site = msgspec.structs.replace(self.site, versions=read.versions)
        self.place.times = read.times

    def _status(self) -> dict[str, str | int]:
        fields = self.place.status()
        door = int(fields.pop("door"))
        where = self.site.ops[door] if 0 <= door < len(self.site.ops) else "-"
        socket_ = "another keeper's" if self.place.is_found else "held"
        return {"name": self.site.name, "zone": self.site.zone, **fields, "ops": where, "socket": socket_}


class Caller(asyncio.Protocol):
    """One that calls: a line, an answer, a close."""

    def __init__(self, keeper: Keeper) -> None:
        self.keeper, self.held, self.done = keeper, bytearray(), False
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        if len(self.keeper.callers) >= CALLERS:
            transport.close()
            return
        self.keeper.callers.add(self)
        self.keeper.loop.call_later(STAY_S, partial(self.transport.abort))

    def connection_lost(self, error: Exception | None) -> None:
        self.keeper.callers.discard(self)

    def data_received(self, data: bytes) -> None:
        if self.done:
            return
        self.held += data
        line, end, _ = bytes(self.held).partition(b"\n")
        if end or len(self.held) > LONGEST:
            self._say(self.keeper.answer(line.strip()))

    def eof_received(self) -> None:
        if not self.done:
            self._say(no("the call has no end: a line feed is missing"))

    def _say(self, answer: bytes) -> None:
        self.done = True
        self.transport.write(answer)
        if not self.transport.is_closing():
            self.transport.write_eof()


def keep(path: str, log: Log) -> int:
    """A place until SIGTERM or SIGINT; the exit code. Raises as `Keeper` and its `open` do."""
    import uvloop

    async def run() -> None:
        loop = asyncio.get_running_loop()
        over = asyncio.Event()
        keeper = Keeper(loop, path, log, over.set)
        try:
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, keeper.close)
            await keeper.open()
            await over.wait()
        finally:
            keeper.release()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    return 0
