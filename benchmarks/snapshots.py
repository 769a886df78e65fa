"""Measures snapshots: `python benchmarks/snapshots.py --help`."""

from __future__ import annotations

import os
import random
import signal
import sys
import tempfile
import time
from pathlib import Path

import click

if __name__ == "__main__":
    sys.path[0] = str(Path(__file__).resolve().parent.parent)  # in place of this folder

from firvane.core import checksum
from firvane.core import interface as api
from firvane.core.balancing.records import Backend
from firvane.core.logs import QUIET
from firvane.proxy.capacity.backend_estimates import BackendEstimates
from firvane.proxy.net.endpoint_list import EndpointListReader
from firvane.proxy.net.target_group import TargetGroup
from firvane.proxy.recovery.recovery import Recovery
from firvane.proxy.snapshots import format
from firvane.proxy.snapshots.file import SnapshotStore, read
from firvane.proxy.snapshots.types import make_snapshot

RULES = api.Rules(0.02, 1.0, 0.13, 22.0, 2.5, 3.0)
SETTINGS = api.Settings(
    me=0, proxies=1, tick=0.005, classes=(api.RequestClass("read", 0.5, 2.0),), rules=RULES,
    limits=api.Limits(3), recovery=api.RecoveryOptions(),
)  # fmt: skip


def held(number: float, boxes: int) -> api.RestoredEstimates:
    return api.RestoredEstimates(0.0, 1.0, {}, {f"box-{i}": number for i in range(boxes)})


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """Measure snapshots: kills in the middle of writing, size, and the turn of the loop that one takes.

    \b
    Examples:
      python benchmarks/snapshots.py kills --count 10000
      python benchmarks/snapshots.py size --boxes 2000
    """


@main.command()
@click.option("--count", default=10_000, show_default=True)
@click.option("--boxes", default=300, show_default=True)
@click.option("--seed", default=1, show_default=True)
def kills(count: int, boxes: int, seed: int) -> None:
    """Kill a process that writes without end, and read what is there: the old file or the new, or exit 1."""
    draw, torn, asides, first = random.Random(seed), 0, 0, 0
    seen: set[float] = set()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "s"
        for number in range(count):
            child = os.fork()
            if not child:
                store, n = SnapshotStore(path, "p", QUIET, run_off_loop=lambda work: work()), number * 1000.0
                while True:
                    n += 1.0
                    store.save(n, lambda: None, held(n, boxes))
            time.sleep(draw.uniform(0.0, 0.012))
            os.kill(child, signal.SIGKILL)
            os.waitpid(child, 0)
            if not path.exists():
                first += 1
                continue
            try:
                snapshot = read(path)
                torn += {box.room for box in snapshot.boxes.values()} != {snapshot.saved_at}
                seen.add(snapshot.saved_at)
            except (OSError, checksum.DamagedDataError):
                torn += 1
        asides = len(os.listdir(folder)) - path.exists()
    told = f"{len(seen)} different snapshots, {asides} left aside, {first} before any"
    click.echo(f"{count} kills: {torn} torn, {told}")
    sys.exit(1 if torn else 0)


@main.command()
@click.option("--boxes", default=2000, show_default=True)
@click.option("--times", default=50, show_default=True)
def size(boxes: int, times: int) -> None:
    """The size of a snapshot, what it takes of the loop's turn, and what of the thread."""
    import asyncio

    evidence = BackendEstimates(SETTINGS, random.Random(1), 0.0)
    recovery = Recovery(api.RecoveryOptions(), SETTINGS, evidence, random.Random(1), 0.0)
    servers = [Backend(api.Server(f"box-{n}", up_since=1e9 + n), n, 1.0, 1e9 + n) for n in range(boxes)]
    recovery.responding_since = set(servers)
    reader = EndpointListReader(("a",), ("k",))
    group = TargetGroup(asyncio.new_event_loop(), None, reader, lambda *a: None, lambda news: None)
    group.addresses = {}
    endpoints = [
        {"name": s.entry.id, "address": f"127.0.{n // 250}.{n % 250 + 1}:80", "status": "up", "zone": "a"}
        for n, s in enumerate(servers)
    ]
    group.apply_list({"index": 1, "snapshot": True, "endpoints": endpoints})
    turns, packs, data = [], [], b""
    for _ in range(times):
        begun = time.perf_counter()
        listed, kept = group.list_formatter(), recovery.estimates_to_save(servers, ("k",))
        turns.append(time.perf_counter() - begun)
        begun = time.perf_counter()
        data = format.encode(make_snapshot("p", 1e9, listed(), kept))
        packs.append(time.perf_counter() - begun)
    click.echo(
        f"{boxes} boxes: {len(data) / 1024:.0f} kB; the loop's turn {1e3 * sorted(turns)[times // 2]:.1f} ms,"
        f" {1e3 * max(turns):.1f} at worst; the thread {1e3 * max(packs):.1f} ms at worst"
    )


if __name__ == "__main__":
    main()
