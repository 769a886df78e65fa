"""A plan, supervisors that do what they are told or not, and blocks of drawn traffic."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import Any

from firvane.proxy.rollout.comparison_types import (
    Block,
    Finding,
    RequestCounts,
    ResourceUsage,
    Side,
    Verdict,
    latency_bucket,
)
from firvane.proxy.rollout.events import (
    Action,
    ComparisonUpdated,
    Event,
    PersistRollout,
    ReplacementFailed,
    ReplaceSlot,
    RevertSlot,
    SlotReplaced,
    SlotReported,
    SlotUnreachable,
    StartComparison,
    Tick,
)
from firvane.proxy.rollout.plan import ComparisonSettings, Plan, RollSettings, SlotPlan, Stage, Version
from firvane.proxy.rollout.rollout_state import FINAL_STATES, StoredRollout
from firvane.proxy.rollout.state_machine import RolloutStateMachine

OLD, NEW = "a", "b"


def a_plan(places: int = 6, zones: int = 3, **roll: Any) -> Plan:
    stages = (Stage(part="one", soak_s=30, longest_s=200), Stage(part=0.5, soak_s=30, longest_s=400))
    return Plan(
        roll=RollSettings(version=NEW, old=OLD, **{"ask_s": 1000.0, "back_s": 300.0, **roll}),
        version={name: Version(command=(name,)) for name in (OLD, NEW)},
        place=tuple(
            SlotPlan(name=f"p{n}", zone=f"z{n % zones}", door=f"d{n}", ops=f"o{n}") for n in range(places)
        ),
        stage=(*stages, Stage(part=1.0, soak_s=30, longest_s=400)),
    )


def judged(verdict: Verdict) -> Finding:
    return Finding(verdict, verdict.value)


@dataclass
class FakeSupervisor:
    """One place as it is, whatever the state machine believes."""

    name: str
    zone: str
    version: str = OLD
    serves: bool = True
    reached: bool = True
    highest: int = 0
    order: tuple[str, float] | None = None  # the version it changes to, and when it gives that up
    told_out: bool = True  # by what the controller has heard


@dataclass
class World:
    """Keepers, and a controller that may be killed after any of its actions."""

    plan: Plan
    make: type[RolloutStateMachine] = RolloutStateMachine
    now: float = 0.0
    disk: StoredRollout | None = None
    supervisors: dict[str, FakeSupervisor] = field(default_factory=dict)
    broken: list[str] = field(default_factory=list)
    compared: StartComparison | None = None
    spent: float = 0.0  # of alpha
    taking_over: int = 0

    def __post_init__(self) -> None:
        self.supervisors = {place.name: FakeSupervisor(place.name, place.zone) for place in self.plan.place}
        self.start()

    def start(self) -> None:
        """A controller begins with what is on disk."""
        for supervisor in self.supervisors.values():
            supervisor.told_out = True
        self.taking_over = 0 if self.disk is None or self.disk.state in FINAL_STATES else 1
        self.machine = self.make(self.plan, "d", self.now, self.disk)
        self.do(self.machine.begin(self.now))

    def hear(self, event: Event, dies_after: int | None = None) -> None:
        actions = self.machine.handle(event, self.now)
        self.do(actions[:dies_after])
        if dies_after is not None:
            self.start()

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PersistRollout(kept):
                    if self.disk and kept.roll < self.disk.roll + self.taking_over:
                        self.broken.append("a take-over that places cannot tell from the one before")
                    self.disk, self.taking_over = kept, 0
                case StartComparison():
                    self.compared, self.spent = action, self.spent + action.alpha
                case ReplaceSlot(name, version, roll) | RevertSlot(name, version, roll):
                    self.ordered(self.supervisors[name], version, roll)

    def ordered(self, supervisor: FakeSupervisor, version: str, roll: int) -> None:
        busy = [one for one in self.supervisors.values() if one.order]
        if supervisor.order:
            self.broken.append("two orders to one place")
        if len(busy) >= self.plan.roll.at_once:
            self.broken.append("more than at_once")
        out = {one.name for one in self.supervisors.values() if one.zone == supervisor.zone and one.told_out}
        out |= {one.name for one in busy if one.zone == supervisor.zone}
        if supervisor.name not in out and len(out) >= self.plan.max_unavailable(supervisor.zone):
            self.broken.append("more of a zone out than the plan says")
        if self.disk is None or self.disk.ordered.get(supervisor.name) != version or self.disk.roll != roll:
            self.broken.append("an order that is not on disk")
        if not supervisor.reached:
            return
        if roll < supervisor.highest:
            self.broken.append("an order of a roll that is over")
        roll_ = self.plan.roll
        supervisor.highest = roll
        supervisor.order = version, self.now + roll_.ready_s + roll_.prove_s + roll_.end_s

    def end(self, supervisor: FakeSupervisor, well: bool, heard: bool = True) -> None:
        """An order ends in the supervisor; its answer may be lost."""
        if supervisor.order is None:
            return
        version, supervisor.order = supervisor.order[0], None
        if well:
            supervisor.version, supervisor.serves = version, True
        if heard and supervisor.reached:
            supervisor.told_out = not supervisor.serves
            event = (
                SlotReplaced(supervisor.name, version)
                if well
                else ReplacementFailed(supervisor.name, "it died")
            )
            self.hear(event)

    def ask(self, supervisor: FakeSupervisor) -> None:
        if not supervisor.reached:
            supervisor.told_out = True
            self.hear(SlotUnreachable(supervisor.name))
            return
        supervisor.told_out = not supervisor.serves or supervisor.order is not None
        self.hear(
            SlotReported(
                supervisor.name, supervisor.version if supervisor.serves else "", supervisor.order is not None
            )
        )

    def wait(self, span: float) -> None:
        self.now += span
        for supervisor in self.supervisors.values():
            if supervisor.order and self.now >= supervisor.order[1]:
                self.end(supervisor, False, heard=False)
        self.hear(Tick())

    def judge(self, verdict: Verdict) -> None:
        if self.compared:
            self.hear(ComparisonUpdated(judged(verdict), self.compared.number))

    def calm_step(self, verdict: Verdict, heal: bool = True, well: bool = True) -> None:
        for supervisor in self.supervisors.values():
            supervisor.reached = supervisor.reached or heal
            self.end(supervisor, well)
            self.ask(supervisor)
        self.judge(verdict)
        self.wait(20.0)

    def calm(self, verdict: Verdict, most: int = 500) -> None:
        """Everything answers and does well from now on, until the end."""
        for _ in range(most):
            if self.machine.ended:
                return
            self.calm_step(verdict)
        raise AssertionError(f"no end: {self.machine.state}, {self.machine.reason}")

    @property
    def new(self) -> int:
        """Places that have the new version, or are changing to it."""
        return sum(
            supervisor.version == NEW or (supervisor.order is not None and supervisor.order[0] == NEW)
            for supervisor in self.supervisors.values()
        )


TENANTS = (0.4, 0.3, 0.2, 0.1)
LATENCIES = [latency_bucket(0.03 * math.exp(random.Random(n).gauss(0, 0.5))) for n in range(500)]


def traffic(
    seed: int, harm: str = "", size: float = 0.0, herd: bool = False, proxies: int = 6, rate: float = 120.0
) -> Any:
    """Moments of blocks without end: proxy 0 is new, and worse by `size` in one way. `rate` a proxy."""
    rng, limits = random.Random(seed), ComparisonSettings()
    rss = [40.0] * proxies
    shift = round(8 * math.log2(1 + size)) if harm == "slow" else 0
    n = 0
    while True:
        n += 1
        swell = 1 + 0.3 * math.sin(n / 9) + (8 if herd and 40 <= n < 60 else 0)  # strikes both sides
        blocks = []
        keys = [("class:view", 1.0), *((f"tenant:{i}", part) for i, part in enumerate(TENANTS))]
        for one in range(proxies):
            new = one == 0
            by = {}
            for key, part in keys:
                taken = max(1, round(rng.gauss(1, 0.1) * rate * limits.block_s * part))
                worse = size if new and harm in ("refused", key) else 0.0
                refused = _draw(rng, taken, min(1.0, 0.01 * swell + worse))
                failed = _draw(rng, taken - refused, 0.002 + (size if new and harm == "failed" else 0.0))
                late = _draw(rng, taken - refused - failed, 0.01 * swell)
                again = _draw(rng, taken, 0.05) + (round(size * taken) if new and harm == "attempts" else 0)
                answered = taken - refused - failed
                latency: dict[int, int] = {}
                for number in rng.choices(LATENCIES, k=min(answered, 60)):
                    number += shift if new else 0
                    latency[number] = latency.get(number, 0) + 1
                by[key] = RequestCounts(taken, answered - late, refused, failed, taken + again, latency)
            rss[one] += (size * limits.block_s / 60 if new and harm == "memory" else 0) + rng.gauss(0, 0.01)
            cpu = 0.6 * rng.uniform(0.9, 1.1) * (1 + (size if new and harm == "cpu" else 0))
            use = ResourceUsage(cpu, rss[one], 50 + rng.randrange(4), int(rng.random() < 0.02))
            side = Side.NEW if new else Side.OLD
            at = n * limits.block_s
            blocks.append(Block(at, f"z{one % 3}", side, f"p{one}", 1000 + at, by, use))
        yield blocks


def _draw(rng: random.Random, number: int, part: float) -> int:
    spread = math.sqrt(max(0.0, number * part * (1 - part)))
    if number * part > 20 and number * (1 - part) > 20:
        return round(rng.gauss(number * part, spread))
    if part <= 0 or number <= 0 or part >= 1:
        return number if part >= 1 else 0
    count, at, gap = -1, 0.0, math.log(1 - part)
    while at <= number:  # from one event to the next
        at += math.floor(math.log(1 - rng.random()) / gap) + 1
        count += 1
    return count
