"""One or two results as a page of HTML that stands alone: no network, no script, no other file.

The page follows the order in which it is read: the verdict, what members felt, who felt it, why it may be
(retries, boxes, proxies), and the tables to look things up in. Two results share their plots, since
differences are seen best on one pair of axes; what cannot share them stands side by side.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Sequence
from html import escape
from typing import NamedTuple

from firvane.core.atomic_write import write_atomically
from firvane.simulation.emulation.compare import BLOCK, differences
from firvane.simulation.emulation.verdict import Breach
from firvane.simulation.runner import charts
from firvane.simulation.runner.charts import LATENCY, Shown
from firvane.simulation.runner.result import Result
from firvane.simulation.runner.style import style
from firvane.simulation.runner.svg import number
from firvane.simulation.runner.tags import Cell, cells, figure, key, section

COLOURS = ("one", "two")


def write_html(
    results: Sequence[Result], path: str | os.PathLike[str], names: Sequence[str] = ("A", "B")
) -> None:
    """Write the page of one or two results, named so where they are two.

    ValueError for another number of them, OSError where the file cannot be written.
    """
    write_atomically(path, html(results, names).encode())


def html(results: Sequence[Result], names: Sequence[str] = ("A", "B")) -> str:
    """The page itself. ValueError for none, or more than two results."""
    if len(results) not in (1, 2):
        raise ValueError(f"a report shows one result or two, not {len(results)}")
    called = names if len(results) > 1 else ("",)
    shown = [Shown(*one) for one in zip(results, called, COLOURS, strict=False)]
    title = escape(" and ".join(dict.fromkeys(one.scenario.name for one in results)))
    body = [
        f"<h1>{title}</h1>",
        *(
            f"<p>{escape(about)}</p>"
            for about in dict.fromkeys(one.scenario.about for one in results)
            if about
        ),
        *(_verdict(one) for one in shown),
        _same(shown) if len(shown) > 1 else _tiles(shown[0].result),
        *(_findings(one) for one in shown),
        _apart(*shown) if len(shown) > 1 else "",
        charts.service(shown),
        charts.groups(shown),
        charts.latency(shown),
        charts.retries(shown),
        charts.boxes(shown),
        _figures(shown),
        _boxes(shown),
        _proxies(shown),
    ]
    # Tags are closed as in XML, so that whatever reads that can read it.
    head = '<meta charset="utf-8"/><meta name="viewport" content="width=device-width"/>'
    return (
        f'<!doctype html><html lang="en"><head>{head}<title>{title}: rehearsal</title>'
        f"<style>{style()}</style></head><body><main>{''.join(body)}</main></body></html>\n"
    )


# What was found


def _verdict(one: Shown) -> str:
    result = one.result
    if result.no_verdict:
        css, verdict = " none", f"No verdict: {result.no_verdict}"
    elif result.broken_counts:
        told = "; ".join(f"{rule} ({count})" for rule, count in result.broken_counts.items())
        css, verdict = " broken", f"Broken: {told}"
    else:
        css, verdict = "", "All rules kept"
    mark = key([(one.colour, one.name)]) if one.name else ""
    return (
        f'{mark}<div class="verdict{css}">{escape(verdict)}</div>'
        f"<p>{result.scenario.seconds:g} s in {result.clock} time, seed {result.seed},"
        f" {len(result.boxes)} boxes, {len(result.proxies)} proxies.<br/>"
        f'Again: <code>{escape(result.replay)}</code> <span class="soft">{result.records} records, hash'
        f" <code>{result.result_hash[:16]}</code></span></p>"
    )


def _same(shown: Sequence[Shown]) -> str:
    if len({one.result.result_hash for one in shown}) > 1:
        return ""
    return "<p><b>Both are the same run, to the bit of each record.</b></p>"


def _tiles(result: Result) -> str:
    latency = result.latency_ms
    tiles = [
        (f"{result.score:.3f}", "score, by the operators' weights"),
        (f"{result.service:.3f}", "service, the whole run"),
        (f"{result.worst_10_s:.3f}", f"worst 10 s, from {result.worst_10_s_at:.0f} s"),
        (f"{result.worst_community:.3f}", f"worst community, {result.worst_community_name}"),
        (
            f"{latency.get('p50', 0):.0f} / {latency.get('p99', 0):.0f} ms",
            "median and p99 of what was served",
        ),
    ]
    told = "".join(f'<div class="tile"><b>{a}</b><span>{escape(b)}</span></div>' for a, b in tiles)
    return f'<div class="tiles">{told}</div>'


def _findings(one: Shown) -> str:
    result = one.result
    kinds: list[tuple[str, list[Breach], dict[str, int]]] = [
        ("Broken rules", result.broken_rules, result.broken_counts),
        ("What costs", result.costs, result.cost_counts),
        ("Near misses", result.near, {}),
    ]
    parts = []
    for title, found, counts in kinds:
        if found:
            rows = [_found(breach) for breach in found]
            more = sum(counts.values()) - len(found)
            note = f"{more} more are not told." if more > 0 else ""
            head: list[Cell] = [("at", "n"), "rule", "request", "box", "proxy", ""]
            parts.append(section(f"{title} {one.name}", note, cells(head, rows)))
    return "".join(parts)


def _found(breach: Breach) -> list[Cell]:
    call = f"<code>{escape(breach.call)}</code>" if breach.call else ""
    named: list[Cell] = [(escape(text), "w") for text in (breach.box, breach.proxy)]
    what = f"{escape(breach.text)}<br/><code>{escape(breach.replay)}</code>" if breach.replay else breach.text
    return [figure(f"{breach.at:.3f} s"), escape(breach.rule.value), call, *named, what]


def _apart(first: Shown, second: Shown) -> str:
    days = [one.result.scenario for one in (first, second)]
    warm_up = max(day.warm_up_s for day in days)
    paired = len({(day.seconds, day.warm_up_s, day.troubles) for day in days}) == 1
    rows = []
    for one in differences(first.result, second.result, warm_up, paired):
        unit = f" {one.unit}" if one.unit else ""
        between = f"{number(one.low)} to {number(one.high)}{unit}"
        values = (one.first, one.second, one.change)
        verdict = f"<b>{one.verdict}</b> in {escape(second.name)}" if one.apart else one.verdict
        rows.append([one.what, *(figure(f"{number(v)}{unit}") for v in values), figure(between), verdict])
    head = ["", figure(first.name), figure(second.name), figure("change"), figure("95% between"), ""]
    note = (
        f"Means over blocks of {BLOCK:g} s, and the interval of 95% around the change by the scatter within"
        " these two runs. Another seed strikes other boxes: rely on a difference that shows in several."
    )
    return section("Can they be told apart?", note, cells(head, rows))


# Tables


class Figure(NamedTuple):
    name: str
    of: Callable[[Result], float]
    text: str  # its format
    better: int = -1  # 1 where more is better, -1 where less is, 0 where neither


def _part(of: Callable[[Result], float]) -> Callable[[Result], float]:
    return lambda result: of(result) / (result.requests.asked or 1)


def _percentile(name: str) -> Callable[[Result], float]:
    return lambda result: result.latency_ms.get(name, 0.0)


FIGURES = (
    Figure("score, by the operators' weights", lambda r: r.score, "{:.3f}", 1),
    Figure("service, the whole run", lambda r: r.service, "{:.3f}", 1),
    Figure("worst 10 s", lambda r: r.worst_10_s, "{:.3f}", 1),
    Figure("worst community, within its share", lambda r: r.worst_community, "{:.3f}", 1),
    Figure("points off", lambda r: 100 * sum(r.penalties.values()), "{:.2f}"),
    Figure("served in time", _part(lambda r: r.requests.in_time), "{:.2%}", 1),
    Figure("served late", _part(lambda r: r.requests.late), "{:.2%}"),
    Figure("refused", _part(lambda r: r.requests.refused), "{:.2%}"),
    Figure("failed", _part(lambda r: r.requests.failed), "{:.2%}"),
    Figure("unanswered", _part(lambda r: r.requests.unanswered), "{:.2%}"),
    *(Figure(f"latency {p}", _percentile(p), "{:.0f} ms") for p in ("p50", "p90", "p99", "p99.9", "max")),
    Figure(
        "retries by clients, a request",
        lambda r: r.tries.again / max(1, r.tries.asked - r.tries.again),
        "{:.3f}",
    ),
    Figure("attempts by proxies, a request", lambda r: r.attempts.per_request, "{:.3f}", 0),
    Figure("turned away by boxes, a request", _part(lambda r: r.attempts.turned_away), "{:.3f}"),
    Figure("work wasted", lambda r: r.waste.part, "{:.2%}"),
    Figure("left while waiting", lambda r: r.leavers.waiting, "{:.0f}", 0),
    Figure("of them sent on over 0.3 s later", lambda r: r.leavers.share, "{:.2%}"),
)


def _figures(shown: Sequence[Shown]) -> str:
    rows = []
    for one in FIGURES:
        values = [one.of(each.result) for each in shown]
        row: list[Cell] = [one.name, *(figure(one.text.format(value)) for value in values)]
        if len(values) > 1:
            change = values[1] - values[0]
            gain = change * one.better
            told = one.text.format(change) if change else "="
            row.append(
                figure(f"+{told}" if change > 0 else told, "good" if gain > 0 else "bad" if gain < 0 else "")
            )
        rows.append(row)
    head: list[Cell] = [
        "",
        *(figure(each.name) for each in shown),
        *([figure("change")] if len(shown) > 1 else []),
    ]
    note = f"A request counts once, with all that its client tried again. {LATENCY}"
    return section("Figures", note, cells(head, rows))


def _boxes(shown: Sequence[Shown]) -> str:
    rows = [
        [
            escape(one.name),
            escape(name),
            escape(use.kind),
            escape(use.zone),
            figure(f"{use.load:.2f}"),
            figure(f"{use.work:.1f} s"),
            figure(str(use.arrived)),
            figure(str(use.turned_away)),
        ]
        for one in shown
        for name, use in sorted(one.result.boxes.items(), key=lambda item: -item[1].load)
    ]
    counted = [figure(name) for name in ("load", "work", "attempts", "turned away")]
    told = cells(["", "box", "kind", "data centre", *counted], rows)
    return section("Boxes", "", f"<details><summary>{len(rows)} rows, by load</summary>{told}</details>")


def _proxies(shown: Sequence[Shown]) -> str:
    rows = [
        [
            escape(one.name),
            escape(name),
            figure(str(use.sockets_most)),
            figure(f"{use.memory_most / 2**20:.1f} MB" if use.memory_most else ""),
            figure(f"{use.cores_most:.2f}" if use.cpu_s else ""),
            figure(f"{use.cpu_s:.1f} s" if use.cpu_s else ""),
            figure(str(use.datagrams)),
            figure(str(use.datagram_bytes)),
            figure(str(use.datagrams_lost)),
        ]
        for one in shown
        for name, use in one.result.proxies.items()
    ]
    counted = ("most sockets", "most memory", "most cores", "CPU", "datagrams", "bytes", "lost")
    limits = shown[0].result.scenario.proxies
    note = (
        f"Allowed: {limits.sockets} sockets, {limits.memory_mb} MB, {limits.cores:g} cores. In virtual time"
        " neither memory nor CPU is measured."
    )
    return section("Proxies", note, cells(["", "proxy", *map(figure, counted)], rows))
