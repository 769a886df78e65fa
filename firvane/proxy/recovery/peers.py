"""Evaluates the states that peers report, and tracks the capacity that owners of backends lend.

Invariants:

1. State requests go to at most `MAX_ASKED_PEERS` peers, drawn anew in each round. The first interval between
   rounds is `ASK_INTERVAL_S`, and doubles each time. So a recovery of N proxies costs some
   2 x `MAX_ASKED_PEERS` x N small datagrams a round, however large N is. A proxy answers at most
   `MAX_ANSWERS_PER_S` requests.
2. The agreed scale is the median of at least `MIN_REPORTS` reported ones, within a factor of
   `MAX_SCALE_RATIO` of the restored scale, if there is one: faulty reports by a third of the peers cannot
   move it beyond the values that correct peers report.
3. A backend is considered cold if most reports list it as cold; its age is the median of theirs. Reports can
   make a backend colder, never warmer: no report opens a backend.
4. A report is valid for `REPORT_LIFETIME_S`.
5. Peers count as warm if at least half of those asked have reported, and more than two thirds of the reports
   say warm and name a recent response. With fewer reports the first replies would decide; and in a sample a
   faulty third too often has a bare majority. That a peer serves requests is no proof: in a recovery of all
   proxies every one does.
6. Only the owner of a backend lends capacity of it, to one peer at a time, from its own share, and for
   `LOAN_DURATION_S`. The owner leaves the lent capacity unused meanwhile; its loans expire if it fails.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median
from typing import NamedTuple

from firvane.core.balancing.records import Backend
from firvane.core.balancing.rows import Row
from firvane.proxy.limits.token_buckets import TokenBuckets
from firvane.proxy.recovery.messages import StateReply

MAX_ASKED_PEERS = 15
ASK_INTERVAL_S = 1.0
MAX_ANSWERS_PER_S = 20.0
MIN_REPORTS = 2
MAX_SCALE_RATIO = 4.0  # by which the agreed scale may differ from the restored one
REPORT_LIFETIME_S = 5.0
WARM_MAX_IDLE_S = 2.0  # since the last response of a peer that counts as warm
LOAN_DURATION_S = 1.0
RESERVED_ATTEMPTS = 1.0  # that an owner keeps for itself when it lends capacity
UNSERVED_SHARE = 0.1  # of a peer's arrivals, above which capacity is lent to it


class Report(NamedTuple):
    """A peer's state, and when it was received."""

    received_at: float
    state: StateReply


class Loan(NamedTuple):
    """The number of attempts that may be in flight, and when that ends."""

    max_attempts: int
    expires_at: float


class PeerReports:
    """The latest states that peers have reported. Times are seconds on one clock."""

    def __init__(self) -> None:
        self.reports: dict[int, Report] = {}  # by peer
        self.last_sent_ms: dict[int, int] = {}  # by peer, on the peer's clock
        self.rates = TokenBuckets(MAX_ANSWERS_PER_S, MAX_ANSWERS_PER_S)  # of replies, to all peers together

    def may_answer(self, now: float) -> bool:
        """Return whether a request may be answered now, and count the reply."""
        return self.rates.allow(0, now)

    def add(self, sender: int, sent_at_ms: int, state: StateReply, now: float) -> None:
        """Add a report, unless a later one of the same sender was received before."""
        if sent_at_ms > self.last_sent_ms.get(sender, -1):
            self.last_sent_ms[sender], self.reports[sender] = sent_at_ms, Report(now, state)

    def fresh(self, now: float) -> list[Report]:
        """Return the reports that have not expired."""
        return [report for report in self.reports.values() if now - report.received_at < REPORT_LIFETIME_S]

    def count_warm(self, now: float, asked: int) -> int:
        """Return how many of the `asked` peers are warm and had a recent response; 0 if too few."""
        fresh = [report.state for report in self.fresh(now)]
        warm = sum(state.is_warm and state.idle_s <= WARM_MAX_IDLE_S for state in fresh)
        return warm if 2 * len(fresh) >= asked and 3 * warm > 2 * len(fresh) else 0

    def agreed_scale(self, now: float, restored: float) -> float:
        """Return the scale (`StateReply.scale`) that peers agree on; `restored` if too few reported."""
        scales = [report.state.scale for report in self.fresh(now) if report.state.scale > 0.0]
        if len(scales) < MIN_REPORTS:
            return restored
        scale = median(scales)
        if not restored:
            return scale
        return min(max(scale, restored / MAX_SCALE_RATIO), restored * MAX_SCALE_RATIO)

    def cold_starts(self, now: float) -> dict[int, float]:
        """Return the start times, by tag, of the backends that most reports list as cold."""
        fresh = self.fresh(now)
        starts: dict[int, list[float]] = {}
        for report in fresh:
            for tag, age_s in report.state.cold_ages_s.items():
                starts.setdefault(tag, []).append(report.received_at - age_s)
        return {tag: median(times) for tag, times in starts.items() if 2 * len(times) > max(1, len(fresh))}


class CapacityLoans:
    """The capacity that this proxy has lent and borrowed. Times are seconds on one clock."""

    def __init__(self) -> None:
        self.lent_out: dict[Backend, dict[int, Loan]] = {}  # by backend and peer
        self.borrowed: dict[Backend, Loan] = {}

    def lent_attempts(self, server: Backend, now: float) -> int:
        """Return how many attempts peers may have in flight at a backend that this proxy owns."""
        loans = self.lent_out.get(server)
        if not loans:
            return 0
        for peer in [peer for peer, loan in loans.items() if loan.expires_at <= now]:
            del loans[peer]
        return sum(loan.max_attempts for loan in loans.values())

    def lend(self, server: Backend, peer: int, max_attempts: int, now: float) -> None:
        """Lend a peer capacity of a backend that this proxy owns."""
        self.lent_out.setdefault(server, {})[peer] = Loan(max_attempts, now + LOAN_DURATION_S)

    def borrow(self, server: Backend, max_attempts: int, now: float) -> None:
        """Borrow capacity of a backend from its owner."""
        self.borrowed[server] = Loan(max_attempts, now + LOAN_DURATION_S)

    def borrowed_attempts(self, server: Backend, now: float) -> int:
        """Return how many attempts this proxy may have in flight at a backend of another owner."""
        loan = self.borrowed.get(server)
        return loan.max_attempts if loan and now < loan.expires_at else 0

    def clear(self) -> None:
        """End all loans."""
        self.lent_out.clear()
        self.borrowed.clear()


def most_unserved(rows: Iterable[tuple[int, Row]], window_s: float) -> list[int]:
    """Return the peers that serve less than what arrives at them, the largest deficits first."""
    deficits = [(row.arrivals - row.served * window_s, number, row.arrivals) for number, row in rows]
    return [
        number
        for deficit, number, arrivals in sorted(deficits, reverse=True)
        if deficit > UNSERVED_SHARE * arrivals + 1.0
    ]
