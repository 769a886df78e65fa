"""The command `firvane-soak`: draws plans from seeds, plays them and judges the results."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import uvloop

from firvane.simulation.localfleet.daemons import PACKAGE_PARENT
from firvane.simulation.localfleet.fleet_run import StartError
from firvane.simulation.soak.event_trace import format_trace
from firvane.simulation.soak.judge import Bounds, Violation, judge
from firvane.simulation.soak.plan import SIZES, Plan, draw_plan, plan_from_json
from firvane.simulation.soak.player import Played, Player
from firvane.simulation.soak.records import AttemptEnd
from firvane.simulation.soak.shrink import shrink

NO_VIOLATION = 0
RULE_VIOLATED = 1
BAD_USAGE = 2
NOT_STARTED = 3
INTERRUPTED = 130
MAX_PRINTED_TRACES = 5
MAX_SHRINK_PLAYS = 40


@dataclass(frozen=True, slots=True)
class Outcome:
    """One run and its violations."""

    played: Played
    violations: list[Violation]


def play(plan: Plan, program_root: Path = PACKAGE_PARENT) -> Outcome:
    """Play and judge a plan on a new event loop; raises `StartError` if the fleet does not become ready."""
    folder = Path(tempfile.mkdtemp(prefix="firvane-soak-"))
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            played = runner.run(_play(plan, folder, program_root))
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return Outcome(played, judge(played.record, Bounds()))


async def _play(plan: Plan, folder: Path, program_root: Path) -> Played:
    """Play a plan; SIGTERM cancels it, so that all daemons are stopped in order."""
    playing = asyncio.current_task()
    assert playing
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, playing.cancel)
    return await Player(plan, folder, program_root).play()


def soak(
    *,
    seed: int = 1,
    seeds: int = 1,
    size: str = "usual",
    replay: Path | None = None,
    shrink: bool = False,
    show_plan: bool = False,
    keep: Path | None = None,
    program_root: Path = PACKAGE_PARENT,
) -> int:
    """Play plans drawn from seeds with the real daemons, and judge what clients and backends recorded.

    Exit codes: 0 if no rule was violated, 1 if one was, 2 for bad usage, 3 if a fleet did not become ready.

    :param seed: the first seed
    :param seeds: number of consecutive seeds
    :param size: small, usual or large
    :param replay: play the plan in this file instead
    :param shrink: shorten a plan that violates a rule while it still does, and print it
    :param show_plan: print each plan before it is played
    :param keep: folder for the plan, logs and traces of each run that violates a rule
    :param program_root: folder with the package whose daemons are run
    """
    try:
        plans = _plans(seed, seeds, size, replay)
    except (ValueError, OSError) as error:
        print(error, file=sys.stderr)
        return BAD_USAGE
    status = NO_VIOLATION
    for plan in plans:
        if show_plan:
            print(plan.to_json())
        try:
            outcome = play(plan, program_root)
        except StartError as error:
            print(f"seed {plan.seed}: {error}", file=sys.stderr)
            return NOT_STARTED
        except (KeyboardInterrupt, asyncio.CancelledError):
            return INTERRUPTED
        print(summary(plan, outcome), flush=True)
        if outcome.violations:
            status = RULE_VIOLATED
            _report(plan, outcome, keep)
            if shrink:
                print(_shorten(plan, outcome, program_root).to_json())
    return status


def _plans(seed: int, seeds: int, size: str, replay: Path | None) -> list[Plan]:
    if replay:
        return [plan_from_json(replay.read_text())]
    if size not in SIZES:
        raise ValueError(f"size: {size!r} is not one of {', '.join(SIZES)}")
    if seeds < 1:
        raise ValueError("seeds: must be at least 1")
    return [draw_plan(number, SIZES[size]) for number in range(seed, seed + seeds)]


def summary(plan: Plan, outcome: Outcome) -> str:
    """One line with the violated rules, the requests by outcome and the steps played."""
    record = outcome.played.record
    ends = Counter(each.end for each in record.attempts.values() if each.end)
    rules = Counter(violation.rule for violation in outcome.violations)
    kinds = Counter(step.kind.value for step in plan.steps)
    step_counts = " ".join(f"{kind}:{count}" for kind, count in sorted(kinds.items()))
    broken = " ".join(f"{rule}:{count}" for rule, count in sorted(rules.items())) or "none"
    counted = " ".join(f"{end.name.lower()}={ends[end]}" for end in AttemptEnd)
    return (
        f"seed {plan.seed}: broken {broken}; {len(record.attempts)} requests ({counted}), "
        f"{len(record.arrivals)} arrivals, {record.orders_acknowledged} orders; {step_counts}; "
        f"delay {record.clock_delay * 1000:.0f} ms"
    )


def _report(plan: Plan, outcome: Outcome, keep: Path | None) -> None:
    for violation in outcome.violations[:MAX_PRINTED_TRACES]:
        print(format_trace(violation, outcome.played))
    if keep:
        folder = keep / f"seed-{plan.seed}"
        folder.mkdir(parents=True, exist_ok=True)
        (folder / "plan.json").write_text(plan.to_json())
        traces = [format_trace(violation, outcome.played) for violation in outcome.violations]
        (folder / "stories.txt").write_text("\n\n".join(traces) + "\n")
        for name, text in outcome.played.logs.items():
            (folder / f"{name}.log").write_text(text)


def _shorten(plan: Plan, outcome: Outcome, program_root: Path) -> Plan:
    rules = {violation.rule for violation in outcome.violations}
    return shrink(plan, _violation_check(rules, program_root), MAX_SHRINK_PLAYS)


def _violation_check(rules: set[str], program_root: Path) -> Callable[[Plan], bool]:
    def violates_rules(plan: Plan) -> bool:
        return any(violation.rule in rules for violation in play(plan, program_root).violations)

    return violates_rules
