"""What is played: the size of a fleet, and steps at set times, drawn from a seed. Pure.

A plan is written as JSON and read back, so that a run can be played again, or with fewer steps.
"""

from __future__ import annotations

import enum
import json
import random
from collections.abc import Callable, Iterator
from dataclasses import asdict, dataclass, replace
from typing import Any

ROUTER = "router"
CONTROLLER = "controller"


class StepKind(enum.StrEnum):
    """What one step does."""

    TERM = "term"  # SIGTERM, and a new start after the end
    TERM_TWICE = "term-twice"  # the same, with a second SIGTERM `span` s later
    TERM_IN_START = "term-in-start"  # SIGKILL, a new start, SIGTERM `span` s after it, and a new start
    KILL = "kill"  # SIGKILL, and a new start `span` s later
    HUP = "hup"
    FREEZE = "freeze"  # SIGSTOP for `span` s
    QUOTA = "quota"  # stands still for `share` of each tenth of a second, for `span` s
    BACKEND_FAULT = "backend-fault"  # `mode` strikes `share` of the requests at all backends for `span` s
    BACKEND_CRASH = "backend-crash"  # `count` are gone, and others come `span` s later
    BACKEND_DRAIN = "backend-drain"  # one drains, and another comes
    CHANGES = "changes"  # changes of the configuration for `span` s, one each `gap` s
    BURST = "burst"  # `share` more requests for `span` s


class FaultMode(enum.StrEnum):
    """How a backend fails a request."""

    ERROR = "error"  # it runs, and ends with 500
    SHED = "shed"  # rejected, has not run
    RESET = "reset"  # the connection ends at once
    CUT = "cut"  # it ends in the middle of the answer
    HANG = "hang"  # no answer comes


@dataclass(frozen=True, slots=True)
class Step:
    """One step; times are seconds from the start of the load. `target` names a daemon."""

    at: float
    kind: StepKind
    target: str = ""
    span: float = 0.0
    share: float = 0.0
    count: int = 0
    gap: float = 0.0
    mode: FaultMode = FaultMode.ERROR


@dataclass(frozen=True, slots=True)
class Size:
    """How many there are of everything; `rate` is requests a second of all clients together."""

    routers: int
    controllers: int
    backends: int
    clients: int
    seconds: float
    rate: float


SIZES = {
    "small": Size(routers=3, controllers=3, backends=4, clients=40, seconds=13.0, rate=70.0),
    "usual": Size(routers=9, controllers=5, backends=12, clients=90, seconds=60.0, rate=110.0),
    "large": Size(routers=60, controllers=9, backends=30, clients=160, seconds=40.0, rate=60.0),
}


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole run."""

    seed: int
    size: Size
    steps: tuple[Step, ...]

    def to_json(self) -> str:
        """The plan as text."""
        return json.dumps(asdict(self), indent=1)

    def without(self, steps: set[int]) -> Plan:
        """The plan without the steps at these positions."""
        return replace(self, steps=tuple(step for place, step in enumerate(self.steps) if place not in steps))


def plan_from_json(text: str) -> Plan:
    """Read a plan; `ValueError` where the text is none."""
    try:
        given = json.loads(text)
        steps = tuple(_read_step(step) for step in given["steps"])
        return Plan(int(given["seed"]), Size(**given["size"]), steps)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a plan: {error}") from None


def _read_step(fields: dict[str, Any]) -> Step:
    return Step(**{**fields, "kind": StepKind(fields["kind"]), "mode": FaultMode(fields["mode"])})


# Drawing

Draw = Callable[[random.Random, Size], Iterator[Step]]


def routers(size: Size) -> list[str]:
    """The names of a fleet's routers."""
    return [f"{ROUTER}-{number + 1}" for number in range(size.routers)]


def controllers(size: Size) -> list[str]:
    """The names of its controllers."""
    return [f"{CONTROLLER}-{number + 1}" for number in range(size.controllers)]


def _begin(dice: random.Random, size: Size, before_end: float = 6.0) -> float:
    return dice.uniform(0.5, max(1.0, size.seconds - before_end))


def rolling_restart(dice: random.Random, size: Size) -> Iterator[Step]:
    """Routers in turn, sooner than one has ended."""
    at, gap = dice.uniform(0.5, 3.0), dice.uniform(0.3, 3.0)
    kind = dice.choice((StepKind.TERM, StepKind.TERM, StepKind.TERM_TWICE))
    for name in dice.sample(routers(size), size.routers):
        if at < size.seconds:
            yield Step(at, kind, name, span=dice.uniform(0.05, 3.0))
        at += gap


def several_at_once(dice: random.Random, size: Size) -> Iterator[Step]:
    """Some routers at one moment."""
    at = _begin(dice, size)
    for name in dice.sample(routers(size), dice.randint(1, size.routers)):
        yield Step(at, StepKind.TERM, name)


def restart_in_start(dice: random.Random, size: Size) -> Iterator[Step]:
    """A router gets SIGTERM while it starts."""
    yield Step(
        _begin(dice, size), StepKind.TERM_IN_START, dice.choice(routers(size)), dice.uniform(0.05, 1.5)
    )


