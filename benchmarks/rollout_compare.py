"""What comparisons of old with new tell wrongly, and how soon they find a harm, by several ways.

    python benchmarks/rollout_compare.py
    python benchmarks/rollout_compare.py --runs 200 --json compare.json

Drawn shares of refused requests alone, block by block, one new proxy beside two old ones of its zone: of a
steady share, of one that lingers from block to block, and of one that a herd lifts on both sides for a while.
Each way looks after each block. `worse` is the part of runs that say so at any look within ten minutes, a
false alarm where the harm is 0; 2% is the least that counts. `fine` is the part that says that, `s` its
median time.
"""

from __future__ import annotations

import argparse
import json
import math
import random
import sys
from collections.abc import Callable
from pathlib import Path
from statistics import median

ROOT = Path(__file__).resolve().parents[1]
sys.path[0] = str(ROOT)  # in place of this folder

from firvane.proxy.rollout.comparison import Comparison  # noqa: E402
from firvane.proxy.rollout.comparison_types import (  # noqa: E402
    Block,
    RequestCounts,
    Side,
    Verdict,
)
from firvane.proxy.rollout.plan import ComparisonSettings  # noqa: E402
from firvane.simulation.emulation.compare import interval  # noqa: E402

BLOCK, BLOCKS = 2.0, 300  # s, and how many: ten minutes
EACH = 236  # requests of a proxy in a block
ALPHA, HARM = 0.05, 0.02
LOOKS = 10  # planned, of the way that plans them
Pair = tuple[float, float, float, float]  # refused and taken: old, new
Way = Callable[[list[Pair]], bool]  # whether it says "worse" by now


def binomial(rng: random.Random, number: int, part: float) -> int:
    """Events among so many, from one to the next."""
    if part <= 0:
        return 0
    count, at, gap = -1, 0, math.log(1 - part)
    while at <= number:
        at += int(math.log(1 - rng.random()) / gap) + 1
        count += 1
    return count


def draws(seed: int, kind: str, harm: float) -> list[Pair]:
    rng, lingers = random.Random(seed), [0.0, 0.0]
    pairs = []
    for n in range(BLOCKS):
        share = 0.01 if kind != "herd" or not 60 <= n < 90 else 0.15
        told = []
        for side, number in enumerate((2 * EACH, EACH)):  # of the new one's zone the old ones are two
            lingers[side] = 0.8 * lingers[side] + (rng.gauss(0, 0.004) if kind == "lingers" else 0.0)
            part = min(1.0, max(0.0, share + lingers[side] + (harm if side else 0.0)))
            told += [binomial(rng, number, part), number]
        pairs.append((told[0], told[1], told[2], told[3]))
    return pairs


def fixed(pairs: list[Pair]) -> bool:
    """Refusals of the last minute against the first minute's of the old: twice as many and a point more."""
    if len(pairs) < 30:
        return False
    before = sum(a for a, _, _, _ in pairs[:30]) / sum(n for _, n, _, _ in pairs[:30])
    now = sum(b for _, _, b, _ in pairs[-30:]) / sum(m for _, _, _, m in pairs[-30:])
    return now > max(2 * before, before + 0.01)


def paired(pairs: list[Pair]) -> bool:
    """As fleet/compare.py: blocks of 6 s in pairs, an interval of 95%, and no word of how often one looks."""
    values = [sum(b / m - a / n for a, n, b, m in pairs[k - 2 : k + 1]) / 3 for k in range(2, len(pairs), 3)]
    if len(values) < 6:
        return False
    mean, half = interval(values)
    return mean - half > 0


def _z(pairs: list[Pair]) -> tuple[float, float]:
    """The difference so far, and the variance that chance alone gives it."""
    a, n, b, m = (sum(column) for column in zip(*pairs, strict=True))
    part = (a + b + 1) / (n + m + 2)
    return b / m - a / n, part * (1 - part) * (1 / n + 1 / m)


def grouped(pairs: list[Pair]) -> bool:
    """Group-sequential, looks planned beforehand, O'Brien-Fleming's bounds (their constant for ten looks)."""
    look, rest = divmod(len(pairs), BLOCKS // LOOKS)
    if rest or not look:
        return False
    change, spread = _z(pairs)
    return change / math.sqrt(spread) > 1.763 * math.sqrt(LOOKS / look)  # one-sided 0.05


def msprt(pairs: list[Pair]) -> bool:
    """The mixture of likelihood ratios, by the counts' own scatter."""
    change, spread = _z(pairs)
    tau = HARM**2
    ratio = math.sqrt(spread / (spread + tau)) * math.exp(
        min(700.0, change * change * tau / (2 * spread * (spread + tau)))
    )
    return change > 0 and ratio > 1 / ALPHA


WAYS: dict[str, Way] = {"fixed margin": fixed, "pairs": paired, "group-sequential": grouped, "mSPRT": msprt}


def first(way: Way, pairs: list[Pair]) -> float | None:
    """When it says "worse", s."""
    for n in range(1, BLOCKS + 1):
        if way(pairs[:n]):
            return n * BLOCK
    return None


def taken(pairs: list[Pair]) -> tuple[Verdict, float]:
    """What the comparison that is built says in the end, and when."""
    comparison = Comparison(ComparisonSettings(block_s=BLOCK), ALPHA, 120.0)
    for n, (a, taken_, b, m) in enumerate(pairs, 1):
        at = n * BLOCK
        sides = ((Side.OLD, a, taken_), (Side.NEW, b, m))
        comparison.add(
            [
                Block(at, "z", side, side.value, 1e3 + at,
                      {"class:x": RequestCounts(int(k), int(k - r), int(r), 0, int(k))})
                for side, r, k in sides
            ]
        )  # fmt: skip
        verdict = comparison.verdict().verdict
        if verdict is not Verdict.CANNOT_TELL:
            return verdict, at
    return Verdict.CANNOT_TELL, BLOCKS * BLOCK


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawTextHelpFormatter)
    parser.add_argument("--runs", type=int, default=100)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    rows = []
    cases = [("steady", 0.0), ("lingers", 0.0), ("herd", 0.0), ("steady", HARM)]
    cases += [("steady", harm) for harm in (0.03, 0.05, 0.1)]
    for kind, harm in cases:
        runs = [draws(seed, kind, harm) for seed in range(args.runs)]
        for name, way in WAYS.items():
            times = [at for pairs in runs if (at := first(way, pairs)) is not None]
            at = median(times) if times else None
            rows.append((kind, harm, name, len(times) / args.runs, at, None, None))
        ends = [taken(pairs) for pairs in runs]
        worse = [at for verdict, at in ends if verdict is Verdict.WORSE]
        fine = [at for verdict, at in ends if verdict is Verdict.FINE]
        told = (len(worse) / args.runs, median(worse) if worse else None, len(fine) / args.runs)
        rows.append((kind, harm, "confidence sequence", *told, median(fine) if fine else None))
    print(f"{'shares':8} {'harm':>5} {'way':20} {'worse':>6} {'s':>5} {'fine':>6} {'s':>5}")
    for kind, harm, name, part, at, well, when in rows:
        cells = ["-" if cell is None else f"{cell:.0f}" for cell in (at, when)]
        of = "-" if well is None else f"{well:.2f}"
        print(f"{kind:8} {harm:5.2f} {name:20} {part:6.2f} {cells[0]:>5} {of:>6} {cells[1]:>5}")
    if args.json:
        args.json.write_text(json.dumps(rows))


if __name__ == "__main__":
    main()
