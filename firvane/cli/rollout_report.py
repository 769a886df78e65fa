"""The report of a rollout as text and HTML: its notes, and a comparison of both versions by stage."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from html import escape
from typing import Any

from firvane.proxy.rollout.comparison_types import bucket_start_s

SIDES = ("old", "new")
SUMMED_FIELDS = ("taken", "in_time", "refused", "failed", "attempts", "cpu_s")
MAX_PLOT_POINTS = 300
TIME_TICKS = 12
VALUE_TICKS = 5
P99_HEADROOM = 1.08  # top of the plot as a multiple of the highest value
COLUMNS = ("stage", "side", "requests", "in time", "refused", "failed", "p50", "p99", "attempts", "CPU")


Series = dict[str, list[tuple[float, float | None]]]  # times and values, by side


@dataclass
class SideTotals:
    """The sums of the measurement blocks of one side (old or new version)."""

    counts: Counter[str] = field(default_factory=Counter)
    latency: Counter[int] = field(default_factory=Counter)

    def add(self, block: Mapping[str, Any]) -> None:
        """Add a block of the event log."""
        for name in SUMMED_FIELDS:
            self.counts[name] += block.get(name, 0)
        for number, count in block.get("latency", {}).items():
            self.latency[int(number)] += count

    def share(self, name: str) -> float | None:
        """Return a count as a share of the requests; None where there are none."""
        taken = self.counts["taken"]
        return self.counts[name] / taken if taken else None

    def quantile_ms(self, part: float) -> float | None:
        """Return a quantile of the latencies in ms, by the upper boundary of its bucket."""
        remaining = part * sum(self.latency.values())
        for number in sorted(self.latency):
            remaining -= self.latency[number]
            if remaining <= 0:
                return 1e3 * bucket_start_s(number + 1)
        return None


@dataclass
class Report:
    """The data of the report of a rollout."""

    plan: str
    end: str
    notes: list[tuple[float, str]] = field(default_factory=list)
    stages: dict[tuple[int, str], SideTotals] = field(default_factory=dict)
    times: dict[tuple[float, str], SideTotals] = field(default_factory=dict)  # by time and side


def gather(plan: str, end: str, events: Iterable[Mapping[str, Any]]) -> Report:
    """Collect the events of the log; invalid entries are skipped."""
    report = Report(plan, end)
    for event in events:
        at = event.get("at")
        if not isinstance(at, int | float):
            continue
        if "note" in event:
            report.notes.append((at, str(event["note"])))
        elif isinstance(block := event.get("block"), dict) and block.get("side") in SIDES:
            side = block["side"]
            if event.get("state") in ("replacing", "comparing"):
                report.stages.setdefault((int(event.get("stage", 0)), side), SideTotals()).add(block)
            report.times.setdefault((round(at), side), SideTotals()).add(block)
    return report


def render_text(report: Report) -> Iterator[str]:
    """Yield the lines of the report."""
    yield f"{report.plan}: {report.end}"
    for at, note in report.notes:
        yield f"  {time.strftime('%H:%M:%S', time.localtime(at))} {note}"
    rows = [COLUMNS, *table_rows(report)]
    if len(rows) > 1:
        widths = [max(len(row[n]) for row in rows) for n in range(len(COLUMNS))]
        for row in rows:
            yield "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True)).rstrip()


def table_rows(report: Report) -> list[tuple[str, ...]]:
    """Return the rows of the table of stages and sides, without the header."""
    return [
        (str(stage), side, *_table_cells(totals)) for (stage, side), totals in sorted(report.stages.items())
    ]


def _table_cells(totals: SideTotals) -> Iterator[str]:
    taken = totals.counts["taken"]
    yield str(taken)
    for name in ("in_time", "refused", "failed"):
        share = totals.share(name)
        yield "-" if share is None else f"{share:.2%}"
    for part in (0.5, 0.99):
        value = totals.quantile_ms(part)
        yield "-" if value is None else f"{value:.1f} ms"
    yield f"{totals.counts['attempts'] / taken:.3f}" if taken else "-"
    yield f"{1e3 * totals.counts['cpu_s'] / taken:.2f} ms" if taken else "-"


def render_html(report: Report) -> str:
    """Return the report as one HTML file."""
    from firvane.simulation.runner.style import style
    from firvane.simulation.runner.tags import cells, figure, key, section

    in_time = _series(report, lambda totals: totals.share("in_time"))
    p99 = _series(report, lambda totals: totals.quantile_ms(0.99))
    highest = max((y for points in p99.values() for _, y in points if y is not None), default=1.0)
    legend = key([("one", "old"), ("two", "new")])
    rows = [[figure(cell) for cell in row] for row in table_rows(report)]
    table = cells([figure(head) for head in COLUMNS], rows)
    body = [
        f"<h1>{escape(report.plan)}</h1>",
        f"<p><b>{escape(report.end)}</b></p>",
        section(
            "Answered in time",
            "Part of the requests.",
            legend,
            _plot(report, "answered in time", in_time, 1.0),
        ),
        section("Latency", "p99, ms.", legend, _plot(report, "p99", p99, P99_HEADROOM * highest)),
        section("By stage", "CPU and attempts are those of a request.", table),
        section("What came to pass", "", f"<ul>{_notes(report)}</ul>"),
    ]
    head = '<meta charset="utf-8"/><meta name="viewport" content="width=device-width"/>'
    return (
        f'<!doctype html><html lang="en"><head>{head}<title>{escape(report.plan)}: roll</title>'
        f"<style>{style()}</style></head><body><main>{''.join(body)}</main></body></html>\n"
    )


def _notes(report: Report) -> str:
    return "".join(
        f"<li>{time.strftime('%H:%M:%S', time.localtime(at))} {escape(note)}</li>"
        for at, note in report.notes
    )


def _start_time(report: Report) -> float:
    return min((at for at, _ in report.times), default=0.0)


def _series(report: Report, value: Callable[[SideTotals], float | None]) -> Series:
    """Return the series of a value since the first block, by side, with about `MAX_PLOT_POINTS` points."""
    start = _start_time(report)
    series: Series = {}
    for (at, side), totals in sorted(report.times.items()):
        series.setdefault(side, []).append((at - start, value(totals)))
    return {side: points[:: max(1, len(points) // MAX_PLOT_POINTS)] for side, points in series.items()}


def _plot(report: Report, title: str, series: Series, highest: float) -> str:
    """Return a plot of both sides as SVG."""
    from firvane.simulation.runner.svg import Line, Plot, number, ticks

    duration_s = max((at for at, _ in report.times), default=1.0) - _start_time(report) or 1.0
    plot = Plot((0.0, duration_s), (0.0, highest or 1.0))
    plot.axes(
        [(x, f"{x:g} s") for x in ticks(0.0, duration_s, TIME_TICKS)],
        [(y, number(y)) for y in ticks(0.0, highest or 1.0, VALUE_TICKS)],
    )
    for side, css in zip(SIDES, ("one", "two"), strict=True):
        plot.line(Line(series.get(side, []), css, side))
    return plot.svg(title)
