"""One page of a result for a terminal of 80 columns and 40 rows, and the line that shows a run's progress.

What somebody on call looks for first stands first: whether a rule is broken, then how the members were
served. The page is shortened to its rows where there is more to tell; the HTML report holds the rest.
"""

from __future__ import annotations

from itertools import zip_longest
from statistics import fmean
from textwrap import wrap

from firvane.simulation.emulation.metrics import BoxUse, Series
from firvane.simulation.emulation.service import Progress
from firvane.simulation.emulation.verdict import Breach
from firvane.simulation.runner.result import Result

COLUMNS, ROWS = 80, 40
BREACHES, COMMUNITIES, LANES, ROWS_OF_BOXES, PROXIES = 3, 12, 4, 10, 4  # told at the most
LABEL = 19  # columns of what stands left of a line over time
BAR, SPARK = " ▏▎▍▌▋▊▉█", "▁▂▃▄▅▆▇█"


def page(result: Result) -> str:
    """The page, without a newline at its end."""
    head = [*_verdict(result), *_service(result), "", *_communities(result), "", *_over_time(result)]
    tail = ["", *_use(result), *_findings(result)]
    boxes = _boxes(result.boxes, min(ROWS_OF_BOXES, ROWS - len(head) - len(tail) - 2))
    lines = [line[:COLUMNS].rstrip() for line in (*head, *boxes, *tail)]
    return "\n".join([*lines[: ROWS - 1], f"again       {result.replay}"])


def live_line(progress: Progress, seconds: float, broken: int = 0, troubles: tuple[str, ...] = ()) -> str:
    """How a run stands, in one line of less than 80 columns; `broken`: breaches so far."""
    line = (
        f"{progress.at:4.0f}/{seconds:.0f} s  service {progress.service:.2f}  asked {progress.asked}"
        f"  refused {progress.refused}  failed {progress.failed + progress.unanswered}"
        f"  p99 {progress.p99_ms:.0f} ms"
    )
    if broken:
        line += f"  BROKEN {broken}"
    if troubles:
        line += f"  | {', '.join(troubles)}"
    return line[: COLUMNS - 1]


def _verdict(result: Result) -> list[str]:
    title = f"{result.scenario.name}, seed {result.seed}, {result.scenario.seconds:g} s, {result.clock}"
    if result.no_verdict:
        return [title, f"NO VERDICT: {result.no_verdict}", ""]
    if not result.broken_counts:
        return [title, "All rules kept.", ""]
    rules = "; ".join(f"{rule} ({count})" for rule, count in result.broken_counts.items())
    return [title, f"BROKEN: {rules}", ""]


def _service(result: Result) -> list[str]:
    asked = result.requests.asked or 1
    parts = {
        "in time": result.requests.in_time,
        "late": result.requests.late,
        "refused": result.requests.refused,
        "failed": result.requests.failed,
        "unanswered": result.requests.unanswered,
    }
    told = ", ".join(f"{100 * count / asked:.1f}% {name}" for name, count in parts.items() if count)
    points = ", ".join(
        f"{name.replace('_', ' ')} {100 * value:.2f}"
        for name, value in result.penalties.items()
        if value >= 0.00005
    )
    latency = "  ".join(f"{name} {ms:.0f}" for name, ms in result.latency_ms.items())
    again = result.tries.again / (result.tries.asked - result.tries.again or 1)
    attempts, waste = result.attempts, result.waste
    return [
        f"score {result.score:.3f}   service {result.service:.3f}   worst 10 s {result.worst_10_s:.3f} (from"
        f" {result.worst_10_s_at:.0f} s)   {result.worst_community_name} {result.worst_community:.3f}",
        f"points off  {points or 'none'}",
        f"requests    {result.requests.asked}: {told or 'none'}",
        f"latency ms  {latency or 'nothing served'}",
        f"a request   {again:.2f} retries by clients, {attempts.per_request:.2f} attempts by proxies"
        f" ({attempts.turned_away} turned away)",
        f"waste       {100 * waste.part:.1f}% of {waste.spent:.0f} s of work",
    ]


def _communities(result: Result) -> list[str]:
    by_service = sorted(result.communities.items(), key=lambda item: (item[1], item[0]))
    told = [f"{name[:13]:<13} {value:.3f}" for name, value in by_service[:COMMUNITIES]]
    return ["  ".join(told[i : i + 3]) for i in range(0, len(told), 3)]


