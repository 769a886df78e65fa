"""firvane's limits, measured: greed of all kinds, overload, memory, and what a calm day costs."""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import json
import signal
import sys
from collections.abc import Callable, Coroutine, Iterator
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Any

from benchmarks.rig import calm, curve, memory, scene, soak, table
from benchmarks.rig.abusive_clients import GREEDS
from benchmarks.rig.procs import ROOT, Cores
from benchmarks.rig.proxy import Limits, checkout

HELP = """\
Each subcommand starts a real proxy process, as the platform starts it, with stand-in boxes, discovery and
clients around it, all on loopback, and prints one table. Nothing else should want this machine's cores
meanwhile: where others kept the proxy off its core for long, a line under the table says so.

  python benchmarks/limits.py greeds                          every greed against this checkout
  python benchmarks/limits.py greeds --against a50861a        and against an older revision, in one table
  python benchmarks/limits.py greeds --greed pipe5 --memory 32,192 --json pipe5.json
  python benchmarks/limits.py curve --against a50861a --plot curve.png
  python benchmarks/limits.py memory
  python benchmarks/limits.py calm --against a50861a
  python benchmarks/limits.py soak --minutes 60
  python benchmarks/limits.py table pipe5.json                the table again, from what was kept
"""


def roots(arguments: argparse.Namespace, stack: ExitStack) -> Iterator[Path]:
    """The checkouts to measure, the older first."""
    if arguments.against:
        yield stack.enter_context(checkout(arguments.against, arguments.root))
    if not arguments.only_against:
        yield arguments.root


def keep(path: Path | None, rows: list[dict[str, Any]]) -> None:
    """Write rows to a file, after those that it holds already."""
    if path:
        old = json.loads(path.read_text()) if path.exists() else []
        path.write_text(json.dumps([*old, *rows], indent=1) + "\n")


def least_disturbed(
    tries: int, run: Callable[[Cores], Coroutine[Any, Any, dict[str, Any]]]
) -> dict[str, Any]:
    """Run until others have left the proxy its core, so many times at the most; the best of the runs."""
    best: dict[str, Any] = {}
    for _ in range(tries):
        result = asyncio.run(run(Cores.divide()))
        if not best or not table.disturbed(result) or result["kept_off"] < best["kept_off"]:
            best = result
        if not table.disturbed(best):
            break
    return best


def greeds(arguments: argparse.Namespace) -> int:
    """Greedy clients, targets, discovery and peers: what they cost the proxy and the usual clients."""
    names = arguments.greed or [*GREEDS, "all"]
    setting = scene.Scene(
        rate=arguments.rate,
        calm=arguments.calm,
        greedy=arguments.seconds,
        kill=arguments.kill,
        seed=arguments.seed,
    )
    rows = []
    with ExitStack() as stack:
        places = list(roots(arguments, stack))
        for megabytes in arguments.memory:
            limits = Limits(arguments.cores, megabytes, arguments.sockets)
            for name in names:
                for place in places:
                    play = partial(scene.play, place, name, setting, limits)
                    rows.append(least_disturbed(arguments.tries, play))
                    keep(arguments.json, rows[-1:])
                    print(table.greeds(rows[-1:]).splitlines()[2], file=sys.stderr)
    print(table.greeds(rows))
    return 0


def overload(arguments: argparse.Namespace) -> int:
    """Goodput in an open loop at multiples of what the proxy can do, by clients that try again."""
    steps = []
    limits = Limits(arguments.cores, arguments.memory[0], arguments.sockets)
    with ExitStack() as stack:
        places = list(roots(arguments, stack))
        plain = curve.Setting(
            connections=arguments.connections,
            retries=arguments.retries,
            seconds=arguments.seconds,
            processes=arguments.processes,
            seed=arguments.seed,
        )
        capacity = arguments.capacity
        if not capacity:
            # All are offered the same: multiples of what the first can do.
            capacity = asyncio.run(curve.search(places[0], plain, limits, Cores.divide()))
            print(f"capacity of {places[0].name}: {capacity:.0f} a second", file=sys.stderr)
        if not arguments.times:
            return 0
        for times in arguments.times:
            for heed in {"yes": (True,), "no": (False,), "both": (True, False)}[arguments.heed]:
                setting = dataclasses.replace(plain, heed=heed)
                for place in places:
                    steps.append(
                        least_disturbed(
                            arguments.tries, partial(curve.step, place, times, capacity, setting, limits)
                        )
                    )
                    keep(arguments.json, steps[-1:])
                    print(table.curve(steps[-1:]), file=sys.stderr)
    print(table.curve(steps))
    if arguments.plot:
        curve.plot(steps, arguments.plot)
    return 0


