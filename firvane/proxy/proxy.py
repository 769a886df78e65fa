"""All parts of one proxy, wired: its start, its sweeps and figures, a reload, and its end in order."""

from __future__ import annotations

import asyncio
import os
import random
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from firvane import __version__
from firvane.core import interface as api
from firvane.core import logs
from firvane.core.engine import Engine
from firvane.core.net.dialer import Dialer, SocketDialer
from firvane.core.net.http_message import Message
from firvane.core.net.transport_pool import TransportPool
from firvane.proxy.admin_api import calls
from firvane.proxy.admin_api.calls import Asked, Call
from firvane.proxy.admin_api.lifecycle import Event, Life, State
from firvane.proxy.admin_api.metrics import Figures, Loads
from firvane.proxy.admin_api.server import DESCRIPTORS, Desk
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.excluded_servers import skipped
from firvane.proxy.config.node import Config
from firvane.proxy.config.reload import check_open_flows, check_shape, waiting_for_start
from firvane.proxy.extensions import AGREEING, Agreement, Keeper
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.discovery_timing import Pauses
from firvane.proxy.limits.memory_account import Held
from firvane.proxy.limits.memory_costs import BOX, FLOW, MB
from firvane.proxy.metrics import Errors, Measures, Used
from firvane.proxy.net.connection_limiter import ConnectionLimiter
from firvane.proxy.net.endpoint_list import EndpointListReader
from firvane.proxy.net.listening_socket import Acceptor, LoopAcceptor, SocketAcceptor, adopt_listening_socket
from firvane.proxy.net.peer_datagrams import PeerDatagrams
from firvane.proxy.net.resource_monitor import ProcessUsage, ResourceMonitor, Usage
from firvane.proxy.net.target_group import TargetGroup
from firvane.proxy.net.upstream_pool import UpstreamPools
from firvane.proxy.settings_reload import merged, retired

LAME = 0.7  # s after SIGTERM for which clients may still come; SIGKILL is the longest deadline away from then
COUNTED, MARGIN = 3.0, 0.2  # s: the longest that a deadline counts there; kept for the last answers
MOST_MARGIN = 0.25  # of the longest deadline: where that is short, what is kept must not eat up its time
DRAIN_CHECK_S = (
    0.02  # s at the most from one look at the clients' connections to the next, while the proxy ends
)
PATIENCE = 0.5  # s at the start for which discovery's own word is preferred to the list as last known
SWEEP = 0.1  # s from one look for what has stood for too long to the next
GRACE = 5.0  # s after SIGHUP in which requests may still come by the settings of before
REPORT = 5.0  # s from one line of figures in the log to the next