def failing_backends_and_kills(dice: random.Random, size: Size) -> Iterator[Step]:
    """Backends fail most requests while most routers are killed, once or several times."""
    begins = dice.uniform(0.5, max(1.0, size.seconds - 12.0))
    lasts = min(size.seconds - begins, dice.uniform(8.0, 14.0))
    mode = dice.choice((FaultMode.ERROR, FaultMode.ERROR, FaultMode.RESET, FaultMode.CUT))
    yield Step(begins, StepKind.BACKEND_FAULT, span=lasts, share=dice.uniform(0.6, 0.95), mode=mode)
    at = begins + dice.uniform(1.0, 3.5)
    while at < begins + lasts - 0.5:
        names = dice.sample(routers(size), dice.randint(-(-size.routers * 2 // 3), size.routers))
        for name in names:
            yield Step(at, StepKind.KILL, name, span=dice.uniform(0.1, 0.5))
        at += dice.uniform(2.5, 5.0)


def kills(dice: random.Random, size: Size) -> Iterator[Step]:
    """Single processes are killed."""
    for _ in range(dice.randint(1, 3)):
        name = dice.choice([*routers(size), dice.choice(controllers(size))])
        yield Step(_begin(dice, size), StepKind.KILL, name, span=dice.uniform(0.3, 1.5))


def controllers_in_turn(dice: random.Random, size: Size) -> Iterator[Step]:
    """Controllers are restarted in turn, one at a time."""
    at = _begin(dice, size)
    for name in dice.sample(controllers(size), size.controllers):
        if at < size.seconds:
            yield Step(at, StepKind.TERM, name)
        at += dice.uniform(6.0, 9.0)


def frozen(dice: random.Random, size: Size) -> Iterator[Step]:
    """Processes stand still and go on."""
    for name in dice.sample(routers(size), dice.randint(1, 2)):
        yield Step(_begin(dice, size), StepKind.FREEZE, name, span=dice.uniform(0.2, 3.0))


def quota(dice: random.Random, size: Size) -> Iterator[Step]:
    """Processes stand still for the rest of each tenth of a second."""
    at, span, share = _begin(dice, size), dice.uniform(2.0, 10.0), dice.uniform(0.3, 0.7)
    for name in dice.sample(
        routers(size) + controllers(size)[:1], dice.randint(1, max(1, size.routers // 2))
    ):
        yield Step(at, StepKind.QUOTA, name, span=span, share=share)


def many_changes(dice: random.Random, size: Size) -> Iterator[Step]:
    """Changes of the configuration, one after the other."""
    at = dice.uniform(0.5, 2.0)
    yield Step(at, StepKind.CHANGES, span=size.seconds - at - 1.0, gap=dice.choice((0.05, 0.1, 0.5)))


def backend_faults(dice: random.Random, size: Size) -> Iterator[Step]:
    """Backends fail a part of the requests for a while, or crash, or are replaced."""
    for _ in range(dice.randint(1, 3)):
        kind = dice.choice((StepKind.BACKEND_FAULT, StepKind.BACKEND_CRASH, StepKind.BACKEND_DRAIN))
        yield Step(
            _begin(dice, size),
            kind,
            span=dice.uniform(1.0, 5.0),
            share=dice.uniform(0.05, 0.7),
            count=dice.randint(1, max(1, size.backends // 4)),
            mode=dice.choice(list(FaultMode)),
        )


def hangups(dice: random.Random, size: Size) -> Iterator[Step]:
    """The settings are read anew."""
    at = _begin(dice, size)
    for name in dice.sample(routers(size), dice.randint(1, size.routers)):
        yield Step(at, StepKind.HUP, name)
        at = min(size.seconds - 0.5, at + dice.uniform(0.0, 1.0))


def burst(dice: random.Random, size: Size) -> Iterator[Step]:
    """More requests for a while."""
    yield Step(_begin(dice, size), StepKind.BURST, span=dice.uniform(2.0, 6.0), share=dice.uniform(0.3, 1.5))


ALWAYS: tuple[Draw, ...] = (rolling_restart, failing_backends_and_kills)  # one of them in each plan
OTHERS: tuple[Draw, ...] = (
    several_at_once,
    restart_in_start,
    kills,
    controllers_in_turn,
    frozen,
    quota,
    many_changes,
    backend_faults,
    hangups,
    burst,
)


def draw_plan(seed: int, size: Size) -> Plan:
    """The plan of a seed. In longer runs series are drawn more than once, and overlap."""
    dice = random.Random(seed)
    rounds = max(1, round(size.seconds / 20.0))
    draws = [ALWAYS[seed % len(ALWAYS)]]
    draws += dice.choices(ALWAYS, k=rounds - 1)
    draws += dice.sample(OTHERS, min(len(OTHERS), 1 + rounds))
    steps = [step for draw in draws for step in draw(dice, size)]
    return Plan(seed, size, tuple(sorted(steps, key=lambda step: step.at)))