def costs(arguments: argparse.Namespace) -> int:
    """What a connection, a flow, a waiting request and a box cost in memory, in bytes."""
    rows, cores = [], Cores.divide()
    limits = Limits(arguments.cores, arguments.memory[0], arguments.sockets)
    with ExitStack() as stack:
        for place in list(roots(arguments, stack)):
            for kind in arguments.kind or memory.KINDS:
                rows.append(asyncio.run(memory.measure(place, kind, limits, cores)))
                keep(arguments.json, rows[-1:])
    print(table.memory(rows))
    return 0


def calm_day(arguments: argparse.Namespace) -> int:
    """What a core carries on a calm day, by the CPU that a request takes; revisions take turns."""
    runs, cores = [], Cores.divide()
    limits = Limits(arguments.cores, 192, arguments.sockets)
    with ExitStack() as stack:
        places = list(roots(arguments, stack))
        for boxes in arguments.boxes:
            for pair in range(arguments.pairs):
                for place in places if pair % 2 else reversed(places):
                    seed = arguments.seed + pair
                    run = calm.once(place, boxes, arguments.rate, arguments.seconds, limits, cores, seed)
                    runs.append(asyncio.run(run))
                    keep(arguments.json, runs[-1:])
    print(table.calm(calm.medians(runs)))
    return 0


def long_run(arguments: argparse.Namespace) -> int:
    """Churn and greed mixed for long: memory and descriptors by quarters."""
    rows, cores = [], Cores.divide()
    limits = Limits(arguments.cores, arguments.memory[0], arguments.sockets)
    with ExitStack() as stack:
        for place in roots(arguments, stack):
            run = soak.run(place, arguments.minutes, arguments.rate, limits, cores, arguments.seed)
            rows.append(asyncio.run(run))
            keep(arguments.json, rows[-1:])
    print(table.soak(rows))
    return 0


def show(arguments: argparse.Namespace) -> int:
    """Tables of what `--json` has kept."""
    rows = [row for path in arguments.file for row in json.loads(path.read_text())]
    kinds = {
        "greed": table.greeds,
        "times": table.curve,
        "kind": table.memory,
        "per_core": lambda runs: table.calm(calm.medians(runs)),
        "quarters": table.soak,
    }
    for key, draw in kinds.items():
        if mine := [row for row in rows if key in row]:
            print(draw(mine))
            if key == "times" and arguments.plot:
                curve.plot(mine, arguments.plot)
    return 0


def parts(text: str) -> list[float]:
    return [float(part) for part in text.split(",") if part]


