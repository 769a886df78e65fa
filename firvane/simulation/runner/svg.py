"""Plots as inline SVG, drawn by hand: lines over time, bars of troubles, tables of shades.

Four kinds of plot are all that a report has. By hand they need no library of 60 MB on the machine that
rehearses, they look alike on every machine, follow the reader's light or dark colours, say their figures
under the pointer without a script, and are a tenth of the size that a plotting library writes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from html import escape
from math import ceil, floor, log10
from typing import NamedTuple, TypeVar

from firvane.simulation.emulation.metrics import Series

T = TypeVar("T")

LANE = 15.0  # px for a row of troubles
SHADES = 12  # steps of a table's colours


class Line(NamedTuple):
    """One line of a plot; `css` names its class."""

    points: Sequence[tuple[float, float | None]]
    css: str
    label: str


class Band(NamedTuple):
    """Something that lasted."""

    begin: float
    end: float
    label: str


def rect(css: str, x: float, y: float, width: float, height: float, title: str = "") -> str:
    told = f"<title>{escape(title)}</title>" if title else ""
    place = f'x="{x:.2f}" y="{y:.1f}" width="{width:.2f}" height="{height:.1f}"'
    return f'<rect class="{css}" {place}>{told}</rect>'


def text(css: str, x: float, y: float, what: str) -> str:
    return f'<text class="{css}" x="{x:.1f}" y="{y:.1f}">{escape(what)}</text>'


def picture(width: float, height: float, title: str, parts: Sequence[str]) -> str:
    box = f'viewBox="0 0 {width:g} {height:g}" role="img" aria-label="{escape(title)}"'
    return f"<svg {box}>{''.join(parts)}</svg>"


def number(value: float) -> str:
    """A figure as people write it, three digits where it has them."""
    if value == 0:
        return "0"
    size = abs(value)
    if size >= 10_000:
        return f"{value:,.0f}".replace(",", "\u2009")
    digits = 0 if size >= 100 else 1 if size >= 10 else 2 if size >= 0.1 else 4
    text = f"{value:.{digits}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def ticks(low: float, high: float, most: int) -> list[float]:
    """Round values from low to high, at most so many."""
    span = high - low
    if span <= 0:
        return [low]
    step = 10.0 ** floor(log10(span / most))
    while span / step > most:
        step *= 2.5 if f"{step:e}"[0] == "2" else 2.0
    first = ceil(low / step - 1e-9)
    return [n * step for n in range(first, floor(high / step + 1e-9) + 1)]


class Plot:
    """A frame with axes; what is drawn on it comes out in `svg`."""

    def __init__(
        self,
        x: tuple[float, float],
        y: tuple[float, float],
        *,
        width: float = 900.0,
        height: float = 240.0,
        left: float = 46.0,
        lanes: int = 0,
    ) -> None:
        self.width, self.height = width, height
        self.x_range, self.y_range = x, y
        self.left, self.right = left, width - 16.0
        self.top, self.bottom = 10.0 + LANE * lanes, height - 22.0
        self.parts: list[str] = []

    def x(self, value: float) -> float:
        low, high = self.x_range
        return self.left + (value - low) / ((high - low) or 1.0) * (self.right - self.left)

    def y(self, value: float) -> float:
        low, high = self.y_range
        part = min(1.0, max(0.0, (value - low) / ((high - low) or 1.0)))
        return self.bottom - part * (self.bottom - self.top)

    def axes(
        self,
        x_ticks: Sequence[tuple[float, str]],
        y_ticks: Sequence[tuple[float, str]],
    ) -> None:
        for value, name in y_ticks:
            y = self.y(value)
            self.parts.append(f'<path class="grid" d="M{self.left:.1f} {y:.1f}H{self.right:.1f}"/>')
            self.parts.append(text("tick end", self.left - 6, y + 3.5, name))
        for value, name in x_ticks:
            x = self.x(value)
            self.parts.append(f'<path class="tickmark" d="M{x:.1f} {self.bottom:.1f}v4"/>')
            self.parts.append(text("tick mid", x, self.bottom + 16, name))
        self.parts.append(f'<path class="axis" d="M{self.left:.1f} {self.bottom:.1f}H{self.right:.1f}"/>')

    def bands(self, bands: Sequence[Band], named: bool = True) -> None:
        """Troubles: a bar with its name in a lane above, and a shade behind the lines."""
        for band, lane in zip(bands, lanes_of(bands), strict=True):
            begin = self.x(max(band.begin, self.x_range[0]))
            wide = max(1.5, self.x(min(band.end, self.x_range[1])) - begin)
            self.parts.append(rect("trouble", begin, self.top, wide, self.bottom - self.top))
            if named:
                y, title = 4.0 + LANE * lane, f"{band.label}: {band.begin:.1f} to {band.end:.1f} s"
                self.parts.append(rect("lane", begin, y, wide, LANE - 3, title))
                # A name that would run out of the picture ends at its bar's end instead.
                if begin + 6.0 * len(band.label) > self.right:
                    self.parts.append(text("lanename end", begin + wide - 4, y + 9.5, band.label))
                else:
                    self.parts.append(text("lanename", begin + 4, y + 9.5, band.label))

    def line(self, line: Line) -> None:
        """A line with gaps where there is nothing; a point alone is a dot."""
        path, pen = [], False
        points = list(line.points)
        for n, (x, y) in enumerate(points):
            if y is None:
                pen = False
                continue
            alone = not pen and (n + 1 == len(points) or points[n + 1][1] is None)
            path.append(f"{'L' if pen else 'M'}{self.x(x):.1f} {self.y(y):.1f}{'h.1' if alone else ''}")
            pen = True
        title = f"<title>{escape(line.label)}</title>"
        self.parts.append(f'<path class="line {line.css}" d="{"".join(path)}">{title}</path>')

    def level(self, value: float, name: str) -> None:
        """A dashed level with its name."""
        y = self.y(value)
        self.parts.append(f'<path class="level" d="M{self.left:.1f} {y:.1f}H{self.right:.1f}"/>')
        self.parts.append(text("levelname end", self.right - 4, y - 4, name))

    def svg(self, title: str) -> str:
        return picture(self.width, self.height, title, self.parts)


def lanes_of(bands: Sequence[Band]) -> list[int]:
    """A lane for each, in their order, so that none covers another."""
    ends: list[float] = []
    lanes = []
    for band in bands:
        lane = next((n for n, end in enumerate(ends) if end <= band.begin), len(ends))
        ends[lane : lane + 1] = [band.end]
        lanes.append(lane)
    return lanes


def over_time(
    lines: Sequence[tuple[Series, str, str]],
    step: float,
    y_most: float,
    bands: Sequence[Band],
    title: str,
    *,
    y_text: Callable[[float], str] = number,
    width: float = 900.0,
    height: float = 240.0,
    left: float = 46.0,
    named: bool = True,
    level: tuple[float, str] | None = None,
) -> str:
    """Lines of (series, class, label) over the run's seconds, from 0 to `y_most`."""
    until = max((len(series) for series, _, _ in lines), default=0) * step or 1.0
    lanes = max(lanes_of(bands), default=-1) + 1 if named else 0
    plot = Plot(
        (0.0, until), (0.0, y_most), width=width, height=height + LANE * lanes, left=left, lanes=lanes
    )
    plot.bands(bands, named)
    rows = 5 if height > 150 else 2
    columns = 12 if width > 500 else 4
    x_ticks = [(value, f"{value:g} s") for value in ticks(0.0, until, columns)]
    plot.axes(x_ticks, [(value, y_text(value)) for value in ticks(0.0, y_most, rows)])
    if level:
        plot.level(*level)
    for series, css, label in lines:
        plot.line(Line([((n + 0.5) * step, value) for n, value in enumerate(series)], css, label))
    return plot.svg(title)


