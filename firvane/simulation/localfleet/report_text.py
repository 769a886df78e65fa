"""Formats the metrics of a run for a terminal."""

from __future__ import annotations

from collections.abc import Sequence

from firvane.simulation.localfleet.metrics import ClassMetrics, DaemonMetrics, RunMetrics

MAX_PROBLEMS = 5  # lines printed of one daemon's log
MAX_LINE_LENGTH = 200


def render(metrics: RunMetrics) -> str:
    """The complete report as text."""
    lines = [
        f"All routers were ready after {metrics.ready_s:.2f} s.",
        "",
        *_request_lines(metrics),
        "",
        *_server_lines(metrics),
        "",
        *_daemon_lines(metrics.daemons),
        "",
        f"The longest delay of the stand-ins' event loop was {metrics.stand_in_delay_ms:.0f} ms.",
    ]
    faults = metrics.faults()
    lines += [f"Fault: {fault}." for fault in faults]
    if not faults:
        lines.append("Everything was served, and no request ran twice.")
    return "\n".join(lines)


def _request_lines(metrics: RunMetrics) -> list[str]:
    header = ["requests", "asked", "in time", "late", "refused", "failed", "retries"]
    header += ["first event: p50", "p95", "p99 ms", "pause: p99 ms"]
    lines = _table([header, *map(_class_row, (*metrics.classes, metrics.total))])
    if metrics.total.cut_by_kills:
        lines.append(
            f"Of those failed, {metrics.total.cut_by_kills} were under way at a router as it was killed."
        )
    return lines


def _class_row(metrics: ClassMetrics) -> list[str]:
    first = metrics.first_event_ms
    numbers = (
        metrics.asked,
        metrics.in_time,
        metrics.late,
        metrics.refused,
        metrics.failed,
        metrics.retries,
        first.p50,
        first.p95,
        first.p99,
        metrics.pause_ms.p99,
    )
    return [metrics.name, *(f"{number:,}" for number in numbers)]


def _server_lines(metrics: RunMetrics) -> list[str]:
    operator = metrics.operator
    read_back = "read back at the end" if operator.read_back else "NOT read back at the end"
    return [
        f"Runs: {metrics.doubled} doubled; as they may be: {metrics.resumed} resumed, "
        f"{metrics.repeated} repeated.",
        f"Prompt tokens: {metrics.prompt_tokens_read:,} read, "
        f"{metrics.prompt_tokens_read_again:,} of them again.",
        f"Servers: {metrics.rejected_by_servers} requests turned away, "
        f"{metrics.cancelled_at_servers} cancelled, {metrics.server_connections} connections.",
        f"List: {metrics.list_calls} calls, {metrics.list_calls_refused} over the rate.",
        f"Configuration: {operator.acknowledged} of {operator.orders} orders acknowledged, "
        f"the first after {operator.first_s * 1000:.0f} ms, others after {operator.slowest_s * 1000:.0f} ms "
        f"at the most; {read_back}.",
    ]


def _daemon_lines(daemons: Sequence[DaemonMetrics]) -> list[str]:
    header = ["daemon", "memory MB", "processor s", "starts"]
    rows = [
        [each.name, f"{each.peak_mb:.1f}", f"{each.processor_s:.2f}", str(each.starts)] for each in daemons
    ]
    lines = _table([header, *rows])
    for daemon in daemons:
        lines += [f"{daemon.name}: {line[:MAX_LINE_LENGTH]}" for line in daemon.problems[:MAX_PROBLEMS]]
    return lines


def _table(rows: Sequence[Sequence[str]]) -> list[str]:
    """Align the columns: the first to the left, the others to the right."""
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            cell.ljust(width) if index == 0 else cell.rjust(width)
            for index, (cell, width) in enumerate(zip(row, widths, strict=True))
        )
        for row in rows
    ]
