"""Measures the rehearsal: `python benchmarks/rehearsals.py --help`."""

from __future__ import annotations

import json
import resource
import statistics
import sys
import time
import traceback
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

if __name__ == "__main__":
    sys.path[0] = str(Path(__file__).resolve().parent.parent)  # in place of this folder

from msgspec.structs import replace

from benchmarks.situations import SITUATIONS, Sight, played
from firvane.simulation.emulation.random_scenarios import draw
from firvane.simulation.emulation.scenario import Scenario, Trouble
from firvane.simulation.emulation.scenarios import load_named
from firvane.simulation.runner.result import Result, replay_command

LIVE = ("quiet-sunday", "silent-zone", "proxies-killed")
WITHIN = 0.02  # of service, live against virtual
MEMORY = 2e9  # bytes that the large one may take


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Measure the rehearsal itself: its situations, its clocks, its rules on drawn days, its size.

    Everything is a rehearsal of the proxies as they are here; nothing is downloaded or sent anywhere. Times
    are CPU seconds, which a busy machine changes least. Exit code 0 where all that is asserted holds, 1 where
    something does not, 2 for bad usage.

    \b
    Examples:
      python benchmarks/rehearsals.py situations --jobs 4
      python benchmarks/rehearsals.py live --runs 5 --seconds 30
      python benchmarks/rehearsals.py draws 0 100 --jobs 4 --json draws.jsonl
      python benchmarks/rehearsals.py large --boxes 400 --proxies 10
    """


json_file = click.option(
    "--json", "file", type=click.Path(dir_okay=False), help="Keep the figures here as JSON."
)
jobs = click.option(
    "--jobs", default=4, show_default=True, type=click.IntRange(1, 64), help="Processes at once."
)


def in_processes(count: int, work: Any, tasks: Iterable[tuple[Any, ...]]) -> Iterator[dict[str, Any]]:
    """What comes of each task as it ends: each in a process of its own, whose memory starts small and whose
    sets have another order than the others'."""
    with ProcessPoolExecutor(count, get_context("spawn"), max_tasks_per_child=1) as pool:
        for done in as_completed([pool.submit(work, *task) for task in tasks]):
            yield done.result()


def say(text: str) -> None:
    click.echo(text, err=True)


def keep(file: str | None, figures: Any) -> None:
    if file:
        Path(file).write_text(json.dumps(figures, indent=1) + "\n")


