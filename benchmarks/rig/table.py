"""Tables of what was measured, as Markdown that reads well in a terminal too."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

KEPT_OFF = 0.02  # of the time ready but not on the core: beyond that others have slowed the proxy
LATE_MS, STALLED_MS = 5.0, 100.0  # beyond which the rig's own processes had too little of the machine


def disturbed(row: dict[str, Any]) -> str:
    """How others on this machine have spoilt a run; empty where they have not.

    Each figure is judged where a run has it: the proxy kept off its core (its part of a core aside), clients
    that were late, the rig without a turn.
    """
    told = []
    if row["kept_off"] > KEPT_OFF and row["limits"]["cores"] >= 1.0:
        told.append(f"kept off its core for {percent(row['kept_off'])} of the time")
    if row.get("rig_late_p99_ms", 0.0) > LATE_MS:
        told.append(f"clients {figure(row['rig_late_p99_ms'])} ms late at the 99th percentile")
    if row.get("rig_stalled_ms", 0.0) > STALLED_MS:
        told.append(f"the rig without a turn for {figure(row['rig_stalled_ms'])} ms")
    if row.get("short_of_cpu"):
        told.append(row["short_of_cpu"])
    return ", ".join(told)


def markdown(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Columns as wide as they need to be; all but the first are set to the right."""
    cells = [list(head), *map(list, rows)]
    widths = [max(len(row[i]) for row in cells) for i in range(len(head))]

    def line(row: Sequence[str]) -> str:
        right = (cell.rjust(width) for cell, width in zip(row[1:], widths[1:], strict=True))
        return "| " + " | ".join([row[0].ljust(widths[0]), *right]) + " |"

    rule = "| " + " | ".join(["-" * widths[0], *("-" * (w - 1) + ":" for w in widths[1:])]) + " |"
    return "\n".join([line(cells[0]), rule, *map(line, cells[1:])])


def figure(value: float) -> str:
    """Three figures at the most, never in powers of ten."""
    return f"{value:.0f}" if value >= 99.5 else f"{value:.1f}" if value >= 0.95 else f"{value:.2f}"


def percent(value: float) -> str:
    """Rounded down: only all of it is 100%."""
    return f"{int(1000 * value) / 10:.1f}%"


CURVE_HEAD = (
    "revision",
    "retries",
    "offered",
    "a second",
    "in time",
    "of the peak",
    "last 10 s / first",
    "p50 ms",
    "p99 ms",
    "refusal p99 ms",
    "refused",
    "late",
    "failed",
    "never sent",
    "unanswered",
    "peak MB",
)
GREEDS_HEAD = (
    "greed",
    "revision",
    "limit MB",
    "peak MB (own)",
    "p50 ms",
    "p99 ms",
    "longest ms",
    "in time",
    "/up longest ms",
    "lag in log ms",
    "descriptors",
    "owed",
    "ended s",
)


def curve(steps: Iterable[dict[str, Any]]) -> str:
    """One line for each load; goodput in calls a second and beside the best of the same revision."""
    steps = list(steps)
    peaks: dict[tuple[str, bool], float] = {}
    for step in steps:
        key = (step["root"], step["setting"]["heed"])
        peaks[key] = max(peaks.get(key, 0.0), step["goodput"])

    def line(step: dict[str, Any]) -> list[str]:
        counts, setting = step["counts"], step["setting"]
        return [
            step["root"],
            ("none" if not setting["retries"] else "as told" if setting["heed"] else "at once"),
            f"{step['times']:g}",
            f"{step['times'] * step['capacity']:.0f}",
            f"{step['goodput']:.0f}",
            percent(step["goodput"] / max(1e-9, peaks[step["root"], setting["heed"]])),
            f"{step['flatness']:.2f}",
            *(figure(step[key]) for key in ("p50_ms", "p99_ms", "refusal_p99_ms")),
            *(
                percent(counts.get(key, 0) / max(1, counts["offered"]))
                for key in ("refused", "late", "failed")
            ),
            percent(counts.get("never sent", 0) / max(1, counts["offered"])),
            str(step["unanswered"]),
            figure(step["peak_mb"]),
        ]

    spoilt = [f"{s['root']} at {s['times']:g}: {told}" for s in steps if (told := disturbed(s))]
    return "\n".join([markdown(CURVE_HEAD, map(line, steps)), *spoilt])


