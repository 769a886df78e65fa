"""What came to pass in a roll: sentences, and old and new side by side by stage, as text and as a page."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from html import escape
from typing import Any

from firvane.proxy.rollout.messages import edge

SIDES = ("old", "new")
COUNTED = ("taken", "in_time", "refused", "failed", "attempts", "cpu_s")
STEPS = 300  # of a plot, at the most
HEADS = ("stage", "side", "requests", "in time", "refused", "failed", "p50", "p99", "attempts", "CPU")


@dataclass
class Sum:
    """What one side did."""

    counts: Counter[str] = field(default_factory=Counter)
    latency: Counter[int] = field(default_factory=Counter)

    def add(self, block: Mapping[str, Any]) -> None:
        for name in COUNTED:
            self.counts[name] += block.get(name, 0)
        for number, count in block.get("latency", {}).items():
            self.latency[int(number)] += count

    def share(self, name: str) -> float | None:
        taken = self.counts["taken"]
        return self.counts[name] / taken if taken else None

    def quantile(self, part: float) -> float | None:
        """In ms, by the upper edge of its bucket."""
        left = part * sum(self.latency.values())
        for number in sorted(self.latency):
            left -= self.latency[number]
            if left <= 0:
                return 1e3 * edge(number + 1)
        return None


@dataclass
class Told:
    """A roll as it is told."""

    plan: str
    end: str
    notes: list[tuple[float, str]] = field(default_factory=list)
    stages: dict[tuple[int, str], Sum] = field(default_factory=dict)
    times: dict[tuple[float, str], Sum] = field(default_factory=dict)  # by moment and side


def gathered(plan: str, end: str, events: Iterable[Mapping[str, Any]]) -> Told:
    """All that was noted; what has no form of a note is left out."""
    told = Told(plan, end)
    for event in events:
        at = event.get("at")
        if not isinstance(at, int | float):
            continue
        if "note" in event:
            told.notes.append((at, str(event["note"])))
        elif isinstance(block := event.get("block"), dict) and block.get("side") in SIDES:
            side = block["side"]
            if event.get("state") in ("replacing", "comparing"):
                told.stages.setdefault((int(event.get("stage", 0)), side), Sum()).add(block)
            told.times.setdefault((round(at), side), Sum()).add(block)
    return told


def text(told: Told) -> Iterator[str]:
    yield f"{told.plan}: {told.end}"
    for at, note in told.notes:
        yield f"  {time.strftime('%H:%M:%S', time.localtime(at))} {note}"
    rows = [HEADS, *rows_of(told)]
    if len(rows) > 1:
        wide = [max(len(row[n]) for row in rows) for n in range(len(HEADS))]
        for row in rows:
            yield "  ".join(cell.rjust(width) for cell, width in zip(row, wide, strict=True)).rstrip()


def rows_of(told: Told) -> list[tuple[str, ...]]:
    return [(str(stage), side, *_figures(done)) for (stage, side), done in sorted(told.stages.items())]


def _figures(done: Sum) -> Iterator[str]:
    taken = done.counts["taken"]
    yield str(taken)
    for name in ("in_time", "refused", "failed"):
        share = done.share(name)
        yield "-" if share is None else f"{share:.2%}"
    for part in (0.5, 0.99):
        value = done.quantile(part)
        yield "-" if value is None else f"{value:.1f} ms"
    yield f"{done.counts['attempts'] / taken:.3f}" if taken else "-"
    yield f"{1e3 * done.counts['cpu_s'] / taken:.2f} ms" if taken else "-"


def page(told: Told) -> str:
    """The report as HTML that stands alone."""
    from firvane.simulation.runner.style import style
    from firvane.simulation.runner.svg import Line, Plot, number, ticks
    from firvane.simulation.runner.tags import cells, figure, key, section

    begin = min((at for at, _ in told.times), default=0.0)
    end = max((at for at, _ in told.times), default=1.0) - begin or 1.0

    def plot(title: str, values: Mapping[str, list[tuple[float, float | None]]], most: float) -> str:
        drawn = Plot((0.0, end), (0.0, most or 1.0))
        drawn.axes(
            [(x, f"{x:g} s") for x in ticks(0.0, end, 12)],
            [(y, number(y)) for y in ticks(0.0, most or 1.0, 5)],
        )
        for side, css in zip(SIDES, ("one", "two"), strict=True):
            drawn.line(Line(values.get(side, []), css, side))
        return drawn.svg(title)

    def over(of: Any) -> dict[str, list[tuple[float, float | None]]]:
        found: dict[str, list[tuple[float, float | None]]] = {}
        for (at, side), done in sorted(told.times.items()):
            found.setdefault(side, []).append((at - begin, of(done)))
        return {side: points[:: max(1, len(points) // STEPS)] for side, points in found.items()}

    legend = key([("one", "old"), ("two", "new")])
    p99 = over(lambda done: done.quantile(0.99))
    highest = max((y for points in p99.values() for _, y in points if y is not None), default=1.0)
    body = [f"<h1>{escape(told.plan)}</h1>", f"<p><b>{escape(told.end)}</b></p>"]
    body.append(section("Answered in time", "Part of the requests.", legend, plot(
        "answered in time", over(lambda done: done.share("in_time")), 1.0
    )))  # fmt: skip
    body.append(section("Latency", "p99, ms.", legend, plot("p99", p99, 1.08 * highest)))
    rows = [[figure(cell) for cell in row] for row in rows_of(told)]
    table = cells([figure(head) for head in HEADS], rows)
    body.append(section("By stage", "CPU and attempts are those of a request.", table))
    notes = "".join(
        f"<li>{time.strftime('%H:%M:%S', time.localtime(at))} {escape(note)}</li>" for at, note in told.notes
    )
    body.append(section("What came to pass", "", f"<ul>{notes}</ul>"))
    head = '<meta charset="utf-8"/><meta name="viewport" content="width=device-width"/>'
    return (
        f'<!doctype html><html lang="en"><head>{head}<title>{escape(told.plan)}: roll</title>'
        f"<style>{style()}</style></head><body><main>{''.join(body)}</main></body></html>\n"
    )
