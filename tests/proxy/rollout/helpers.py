"""A rollout plan, simulated supervisors with faults, and blocks of random traffic."""

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


def make_plan(slots: int = 6, zones: int = 3, **roll: Any) -> Plan:
    stages = (Stage(part="one", soak_s=30, longest_s=200), Stage(part=0.5, soak_s=30, longest_s=400))
    return Plan(
        roll=RollSettings(version=NEW, old=OLD, **{"ask_s": 1000.0, "back_s": 300.0, **roll}),
        version={name: Version(command=(name,)) for name in (OLD, NEW)},
        place=tuple(
            SlotPlan(name=f"p{n}", zone=f"z{n % zones}", door=f"d{n}", ops=f"o{n}") for n in range(slots)
        ),
        stage=(*stages, Stage(part=1.0, soak_s=30, longest_s=400)),
    )


def make_finding(verdict: Verdict) -> Finding:
    return Finding(verdict, verdict.value)


@dataclass
class FakeSupervisor:
    """The actual state of one slot, which the state machine may not know."""

    name: str
    zone: str
    version: str = OLD
    is_serving: bool = True
    is_reachable: bool = True
    highest_token: int = 0
    order: tuple[str, float] | None = None  # the ordered version, and when the order times out
    reported_unavailable: bool = True  # by the last report to the controller


