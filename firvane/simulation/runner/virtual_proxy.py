"""A proxy in virtual time: the real one, started, ended and killed in this process as it would be on its own.

This is the only place in the rehearsal that knows the proxy. Nothing here looks into it.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial
from typing import Any, Generic, TypeVar, cast

from firvane.core.logs import Log
from firvane.core.net.connection_checks import NoInputCheck, always_true
from firvane.core.net.dialer import Dialing
from firvane.core.terminations import Termination
from firvane.proxy.config.proxy_config import Config
from firvane.proxy.net.listening_socket import ConnectionFactory, LoopAcceptor
from firvane.proxy.net.resource_monitor import Usage
from firvane.proxy.proxy import Proxy
from firvane.simulation.runner.process import Process
from firvane.simulation.runner.virtual import VirtualLoop
from firvane.simulation.runner.virtual_network import Memory

log = logging.getLogger(__name__)

P = TypeVar("P", bound=asyncio.BaseProtocol)

KILLED, FAILED = -9, 1  # exit codes
UNKNOWN = Usage(0.0, 0)  # what it uses here is a part of what this process does, and not to be told apart


class MemoryDial(Generic[P]):
    """A connection to a target being made in memory."""

    def __init__(
        self,
        dialer: MemoryDialer,
        address: tuple[str, int],
        deadline: float,
        factory: Callable[[NoInputCheck], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> None:
        self.factory, self.up, self.ended = factory, up, ended
        self.waiting = True
        memory = dialer.memory
        self.timer = memory.loop.call_at(deadline, self._fail, Termination.CONNECT_TIMEOUT)
        self.connecting = memory.connect(dialer.host, address, self._make, self._stands, self._refused)

    def _make(self) -> P:
        # It asks its own side, not this: what dialled it holds the first request for as long as it is there.
        assert self.connecting.end
        return self.factory(self.connecting.end.is_quiet)

    def _stands(self, transport: Any, protocol: Any) -> None:
        self.waiting = False
        self.timer.cancel()
        self.up(protocol)

    def _refused(self, error: OSError) -> None:
        self._fail(Termination.CONNECTION_REFUSED)

    def _fail(self, ending: Termination) -> None:
        if self.waiting:
            self.waiting = False
            self.timer.cancel()
            self.connecting.close()
            self.ended(ending)

    def close(self) -> None:
        self._fail(Termination.CANCELLED)


class MemoryDialer:
    """The dialer of a proxy on a host in memory."""

    def __init__(self, memory: Memory, host: str) -> None:
        self.memory, self.host = memory, host

    def start(self) -> None: ...

    def dial(
        self,
        address: tuple[str, int],
        deadline: float,
        factory: Callable[[NoInputCheck], P],
        up: Callable[[P], None],
        ended: Callable[[Termination], None],
    ) -> Dialing:
        return MemoryDial(self, address, deadline, factory, up, ended)

    def close(self) -> None: ...


class MemoryAcceptor(LoopAcceptor):
    """A proxy's way in, in memory: whoever is accepted can be asked whether it has left, as a kernel can."""

    async def open(self, address: tuple[str, int], accept: ConnectionFactory) -> None:
        def made() -> asyncio.BaseProtocol:
            assert server.newcomer
            return accept(always_true, server.newcomer.stands)

        server = cast(VirtualLoop, self.loop).memory.listen(address, made)
        self.server = cast(asyncio.Server, server)


class Marked:
    """Lets answers tell which file a proxy's policy is from, where there is no agreement that would."""

    def __init__(self, epoch: int) -> None:
        self.epoch_header = b"X-Policy-Epoch: %d\r\n" % epoch

    def may_accept(self) -> bool:
        return True


