"""The supervisor of a slot: listens for clients, starts and terminates processes, and answers calls.

Invariants:

1. The supervisor owns the listening socket for its whole lifetime: if a process dies, connecting clients wait
   in the backlog for the next process.
2. The state in `PersistSlot` and its directory entry are synced to disk before the following actions are
   executed. If it cannot be written, the call is rejected or the slot is left unchanged; no process is
   started or terminated.
3. Processes keep running when the supervisor is killed. The next supervisor finds them by a variable in their
   environment. It cannot recover their listening socket: it opens another one on the same address
   (SO_REUSEPORT), starts the same version on it, and terminates the adopted processes once the new process is
   proven.
4. The configuration is read again for each `place-replace` and `place-back`; only its versions and time-outs
   take effect then.
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
from pathlib import Path
from typing import IO

import msgspec

from firvane.core import validation
from firvane.core.address import parse_address
from firvane.core.atomic_write import write_atomically
from firvane.core.checksum import DamagedDataError, add_header, verify
from firvane.core.logs import Log
from firvane.proxy.admin_api.calls import InvalidCallError, format_block, format_error, format_ok
from firvane.proxy.rollout import readiness_probe, supervisor_config
from firvane.proxy.rollout.child_process import ChildProcess
from firvane.proxy.rollout.errors import CallRejectedError
from firvane.proxy.rollout.plan import Version
from firvane.proxy.rollout.slot import Slot
from firvane.proxy.rollout.slot_types import (
    KillProcess,
    LogEvent,
    PersistSlot,
    ProcessTag,
    SlotAction,
    SlotProcess,
    SlotState,
    StartProcess,
    StoredSlot,
    TerminateProcess,
)
from firvane.proxy.rollout.supervisor_calls import Command, ParsedCall, format_status, parse_call
from firvane.proxy.rollout.supervisor_connection import SupervisorConnection

SLOT_MAGIC = b"FVPL"
FORMAT_VERSION = 1
# Environment variable of a slot's processes: number, version, ops index and path of the state file.
TAG_VARIABLE = "FIRVANE_PLACE"
BACKLOG = 1024
TICK_INTERVAL_S = 0.05
READY_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 2.0


def read_slot(path: str | os.PathLike[str]) -> StoredSlot:
    """Return the durable state of a slot.

    Raises:
        OSError: The file cannot be read.
        DamagedDataError: The file holds no valid state.
    """
    _, body = verify(Path(path).read_bytes(), SLOT_MAGIC, FORMAT_VERSION, "place")
    try:
        return msgspec.msgpack.decode(body, type=StoredSlot)
    except (msgspec.MsgspecError, ValueError) as error:
        raise DamagedDataError(f"its fields are not valid: {error}") from None


def encode_slot(stored: StoredSlot) -> bytes:
    """Return the file content for a slot's durable state."""
    return add_header(SLOT_MAGIC, FORMAT_VERSION, msgspec.msgpack.encode(stored))


