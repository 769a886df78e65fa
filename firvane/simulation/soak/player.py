"""Plays a plan: runs daemons, backends, clients and the operator, and stops them in order."""

from __future__ import annotations

import asyncio
import dataclasses
import re
from dataclasses import dataclass
from pathlib import Path

from firvane.simulation.localfleet.configurations import Configurations
from firvane.simulation.localfleet.daemons import PACKAGE_PARENT, Daemon, problems_in_log
from firvane.simulation.localfleet.fleet_run import FleetRun
from firvane.simulation.localfleet.layout import DaemonRole, find_free_ports, make_layout
from firvane.simulation.localfleet.profiles import LONG_PROMPTS, SHORT_PROMPTS, RequestClass, ServerProfile
from firvane.simulation.localfleet.run_ledger import judge as compare_runs
from firvane.simulation.localfleet.schedule import PlannedRequest, draw_schedule
from firvane.simulation.localfleet.settings_files import GRACE_S, PlatformTerms
from firvane.simulation.soak.backends import Faults, make_backends
from firvane.simulation.soak.clients import Clients
from firvane.simulation.soak.plan import Plan, Step, StepKind
from firvane.simulation.soak.processes import SoakProcess
from firvane.simulation.soak.records import Record

START_TIMEOUT = 90.0  # s until all routers are ready, also on a busy machine
READ_BACK_TIMEOUT = 10.0  # s
LONG_SHARE = 0.12  # share of long prompts among the requests
SPARE_BACKENDS = 20  # addresses for backends started during the run
DEFAULT_CHANGE_INTERVAL = 4.0  # s between configuration changes if the plan has no `CHANGES` step
RIVALS_EVERY = 3  # every third change is two different orders with one number
ROUTER_STOPPED_LINE = re.compile(r"event=router_stopped open_requests=(\d+)")


@dataclass(frozen=True, slots=True)
class Played:
    """The results of a run, for the judge and for traces."""

    record: Record
    logs: dict[str, str]  # by daemon
    load_start: float  # time on the clock of the record