def calm(rows: Iterable[dict[str, Any]]) -> str:
    """One line for each revision and number of boxes."""

    def line(row: dict[str, Any]) -> list[str]:
        return [
            row["root"],
            str(row["boxes"]),
            f"{row['runs']} of {row['of']}",
            f"{row['rate']:.0f}",
            f"{row['per_core']:.0f}",
            f"{row['least']:.0f} to {row['most']:.0f}",
            percent(row["share"]),
            *(figure(row[key]) for key in ("p50_ms", "p99_ms", "rss_mb")),
        ]

    head = (
        "revision",
        "boxes",
        "runs",
        "offered",
        "a core carries",
        "between",
        "in time",
        "p50 ms",
        "p99 ms",
        "MB",
    )
    return markdown(head, map(line, rows))


def soak(rows: Iterable[dict[str, Any]]) -> str:
    """Memory and descriptors by quarters, what stands and the most, and what became of the usual clients."""

    def line(row: dict[str, Any]) -> list[str]:
        quarters = (f"{figure(q['mb'])} ({figure(q['most_mb'])})" for q in row["quarters"])
        descriptors = " ".join(f"{q['descriptors']:.0f} ({q['most_descriptors']})" for q in row["quarters"])
        ended = "crashed" if row["crashed"] else f"{figure(row['ended_s'])} s, status {row['status']}"
        return [
            row["root"],
            f"{row['minutes']:g}",
            *quarters,
            descriptors,
            percent(row["share"]),
            figure(row["p99_ms"]),
            str(row["owed"]),
            ended,
        ]

    quarters = (f"MB, quarter {i} (most)" for i in range(1, 5))
    head = ("revision", "minutes", *quarters, "descriptors (most)", "in time", "p99 ms", "owed", "ended")
    return markdown(head, map(line, rows))


def memory(rows: Iterable[dict[str, Any]]) -> str:
    """One line for each kind of thing: bytes each, at the numbers measured, and as the proxy accounts."""
    rows = list(rows)
    numbers = (100, 500, 1000, 2000)

    def line(row: dict[str, Any]) -> list[str]:
        measured = {int(number): each for number, each in row["bytes"].items()}
        accounted = "-" if row["accounted"] is None else f"{row['accounted']:.0f}"
        near = ([m for n, m in measured.items() if abs(n - number) <= 0.1 * number] for number in numbers)
        each = (f"{found[0]:.0f}" if found else "-" for found in near)
        return [row["kind"], row["root"], figure(row["nothing_mb"]), *each, f"{row['more']:.0f}", accounted]

    head = (
        "bytes each",
        "revision",
        "MB with none",
        "100",
        "500",
        "1,000",
        "2,000",
        "one more",
        "accounted",
    )
    return markdown(head, map(line, rows))


def greeds(rows: Iterable[dict[str, Any]]) -> str:
    """One line for each greed and revision; latencies and service before and beside the greed.

    Beside the peak stands what of it is the process's own. A peak over the limit is marked, and so is an end
    that was none. Where others used the proxy's core as
    well, a line under the table says so.
    """
    rows = list(rows)

    def line(row: dict[str, Any]) -> list[str]:
        calm, greedy, limit = row["calm"], row["greedy"], row["limits"]["memory_mb"]
        over = " OVER" if row["peak_mb"] > limit else ""
        peak = f"{figure(row['peak_mb'])} ({figure(row['own_mb'])}){over}"
        ended = "crashed" if row["crashed"] else "killed" if row["killed"] else figure(row["ended_s"])
        if not (row["crashed"] or row["killed"]) and row["status"] != 0:
            ended = "not in time" if row["status"] is None else f"status {row['status']}"
        return [
            row["greed"],
            row["root"],
            str(limit),
            peak,
            *(f"{figure(calm[key])} > {figure(greedy[key])}" for key in ("p50", "p99", "max")),
            f"{percent(calm['share'])} > {percent(greedy['share'])}",
            figure(row["up_ms"]),
            "-" if row["lag_ms"] is None else figure(row["lag_ms"]),
            str(row["descriptors"]),
            str(row["owed"]),
            ended,
        ]

    spoilt = [f"{row['greed']} {row['root']}: {told}" for row in rows if (told := disturbed(row))]
    return "\n".join([markdown(GREEDS_HEAD, map(line, rows)), *spoilt])
