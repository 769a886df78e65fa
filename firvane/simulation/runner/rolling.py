"""A roll in virtual time: state machine and comparison of `rollout`, and virtual proxies in place of keepers.

Rules that hold here and nowhere else:

1. A place is replaced as the platform restarts a proxy: told to end, and started again under its name. The
   socket is not handed over: for that moment the front leads clients elsewhere.
2. Whatever ends a proxy, it starts again as the version that its place has; only a new one that ends by
   itself before it is proved gives its place back to the old one.
3. How stages are judged is the scenario's: by the comparison, by a fixed threshold on errors, or not at all.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

from firvane.proxy.rollout import measurements, plan
from firvane.proxy.rollout.comparison import Comparison, in_time_share
from firvane.proxy.rollout.comparison_types import Block, Finding, Side, Verdict
from firvane.proxy.rollout.events import (
    Action,
    BaselineMeasured,
    ComparisonUpdated,
    Event,
    MeasureBaseline,
    ReplacementFailed,
    ReplaceSlot,
    RevertSlot,
    SlotReplaced,
    SlotReported,
    StartComparison,
    StartTrial,
    StopComparison,
    Tick,
    TrialEnded,
)
from firvane.proxy.rollout.rollout_state import RolloutState
from firvane.proxy.rollout.state_machine import RolloutStateMachine
from firvane.simulation.emulation.network import Seat
from firvane.simulation.emulation.records import Rolled
from firvane.simulation.emulation.scenario import Roll, Scenario
from firvane.simulation.emulation.timeline import Action as Deed
from firvane.simulation.emulation.timeline import Step
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.tier import Tier
from firvane.simulation.runner.versions import Fault
from firvane.simulation.runner.virtual_proxy import VirtualProxy

TICK_S = 0.5
OLD, NEW = "old", "new"
DESCRIPTORS = 60.0  # a minute: a virtual proxy holds few, and has a new connection as often as one ends
SPAN_S = 10.0  # over which the threshold looks at errors


def planned(roll: Roll, bank: Sequence[Seat]) -> plan.Plan:
    """The plan that a scenario's roll stands for."""
    stages = [
        plan.Stage(part="one" if part == 0 else part, soak_s=roll.soak_s, longest_s=roll.longest_s)
        for part in roll.stages
    ]
    return plan.Plan(
        roll=plan.RollSettings(version=NEW, old=OLD, before_s=roll.before_s, prove_s=roll.prove_s, ask_s=1.0),
        version={OLD: plan.Version(command=(OLD,)), NEW: plan.Version(command=(NEW,))},
        place=tuple(plan.SlotPlan(name=s.name, zone=s.zone, door=s.name, ops=s.name) for s in bank),
        stage=tuple(stages),
        compare=plan.ComparisonSettings(
            block_s=roll.block_s,
            settle_s=roll.settle_s,
            least_requests=roll.least_requests,
            harms=plan.HarmThresholds(descriptors=DESCRIPTORS),
        ),
    )


class Errors:
    """What a script does: errors of the new ones over a while, against the fleet's before the roll."""

    def __init__(self, most: float, soak_s: float, before: float) -> None:
        self.most, self.soak_s, self.before = most, soak_s, before
        self.seen: list[tuple[float, int, int]] = []
        self.begun: float | None = None

    def add(self, moment: Sequence[Block]) -> None:
        for block in moment:
            if block.side is Side.NEW:
                taken, bad = errors([block])
                self.begun = block.at if self.begun is None else self.begun
                self.seen.append((block.at, taken, bad))

    def verdict(self) -> Finding:
        if self.begun is None:
            return Finding(Verdict.CANNOT_TELL, "nothing of the new ones has been seen")
        now = self.seen[-1][0]
        recent = [(taken, bad) for at, taken, bad in self.seen if at > now - SPAN_S]
        taken, bad = sum(t for t, _ in recent), sum(b for _, b in recent)
        if taken and now - self.begun >= SPAN_S and bad / taken > self.before + self.most:
            return Finding(Verdict.WORSE, f"errors are {bad / taken:.1%}, and were {self.before:.1%}")
        if now - self.begun >= self.soak_s:
            return Finding(Verdict.FINE, "errors stayed under the threshold")
        return Finding(Verdict.CANNOT_TELL, "the stage soaks")