def peak() -> int:
    """Bytes that this process had resident at the most."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


def figures(result: Result, cpu: float) -> dict[str, Any]:
    return {
        "scenario": result.scenario.name,
        "seed": result.seed,
        "score": result.score,
        "service": result.service,
        "worst_10_s": result.worst_10_s,
        "worst_community": result.worst_community,
        "p99_ms": result.latency_ms.get("p99", 0.0),
        "attempts": result.attempts.per_request,
        "refused": result.requests.refused,
        "broken": result.broken_counts,
        "told": [str(one.text) for one in result.broken_rules[:3]],
        "near": max((one.fraction for one in result.near), default=0.0),
        "no_verdict": result.no_verdict,
        "hash": result.result_hash,
        "cpu_s": cpu,
        "peak": peak(),
    }


# Situations


def play_situation(name: str, seed: int | None) -> dict[str, Any]:
    scenario = load_named(name)
    sight, begun = Sight(scenario), time.process_time()
    result = played(scenario, scenario.seed if seed is None else seed, sight)
    cpu = time.process_time() - begun
    checks = SITUATIONS[name](result, sight)
    return {**figures(result, cpu), "checks": [(str(one), one.holds, one.felt) for one in checks]}


HEAD = (
    f"{'':<19}{'service':>8}{'worst':>7}{'worst':>8}{'p99':>7}{'attempts':>9}{'refused':>9}{'CPU':>6}"
    f"  {'hash':<10}verdict\n{'':<19}{'':>8}{'10 s':>7}{'commun.':>8}{'ms':>7}{'/request':>9}{'':>9}{'s':>6}"
)


def line(one: dict[str, Any], cpu: float, verdict: str) -> str:
    return (
        f"{one['scenario']:<19}{one['service']:>8.4f}{one['worst_10_s']:>7.3f}{one['worst_community']:>8.3f}"
        f"{one['p99_ms']:>7.0f}{one['attempts']:>9.3f}{one['refused']:>9}{cpu:>6.1f}"
        f"  {one['hash'][:8]:<10}{verdict}"
    )


def judged(first: dict[str, Any], second: dict[str, Any]) -> list[str]:
    """What is wrong with two runs of one scenario."""
    wrong = [] if first["hash"] == second["hash"] else ["two runs differ"]
    wrong += [f"broken: {rule} ({count})" for rule, count in first["broken"].items()]
    return wrong + [
        f"{'the proxies fall short' if felt else 'not the situation'}: {text}"
        for text, holds, felt in first["checks"]
        if not holds
    ]


@main.command()
@click.argument("names", nargs=-1, type=click.Choice(list(SITUATIONS)))
@click.option("--seed", type=int, help="For all that is drawn; else each scenario's own.")
@click.option("--checks", is_flag=True, help="Print each figure by which a situation is recognised.")
@jobs
@json_file
def situations(names: tuple[str, ...], seed: int | None, checks: bool, jobs: int, file: str | None) -> None:
    """Play NAMES (else every shipped scenario but `large`) twice, and recognise each by its figures.

    Both runs of a scenario must have the same result hash, though they are processes of their own. The checks
    judge whether the stand-ins brought about what the scenario says: that boxes of a silent data centre work
    nothing while they are silent, and so on. One run takes 20 to 50 s of CPU.
    """
    chosen = names or tuple(SITUATIONS)
    runs: dict[str, list[dict[str, Any]]] = {name: [] for name in chosen}
    for one in in_processes(jobs, play_situation, [(name, seed) for name in chosen for _ in range(2)]):
        runs[one["scenario"]].append(one)
        say(line(one, one["cpu_s"], "played"))
    click.echo(HEAD)
    failed = False
    for name in chosen:
        first, second = runs[name]
        wrong = judged(first, second)
        failed |= bool(wrong)
        click.echo(
            line(first, min(first["cpu_s"], second["cpu_s"]), "FAILED" if wrong else "as it should be")
        )
        for text in wrong:
            click.echo(f"    {text}")
        if checks:
            for text, holds, _ in first["checks"]:
                click.echo(f"    {'' if holds else 'NOT '}{text}")
    keep(file, runs)
    sys.exit(1 if failed else 0)


# Live against virtual


def shortened(scenario: Scenario, seconds: float) -> Scenario:
    """The same day in less time: what happens when keeps its place in it, what lasts keeps its part of it."""
    part = seconds / scenario.seconds

    def sooner(trouble: Trouble) -> Trouble:
        return replace(trouble, at_s=trouble.at_s * part, for_s=trouble.for_s * part)

    return replace(scenario, seconds=seconds, troubles=tuple(sooner(one) for one in scenario.troubles))


def play_clock(scenario: Scenario, seed: int, clock: str) -> dict[str, Any]:
    from firvane.simulation.runner.run import rehearse

    begun = time.process_time()
    result = rehearse(scenario, seed, "live" if clock == "live" else "virtual")
    return figures(result, time.process_time() - begun)


@main.command()
@click.argument("names", nargs=-1)
@click.option("--runs", default=5, show_default=True, type=click.IntRange(1, 100), help="Live ones of each.")
@click.option("--seconds", type=click.FloatRange(6.0, 600.0), help="Shorten each day to so many.")
@click.option("--seed", type=int, help="For all that is drawn; else each scenario's own.")
@json_file
def live(
    names: tuple[str, ...], runs: int, seconds: float | None, seed: int | None, file: str | None
) -> None:
    """Play NAMES (else quiet-sunday, silent-zone, proxies-killed) live, beside the same seed in virtual time.

    Says whether the means of service are within 0.02. Live runs follow one another, each as long as its day;
    one that has no verdict, since the machine was too busy for it, is told and counts for nothing.
    """
    kept, failed = {}, False
    for name in names or LIVE:
        scenario = load_named(name)
        scenario = shortened(scenario, seconds) if seconds else scenario
        used = scenario.seed if seed is None else seed
        virtual = next(in_processes(1, play_clock, [(scenario, used, "virtual")]))
        say(f"{name}, virtual: service {virtual['service']:.4f}")
        lived = []
        for number in range(runs):
            one = next(in_processes(1, play_clock, [(scenario, used, "live")]))
            lived.append(one)
            why = one["no_verdict"] or ", ".join(one["broken"]) or "all rules kept"
            say(f"{name}, live {number + 1} of {runs}: service {one['service']:.4f}, {why}")
        kept[name] = {"virtual": virtual, "live": lived}
        failed |= not _told_apart(name, virtual, lived)
    keep(file, kept)
    sys.exit(1 if failed else 0)


def _told_apart(name: str, virtual: dict[str, Any], lived: list[dict[str, Any]]) -> bool:
    """Print the comparison; whether the two clocks agree."""
    counted = [one["service"] for one in lived if not one["no_verdict"]]
    without = len(lived) - len(counted)
    if not counted:
        click.echo(f"{name}: no live run has a verdict")
        return False
    mean, spread = statistics.fmean(counted), max(counted) - min(counted)
    apart = mean - virtual["service"]
    broken = sum(bool(one["broken"]) for one in lived)
    click.echo(
        f"{name}: virtual {virtual['service']:.4f}; live {mean:.4f} over {len(counted)}, spread {spread:.4f}"
        f" ({without} without a verdict, {broken} with a broken rule);"
        f" {apart:+.4f}, {'within' if abs(apart) <= WITHIN else 'NOT within'} {WITHIN}"
    )
    return abs(apart) <= WITHIN


# Drawn days


def play_drawn(seed: int) -> dict[str, Any]:
    begun = time.process_time()
    try:
        result = played(draw(seed), seed)
    except Exception as error:  # what a run dies of is a finding too, and the others go on
        return {"seed": seed, "error": repr(error), "trace": traceback.format_exc()[-2000:]}
    return figures(result, time.process_time() - begun)


@main.command()
@click.argument("first", metavar="FROM", type=click.IntRange(0))
@click.argument("last", metavar="TO", type=click.IntRange(1))
@jobs
@click.option("--json", "file", type=click.Path(dir_okay=False), help="Add a line of JSON for each run here.")
def draws(first: int, last: int, jobs: int, file: str | None) -> None:
    """Play the scenarios drawn from the seeds FROM up to, not with, TO in virtual time.

    Tells of each broken rule with the command that plays the run again. One run takes some 40 s of CPU. Seeds
    that FILE holds already are not played again.
    """
    done = (
        [json.loads(text) for text in Path(file).read_text().splitlines()]
        if file and Path(file).exists()
        else []
    )
    known = {one["seed"] for one in done}
    done = [one for one in done if first <= one["seed"] < last]
    for one in in_processes(jobs, play_drawn, [(seed,) for seed in range(first, last) if seed not in known]):
        done.append(one)
        if file:
            with open(file, "a") as out:
                out.write(json.dumps(one) + "\n")
        say(f"{len(done)} of {last - first}: seed {one['seed']}, {_outcome(one)}")
    bad = [one for one in done if one.get("error") or one["broken"]]
    well = [one["service"] for one in done if not one.get("error")]
    if well:
        click.echo(
            f"{len(done)} drawn, service {statistics.fmean(well):.4f} on average, {min(well):.4f} at worst"
        )
    for one in sorted(bad, key=lambda one: one["seed"]):
        click.echo(f"  firvane rehearse --draw {one['seed']}: {_outcome(one)}")
        for text in one.get("told", []):
            click.echo(f"      {text}")
    click.echo(f"{len(bad)} with a broken rule or a failure")
    sys.exit(1 if bad else 0)


def _outcome(one: dict[str, Any]) -> str:
    if "error" in one:
        return str(one["error"])
    rules = ", ".join(f"{rule} ({count})" for rule, count in one["broken"].items())
    return f"service {one['service']:.4f}, {rules or 'all rules kept'}"


# Size


@main.command()
@click.option("--boxes", type=click.IntRange(1), help="Instead of 2,000.")
@click.option("--proxies", type=click.IntRange(1), help="Instead of 50; the rate per proxy stays.")
@click.option("--seconds", type=click.FloatRange(5.0), help="Instead of 10; the first 3 are not counted.")
@json_file
def large(boxes: int | None, proxies: int | None, seconds: float | None, file: str | None) -> None:
    """Play the scenario `large`, and tell its CPU seconds and peak memory: 2 GB at the most.

    The whole takes ten minutes of CPU or more; a part of it tells where a change goes.
    """
    from firvane.cli.progress import ProgressDisplay
    from firvane.simulation.runner.run import rehearse

    scenario = load_named("large")
    count = proxies or scenario.proxies.count
    scenario = replace(
        scenario,
        seconds=seconds or scenario.seconds,
        boxes=replace(scenario.boxes, count=boxes or scenario.boxes.count),
        proxies=replace(scenario.proxies, count=count),
        load=replace(scenario.load, rate=scenario.load.rate * count / scenario.proxies.count),
    )
    shown, begun = ProgressDisplay(), time.process_time()
    try:
        result = rehearse(scenario, scenario.seed, watch=shown)
    finally:
        shown.end()
    one = figures(result, time.process_time() - begun)
    well = not one["broken"] and one["peak"] <= MEMORY
    click.echo(HEAD)
    click.echo(line(one, one["cpu_s"], "all rules kept" if not one["broken"] else f"BROKEN {one['broken']}"))
    click.echo(
        f"{scenario.boxes.count} boxes, {count} proxies, {scenario.load.rate:g} requests a second,"
        f" {scenario.seconds:g} s: {result.requests.asked} requests, {one['peak'] / 1e6:.0f} MB at the most"
    )
    if not (boxes or proxies or seconds):
        click.echo(f"again: {replay_command('large', scenario.seed, 'virtual')}")
    keep(file, one)
    sys.exit(0 if well else 1)


if __name__ == "__main__":
    main()