class Proxy:
    """All parts of one proxy, wired."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        *,
        wall: Callable[[], float] = time.time,
        dialer: Dialer | None = None,
        usage: Callable[[], Usage] | None = None,
        log: logs.Log | None = None,
        keeper: Callable[[logs.Log], Keeper] | None = None,
        agreement: Callable[[Proxy], Agreement] | None = None,
    ) -> None:
        """`keeper` makes what keeps what was learnt, where anything does, `agreement` this proxy's part in
        the agreement on one policy, where there is one. `wall` tells Unix time in seconds; without a dialer
        connections to targets are sockets.

        `usage` tells what the proxy has used; without it, what this process has. Without a log it makes its
        own on standard error, as its configuration says.
        """
        log = log or logs.make(config.log_level, config.log_format, wall=wall)
        errors = Errors(log) if config.measures else None
        self.log: logs.Log = (errors or log).bind(proxy=config.name)
        self.loop, self.config = loop, config
        self.transports = TransportPool(loop)
        self.dialer = dialer or SocketDialer(loop, self.transports)
        settings = config.settings
        self.monitor = ResourceMonitor(
            loop,
            settings,
            cores=config.cores,
            memory_mb=config.memory_mb,
            sockets=config.sockets - (DESCRIPTORS if config.ops else 0) - (AGREEING if agreement else 0),
            usage=usage or ProcessUsage(),
            log=self.log,
        )
        self.upstream_pools = UpstreamPools(loop, settings.limits, settings.rules, self.monitor, self.dialer)
        reader = EndpointListReader(
            config.zones, config.kinds, self.monitor.bounds.boxes, self.monitor.bounds.line
        )
        pauses = Pauses(settings.proxies if settings.ask else 0, random.Random(config.seed))
        self.group = TargetGroup(
            loop, config.discovery, reader, self.upstream_pools.listed, self._listed, self.log, pauses
        )
        self.retuned_at = 0.0
        self.classes = tuple(range(len(settings.classes)))  # the numbers of those that clients may name
        self.drained_at = 0.0  # when operators last asked for it
        self.unseen = 0, 0  # turned away unseen, and for want of a turn, up to the last line of figures
        self.tables = 0  # bytes charged for the list and what is kept of each target
        self.peers = PeerDatagrams(settings.me, config.peers, config.peers_all, self._heard, loop.time)
        self.balancer = Balancer(settings, config.seed, wall())
        self.engine: Engine[Message, Message] = Engine(
            settings, self.balancer, loop, self.upstream_pools, self.peers, self.group, wall, self.log
        )
        self.monitor.report_pressure = self.engine.dispatch
        self.limiter = ConnectionLimiter(loop, self.engine, settings, self.monitor)
        inherited = None if config.inherited is None else adopt_listening_socket(config.inherited)
        self.acceptor: Acceptor = (
            LoopAcceptor(loop) if dialer else SocketAcceptor(loop, self.transports, self.log, inherited)
        )
        self.limiter.set_accepting = self.acceptor.set_accepting
        self.in_memory = dialer is not None  # among others in one process
        if errors:
            version = config.version or __version__
            # The loop's own clock stands still within a turn, and on uvloop it counts whole milliseconds.
            clock = loop.time if self.in_memory else time.monotonic
            self.limiter.metrics = Measures(clock, self.used, errors.count, version, os.getpid())
        self.wall, self.keeper = wall, keeper(self.log) if keeper else None
        if self.keeper:
            self.group.addresses = {}
        self.life, self.loads = Life(), Loads()
        self.desk, self.desk_transports = Desk(loop, self._answer), TransportPool(loop)
        self.ops: Acceptor = (
            LoopAcceptor(loop) if dialer else SocketAcceptor(loop, self.desk_transports, self.log)
        )
        self.agreement = self.limiter.policy_lease = agreement(self) if agreement else None
        self.starting: asyncio.Task[Any] | None = None  # at work on the start

    def _listed(self, news: api.ServerList) -> None:
        tables = BOX * len(self.group.servers)
        self.monitor.account.charge(Held.TABLES, tables - self.tables)
        self.tables = tables
        self.engine.update_server_list(news)

    def _heard(self, sender: int, payload: bytes) -> None:
        if self.agreement and self.agreement.heard(sender, payload):
            return
        self.engine.dispatch(api.PeerMessage(sender, payload))

    async def start(self) -> None:
        """Everything up to answering that the proxy is ready; cancelled where the end is told before."""
        self.starting = asyncio.current_task()
        try:
            await self._start()
        finally:
            self.starting = None

    async def _start(self) -> None:
        config = self.config
        if config.ops:
            self.desk_transports.start()
            await self.ops.open(config.ops, lambda *kernel: self.desk.caller())
            self.log.info("ops", listen="{}:{}".format(*self.ops.address()))
        if config.peer_listen:
            # The process that this one replaces has the same address, and so has the one that comes after it.
            shared = True if config.inherited is not None else None
            await self.loop.create_datagram_endpoint(
                lambda: self.peers, local_addr=config.peer_listen, reuse_port=shared
            )
        self.transports.start()
        if config.inherited is None:
            await self.acceptor.open(config.listen, self.limiter.accept)
        if self.agreement:  # what is learnt, recovered and served from here on is by the policy in force
            await self.agreement.start()
        self.engine.start()
        # As it is now: a SIGHUP may have put other settings into force since the start began.
        config = self._recall(self.config)
        if config.known:
            try:
                self.group.learn(config.known, cached=config.discovery is not None)
            except ValueError as error:
                self.log.warning("known_list_useless", why=str(error))
            self.config = replace(config, known=None)  # the group keeps it in a form of its own
        self.group.start()
        # Where the list has to be asked for, its turn may come late: the fleet is served meanwhile.
        patience = 0.0 if config.settings.ask else PATIENCE
        if not self.group.servers:
            await self.group.list_received.wait()
        elif not await self.group.is_told(patience):
            self.log.warning("discovery_silent", targets=len(self.group.servers))
        self.limiter.ready = True
        if config.inherited is not None:  # until now whoever waits there is another process's client
            await self.acceptor.open(config.listen, self.limiter.accept)
        self._hear(Event.STARTED)
        self.monitor.start()
        self._sweep(self.loop.time() + SWEEP)
        due = self.loop.time() + REPORT
        self.loop.call_at(due, self._report, due)
        # Port 0 takes any that is free: only the socket knows which.
        host, port = self.acceptor.address()
        bounds = self.monitor.bounds
        self.log.info(
            "limits",
            memory_mb=config.memory_mb,
            sockets=bounds.sockets,
            cores=config.cores,
            clients=bounds.clients,
            flows=bounds.flows,
            bodies_mb=round(bounds.bodies / MB, 1),
            boxes=bounds.boxes,
        )
        if self.keeper:
            due = self.loop.time() + config.snapshot_every
            self.loop.call_at(due, self._keep, due)
        self.log.info("ready", listen=f"{host}:{port}", targets=len(self.group.servers))

    # What is kept

    def _recall(self, config: Config) -> Config:
        """Take in what was kept; the configuration, with the list from there where it has none."""
        recovery = self.balancer.recovery
        kept = self.keeper.recall(self.wall()) if self.keeper and recovery else None
        if not (kept and recovery):
            return config
        memory, listed = kept
        recovery.remember(memory, {name: number for number, name in enumerate(config.kinds)})
        self.log.info(
            "snapshot_read",
            age_s=round(memory.age, 1),
            scale=round(memory.scale, 2),
            rooms=len(memory.capacities),
        )
        return config if config.known or config.discovery is None else replace(config, known=listed)

    def _held(self) -> tuple[float, Callable[[], Any], api.RestoredEstimates]:
        recovery, balancer = self.balancer.recovery, self.balancer
        assert recovery  # a keeper without one is not made
        return self.wall(), self.group.listed(), recovery.recall(balancer.servers.values(), self.config.kinds)

    def _keep(self, due: float) -> None:
        if self.keeper and self.life.meaning().takes:
            self.keeper.keep(*self._held())
            due += self.config.snapshot_every
            self.loop.call_at(due, self._keep, due)

    # What operators ask

    def figures(self) -> Figures:
        """As of now: the door and the log tell the same."""
        engine, turns = self.engine, self.monitor.turns
        waiting = len(turns.line) + len(turns.behind) + len(turns.refused)
        return Figures(
            self.life.state.value,
            engine.request_counters.by_class,
            engine.unanswered + waiting,
            len(engine.known_targets),
            skipped(self.balancer.servers.values(), engine.now()),
            self.loads,
        )

    def used(self) -> Used:
        """What this process has used, as the kernel has it."""
        usage, held = self.monitor.usage(), sum(self.monitor.descriptors.held.values())
        opened = held if self.in_memory else len(os.listdir("/proc/self/fd"))
        return Used(usage.cpu, usage.memory / MB, opened)

    def _answer(self, asked: Asked) -> bytes:
        call = asked.call
        if call in calls.POLICY:
            if self.agreement is None:
                return calls.no("no policy is agreed on here: [policy] is not set")
            return self.agreement.call(asked)
        if call is Call.SHOW_STAT:
            return calls.lines(self.figures().text())
        if call is Call.MEASURES:
            if not isinstance(self.limiter.metrics, Measures):
                return calls.no("nothing is measured here: measures is not set")
            return calls.lines(self.limiter.metrics.text())
        if call is Call.READY:
            state = self.life.state.value
            if self.agreement and self.life.meaning().takes and not self.agreement.may():
                return calls.no(f"{state}, and refuses: it has no lease on the policy in force")
            return calls.yes(state) if self.life.meaning().takes else calls.no(f"{state}: no clients yet")
        if call is Call.RECOVERY:
            recovery = self.balancer.recovery
            if recovery is None:
                return calls.no("recovery is switched off")
            told = recovery.status(self.engine.now())
            return calls.lines("\n".join(f"{name} {value}" for name, value in told.items()))
        event = Event.DRAIN if call is Call.DRAIN else Event.RESUME
        if not self._hear(event):
            return calls.no(f"{self.life.state.value}: too late, or too early, to {call.value}")
        return calls.yes(self.life.state.value)

    def _hear(self, event: Event) -> bool:
        """Whether the event is for the state that holds; what follows from it is done."""
        before = self.life.state
        if not self.life.hear(event):
            return False
        state = self.life.state
        if state is not before:
            if event is not Event.STARTED:  # which has a line of its own
                self.log.info("state", now=state.value, was=before.value)
            limiter = self.limiter
            limiter.draining = not self.life.meaning().up
            limiter.closing = False
            if state is State.DRAINING:
                self.drained_at = self.loop.time()
                self.loop.call_at(self.drained_at + LAME, self._send_away, self.drained_at)
        return True

    def _send_away(self, since: float) -> None:
        """Nobody sends new clients here any more since that drain: the others go as they fall idle."""
        if self.life.state is State.DRAINING and self.drained_at == since:
            self.limiter.closing = True

    def reload(self, read: Callable[[], Config]) -> None:
        """Read the configuration anew and follow discovery to where it is now; one of no use changes nothing.

        Flows, connections and what the decisions have learnt are kept: the targets are the same machines.
        """
        try:
            config = read()
            check_shape(self.config, config)
            old, static = self.config, config.discovery is None
            # The one step that can still fail comes first: a list of no use leaves the rest as it was, too.
            if static and old.discovery is None:
                self.group.learn(config.known)  # as a whole: a target that it no longer names is gone
        except (ValueError, OSError) as error:
            self.loads.errors += 1
            for line in str(error).splitlines():
                self.log.error("config_useless", why=line)
            return
        self.loads.taken += 1
        if config.discovery and old.discovery:
            self.group.move(config.discovery)
        at = "{}:{}".format(*config.discovery) if config.discovery else None
        self.log.info("config_reread", discovery=at, targets=len(self.group.servers))
        if waiting := waiting_for_start(self.engine.settings, old, config):
            self.log.warning("config_waits", text="the next start is needed for " + ", ".join(waiting))
        if self.agreement:
            if config.settings != old.settings:
                text = "what a policy may say was not taken over from the file: firvane policy propose"
                self.log.warning("policy_overrules", epoch=self.agreement.epoch, text=text)
            self.config = replace(old, shape=config.shape)
            return
        if config.settings != old.settings:
            self._retune(config.settings)
        # A start that has yet to take in the list it was given takes in this one.
        known = config.known if old.known else None
        self.config = replace(old, settings=config.settings, shape=config.shape, known=known)

    def fits(self, settings: api.Settings) -> str:
        """Why a policy with these settings has no place here; "" where it has."""
        most = max(self.config.settings.limits.max_open_requests, self.monitor.bounds.memory // FLOW)
        return check_open_flows(settings, most)

    def adopt(self, settings: api.Settings) -> None:
        """A policy is in force: all requests that come from now on are decided by it, and none any more by
        names of before."""
        self._retune(settings)
        self.limiter.forget_previous_settings()

    def _retune(self, settings: api.Settings) -> None:
        """Other settings, checked already, for all that comes from now on."""
        engine = self.engine
        engine_settings, self.classes = merged(engine.settings, self.classes, settings)
        engine.retune(engine_settings)
        self.limiter.apply_settings(engine_settings, self.classes)
        self.upstream_pools.apply_settings(settings.limits, settings.rules)
        self.monitor.apply_settings(settings)
        self.retuned_at = self.loop.time()
        self.loop.call_at(self.retuned_at + GRACE, self._settle, self.retuned_at)
        self.log.info("retuned", classes=",".join(cls.name for cls in settings.classes))

    def _settle(self, since: float) -> None:
        """Clients know of the settings of then: what there was before is over."""
        if self.retuned_at == since:
            self.limiter.forget_previous_settings()
            self.engine.retune(retired(self.engine.settings, self.classes))

    def _sweep(self, due: float) -> None:
        self.monitor.late_by(self.loop.time() - due)
        self.upstream_pools.sweep()
        self.limiter.sweep()
        self.desk.sweep()
        if self.limiter.closing:
            self.limiter.close_idle()
        self.loop.call_at(due + SWEEP, self._sweep, due + SWEEP)

    def _report(self, due: float) -> None:
        guard, endings, gate = self.monitor, self.engine.event_counts, self.limiter.gate
        wished, overflowed = self.unseen
        endings["turned away unseen"] = gate.wished - wished
        endings["found no turn"] = gate.overflowed - overflowed
        self.unseen = gate.wished, gate.overflowed
        self.log.info(
            "figures",
            clients=len(self.limiter.connections),
            to_targets=guard.descriptors.held[Use.TARGETS],
            dials=self.upstream_pools.dials,
            open=self.engine.unanswered,
            held_mb=round(guard.account.held / MB, 1),
            lag_ms=round(1000 * guard.worst_lag()),
            **({"epoch": self.agreement.epoch} if self.agreement else {}),
            **self.figures().fields(),
            **{name.replace(" ", "_"): n for name, n in sorted(endings.items()) if n},
        )
        self.engine.event_counts.clear()
        self.loop.call_at(due + REPORT, self._report, due + REPORT)

    async def drain(self) -> None:
        """The end in order: take on what still comes for a while, then finish what is out.

        No new client comes after a while, but those that are here may have no other proxy to go to yet, where
        one before this has not come back. They are served on the connections that they have for as long as
        leaves time to finish before the platform kills.
        """
        limiter, told = self.limiter, self.loop.time()
        if self.starting:  # what is not ready has no clients yet, and must not open its door behind this
            self.starting.cancel()
        # By the settings in force: a class that a SIGHUP has dropped makes nobody wait longer with SIGKILL.
        classes = self.engine.settings.classes
        longest = min(COUNTED, max(classes[number].deadline for number in self.classes))
        margin = min(MARGIN, MOST_MARGIN * longest)
        killed = told + LAME + longest  # no sooner than that
        successor = self.config.inherited is not None
        self._hear(Event.SUCCEEDED if successor else Event.TERMINATE)
        limiter.drain_deadline = killed - margin
        # Those that are open may have far longer than that.
        self.engine.shorten_deadlines(limiter.drain_deadline)
        look = min(DRAIN_CHECK_S, margin / 10)
        if successor:  # the clients' queue, and what peers tell, are its from now on
            self.acceptor.close()
            self.peers.close()
        else:
            await asyncio.sleep(LAME)
            while not self.acceptor.close() and self.loop.time() < told + LAME + longest / 2:
                await asyncio.sleep(0)  # who stands in its queue, beyond what a turn lets in, comes first
            self.acceptor.set_accepting(False)  # also where they come without an end
            while self._has_clients() and self.loop.time() < told + LAME + longest / 2:
                await asyncio.sleep(look)
        limiter.closing = True
        while self._has_clients() and self.loop.time() < killed - margin / 2:
            limiter.close_idle()
            await asyncio.sleep(look)
        # All that was taken has its answer by now. The rest is turned out in order: a process that ends with
        # bytes unread resets the connection, and with it whatever answer is still on its way there.
        while self._has_clients():  # once in any case: a loop that is late must not leave them to the exit
            limiter.close_or_reject()
            await asyncio.sleep(look)
            if self.loop.time() >= killed - margin / 4:
                break
        self._stop()

    def _has_clients(self) -> bool:
        """Whether anybody is connected, or is about to be."""
        return bool(self.limiter.connections) or self.transports.has_work()

    def _stop(self) -> None:
        if self.keeper and self.group.known:
            self.keeper.close(*self._held())
        if self.agreement:
            self.agreement.close()
        self.group.stop()
        self.transports.close()
        self.desk.close()
        self.ops.close()
        self.desk_transports.close()