class Supervisor:
    """The supervisor of one slot."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        path: str,
        log: Log,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        """Read the configuration and lock the slot; call `open` next.

        Args:
            loop: The event loop of the supervisor.
            path: The path of the configuration file.
            log: The logger for the events of processes.
            on_closed: Called when all processes have exited after `close`.

        Raises:
            ValidationError: The configuration is not valid.
            OSError: Another supervisor has locked the slot.
        """
        self.loop = loop
        self.path = path
        self.on_closed = on_closed
        self.config = supervisor_config.read(path)
        self.log = log.bind(slot=self.config.name)
        self.state_path = os.path.normpath(Path(self.config.state).absolute())
        self.listen_address = parse_address(self.config.listen)
        self.api_address = parse_address(self.config.door)
        self.ops_addresses = tuple(map(parse_address, self.config.ops))
        self.children: dict[int, ChildProcess] = {}
        self.probes: set[asyncio.Task[None]] = set()
        self.probed_number = 0  # number of the process that is being probed; there is one probe at a time
        self.connections: set[SupervisorConnection] = set()
        self.server: asyncio.Server | None = None
        self.is_released = False
        self.lock = self._lock()
        self.slot = Slot(self._load(), self.config.timeouts, len(self.ops_addresses))
        self.listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def _lock(self) -> IO[bytes]:
        lock = Path(f"{self.config.state}.lock").open("ab")  # noqa: SIM115 - open until `release`
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            lock.close()
            raise OSError(f"{self.config.state}: another supervisor has locked this slot") from None
        return lock

    def _load(self) -> StoredSlot:
        try:
            return read_slot(self.config.state)
        except FileNotFoundError:
            pass
        except (OSError, DamagedDataError) as error:
            self.log.warning("slot_state_rejected", file=self.config.state, reason=str(error))
        return StoredSlot(self.config.version)

    async def open(self) -> None:
        """Listen, adopt the processes of an earlier supervisor, and start a process if none serves.

        Raises:
            OSError: An address is in use, or the disk cannot be written.
        """
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(self.listen_address)
        self.listener.listen(BACKLOG)
        self.server = await self.loop.create_server(lambda: SupervisorConnection(self), *self.api_address)
        adopted = list(self._adopt())
        if adopted:
            text = "they use an earlier supervisor's socket: a second one is opened on the address"
            pids = ",".join(str(pid) for _, pid in adopted)
            self.log.warning("slot_processes_adopted", pids=pids, text=text)
        self._execute(self.slot.begin(self.loop.time(), adopted))
        self.log.info(
            "supervisor_started",
            listen=self.config.listen,
            api=self.config.door,
            version=self.slot.stored.version,
        )
        self._tick()

    def _adopt(self) -> Iterator[tuple[ProcessTag, int]]:
        """Yield the tags and process ids of the slot's processes that still run."""
        for pid, value in readiness_probe.find_tagged(TAG_VARIABLE):
            number, version, ops_index, state_path = [*value.split(" ", 3), "", "", ""][:4]
            with contextlib.suppress(OSError, ValueError):
                if state_path == self.state_path:
                    tag = ProcessTag(int(number), version, int(ops_index))
                    self._watch(tag.number, ChildProcess(pid, None))
                    yield tag, pid

    def close(self) -> None:
        """Close the slot: terminate all its processes, then call `on_closed`."""
        self._execute(self.slot.close(self.loop.time()))
        self._check_closed()

    def release(self) -> None:
        """Release all resources of the supervisor; the slot's processes keep running."""
        self.is_released = True
        for probe in self.probes:
            probe.cancel()
        for connection in list(self.connections):
            connection.transport.close()
        if self.server:
            self.server.close()
        self.listener.close()
        self.lock.close()

    # Actions

    def _execute(self, actions: list[SlotAction]) -> None:
        for action in actions:
            match action:
                case PersistSlot(stored):
                    write_atomically(self.config.state, encode_slot(stored))
                case StartProcess(tag):
                    self._start(tag)
                case TerminateProcess(number):
                    self._send(number, signal.SIGTERM)
                    self._send(number, signal.SIGCONT)  # a stopped process does not handle SIGTERM
                case KillProcess(number):
                    self._send(number, signal.SIGKILL)
                case LogEvent(event, fields):
                    self.log.info(event, **fields)

    def _send(self, number: int, signal_number: int) -> None:
        if child := self.children.get(number):
            child.send(signal_number)
        else:  # the process was never started
            self.loop.call_soon(self._on_exited, number, -signal.SIGKILL)

    def _start(self, tag: ProcessTag) -> None:
        version = self.config.versions.get(tag.version)
        if version is None:
            self._on_start_failed(tag, f"version {tag.version} is not in {self.path}")
            return
        try:
            child = self._launch(version, tag)
        except OSError as error:
            reason = f"{error.filename}: {error.strerror}" if error.filename else str(error)
            self._on_start_failed(tag, reason)
            return
        self._watch(tag.number, child)
        self.slot.on_started(tag.number, child.pid)

    def _on_start_failed(self, tag: ProcessTag, reason: str) -> None:
        self._execute(self.slot.on_start_failed(self.loop.time(), tag.number, reason))

    def _launch(self, version: Version, tag: ProcessTag) -> ChildProcess:
        env = {**os.environ, "NODE_LISTEN": self.config.listen, **version.environment}
        env |= {
            "NODE_SOCKET_FD": str(self.listener.fileno()),
            "NODE_OPS": self.config.ops[tag.ops_index],
            "FIRVANE_VERSION": tag.version,  # reported in the process's measurements
            TAG_VARIABLE: f"{tag.number} {tag.version} {tag.ops_index} {self.state_path}",
        }
        with contextlib.ExitStack() as files:
            log = files.enter_context(Path(self.config.log).open("ab")) if self.config.log else None
            process = subprocess.Popen(
                version.command,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=(self.listener.fileno(),),
                start_new_session=True,  # a hang-up of the supervisor's terminal does not end the process
            )
        return ChildProcess(process.pid, process)

    # Observations

    def _watch(self, number: int, child: ChildProcess) -> None:
        self.children[number] = child
        self.loop.add_reader(child.descriptor, self._on_child_exited, number, child)

    def _on_child_exited(self, number: int, child: ChildProcess) -> None:
        self.loop.remove_reader(child.descriptor)
        os.close(child.descriptor)
        del self.children[number]
        self._on_exited(number, child.exit_code())

    def _on_exited(self, number: int, code: int) -> None:
        self._execute(self.slot.on_exited(self.loop.time(), number, code))
        self._check_closed()

    def _check_closed(self) -> None:
        if self.slot.state is SlotState.CLOSED and not self.children:
            self.on_closed()

    def _tick(self) -> None:
        if self.is_released:
            return
        failure: OSError | None = None
        try:
            self._execute(self.slot.tick(self.loop.time()))
            self._begin_probe()
        except OSError as error:  # mostly disk errors; the next tick tries again
            failure = error
        if failure:
            self.log.error("slot_action_failed", reason=str(failure))
        self.loop.call_later(TICK_INTERVAL_S, self._tick)

    def _begin_probe(self) -> None:
        """Start a probe of the candidate if none is running: for readiness first, then with a request."""
        candidate = self.slot.candidate
        if candidate is None or self.probed_number == candidate.number or not candidate.pid:
            return
        self.probed_number = candidate.number
        is_ready = candidate.ready_at <= self.loop.time()
        probe = self._probe_request(candidate) if is_ready else self._probe_readiness(candidate)
        task = self.loop.create_task(probe)
        self.probes.add(task)
        task.add_done_callback(self._on_probe_done)

    def _on_probe_done(self, task: asyncio.Task[None]) -> None:
        self.probes.discard(task)
        self.probed_number = 0
        if not task.cancelled() and (error := task.exception()):
            self.log.error("slot_action_failed", reason=str(error))

    async def _probe_readiness(self, process: SlotProcess) -> None:
        if await readiness_probe.is_ready(self.ops_addresses[process.tag.ops_index], READY_TIMEOUT_S):
            self._execute(self.slot.on_ready(self.loop.time(), process.number))

    async def _probe_request(self, process: SlotProcess) -> None:
        pids = [child.pid for child in self.children.values()]
        pid, is_answered = await readiness_probe.probe(self.listen_address, pids, PROBE_TIMEOUT_S)
        # A request lost before any process accepted it counts against the candidate: the old process served.
        if pid == process.pid or (not pid and not is_answered):
            self._execute(self.slot.on_probed(self.loop.time(), process.number, is_answered))

    # Calls

    def answer(self, line: bytes) -> bytes:
        """Return the response to a call."""
        try:
            call = parse_call(line)
        except InvalidCallError as error:
            return format_error(str(error))
        if call.command is Command.STATUS:
            return format_block(format_status(self._status()))
        try:
            self._execute(self._apply(call))
        except (CallRejectedError, validation.ValidationError) as error:
            return format_error(str(error).splitlines()[0])
        except OSError as error:
            self._fail_unstarted_candidate()
            return format_error(f"the slot's state cannot be written: {error.strerror or error}")
        return format_ok(self.slot.state.value)

    def _apply(self, call: ParsedCall) -> list[SlotAction]:
        """Apply a call that changes the slot, and return the actions due."""
        now = self.loop.time()
        match call.command:
            case Command.CLAIM:
                return self.slot.claim(call.token, call.argument)
            case Command.ABANDON:
                return self.slot.abandon(now, call.token)
            case Command.BACK:
                self._reload()
                return self.slot.revert(now, call.token)
            case _:
                self._reload()
                if call.argument not in self.config.versions:
                    known = ", ".join(sorted(self.config.versions))
                    raise CallRejectedError(f"unknown version: there are {known}")
                return self.slot.replace(now, call.argument, call.token)

    def _fail_unstarted_candidate(self) -> None:
        """Drop the candidate of a call that could not be persisted, if it was not started yet."""
        if (candidate := self.slot.candidate) and not candidate.pid:
            with contextlib.suppress(OSError):
                reason = "the slot's state cannot be written to disk"
                self._execute(self.slot.on_start_failed(self.loop.time(), candidate.number, reason))

    def _reload(self) -> None:
        config = supervisor_config.read(self.path)
        self.config = msgspec.structs.replace(self.config, versions=config.versions)
        self.slot.timeouts = config.timeouts

    def _status(self) -> dict[str, str | int]:
        fields = self.slot.status()
        ops_index = int(fields.pop("door"))
        ops = self.config.ops[ops_index] if 0 <= ops_index < len(self.config.ops) else "-"
        listener = "another keeper's" if self.slot.is_adopted else "held"
        return {"name": self.config.name, "zone": self.config.zone, **fields, "ops": ops, "socket": listener}


def supervise(path: str, log: Log) -> int:
    """Supervise a slot until SIGTERM or SIGINT, and return the exit code of the command.

    Raises:
        ValidationError: The configuration is not valid.
        OSError: The slot or an address is in use, or the disk cannot be written.
    """
    import uvloop

    async def run() -> None:
        loop = asyncio.get_running_loop()
        closed = asyncio.Event()
        supervisor = Supervisor(loop, path, log, closed.set)
        try:
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, supervisor.close)
            await supervisor.open()
            await closed.wait()
        finally:
            supervisor.release()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
    return 0