class Player(FleetRun):
    """One run; `folder` is used by this run only, `program_root` contains the daemons' package."""

    def __init__(self, plan: Plan, folder: Path, program_root: Path = PACKAGE_PARENT) -> None:
        size = plan.size
        ports = find_free_ports(size.controllers, size.routers, size.backends + SPARE_BACKENDS)
        layout = make_layout(size.controllers, size.routers, ports)
        self._plan, self.record = plan, Record()
        self._faults = Faults(plan.seed)
        self._kinds = request_kinds(size.rate)
        backends = make_backends(layout, self.record, self._faults, plan.seed)
        configurations = Configurations(self._kinds, ServerProfile(), changes_live_routes=True)
        super().__init__(layout, backends, configurations, plan.seed)
        daemons = [Daemon(node, layout, PlatformTerms(), folder, program_root) for node in layout.nodes]
        self._processes = {daemon.node.name: SoakProcess(daemon, self.record, GRACE_S) for daemon in daemons}
        self._clients = Clients(layout, self._ingress, self.record, plan.seed)
        self._load_start = 0.0

    async def play(self) -> Played:
        """Start the fleet, play the plan, stop the fleet; raises `StartError` if it does not become ready."""
        await self._run(self._plan.size.backends, START_TIMEOUT)
        self._collect_results()
        logs = {name: process.daemon.log_text() for name, process in self._processes.items()}
        return Played(self.record, logs, self._load_start)

    async def _start_daemons(self) -> None:
        await asyncio.gather(*(process.start() for process in self._processes.values()))

    async def _play_load(self) -> None:
        self._load_start = self._loop.time()
        async with asyncio.TaskGroup() as tasks:
            interval = self._change_interval()
            changes = tasks.create_task(self._operator.change_every(interval, RIVALS_EVERY))
            steps = [tasks.create_task(self._play_step(step)) for step in self._plan.steps]
            await self._clients.run(self._schedule())
            self._operator.stop()
            await asyncio.gather(changes, *steps)
        await self._operator.read_back(READ_BACK_TIMEOUT)
        usages = (process.usage() for process in self._processes.values())
        self.record.usage = [usage for usage in usages if usage]

    def _change_interval(self) -> float:
        gaps = [step.gap for step in self._plan.steps if step.kind is StepKind.CHANGES]
        return min(gaps, default=DEFAULT_CHANGE_INTERVAL)

    def _schedule(self) -> list[PlannedRequest]:
        size, seed = self._plan.size, self._plan.seed
        planned = draw_schedule(self._kinds, size.seconds, size.clients, seed)
        for index, step in enumerate(self._plan.steps):
            if step.kind is StepKind.BURST:
                burst = draw_schedule(
                    request_kinds(size.rate * step.share), step.span, size.clients, seed + 1 + index
                )
                planned += [
                    dataclasses.replace(each, at=step.at + each.at, number=len(planned) + number)
                    for number, each in enumerate(burst)
                ]
        return sorted(planned, key=lambda each: each.at)

    # Steps

    async def _play_step(self, step: Step) -> None:
        await asyncio.sleep(max(0.0, self._load_start + step.at - self._loop.time()))
        if process := self._processes.get(step.target):
            await self._apply_to_process(process, step)
        elif step.kind is StepKind.BACKEND_FAULT:
            self._faults.add(step.mode, self._loop.time() + step.span, step.share)
        elif step.kind is StepKind.BACKEND_CRASH:
            await self._backends.crash(step.count, step.span)
        elif step.kind is StepKind.BACKEND_DRAIN:
            await self._backends.replace_oldest()

    async def _apply_to_process(self, process: SoakProcess, step: Step) -> None:
        if step.kind is StepKind.TERM:
            await process.restart()
        elif step.kind is StepKind.TERM_TWICE:
            await process.restart(second_after=step.span)
        elif step.kind is StepKind.TERM_IN_START:
            await process.restart_in_start(step.span)
        elif step.kind is StepKind.KILL:
            await process.kill(step.span)
        elif step.kind is StepKind.HUP:
            process.send_hangup()
        elif step.kind is StepKind.FREEZE:
            await process.freeze(step.span)
        elif step.kind is StepKind.QUOTA:
            await process.throttle(step.span, step.share)

    # Stopping

    async def _end_daemons(self, role: DaemonRole) -> None:
        ending = [each for each in self._processes.values() if each.daemon.node.role is role]
        await asyncio.gather(*(process.close() for process in ending))

    def _collect_results(self) -> None:
        record, verdict = self.record, compare_runs(self._backends.records.runs, self._clients.sent_attempts)
        record.doubled = [each.decode("latin-1") for each in verdict.doubled]
        record.ran_after_refusal = [each.decode("latin-1") for each in verdict.ran_after_refusal]
        record.unasked = [each.decode("latin-1") for each in verdict.unasked]
        record.altered = [each.decode("latin-1") for each in verdict.altered]
        record.orders_rejected = self._operator.record.refused
        record.orders_acknowledged = self._operator.record.acknowledged
        record.rivals = self._operator.record.rivals
        record.rivals_both_accepted = self._operator.record.rivals_both_taken
        record.rivals_both_rejected = self._operator.record.rivals_both_refused
        record.read_back = self._operator.record.read_back
        record.clock_delay = self._delay.longest
        for name, process in self._processes.items():
            log = process.daemon.log_text()
            if problems := problems_in_log(log):
                record.log_problems[name] = problems
            if ends := ROUTER_STOPPED_LINE.findall(log):
                record.open_at_end[name] = int(ends[-1])


def request_kinds(rate: float) -> tuple[RequestClass, ...]:
    """Both classes of requests, with `rate` requests per second in total.

    Long requests must not run twice; they may be sent to a second backend if they certainly have not run.
    """
    return (
        dataclasses.replace(LONG_PROMPTS, per_second=rate * LONG_SHARE, max_attempts=2),
        dataclasses.replace(SHORT_PROMPTS, per_second=rate * (1.0 - LONG_SHARE)),
    )
