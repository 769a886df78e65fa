"""Says where the worth of a played day was lost: `python -m tools.day_report REPORT [OTHER]`.

Reads what `fleetbench run … --report FILE` has written, and nothing else. With a second report, of the same
day on other code, each figure is followed by its difference.
"""

from __future__ import annotations

import argparse
import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

LEAST_PRICE = 0.0005  # of the worth: smaller prices are left out
WORST_WINDOWS = 5
AROUND = 1.0  # s before a window from which on a trouble counts as near


@dataclass(frozen=True, slots=True)
class Loss:
    """One figure of a day: what it is, its value, and the share of the whole worth that is lost by it."""

    name: str
    value: str
    lost: float


def part_losses(report: Mapping[str, Any]) -> list[Loss]:
    """What each part of the measure lacks, by its weight."""
    return [
        Loss(name, f"{value:.3f} of weight {weight}", weight * (1 - value))
        for name, weight, value in report["parts"]
    ]


def price_losses(report: Mapping[str, Any]) -> list[Loss]:
    """The prices that count, the highest first."""
    found = [Loss(name, f"{amount:,.1f}", lost) for name, amount, lost in report["prices"]]
    return sorted((loss for loss in found if loss.lost >= LEAST_PRICE), key=lambda loss: -loss.lost)


def group_losses(groups: Iterable[Mapping[str, Any]]) -> list[Loss]:
    """Requests by kind, zone or seconds: how many were late, refused or failed; `lost` is of all requests."""
    listed = list(groups)
    owed = sum(each["n"] - each["not_owed"] for each in listed) or 1
    return [
        Loss(
            each["name"],
            f"{each['n']} asked, {each['late']} late, {each['refused']} refused, {each['failed']} failed, "
            f"worth {each['worth']:.3f}, first event {each['p50_ms']:.0f} ms, 99 in 100 {each['p99_ms']:.0f}",
            (each["n"] - each["not_owed"]) * (1 - each["worth"]) / owed,
        )
        for each in listed
    ]


def worst_windows(report: Mapping[str, Any]) -> list[tuple[Loss, list[str]]]:
    """The seconds in which most was lost, with the troubles around them."""
    windows = group_losses(report["windows"])
    length = window_length(report)
    worst = sorted(windows, key=lambda loss: -loss.lost)[:WORST_WINDOWS]
    return [(loss, troubles_near(report, float(loss.name), length)) for loss in worst]


def window_length(report: Mapping[str, Any]) -> float:
    """Seconds from one window to the next."""
    starts = [float(each["name"]) for each in report["windows"][:2]]
    return starts[1] - starts[0] if len(starts) == 2 else 1.0


def troubles_near(report: Mapping[str, Any], start: float, length: float) -> list[str]:
    """What happened in a window or shortly before it."""
    return [
        f"{event['kind']} {event['what']}".strip()
        for event in report["events"]
        if event["at_s"] < start + length and event["to_s"] > start - AROUND
    ]


def unserved(report: Mapping[str, Any]) -> Iterator[str]:
    """Why requests were not served, with the way of the first one."""
    for status, count, story in report["unserved_by"]:
        yield f"last answer {status}: {count}"
        for line in story:
            yield f"    {line}"


def compared(losses: list[Loss], others: list[Loss] | None) -> Iterator[str]:
    """Lines for a table, with differences where there is another report."""
    before = {loss.name: loss.lost for loss in others or ()}
    for loss in losses:
        change = f" {loss.lost - before.get(loss.name, 0.0):+.4f}" if others is not None else ""
        yield f"{loss.lost:8.4f}{change}  {loss.name}: {loss.value}"


def describe(report: Mapping[str, Any], other: Mapping[str, Any] | None = None) -> Iterator[str]:
    """The whole account of a day, line by line."""
    change = f" ({report['G'] - other['G']:+.4f})" if other else ""
    yield f"worth less prices {report['G']:.4f}{change}"
    broken = ", ".join(f"{rule} {count}" for rule, count in report["breaks"].items())
    yield f"rules broken: {broken or 'none'}"
    yield "lost by parts of the measure"
    yield from compared(part_losses(report), part_losses(other) if other else None)
    yield "lost by prices"
    yield from compared(price_losses(report), price_losses(other) if other else None)
    for title, key in (("kinds of requests", "classes"), ("zones", "zones")):
        yield f"lost by {title}, as a share of all requests that were owed"
        yield from compared(group_losses(report[key]), group_losses(other[key]) if other else None)
    yield "seconds in which most was lost"
    for loss, troubles in worst_windows(report):
        yield f"{loss.lost:8.4f}  from second {loss.name}: {loss.value}"
        yield f"          beside {', '.join(troubles) or 'nothing'}"
    yield "not served"
    yield from unserved(report)


def main() -> None:
    """Print the account of one day."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("report", type=Path, help="a file that --report has written")
    parser.add_argument("other", type=Path, nargs="?", help="the same day on other code")
    options = parser.parse_args()
    other = json.loads(options.other.read_text()) if options.other else None
    for line in describe(json.loads(options.report.read_text()), other):
        print(line)


if __name__ == "__main__":
    main()