class VirtualProxy:
    """One name among the proxies, and whatever runs under it.

    `wall` tells Unix time in seconds. `on_state` hears "started", "ready", "ending", "killed" or "ended", and
    an exit code.
    """

    def __init__(
        self,
        loop: VirtualLoop,
        wall: Callable[[], float],
        on_state: Callable[[str, int], None],
        log: Log | None = None,
    ) -> None:
        self.loop, self.wall, self.on_state, self.log = loop, wall, on_state, log
        self.process: Process | None = None
        self.shim: Callable[[Proxy], None] | None = None  # what stands round a proxy that has a fault
        self.proxy: Proxy | None = None
        self.stands = False
        self.signal: Callable[[], None] | None = None  # that has come while it stands still

    def start(self, config: Config, epoch: int = 0) -> None:
        """Start it from nothing but its configuration. It must not run. Where there is an `epoch`, answers
        tell it as that of its file."""
        if self.process:
            raise RuntimeError(f"{config.name} runs already")
        host = config.listen[0]
        process = self.process = Process(self.loop, config.name, host)
        dialer = MemoryDialer(self.loop.memory, host)
        keeper = None
        if config.snapshot:
            from firvane.proxy.snapshots.file import (
                SnapshotStore,  # what `snapshots` installs, of which few have need
            )

            keeper = partial(SnapshotStore, config.snapshot, config.name, run_off_loop=lambda work: work())
        agreement = None
        if config.policy:
            from firvane.proxy.quorum.driver import PolicyConsensus

            agreement = partial(PolicyConsensus, run_off_loop=lambda work: work(), clock=self.loop.time)
        make = partial(
            Proxy, self.loop, config, wall=self.wall, dialer=dialer, usage=lambda: UNKNOWN, log=self.log,
            snapshot_store=keeper, policy_agreement=agreement,
        )  # fmt: skip
        self.proxy = process.call(make)
        self.proxy.acceptor = MemoryAcceptor(self.loop)
        if epoch:
            self.proxy.limiter.policy_lease = Marked(epoch)
        if self.shim:
            process.call(self.shim, self.proxy)
        self.on_state("started", 0)
        starts = process.start(self.proxy.start())
        starts.add_done_callback(partial(self._started, process), context=self.loop.memory.context)

    def _started(self, process: Process, task: asyncio.Task[None]) -> None:
        if process is not self.process or task.cancelled():
            return
        if error := task.exception():
            log.error("%s cannot start", process.name, exc_info=error)
            self._gone("ended", FAILED)
        else:
            self.on_state("ready", 0)

    def end(self) -> None:
        """Tell it to end in order, as SIGTERM does."""
        process, proxy = self.process, self.proxy
        if process and proxy:
            self.on_state("ending", 0)
            drains = process.start(proxy.drain())
            drains.add_done_callback(partial(self._drained, process), context=self.loop.memory.context)

    def _drained(self, process: Process, task: asyncio.Task[None]) -> None:
        if process is self.process and not task.cancelled():
            if error := task.exception():
                log.error("%s cannot end in order", process.name, exc_info=error)
            self._gone("ended", FAILED if error else 0)

    def stall(self, stands: bool) -> None:
        """Let it stand still, or go on where it was."""
        if self.process:
            self.stands = stands
            self.loop.stall(self.process, stands)
            signal, self.signal = self.signal, None
            if signal and not stands:
                signal()

    def reload(self, read: Callable[[], Config], epoch: int) -> None:
        """SIGHUP; one that stands still gets it when it goes on."""
        if self.stands:
            self.signal = partial(self.reload, read, epoch)
        elif self.process and self.proxy:
            self.process.call(self.proxy.reload, read)
            self.proxy.limiter.policy_lease = Marked(epoch)

    def kill(self, silently: bool = False) -> None:
        """End it at once; `silently` where its machine is gone. What it knew and held is lost."""
        if self.process:
            self._gone("killed", KILLED, silently)

    def fail(self) -> None:
        """It ends by a fault of its own, in the loop's next turn."""
        process, context = self.process, self.loop.memory.context  # what comes of it is not the process's own
        self.loop.call_soon(self._fail, process, context=context)

    def _fail(self, process: Process | None) -> None:
        if process and process is self.process:
            self._gone("ended", FAILED)

    def _gone(self, state: str, code: int, silently: bool = False) -> None:
        process, self.process, self.proxy = self.process, None, None
        self.stands, self.signal = False, None
        if process:
            process.kill(silently)
        self.on_state(state, code)

    @property
    def sockets(self) -> int:
        """Connections that it holds."""
        return len(self.process.ends) if self.process else 0

    @property
    def flows(self) -> int:
        """Flows that it holds, as the judge of leaks wants to know."""
        return len(self.proxy.engine.flows) if self.proxy else 0