@dataclass
class World:
    """Simulated supervisors, and a controller that can crash after any of its actions."""

    plan: Plan
    machine_type: type[RolloutStateMachine] = RolloutStateMachine
    now: float = 0.0
    disk: StoredRollout | None = None
    supervisors: dict[str, FakeSupervisor] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    comparison: StartComparison | None = None
    spent_alpha: float = 0.0  # sum of the alphas of all comparisons
    required_token_step: int = 0  # by how much the next stored token must exceed the last

    def __post_init__(self) -> None:
        self.supervisors = {place.name: FakeSupervisor(place.name, place.zone) for place in self.plan.place}
        self.start()

    def start(self) -> None:
        """Start a controller from the state on disk."""
        for supervisor in self.supervisors.values():
            supervisor.reported_unavailable = True
        self.required_token_step = 0 if self.disk is None or self.disk.state in FINAL_STATES else 1
        self.machine = self.machine_type(self.plan, "d", self.now, self.disk)
        self.execute(self.machine.begin(self.now))

    def handle_event(self, event: Event, crash_after: int | None = None) -> None:
        actions = self.machine.handle(event, self.now)
        self.execute(actions[:crash_after])
        if crash_after is not None:
            self.start()

    def execute(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case PersistRollout(stored):
                    if self.disk and stored.roll < self.disk.roll + self.required_token_step:
                        self.violations.append("a take-over without a higher token")
                    self.disk, self.required_token_step = stored, 0
                case StartComparison():
                    self.comparison, self.spent_alpha = action, self.spent_alpha + action.alpha
                case ReplaceSlot(name, version, token) | RevertSlot(name, version, token):
                    self.receive_order(self.supervisors[name], version, token)

    def receive_order(self, supervisor: FakeSupervisor, version: str, token: int) -> None:
        replacing = [other for other in self.supervisors.values() if other.order]
        if supervisor.order:
            self.violations.append("two orders to one slot")
        if len(replacing) >= self.plan.roll.at_once:
            self.violations.append("more than at_once")
        unavailable = {
            other.name
            for other in self.supervisors.values()
            if other.zone == supervisor.zone and other.reported_unavailable
        }
        unavailable |= {other.name for other in replacing if other.zone == supervisor.zone}
        if supervisor.name not in unavailable and len(unavailable) >= self.plan.max_unavailable(
            supervisor.zone
        ):
            self.violations.append("more slots of a zone unavailable than the plan allows")
        if self.disk is None or self.disk.ordered.get(supervisor.name) != version or self.disk.roll != token:
            self.violations.append("an order that is not on disk")
        if not supervisor.is_reachable:
            return
        if token < supervisor.highest_token:
            self.violations.append("an order with an outdated token")
        settings = self.plan.roll
        supervisor.highest_token = token
        supervisor.order = version, self.now + settings.ready_s + settings.prove_s + settings.end_s

    def end_order(self, supervisor: FakeSupervisor, succeeds: bool, is_reported: bool = True) -> None:
        """End the pending order of a supervisor; its report may be lost."""
        if supervisor.order is None:
            return
        version, supervisor.order = supervisor.order[0], None
        if succeeds:
            supervisor.version, supervisor.is_serving = version, True
        if is_reported and supervisor.is_reachable:
            supervisor.reported_unavailable = not supervisor.is_serving
            event = (
                SlotReplaced(supervisor.name, version)
                if succeeds
                else ReplacementFailed(supervisor.name, "it died")
            )
            self.handle_event(event)

    def poll(self, supervisor: FakeSupervisor) -> None:
        if not supervisor.is_reachable:
            supervisor.reported_unavailable = True
            self.handle_event(SlotUnreachable(supervisor.name))
            return
        supervisor.reported_unavailable = not supervisor.is_serving or supervisor.order is not None
        self.handle_event(
            SlotReported(
                supervisor.name,
                supervisor.version if supervisor.is_serving else "",
                supervisor.order is not None,
            )
        )

    def advance(self, duration_s: float) -> None:
        self.now += duration_s
        for supervisor in self.supervisors.values():
            if supervisor.order and self.now >= supervisor.order[1]:
                self.end_order(supervisor, False, is_reported=False)
        self.handle_event(Tick())

    def report_verdict(self, verdict: Verdict) -> None:
        if self.comparison:
            self.handle_event(ComparisonUpdated(make_finding(verdict), self.comparison.number))

    def run_healthy_step(self, verdict: Verdict, reconnects: bool = True, succeeds: bool = True) -> None:
        for supervisor in self.supervisors.values():
            supervisor.is_reachable = supervisor.is_reachable or reconnects
            self.end_order(supervisor, succeeds)
            self.poll(supervisor)
        self.report_verdict(verdict)
        self.advance(20.0)

    def run_to_end(self, verdict: Verdict, max_steps: int = 500) -> None:
        """Run without faults until the rollout ends, for at most `max_steps` steps."""
        for _ in range(max_steps):
            if self.machine.ended:
                return
            self.run_healthy_step(verdict)
        raise AssertionError(f"the rollout did not end: {self.machine.state}, {self.machine.reason}")

    @property
    def new_count(self) -> int:
        """The number of slots that have the new version or are changing to it."""
        return sum(
            supervisor.version == NEW or (supervisor.order is not None and supervisor.order[0] == NEW)
            for supervisor in self.supervisors.values()
        )


TENANTS = (0.4, 0.3, 0.2, 0.1)
LATENCIES = [latency_bucket(0.03 * math.exp(random.Random(n).gauss(0, 0.5))) for n in range(500)]


def traffic(
    seed: int, harm: str = "", size: float = 0.0, herd: bool = False, proxies: int = 6, rate: float = 120.0
) -> Any:
    """Yield the blocks of endless intervals: proxy 0 is new, and worse by `size` in the metric `harm`.

    `rate` is requests per second and proxy; `herd` adds a surge of refused and late requests on both sides.
    """
    rng, settings = random.Random(seed), ComparisonSettings()
    rss = [40.0] * proxies
    shift = round(8 * math.log2(1 + size)) if harm == "slow" else 0
    n = 0
    while True:
        n += 1
        surge = 1 + 0.3 * math.sin(n / 9) + (8 if herd and 40 <= n < 60 else 0)  # affects both sides
        blocks = []
        keys = [("class:view", 1.0), *((f"tenant:{i}", part) for i, part in enumerate(TENANTS))]
        for proxy in range(proxies):
            new = proxy == 0
            counts_by_key = {}
            for key, part in keys:
                taken = max(1, round(rng.gauss(1, 0.1) * rate * settings.block_s * part))
                added_share = size if new and harm in ("refused", key) else 0.0
                refused = _draw(rng, taken, min(1.0, 0.01 * surge + added_share))
                failed = _draw(rng, taken - refused, 0.002 + (size if new and harm == "failed" else 0.0))
                late = _draw(rng, taken - refused - failed, 0.01 * surge)
                retries = _draw(rng, taken, 0.05) + (round(size * taken) if new and harm == "attempts" else 0)
                answered = taken - refused - failed
                latency: dict[int, int] = {}
                for number in rng.choices(LATENCIES, k=min(answered, 60)):
                    number += shift if new else 0
                    latency[number] = latency.get(number, 0) + 1
                counts_by_key[key] = RequestCounts(
                    taken, answered - late, refused, failed, taken + retries, latency
                )
            rss[proxy] += (size * settings.block_s / 60 if new and harm == "memory" else 0) + rng.gauss(
                0, 0.01
            )
            cpu = 0.6 * rng.uniform(0.9, 1.1) * (1 + (size if new and harm == "cpu" else 0))
            usage = ResourceUsage(cpu, rss[proxy], 50 + rng.randrange(4), int(rng.random() < 0.02))
            side = Side.NEW if new else Side.OLD
            at = n * settings.block_s
            blocks.append(Block(at, f"z{proxy % 3}", side, f"p{proxy}", 1000 + at, counts_by_key, usage))
        yield blocks


def _draw(rng: random.Random, number: int, part: float) -> int:
    spread = math.sqrt(max(0.0, number * part * (1 - part)))
    if number * part > 20 and number * (1 - part) > 20:
        return round(rng.gauss(number * part, spread))
    if part <= 0 or number <= 0 or part >= 1:
        return number if part >= 1 else 0
    count, at, gap = -1, 0.0, math.log(1 - part)
    while at <= number:  # jump from event to event by geometric gaps
        at += math.floor(math.log(1 - rng.random()) / gap) + 1
        count += 1
    return count