def table(
    rows: Sequence[tuple[str, Series, Sequence[bool]]], step: float, title: str, width: float = 900.0
) -> str:
    """Rows of (name, values from 0 to 1, marks) as shades; None is not there, marks are underlined."""
    longest = max((len(name) for name, _, _ in rows), default=0)
    left, tall, right = 16.0 + 5.9 * longest, 15.0, width - 16.0
    most = max((len(values) for _, values, _ in rows), default=1) or 1
    cell = (right - left) / most
    parts = []
    for n, (name, values, marks) in enumerate(rows):
        y = 4 + n * tall
        parts.append(text("tick end", left - 6, y + 10.5, name))
        shades = ["gone" if value is None else f"h{min(SHADES, round(value * SHADES))}" for value in values]
        for begin, end, css in runs(shades):
            there = [value for value in values[begin:end] if value is not None]
            told = f"{sum(there) / len(there):.0%}" if there else "not up"
            told = f"{name}, {begin * step:g} to {end * step:g} s: {told}"
            parts.append(rect(css, left + begin * cell, y, (end - begin) * cell, tall - 2, told))
        for begin, end, mark in runs(list(marks)):
            if mark:
                parts.append(rect("mark", left + begin * cell, y + tall - 4, (end - begin) * cell, 2))
    height = 4 + len(rows) * tall + 22
    for value in ticks(0.0, most * step, 12 if width > 500 else 6):
        parts.append(text("tick mid", left + value / step * cell, height - 8, f"{value:g} s"))
    return picture(width, height, title, parts)


def runs(values: Sequence[T]) -> list[tuple[int, int, T]]:
    """Stretches of equal neighbours: begin, end, value."""
    found: list[tuple[int, int, T]] = []
    for n, value in enumerate(values):
        if found and found[-1][2] == value:
            found[-1] = (found[-1][0], n + 1, value)
        else:
            found.append((n, n + 1, value))
    return found
