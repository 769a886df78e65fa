"""Plans of soak runs: the size of the fleet and timed steps, drawn from a seed. Pure.

A plan is written to and read from JSON, so that a run can be replayed, also with fewer steps.
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
    """The action of a step."""

    TERM = "term"  # SIGTERM, and a new start after the exit
    TERM_TWICE = "term-twice"  # as TERM, with a second SIGTERM `span` s after the first
    TERM_IN_START = "term-in-start"  # SIGKILL, a new start, SIGTERM `span` s later, and another start
    KILL = "kill"  # SIGKILL, and a new start `span` s later
    HUP = "hup"  # SIGHUP
    FREEZE = "freeze"  # SIGSTOP, and SIGCONT `span` s later
    QUOTA = "quota"  # the process is suspended for `share` of each tenth of a second, for `span` s
    BACKEND_FAULT = "backend-fault"  # `mode` affects `share` of the requests at all backends for `span` s
    BACKEND_CRASH = "backend-crash"  # `count` backends crash, and are replaced `span` s later
    BACKEND_DRAIN = "backend-drain"  # the oldest backend drains and is replaced
    CHANGES = "changes"  # configuration changes for `span` s, one every `gap` s
    BURST = "burst"  # the request rate grows by `share` of the base rate for `span` s


class FaultMode(enum.StrEnum):
    """How a backend fails a request."""

    ERROR = "error"  # the request runs; the response is 500
    SHED = "shed"  # the request is rejected with 503 and has not run
    RESET = "reset"  # the connection is closed at once
    CUT = "cut"  # the connection is closed during the response
    HANG = "hang"  # no response is sent


@dataclass(frozen=True, slots=True)
class Step:
    """One step; `at` is seconds from the start of the load, `target` is the name of a daemon."""

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
    """The size of a fleet and its load; `rate` is requests per second of all clients together."""

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
    """The plan of one run."""

    seed: int
    size: Size
    steps: tuple[Step, ...]

    def to_json(self) -> str:
        """The plan as JSON."""
        return json.dumps(asdict(self), indent=1)

    def without(self, steps: set[int]) -> Plan:
        """The plan without the steps at these positions."""
        return replace(self, steps=tuple(step for index, step in enumerate(self.steps) if index not in steps))


def plan_from_json(text: str) -> Plan:
    """Read a plan from JSON; raises `ValueError` if the text is not a valid plan."""
    try:
        fields = json.loads(text)
        steps = tuple(_read_step(step) for step in fields["steps"])
        return Plan(int(fields["seed"]), Size(**fields["size"]), steps)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a plan: {error}") from None


def _read_step(fields: dict[str, Any]) -> Step:
    return Step(**{**fields, "kind": StepKind(fields["kind"]), "mode": FaultMode(fields["mode"])})


# Drawing

DrawSteps = Callable[[random.Random, Size], Iterator[Step]]


def routers(size: Size) -> list[str]:
    """The names of the fleet's routers."""
    return [f"{ROUTER}-{number + 1}" for number in range(size.routers)]


def controllers(size: Size) -> list[str]:
    """The names of the fleet's controllers."""
    return [f"{CONTROLLER}-{number + 1}" for number in range(size.controllers)]


def _draw_start(rng: random.Random, size: Size, before_end: float = 6.0) -> float:
    return rng.uniform(0.5, max(1.0, size.seconds - before_end))


def rolling_restart(rng: random.Random, size: Size) -> Iterator[Step]:
    """Restart all routers one after the other, without waiting for the previous one to exit."""
    at, gap = rng.uniform(0.5, 3.0), rng.uniform(0.3, 3.0)
    kind = rng.choice((StepKind.TERM, StepKind.TERM, StepKind.TERM_TWICE))
    for name in rng.sample(routers(size), size.routers):
        if at < size.seconds:
            yield Step(at, kind, name, span=rng.uniform(0.05, 3.0))
        at += gap


def simultaneous_restarts(rng: random.Random, size: Size) -> Iterator[Step]:
    """Restart some routers at the same time."""
    at = _draw_start(rng, size)
    for name in rng.sample(routers(size), rng.randint(1, size.routers)):
        yield Step(at, StepKind.TERM, name)


def restart_in_start(rng: random.Random, size: Size) -> Iterator[Step]:
    """Send SIGTERM to a router while it starts."""
    yield Step(
        _draw_start(rng, size), StepKind.TERM_IN_START, rng.choice(routers(size)), rng.uniform(0.05, 1.5)
    )


