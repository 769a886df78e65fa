"""The metrics of a run: results of clients, work of servers, resource usage of daemons; as JSON."""

from __future__ import annotations

import dataclasses
import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from firvane.simulation.localfleet.config_operator import OperatorRecord
from firvane.simulation.localfleet.daemons import Daemon
from firvane.simulation.localfleet.outcomes import Outcome, RequestRecord
from firvane.simulation.localfleet.retries import AttemptEnd
from firvane.simulation.localfleet.run_ledger import ServerRecords, Verdict

LONGEST_MS = 3_600_000
SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Percentiles:
    """Percentiles in milliseconds; 0 without measurements."""

    p50: int
    p95: int
    p99: int
    longest: int


def percentiles(seconds: Iterable[float]) -> Percentiles:
    """The percentiles of durations in seconds."""
    histogram = HdrHistogram(1, LONGEST_MS, SIGNIFICANT_DIGITS)
    for span in seconds:
        histogram.record_value(max(1, round(span * 1000)))
    if not histogram.get_total_count():
        return Percentiles(0, 0, 0, 0)
    p50, p95, p99 = (int(histogram.get_value_at_percentile(each)) for each in (50, 95, 99))
    return Percentiles(p50, p95, p99, int(histogram.get_max_value()))


@dataclass(frozen=True, slots=True)
class ClassMetrics:
    """The results of one class of requests, or of all."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    cut_by_kills: int  # of the failed requests: in progress at a router that was killed
    wrong: int  # of the failed requests: invalid responses
    retries: int
    first_event_ms: Percentiles
    pause_ms: Percentiles  # the longest pause of each stream

    @property
    def all_served(self) -> bool:
        """Whether each request was served, including late ones."""
        return self.in_time + self.late == self.asked


@dataclass(frozen=True, slots=True)
class RouterKill:
    """A router was killed at this time (s of the loop's clock)."""

    front: tuple[str, int]
    at: float


def class_metrics(name: str, records: Sequence[RequestRecord], kills: Sequence[RouterKill]) -> ClassMetrics:
    """The metrics of these requests."""
    counts = dict.fromkeys(Outcome, 0)
    for record in records:
        counts[record.outcome] += 1
    broken_by_kills = [
        each for each in records if any(each.was_broken_by(kill.front, kill.at) for kill in kills)
    ]
    served = [each for each in records if each.outcome in (Outcome.IN_TIME, Outcome.LATE)]
    return ClassMetrics(
        name=name,
        asked=len(records),
        in_time=counts[Outcome.IN_TIME],
        late=counts[Outcome.LATE],
        refused=counts[Outcome.REFUSED],
        failed=counts[Outcome.FAILED],
        cut_by_kills=len(broken_by_kills),
        wrong=sum(each.last.end is AttemptEnd.WRONG for each in records),
        retries=sum(max(0, each.attempts - 1) for each in records),
        first_event_ms=percentiles(each.first_event for each in served if each.first_event is not None),
        pause_ms=percentiles(each.longest_gap for each in served),
    )


@dataclass(frozen=True, slots=True)
class DaemonMetrics:
    """The restarts and resource usage of one daemon."""

    name: str
    starts: int
    own_ends: list[int]  # exit codes of processes that were not stopped on purpose
    peak_mb: float
    processor_s: float
    problems: list[str]  # errors in its log


def daemon_metrics(daemon: Daemon) -> DaemonMetrics:
    """The metrics of a stopped daemon."""
    return DaemonMetrics(
        daemon.node.name,
        daemon.starts,
        list(daemon.own_ends),
        round(daemon.peak_mb, 1),
        round(daemon.processor_s, 2),
        daemon.problems(),
    )


@dataclass(frozen=True, slots=True)
class RunMetrics:
    """All metrics of a run."""

    ready_s: float  # from the start of the daemons until all routers were ready
    classes: list[ClassMetrics]
    total: ClassMetrics
    doubled: int
    ran_after_refusal: int
    unasked: int
    altered: int
    repeated: int
    resumed: int
    unasked_bytes: int
    prompt_tokens_read: int
    prompt_tokens_read_again: int
    rejected_by_servers: int
    cancelled_at_servers: int
    server_connections: int
    list_calls: int
    list_calls_refused: int
    operator: OperatorRecord
    daemons: list[DaemonMetrics]
    stand_in_delay_ms: float  # the longest delay of the stand-ins' event loop

    @property
    def good(self) -> bool:
        """Whether all requests were served, none ran twice, and there was no other fault."""
        return not self.faults()

    def faults(self) -> list[str]:
        """Descriptions of all faults, one sentence each."""
        operator = self.operator
        conditions = {
            f"{self.total.asked - self.total.in_time - self.total.late} requests were not served": (
                not self.total.all_served
            ),
            f"{self.total.wrong} answers were wrong": self.total.wrong > 0,
            f"{self.doubled} requests ran twice": self.doubled > 0,
            f"{self.ran_after_refusal} requests ran after a refusal": self.ran_after_refusal > 0,
            f"{self.unasked} runs were not asked for": self.unasked > 0,
            f"{self.altered} requests were altered on their way": self.altered > 0,
            f"{self.unasked_bytes} bytes came where no answer was due": self.unasked_bytes > 0,
            f"orders were refused with {operator.refused}": bool(operator.refused),
            "the last configuration was not read back": not operator.read_back,
        }
        conditions |= {
            f"{daemon.name} ended by itself with {daemon.own_ends}": bool(daemon.own_ends)
            for daemon in self.daemons
        }
        return [sentence for sentence, applies in conditions.items() if applies]

    def as_json(self) -> str:
        """All metrics as JSON."""
        document = {"good": self.good, "faults": self.faults(), **dataclasses.asdict(self)}
        return json.dumps(document, indent=2)


def verdict_fields(verdict: Verdict) -> dict[str, int]:
    """The verdict as counts, named like the fields of `RunMetrics`."""
    return {
        "doubled": len(verdict.doubled),
        "ran_after_refusal": len(verdict.ran_after_refusal),
        "unasked": len(verdict.unasked),
        "altered": len(verdict.altered),
        "repeated": verdict.repeated,
        "resumed": verdict.resumed,
    }


def server_fields(records: ServerRecords) -> dict[str, int]:
    """The records of the servers, named like the fields of `RunMetrics`."""
    return {
        "prompt_tokens_read": records.reading.tokens_read,
        "prompt_tokens_read_again": records.reading.tokens_read_again,
        "rejected_by_servers": records.rejected,
        "cancelled_at_servers": records.cancelled,
        "server_connections": records.connections,
    }
