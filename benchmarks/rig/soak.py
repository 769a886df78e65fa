"""A long run of churn and greed mixed: memory and descriptors are to be level, and every request answered.

Boxes are replaced by new ones with new names all the time, usual clients come anew every slice, and in most
slices one greed goes on beside them, drawn from all that need no list of their own.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from benchmarks.rig.abusive_clients import ALL, GREEDS
from benchmarks.rig.curve import Setting, stand_up_with
from benchmarks.rig.procs import Child, Cores, Usage
from benchmarks.rig.proxy import Limits, Proxy, name_of
from benchmarks.rig.scene import latencies, owed

SLICE = 12.0  # s of usual clients, of which a greed has the middle
GREEDY = 6.0  # s of greed in a slice
QUIET = 0.2  # of the slices have no greed
CHURN_MS = 1000  # from one replaced box to the next
LEAD, SAMPLE, END = 0.2, 0.5, 5.0  # s


@dataclass
class Soak:
    """What has been seen so far."""

    seen: list[tuple[float, float, int]] = field(default_factory=list)  # when, MB, descriptors
    counts: Counter[str] = field(default_factory=Counter)
    worst: dict[str, float] = field(default_factory=dict)  # share in time, by greed
    p99: list[float] = field(default_factory=list)
    owed: int = 0

    async def sample(self, proxy: Proxy) -> None:
        while True:
            try:
                usage = Usage.of(proxy.pid)
            except OSError:
                return
            self.seen.append((time.monotonic(), usage.rss, usage.descriptors))
            await asyncio.sleep(SAMPLE)

    def quarters(self) -> list[dict[str, float]]:
        """Memory and descriptors of each quarter of the time: what stands, and the most."""
        begin, end = self.seen[0][0], self.seen[-1][0]
        rows = []
        for i in range(4):
            low, high = begin + (end - begin) * i / 4, begin + (end - begin) * (i + 1) / 4
            mine = [row for row in self.seen if low <= row[0] <= high]
            rows.append(
                {
                    "mb": statistics.median(row[1] for row in mine),
                    "most_mb": max(row[1] for row in mine),
                    "descriptors": statistics.median(row[2] for row in mine),
                    "most_descriptors": max(row[2] for row in mine),
                }
            )
        return rows

    async def slice(self, proxy: Proxy, greed: str, rate: float, cores: Cores, seed: int) -> None:
        """Some seconds of usual clients, with one greed in the middle of them, or none."""
        spec = {"port": proxy.port, "connections": 30, "most": 100, "seed": seed}
        load = await Child.start("load", {**spec, "phases": [("all", 0.0, SLICE, rate)]}, cores.rest)
        children = [load]
        try:
            if greed:
                first = (SLICE - GREEDY) / 2
                theirs = {"greed": greed, "port": proxy.port, "peer_listen": proxy.peer_listen}
                theirs |= {"peer": proxy.peer, "begin": first, "end": first + GREEDY, "seed": seed}
                children.append(await Child.start("abusive_clients", theirs, cores.rest))
            begin = time.monotonic() + LEAD
            for child in children:
                child.begin(begin)
            result = await load.result(SLICE + LEAD + 10)
            if greed:
                await children[1].result(10)
        finally:
            for child in children:
                await child.stop()
        phase = result["phases"]["all"]
        self.counts.update(phase["counts"])
        self.owed += owed(phase)
        self.p99.append(latencies(phase)["p99"])
        share = phase["counts"].get("in time", 0) / max(1, phase["counts"]["offered"])
        self.worst[greed or "none"] = min(share, self.worst.get(greed or "none", 1.0))


async def run(
    root: Path, minutes: float, rate: float, limits: Limits, cores: Cores, seed: int
) -> dict[str, Any]:
    """The whole of it; the proxy is told to end at the end."""
    draw, soak = random.Random(seed), Soak()
    names = [name for name in ALL if not GREEDS[name].orders]
    async with AsyncExitStack() as stack:
        setting = Setting(boxes=32, size=2000, seed=seed)
        proxy, discovery = await stand_up_with(stack, root, setting, limits, cores)
        discovery.tell(do="churn", every_ms=CHURN_MS)
        sampling = asyncio.create_task(soak.sample(proxy))
        end, slices = time.monotonic() + 60 * minutes, 0
        while time.monotonic() < end - SLICE / 2 and proxy.process.returncode is None:
            greed = "" if draw.random() < QUIET else draw.choice(names)
            await soak.slice(proxy, greed, rate, cores, seed + slices)
            slices += 1
        sampling.cancel()
        crashed = proxy.process.returncode is not None
        took, status = await proxy.end(END)
        quarters = soak.quarters()
        return {
            "root": name_of(root),
            "minutes": minutes,
            "limits": {"memory_mb": limits.memory_mb, "sockets": limits.sockets},
            "slices": slices,
            "quarters": quarters,
            "growth_mb": quarters[3]["mb"] - quarters[1]["mb"],
            "share": soak.counts["in time"] / max(1, soak.counts["offered"]),
            "worst_slice": soak.worst,
            "p99_ms": statistics.median(soak.p99),
            "owed": soak.owed,
            "counts": dict(soak.counts),
            "crashed": crashed,
            "ended_s": took,
            "status": status,
            "lag_ms": proxy.lag_ms(),
        }
