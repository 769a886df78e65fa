"""One run: starts daemons and stand-ins, plays load and faults, stops everything in order."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from pathlib import Path

from firvane.simulation.localfleet.backends import Backends
from firvane.simulation.localfleet.configurations import Configurations
from firvane.simulation.localfleet.daemons import RESTART_AFTER, Daemon
from firvane.simulation.localfleet.faults import Kill, choose_target
from firvane.simulation.localfleet.fleet_run import FleetRun
from firvane.simulation.localfleet.layout import DaemonRole, Layout
from firvane.simulation.localfleet.load import Load
from firvane.simulation.localfleet.metrics import (
    RouterKill,
    RunMetrics,
    class_metrics,
    daemon_metrics,
    server_fields,
    verdict_fields,
)
from firvane.simulation.localfleet.profiles import RequestClass, ServerProfile
from firvane.simulation.localfleet.run_ledger import judge
from firvane.simulation.localfleet.schedule import draw_schedule
from firvane.simulation.localfleet.settings_files import GRACE_S, PlatformTerms

START_TIMEOUT = 20.0  # s until all routers are ready
READ_BACK_TIMEOUT = 5.0  # s
END_MARGIN = 2.0  # s after the grace period until a daemon is killed


@dataclass(frozen=True, slots=True)
class FleetOptions:
    """Options of a run; times are seconds."""

    routers: int
    controllers: int
    backends: int
    seconds: float
    kinds: tuple[RequestClass, ...]
    kills: tuple[Kill, ...] = ()
    replacements: tuple[float, ...] = ()  # times at which the oldest model server is replaced
    change_every: float = 4.0  # interval between configuration changes
    clients: int = 24
    seed: int = 1


class LocalFleet(FleetRun):
    """A fleet on this machine; `folder` is used by this run only."""

    def __init__(self, layout: Layout, options: FleetOptions, folder: Path) -> None:
        terms, profile = PlatformTerms(), ServerProfile()
        backends = Backends(asyncio.get_running_loop(), layout, profile, terms, options.seed)
        super().__init__(layout, backends, Configurations(options.kinds, profile), options.seed)
        self._options = options
        self._daemons = [Daemon(node, layout, terms, folder) for node in layout.nodes]
        self._load = Load(self._loop, self._ingress, options.seed)
        self._router_kills: list[RouterKill] = []
        self._began = self._loop.time()
        self._ready_after = 0.0

    async def play(self) -> RunMetrics:
        """Start the fleet, play the load, stop the fleet; raises `StartError` if it does not become ready."""
        await self._run(self._options.backends, START_TIMEOUT)
        return self._metrics()

    async def _start_daemons(self) -> None:
        self._began = self._loop.time()
        await asyncio.gather(*(daemon.start() for daemon in self._daemons))

    def _describe_failed_start(self, timeout: float) -> str:
        lines = [super()._describe_failed_start(timeout)]
        for daemon in self._daemons:
            state = "runs" if daemon.runs else f"exited with {daemon.own_ends}"
            lines += [f"{daemon.node.name}: {state}", *daemon.problems()[-3:]]
        return "\n".join(lines)

    # The run

    async def _play_load(self) -> None:
        """Run load, configuration changes and faults concurrently, then read the configuration back."""
        self._ready_after = self._loop.time() - self._began
        options = self._options
        schedule = draw_schedule(options.kinds, options.seconds, options.clients, options.seed)
        try:
            async with asyncio.TaskGroup() as tasks:
                for kill in options.kills:
                    tasks.create_task(self._kill(kill))
                for at in options.replacements:
                    tasks.create_task(self._replace_backend(at))
                tasks.create_task(self._operator.change_every(options.change_every))
                await self._load.run(schedule)
                self._operator.stop()
            await self._operator.read_back(READ_BACK_TIMEOUT)
        finally:
            self._load.close()

    async def _kill(self, kill: Kill) -> None:
        await asyncio.sleep(kill.at)
        daemon = choose_target(kill, self._daemons, self._owner_host())
        if daemon.node.role is DaemonRole.ROUTER:
            front = (daemon.node.host, self._layout.ports.front)
            self._router_kills.append(RouterKill(front, self._loop.time()))
        await daemon.kill()
        await asyncio.sleep(RESTART_AFTER)
        await daemon.start()

    def _owner_host(self) -> str:
        return self._operator.owner[0] if self._operator.owner else ""

    async def _replace_backend(self, at: float) -> None:
        await asyncio.sleep(at)
        await self._backends.replace_oldest()

    # Stopping

    async def _end_daemons(self, role: DaemonRole) -> None:
        ending = [daemon for daemon in self._daemons if daemon.node.role is role]
        await asyncio.gather(*(daemon.stop(GRACE_S + END_MARGIN) for daemon in ending))

    def _metrics(self) -> RunMetrics:
        records, instances = self._load.records, self._backends.instances
        kills = self._router_kills
        by_class = [
            class_metrics(kind.name, [each for each in records if each.kind is kind], kills)
            for kind in self._options.kinds
        ]
        verdict = judge(self._backends.records.runs, self._load.attempts)
        return RunMetrics(
            ready_s=round(self._ready_after, 3),
            classes=by_class,
            total=class_metrics("all", records, kills),
            **verdict_fields(verdict),
            unasked_bytes=self._load.unsolicited_bytes,
            **server_fields(self._backends.records),
            list_calls=instances.calls,
            list_calls_refused=instances.refused,
            operator=self._operator.record,
            daemons=[daemon_metrics(daemon) for daemon in self._daemons],
            stand_in_delay_ms=round(self._delay.longest * 1000, 1),
        )