def _over_time(result: Result) -> list[str]:
    """Service second by second, with the troubles under it."""
    over, width = result.over_time, COLUMNS - LABEL
    whole = len(over.service) * over.step_s
    if not whole:
        return []
    marks = ["".join(_spark(value) for value in _squeezed(over.service, width))]
    names = ["service"]
    for shade in result.troubles[:LANES]:
        begin, end = (round(width * at / whole) for at in (shade.at, min(shade.until, whole)))
        marks.append(" " * begin + "━" * max(1, end - begin))
        names.append(shade.name[: LABEL - 1])
    if len(result.troubles) > LANES:
        marks.append("")
        names.append(f"and {len(result.troubles) - LANES} more")
    scale = f"0{'':{max(0, width - len(f'{whole:.0f} s') - 1)}}{whole:.0f} s"
    return [f"{name:<{LABEL}}{mark}" for name, mark in zip([*names, ""], [*marks, scale], strict=True)]


def _spark(value: float | None) -> str:
    return " " if value is None else SPARK[min(7, int(value * 8))]


def _squeezed(series: Series, width: int) -> Series:
    """The least of the neighbours that must share a place: a short dip must show."""
    if len(series) <= width:
        return [series[i * len(series) // width] for i in range(width)]
    out: Series = []
    for i in range(width):
        there = series[i * len(series) // width : (i + 1) * len(series) // width]
        out.append(min((value for value in there if value is not None), default=None))
    return out


def _boxes(boxes: dict[str, BoxUse], rows: int) -> list[str]:
    """Two columns of boxes with their load; the most and the least loaded where there are too many."""
    if rows < 1:
        return []
    by_load = sorted(boxes, key=lambda name: (-boxes[name].load, name))
    room = 2 * rows
    if len(by_load) > room:
        kept = set(by_load[: room // 2] + by_load[-(room // 2) :])
        title = f"load of {len(kept)} of {len(boxes)} boxes, most and least"
        by_load = [name for name in by_load if name in kept]
    else:
        title = "load of the boxes: work done, of what they could"
    cells = [
        f"{name[:9]:<9} {boxes[name].zone[:6]:<6} {_bar(boxes[name].load, 14)} {boxes[name].load:.2f}"
        for name in by_load
    ]
    half = -(-len(cells) // 2)
    return ["", title, *(f"{a:<40}{b}" for a, b in zip_longest(cells[:half], cells[half:], fillvalue=""))]


def _bar(part: float, width: int) -> str:
    eighths = round(max(0.0, min(1.0, part)) * width * 8)
    return (BAR[8] * (eighths // 8) + BAR[eighths % 8]).ljust(width)[:width]


def _use(result: Result) -> list[str]:
    uses = result.proxies
    if not uses:
        return []
    cells = []
    for name, use in list(uses.items())[:PROXIES]:
        measured = f"{use.memory_most / 2**20:>7.0f}{use.cores_most:>7.2f}" if use.memory_most else ""
        cells.append(f"{name[:11]:<12}{use.sockets_most:>8}{measured}")
    if len(uses) > PROXIES:
        cells[-1] = f"and {len(uses) - PROXIES + 1} more"
    datagrams = sum(use.datagrams for use in uses.values())
    size = fmean(use.datagram_bytes / (use.datagrams or 1) for use in uses.values())
    lost = sum(use.datagrams_lost for use in uses.values())
    rows = [f"{a:<40}{b}" for a, b in zip_longest(cells[::2], cells[1::2], fillvalue="")]
    head = "at most      sockets"
    if any(use.memory_most for use in uses.values()):
        head += "     MB  cores"
    twice = f"{head:<40}{head}" if len(cells) > 1 else head
    return [twice, *rows, f"datagrams   {datagrams} of {size:.0f} bytes, {lost} lost"]


def _findings(result: Result) -> list[str]:
    lines = []
    total = sum(result.broken_counts.values())
    for one in result.broken_rules[:BREACHES]:
        lines += _told("BROKEN", one)
    if total > BREACHES:
        lines.append(f"and {total - min(BREACHES, len(result.broken_rules))} breaches more")
    if (leavers := result.leavers).waiting:
        lines.append(
            f"clients that left while waiting  {leavers.waiting} of {leavers.left} that left,"
            f" {leavers.sent_on} sent on ({leavers.share:.1%})"
        )
    for rule, count in result.cost_counts.items():
        lines.append(f"costs       {rule} ({count})")
    if result.near:
        worst = max(result.near, key=lambda one: one.fraction)
        lines.append(
            f"near        {worst.rule.value}: {worst.box} at {worst.at:.1f} s had {worst.fraction:.2f} of it"
        )
    return lines


def _told(how: str, one: Breach) -> list[str]:
    names = " ".join(name for name in (one.call, one.box, one.proxy) if name)
    text = wrap(one.text, COLUMNS - 7, max_lines=2, placeholder=" ...")
    return [f"{how} {one.at:.3f} s  {one.rule.value}: {names}", *(f"       {line}" for line in text)]