def errors(blocks: Sequence[Block]) -> tuple[int, int]:
    """Requests taken, and those refused or failed."""
    all_ = [counts for block in blocks for key, counts in block.counts.items() if key.startswith("class:")]
    return sum(c.taken for c in all_), sum(c.refused + c.failed for c in all_)


class Rolling:
    """The roll of one run. `over` is called when it has ended."""

    def __init__(
        self, clock: Clock, scenario: Scenario, roll: Roll, tier: Tier, machines: Sequence[VirtualProxy],
        sink: Sink, over: Callable[[float], None],
    ) -> None:  # fmt: skip
        self.clock, self.roll, self.tier, self.machines = clock, roll, tier, machines
        self.sink, self.over, self.seed = sink, over, tier.seed
        self.names = [seat.name for seat in tier.seats]
        self.zones = {seat.name: seat.zone for seat in tier.seats}
        self.plan = planned(roll, tier.seats)
        self.has = dict.fromkeys(self.names, OLD)  # by place, what starts there
        self.runs: dict[str, str] = {}  # and what is running
        self.up: set[str] = set()  # those that are ready
        self.orders: dict[str, ReplaceSlot | RevertSlot] = {}
        self.samples: dict[str, measurements.Sample] = {}
        self.faults: dict[str, list[Fault]] = {OLD: [], NEW: []}
        self.earlier = 0  # requests before the roll
        self.machine: RolloutStateMachine | None = None
        self.judge: Comparison | Errors | None = None
        self.number, self.judged = 0, 0.0
        self.began, self.soak_s = 0.0, 0.0
        self.before: list[Block] = []
        self.before_until = -1.0
        self.state: RolloutState | None = None
        for number, machine in enumerate(machines):
            machine.shim = lambda proxy, number=number: self._fit(number, proxy)

    def _fit(self, number: int, proxy: Any) -> None:
        """A proxy has been made and is about to start."""
        name = self.names[number]
        version = self.runs[name] = self.has[name]
        self.up.discard(name)
        kind: str = self.roll.version
        if kind == "better":
            kind = "old-slow" if version == OLD else "same"
        elif version == OLD:
            kind = "same"
        life = self.tier.lives[number]
        machine = self.machines[number]
        fault = Fault(proxy, kind, self.roll.size, 1000 * number + life, machine.fail)
        self.faults[version].append(fault)

    def begin(self) -> None:
        self.clock.call_at(self.roll.at_s, self._begin)

    def _begin(self, now: float) -> None:
        self.earlier = self._taken()[OLD]
        self.machine = RolloutStateMachine(self.plan, "virtual", now)
        self._do(self.machine.begin(now), now)
        for name in self.names:
            self._hear(SlotReported(name, self._serves(name)), now)
        self.clock.call_at(now + TICK_S, self._tick)
        self.clock.call_at(now + self.roll.block_s, self._moment)

    # What proxies do

    def ready(self, name: str) -> None:
        """The front has found it ready."""
        self.up.add(name)
        if name in self.orders:
            now = self.clock.now()
            self.clock.call_at(now + self.roll.prove_s, self._proved, name, self._life(name))

    def _life(self, name: str) -> int:
        return self.tier.lives[self.names.index(name)]

    def _proved(self, now: float, name: str, life: int) -> None:
        if name in self.orders and self._life(name) == life and name in self.up:
            order = self.orders.pop(name)
            self._hear(SlotReplaced(name, order.version), now)

    def ended(self, name: str, code: int) -> None:
        """It has ended, told to or not; it starts again as what its place has."""
        self.up.discard(name)
        order = self.orders.get(name)
        if order and code and self.runs.get(name) == order.version:
            del self.orders[name]
            self.has[name] = OLD
            self._hear(ReplacementFailed(name, "it ended before it was proved"), self.clock.now())

    def _serves(self, name: str) -> str:
        number = self.names.index(name)
        there = name in self.up and number in self.tier.running and number not in self.tier.ending
        there = there and name not in self.orders  # what has yet to prove itself is not what the place has
        return self.runs.get(name, "") if there else ""

    def _taken(self) -> dict[str, int]:
        """Requests by version, since the roll began."""
        return {version: sum(fault.taken for fault in faults) for version, faults in self.faults.items()}

    # The state machine

    def _hear(self, event: Event, now: float) -> None:
        if self.machine and not self.machine.ended:
            self._do(self.machine.handle(event, now), now)

    def _do(self, actions: Sequence[Action], now: float) -> None:
        for action in actions:
            match action:
                case StartTrial():
                    self.clock.call_at(now, lambda now: self._hear(TrialEnded(), now))
                case MeasureBaseline(span):
                    self.before, self.before_until = [], now + span
                case ReplaceSlot(name, version) | RevertSlot(name, version):
                    self._replace(name, version, action, now)
                case StartComparison():
                    self._compare(action, now)
                case StopComparison():
                    self.judge = None
                case _:
                    pass
        machine = self.machine
        if machine and machine.state is not self.state:
            self.state = machine.state
            self._note(machine.reason, now)
            if machine.ended:
                self.over(now)

    def _note(self, text: str, now: float) -> None:
        machine = self.machine
        assert machine
        taken = self._taken()
        all_ = taken[OLD] + taken[NEW] - self.earlier
        self.sink(Rolled(now, machine.state.value, machine.stage, text, taken[NEW], all_))

    def _replace(self, name: str, version: str, order: ReplaceSlot | RevertSlot, now: float) -> None:
        self.orders[name] = order
        self.has[name] = version
        self.tier.strike(Step(now, Deed.END, proxy=name))

    def _compare(self, told: StartComparison, now: float) -> None:
        self.number, self.began, self.soak_s = told.number, now, told.soak_s
        if self.roll.judged_by == "errors":
            taken, bad = errors(self.before)
            self.judge = Errors(self.roll.most_errors, told.soak_s, bad / taken if taken else 0.0)
        else:
            self.judge = Comparison(
                self.plan.compare, told.alpha, told.soak_s, told.baseline, told.covers_all
            )

    def _tick(self, now: float) -> None:
        if self.before_until >= 0 and now >= self.before_until:
            self.before_until = -1.0
            self._hear(BaselineMeasured(in_time_share(self.before)), now)
        for name in self.names:
            self._hear(SlotReported(name, self._serves(name), name in self.orders), now)
        self._hear(Tick(), now)
        if self.machine and not self.machine.ended:
            self.clock.call_at(now + TICK_S, self._tick)

    def _moment(self, now: float) -> None:
        """All that proxies say is read at one moment."""
        blocks = []
        for name, machine in zip(self.names, self.machines, strict=True):
            said = machine.proxy and machine.proxy.limiter.metrics
            if not said:
                continue
            one = measurements.parse_sample(said.text())  # type: ignore[attr-defined]
            old, self.samples[name] = self.samples.get(name), one
            side = Side.NEW if self.runs[name] == NEW else Side.OLD
            block = measurements.make_block(old, one, now, self.zones[name], side, name) if old else None
            if block:
                blocks.append(block)
        if self.before_until >= 0:
            self.before += blocks
        if self.judge and blocks:
            self.judge.add(blocks)
            self._judge(now)
        self.clock.call_at(now + self.roll.block_s, self._moment)

    def _judge(self, now: float) -> None:
        assert self.judge
        if self.roll.judged_by == "nothing":
            well = now - self.began >= self.soak_s
            finding = Finding(Verdict.FINE if well else Verdict.CANNOT_TELL, "nothing is compared")
        else:
            finding = self.judge.verdict()
        self._hear(ComparisonUpdated(finding, self.number), now)