def failing_backends_and_kills(rng: random.Random, size: Size) -> Iterator[Step]:
    """Fail most requests at the backends while most routers are killed, once or several times."""
    start = rng.uniform(0.5, max(1.0, size.seconds - 12.0))
    duration = min(size.seconds - start, rng.uniform(8.0, 14.0))
    mode = rng.choice((FaultMode.ERROR, FaultMode.ERROR, FaultMode.RESET, FaultMode.CUT))
    yield Step(start, StepKind.BACKEND_FAULT, span=duration, share=rng.uniform(0.6, 0.95), mode=mode)
    at = start + rng.uniform(1.0, 3.5)
    while at < start + duration - 0.5:
        names = rng.sample(routers(size), rng.randint(-(-size.routers * 2 // 3), size.routers))
        for name in names:
            yield Step(at, StepKind.KILL, name, span=rng.uniform(0.1, 0.5))
        at += rng.uniform(2.5, 5.0)


def kills(rng: random.Random, size: Size) -> Iterator[Step]:
    """Kill single processes."""
    for _ in range(rng.randint(1, 3)):
        name = rng.choice([*routers(size), rng.choice(controllers(size))])
        yield Step(_draw_start(rng, size), StepKind.KILL, name, span=rng.uniform(0.3, 1.5))


def controllers_in_turn(rng: random.Random, size: Size) -> Iterator[Step]:
    """Restart the controllers one at a time."""
    at = _draw_start(rng, size)
    for name in rng.sample(controllers(size), size.controllers):
        if at < size.seconds:
            yield Step(at, StepKind.TERM, name)
        at += rng.uniform(6.0, 9.0)


def suspensions(rng: random.Random, size: Size) -> Iterator[Step]:
    """Suspend and resume single processes."""
    for name in rng.sample(routers(size), rng.randint(1, 2)):
        yield Step(_draw_start(rng, size), StepKind.FREEZE, name, span=rng.uniform(0.2, 3.0))


def cpu_quota(rng: random.Random, size: Size) -> Iterator[Step]:
    """Suspend processes for a share of each tenth of a second, as a CPU quota does."""
    at, span, share = _draw_start(rng, size), rng.uniform(2.0, 10.0), rng.uniform(0.3, 0.7)
    for name in rng.sample(routers(size) + controllers(size)[:1], rng.randint(1, max(1, size.routers // 2))):
        yield Step(at, StepKind.QUOTA, name, span=span, share=share)


def many_changes(rng: random.Random, size: Size) -> Iterator[Step]:
    """Change the configuration repeatedly."""
    at = rng.uniform(0.5, 2.0)
    yield Step(at, StepKind.CHANGES, span=size.seconds - at - 1.0, gap=rng.choice((0.05, 0.1, 0.5)))


def backend_faults(rng: random.Random, size: Size) -> Iterator[Step]:
    """Fail a share of the requests at the backends for a while, or crash or replace backends."""
    for _ in range(rng.randint(1, 3)):
        kind = rng.choice((StepKind.BACKEND_FAULT, StepKind.BACKEND_CRASH, StepKind.BACKEND_DRAIN))
        yield Step(
            _draw_start(rng, size),
            kind,
            span=rng.uniform(1.0, 5.0),
            share=rng.uniform(0.05, 0.7),
            count=rng.randint(1, max(1, size.backends // 4)),
            mode=rng.choice(list(FaultMode)),
        )


def reloads(rng: random.Random, size: Size) -> Iterator[Step]:
    """Send SIGHUP to some routers, which then reload their settings."""
    at = _draw_start(rng, size)
    for name in rng.sample(routers(size), rng.randint(1, size.routers)):
        yield Step(at, StepKind.HUP, name)
        at = min(size.seconds - 0.5, at + rng.uniform(0.0, 1.0))


def burst(rng: random.Random, size: Size) -> Iterator[Step]:
    """Raise the request rate for a while."""
    yield Step(
        _draw_start(rng, size), StepKind.BURST, span=rng.uniform(2.0, 6.0), share=rng.uniform(0.3, 1.5)
    )


# each plan has at least one of these
MAIN_SERIES: tuple[DrawSteps, ...] = (rolling_restart, failing_backends_and_kills)
ADDITIONAL_SERIES: tuple[DrawSteps, ...] = (
    simultaneous_restarts,
    restart_in_start,
    kills,
    controllers_in_turn,
    suspensions,
    cpu_quota,
    many_changes,
    backend_faults,
    reloads,
    burst,
)


def draw_plan(seed: int, size: Size) -> Plan:
    """Draw the plan of a seed; longer runs have more series of steps, which overlap."""
    rng = random.Random(seed)
    rounds = max(1, round(size.seconds / 20.0))
    draws = [MAIN_SERIES[seed % len(MAIN_SERIES)]]
    draws += rng.choices(MAIN_SERIES, k=rounds - 1)
    draws += rng.sample(ADDITIONAL_SERIES, min(len(ADDITIONAL_SERIES), 1 + rounds))
    steps = [step for draw in draws for step in draw(rng, size)]
    return Plan(seed, size, tuple(sorted(steps, key=lambda step: step.at)))
