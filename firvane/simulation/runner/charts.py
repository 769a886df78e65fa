"""The plots of a report, each of one result or of two on one pair of axes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from html import escape
from math import log10
from typing import Any, NamedTuple

from firvane.simulation.emulation.metrics import BoxUse, OverTime, Series
from firvane.simulation.runner.result import Result
from firvane.simulation.runner.svg import Band, Line, Plot, number, over_time, table, ticks
from firvane.simulation.runner.tags import grid, key, section

COLD = 0.98  # of its most: a box that can do less is marked as cold or slow
GROUPS = 12  # communities that get a plot of their own
MOST_ROWS = 40  # boxes in a table of shades
PERCENTS = ((0.0, "0"), (50.0, "50"), (90.0, "90"), (99.0, "99"), (99.9, "99.9"), (99.99, "99.99%"))
HALF: dict[str, Any] = {"width": 450.0, "left": 54.0, "named": False}
SMALL: dict[str, Any] = {"width": 310.0, "height": 92.0, "left": 36.0, "named": False}
LATENCY = "Latency is that of what was served, from when the first try was meant to be sent."

Reading = Callable[[OverTime], Series]


class Shown(NamedTuple):
    """A result on the page."""

    result: Result
    name: str  # "" where it is the only one
    colour: str  # the class of its lines


def names(shown: Sequence[Shown]) -> str:
    return key((one.colour, one.name) for one in shown) if len(shown) > 1 else ""


def service(shown: Sequence[Shown]) -> str:
    note = "Worth answered in time, of the worth asked for in each second. Troubles are shaded."
    drawing = _plot(shown, [("", "service", lambda over: over.service)], 1.0, y_text=_whole)
    return section("Service over time", note, names(shown), drawing)


def groups(shown: Sequence[Shown]) -> str:
    """A small plot for each community and each data centre."""
    communities = _each(shown, lambda over: over.communities)
    zones = _each(shown, lambda over: over.zones)
    note = "Beside the name, service within the community's share; in the plot, of all that it asked."
    return section("Communities", note, names(shown), grid(3, communities)) + section(
        "Data centres of the members", "", grid(3, zones)
    )


def _each(shown: Sequence[Shown], of: Callable[[OverTime], dict[str, Series]]) -> list[tuple[str, str]]:
    every = sorted({name for one in shown for name in of(one.result.over_time)})
    pieces = []
    for name in every[:GROUPS]:

        def series(over: OverTime, name: str = name) -> Series:
            return of(over).get(name, [])

        told = [one.result.communities.get(name) for one in shown]
        means = " / ".join(f"{value:.3f}" for value in told if value is not None)
        drawing = _plot(shown, [("", name, series)], 1.0, y_text=_whole, **SMALL)
        pieces.append((f'{escape(name)} <span class="soft">{means}</span>', drawing))
    return pieces


def latency(shown: Sequence[Shown]) -> str:
    aim = 1e3 * shown[0].result.scenario.load.aim_s
    most = max([1.1 * aim, *(1.05 * ms for one in shown for _, ms in one.result.latency_curve)])
    plot = Plot((0.0, 4.0), (0.0, most), width=450.0, left=54.0)
    plot.axes(
        [(_nines(percent), text) for percent, text in PERCENTS],
        [(value, f"{number(value)} ms") for value in ticks(0.0, most, 5)],
    )
    plot.level(aim, f"aim {aim:.0f} ms")
    for one in shown:
        points = [(_nines(percent), ms) for percent, ms in one.result.latency_curve]
        plot.line(Line(points, one.colour, one.name or "latency"))
    lines: list[tuple[str, str, Reading]] = [
        ("", "p99", lambda over: over.p99_ms),
        ("thin", "median", lambda over: over.p50_ms),
    ]
    seconds = _plot(shown, lines, 0.0, y_text=lambda value: f"{number(value)} ms", **HALF)
    pieces = [
        ("By percentile", plot.svg("latency by percentile")),
        ("Second by second: p99, and the median dashed", seconds),
    ]
    return section("Latencies", LATENCY, names(shown), grid(2, pieces))


def retries(shown: Sequence[Shown]) -> str:
    lines: list[tuple[str, str, Reading]] = [
        ("ink thin", "first tries", lambda over: _rate(over, over.first_tries)),
        ("third", "attempts by proxies", lambda over: _rate(over, over.attempts)),
        ("one", "retries by clients", lambda over: _rate(over, over.again)),
        ("two", "refused", lambda over: _rate(over, over.refused)),
        ("fourth", "failed, cut off or unanswered", _lost),
    ]
    values = (value or 0.0 for one in shown for _, _, of in lines for value in of(one.result.over_time))
    most = 1.08 * max(values, default=0.0) or 1.0
    size = HALF if len(shown) > 1 else {}
    pieces = [(escape(one.name), _plot([one], lines, most, **size)) for one in shown]
    told = key((css, label) for css, label, _ in lines)
    return section("Retries and refusals", "Each second, by when they came.", told, grid(len(shown), pieces))


def boxes(shown: Sequence[Shown]) -> str:
    """Tables of shades: a row a box, by data centre."""
    pieces = []
    for one in shown:
        step = one.result.over_time.step_s
        uses = sorted(one.result.boxes.items(), key=lambda item: (item[1].zone, item[1].kind, item[0]))
        rows = [(f"{use.zone} {name}", _loads(use, step), _cold(use)) for name, use in uses[:MOST_ROWS]]
        width = 450.0 if len(shown) > 1 else 900.0
        pieces.append((escape(one.name), table(rows, step, "load of the boxes", width)))
    note = (
        "Work done in each second, of what the box could do then: the darker, the fuller. Grey: not up."
        " Underlined: cold or slow."
    )
    return section("Load of the boxes", note, grid(len(shown), pieces))


def _plot(
    shown: Sequence[Shown], lines: Sequence[tuple[str, str, Reading]], y_most: float, **how: Any
) -> str:
    """Lines of (class, label, series) for each result, up to what they reach where `y_most` is 0.

    A line's class comes beside its result's colour; one that names a colour has that alone.
    """
    step = shown[0].result.over_time.step_s
    drawn = []
    for one in shown:
        over = one.result.over_time
        for css, label, series in lines:
            whole = css if css not in ("", "thin") else f"{one.colour} {css}".strip()
            told = f"{label}, {one.name}" if one.name else label
            drawn.append((_stepped(series(over), over.step_s, step), whole, told))
    most = max((value for series, _, _ in drawn for value in series if value is not None), default=0.0)
    title = ", ".join(label for _, label, _ in lines)
    return over_time(drawn, step, y_most or 1.08 * most or 1.0, _bands(shown), title, **how)


def _bands(shown: Sequence[Shown]) -> list[Band]:
    """The troubles of either result, and the states of recoveries, once."""
    shades = {
        (shade.at, shade.until, shade.name)
        for one in shown
        for shade in [*one.result.troubles, *one.result.recovery]
    }
    return [Band(at, until, name) for at, until, name in sorted(shades)]


def _stepped(series: Series, step: float, wanted: float) -> Series:
    """A series of another step, as near as that goes."""
    if step == wanted:
        return series
    count = int(len(series) * step / wanted)
    return [series[min(len(series) - 1, int((n + 0.5) * wanted / step))] for n in range(count)]


def _whole(value: float) -> str:
    return f"{value:.0%}"


def _nines(percent: float) -> float:
    return -log10(1.0 - min(percent, 99.99) / 100.0)


def _rate(over: OverTime, counts: Sequence[int]) -> Series:
    return [count / over.step_s for count in counts]


def _lost(over: OverTime) -> Series:
    return [(a + b) / over.step_s for a, b in zip(over.failed, over.unanswered, strict=True)]


def _loads(use: BoxUse, step: float) -> Series:
    loads: Series = []
    for worked, able in zip(use.worked, use.capacity, strict=True):
        loads.append(None if able is None else (worked or 0.0) / (able * step) if able else 0.0)
    return loads


def _cold(use: BoxUse) -> list[bool]:
    most = max((able for able in use.capacity if able is not None), default=0.0)
    return [able is not None and able < COLD * most for able in use.capacity]