def numbers(text: str) -> list[int]:
    return [int(part) for part in text.split(",")]


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="limits.py",
        description=__doc__,
        epilog=HELP,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    commands = top.add_subparsers(required=True, metavar="COMMAND")

    def command(name: str, run: Any, more: str = "") -> argparse.ArgumentParser:
        one = commands.add_parser(
            name,
            help=run.__doc__,
            description=run.__doc__,
            epilog=more,
            formatter_class=argparse.RawDescriptionHelpFormatter,
        )
        one.set_defaults(run=run)
        return one

    def common(one: argparse.ArgumentParser, sockets: int = 1024) -> None:
        one.add_argument(
            "--root", type=Path, default=ROOT, metavar="DIR", help="the checkout to measure (this one)"
        )
        one.add_argument(
            "--against", metavar="REV", help="a revision to measure beside it, from a temporary work tree"
        )
        one.add_argument("--only-against", action="store_true", help="measure that revision alone")
        one.add_argument(
            "--tries",
            type=int,
            default=1,
            help="runs where others take the proxy's core; the best counts (1)",
        )
        one.add_argument("--json", type=Path, metavar="FILE", help="keep results there, after what it holds")
        one.add_argument("--seed", type=int, default=1, help="for all draws of clients and boxes (1)")
        one.add_argument("--cores", type=float, default=1.0, help="the proxy's part of a core (1.0)")
        one.add_argument(
            "--sockets", type=int, default=sockets, help=f"descriptors of the proxy, enforced ({sockets})"
        )

    named = "\n".join(f"  {name:<11}{greed.text}" for name, greed in GREEDS.items())
    one = command("greeds", greeds, "The greeds:\n" + named)
    common(one)
    one.add_argument(
        "--greed",
        action="append",
        choices=[*GREEDS, "all", "none"],
        metavar="NAME",
        help="one of those below, all of them together, or none; may be given again (each, and all together)",
    )
    one.add_argument(
        "--memory", type=numbers, default=[192], metavar="MB,...", help="memory limits to run with (192)"
    )
    one.add_argument("--seconds", type=float, default=5.0, help="how long a greed lasts (5)")
    one.add_argument("--calm", type=float, default=2.0, help="seconds of calm before it (2)")
    one.add_argument("--rate", type=float, default=200.0, help="usual requests a second (200)")
    one.add_argument(
        "--kill", action="store_true", help="kill the proxy over its memory limit, as the platform does"
    )

    one = command("curve", overload)
    common(one, sockets=8192)
    one.add_argument(
        "--times", type=parts, default=[1, 1.5, 2, 4, 8], metavar="N,...", help="multiples of the capacity"
    )
    one.add_argument("--capacity", type=float, help="calls a second, in place of the search for it")
    one.add_argument("--seconds", type=float, default=60.0, help="how long each load lasts (60)")
    one.add_argument("--connections", type=int, default=2000, help="kept by the clients together (2000)")
    one.add_argument("--retries", type=int, default=2, help="tries after the first at the most (2)")
    one.add_argument(
        "--heed", choices=("yes", "no", "both"), default="yes", help="come again when told to, or at once"
    )
    one.add_argument("--processes", type=int, default=5, help="that make the load (5)")
    one.add_argument("--memory", type=numbers, default=[192], metavar="MB", help="memory limit (192)")
    one.add_argument("--plot", type=Path, metavar="FILE", help="draw the curve there; needs matplotlib")

    kinds = "\n".join(f"  {name:<13}{kind.__doc__}" for name, (kind, _) in memory.KINDS.items())
    one = command("memory", costs, "The kinds:\n" + kinds)
    common(one, sockets=8192)
    one.add_argument(
        "--kind", action="append", choices=list(memory.KINDS), metavar="NAME", help="one of those below (all)"
    )
    one.add_argument("--memory", type=numbers, default=[192], metavar="MB", help="memory limit (192)")

    one = command("calm", calm_day)
    common(one)
    one.add_argument(
        "--boxes", type=numbers, default=[8, 32], metavar="N,...", help="numbers of boxes (8,32)"
    )
    one.add_argument("--pairs", type=int, default=5, help="runs of each revision (5)")
    one.add_argument("--rate", type=float, default=800.0, help="requests a second (800)")
    one.add_argument("--seconds", type=float, default=6.0, help="that count, of each run (6)")

    one = command("soak", long_run)
    common(one)
    one.add_argument("--minutes", type=float, default=60.0, help="how long (60)")
    one.add_argument("--rate", type=float, default=200.0, help="usual requests a second (200)")
    one.add_argument("--memory", type=numbers, default=[192], metavar="MB", help="memory limit (192)")

    one = command("table", show)
    one.add_argument("--plot", type=Path, metavar="FILE", help="draw a curve there; needs matplotlib")
    one.add_argument("file", type=Path, nargs="+")
    return top


def main() -> int:
    arguments = parser().parse_args()
    # Told to stop, it still ends what it has started and removes the work tree.
    signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(128 + number))
    result: int = arguments.run(arguments)
    return result
