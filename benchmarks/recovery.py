"""Measures recovery from a power loss beside the reference: `python benchmarks/recovery.py --help`."""

from __future__ import annotations

import json
import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click

if __name__ == "__main__":
    sys.path[0] = str(Path(__file__).resolve().parent.parent)  # in place of this folder

from benchmarks.situations import played
from firvane.simulation.emulation.records import Record, Sent
from firvane.simulation.emulation.reference import Reference
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.simulation.emulation.value import Worth
from firvane.simulation.runner.result import Result

OFF_S, PROXIES_S, BOXES_S = 15.0, 1.0, 3.0  # when power goes; after which proxies and boxes are back
WARM_S = 25.0  # from the loss until all boxes are warm by the clock
LARGE = 40  # proxies from which on the fleet is larger, too
WHAT, MEMORY = ("proxies", "boxes", "both", "zone"), ("kept", "lost", "old", "torn")
HALF, NEARLY = 0.5, 0.95


def scenario(proxies: int, what: str, seconds: float, memory: str, off: str) -> Scenario:
    """A power loss of `what` ("proxies", "boxes", "both", "zone"), with `memory` kept or lost."""
    boxes, rate = (60, 3040.0) if proxies >= LARGE else (14, 710.0)
    zone = "lekki" if what == "zone" else ""
    strikes = "both" if what in ("both", "zone") else what
    trouble = Trouble(
        kind="power", at_s=OFF_S, for_s=BOXES_S, part=1.0, strikes=strikes, zone=zone, memory=memory
    )  # type: ignore[arg-type]
    return Scenario(
        name=f"power-{what}",
        seconds=seconds,
        boxes=Boxes(count=boxes),
        load=Load(rate=rate, keys=2000 if boxes == 14 else 8000),
        proxies=Proxies(
            count=proxies,
            back_s=PROXIES_S,
            recovery=off != "all",
            without="" if off == "all" else off,
            snapshots=off != "all",
        ),  # type: ignore[arg-type]
        troubles=(trouble,),
    )


def after(asked: list[float], earned: list[float], part: float, best: list[float]) -> float:
    """s from the boxes' return until three seconds in a row have that part of what `best` has then; nan."""
    since = int(OFF_S + BOXES_S)
    for second in range(since, len(asked) - 3):
        span = range(second, second + 3)
        if sum(earned[s] for s in span) >= part * sum(best[s] for s in span):
            return second - since
    return float("nan")


def one(proxies: int, what: str, seed: int, seconds: float, memory: str, off: str) -> dict[str, Any]:
    """A run and its reference."""
    told = scenario(proxies, what, seconds, memory, off)
    best: Worth = Reference(told, seed).play()
    said: list[tuple[str, int]] = []

    def see(record: Record) -> None:
        if isinstance(record, Sent) and OFF_S <= record.at < OFF_S + WARM_S:
            said.append((record.proxy, record.size))

    result: Result = played(told, seed, see)
    earned = [part * asked for part, asked in zip(result.over_time.service, best.all.asked, strict=False)
              if part is not None]  # fmt: skip
    reference = best.counted.service()
    pushed = result.broken_counts.get("pushed over", 0)
    return {
        "proxies": proxies, "what": what, "seed": seed, "memory": memory, "off": off,
        "service": result.service, "reference": reference, "part": result.service / reference,
        "pushed": pushed, "broken": dict(result.broken_counts),
        "half_s": after(list(best.all.asked), earned, HALF, list(best.all.earned)),
        "nearly_s": after(list(best.all.asked), earned, NEARLY, list(best.all.earned)),
        "messages": len(said) / proxies / WARM_S, "bytes": sum(size for _, size in said) / proxies / WARM_S,
        "refused": result.tries.refused, "sent": result.attempts.sent,
        "series": [round(x, 2) if x is not None else None for x in result.over_time.service],
        "best": [round(x, 2) if x is not None else None for x in best.all.series(1)],
    }  # fmt: skip


@click.command(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--proxies", "counts", multiple=True, type=int, default=(3, 6, 12), show_default=True)
@click.option("--what", multiple=True, type=click.Choice(WHAT), default=("both",))
@click.option("--memory", multiple=True, type=click.Choice(MEMORY), default=("lost",))
@click.option("--off", multiple=True, default=("",), help="A part that is switched off; all: recovery.")
@click.option("--seeds", default="1-5", show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--jobs", default=7, show_default=True, type=click.IntRange(1, 64))
@click.option("--json", "file", type=click.Path(dir_okay=False), help="Keep the figures here as JSON lines.")
@click.option("--series", is_flag=True, help="Service by second, beside the reference's.")
def main(
    counts: tuple[int, ...], what: tuple[str, ...], memory: tuple[str, ...], off: tuple[str, ...], seeds: str,
    seconds: float, jobs: int, file: str | None, series: bool,
) -> None:  # fmt: skip
    """Cut the power of a fleet in virtual time, and tell service as a part of the reference's.

    \b
    Examples:
      python benchmarks/recovery.py --proxies 6 --seeds 1-5
      python benchmarks/recovery.py --memory kept --memory lost --off all --off trials
    """
    low, _, high = seeds.partition("-")
    numbers = range(int(low), int(high or low) + 1)
    tasks = [
        (n, w, s, seconds, m, o) for n in counts for w in what for m in memory for o in off for s in numbers
    ]
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        for row in pool.map(one, *zip(*tasks, strict=True)):
            print(
                "{proxies:3} {what:8} {memory:5} {off:8} seed {seed:3}  service {service:.3f} of"
                " {reference:.3f} = {part:.3f}  half {half_s:4} s, 0.95 {nearly_s:4} s  sent {sent}"
                " refused {refused}  each proxy {messages:.1f} messages, {bytes:.0f} bytes a second"
                "  broken {broken}".format(**row),
                flush=True,
            )
            if series:
                print("    ", row["series"], "\n    ", row["best"])
            if file:
                with open(file, "a", encoding="utf-8") as out:
                    out.write(json.dumps(row) + "\n")


if __name__ == "__main__":
    main()
