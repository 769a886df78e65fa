"""What is concluded from the state that peers report, and the capacity that owners of backends lend.

Invariants:

1. `MAX_ASKED_PEERS` peers are asked, drawn anew each round, and rounds are `ASK_INTERVAL_S` apart, then twice
   as long each time: a recovery of N proxies costs some 2 x `MAX_ASKED_PEERS` x N small datagrams a round,
   however large N is. A proxy answers `MAX_ANSWERS_PER_S` of them.
2. A scale is taken as the median of those reported, from `MIN_REPORTS` of them on, and kept within
   `MAX_SCALE_RATIO` times the restored one, where there is one: no third of the peers moves it beyond what an
   honest one reported.
3. A backend is taken for cold when most of those that reported say so, at the median of their ages. That can
   make it colder, never warmer: no report of others opens a backend.
4. A report counts for `REPORT_LIFETIME_S`.
5. Peers are warm when half of those asked have reported, and over two in three of these say so and have had
   responses of late. With fewer the first to answer would decide; and a bare majority of a sample is too
   often a third that lies. That a peer serves proves nothing: in a recovery of all it does, too.
6. Capacity is lent by the owner of a backend alone, to one peer at a time, out of its own, and for
   `LOAN_DURATION_S`: the owner leaves it free meanwhile, and one that is gone takes its loans with it.
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
MAX_SCALE_RATIO = 4.0  # by which peers may differ from the restored scale
REPORT_LIFETIME_S = 5.0
WARM_MAX_IDLE_S = 2.0  # within which a warm peer has had a response
LOAN_DURATION_S = 1.0
RESERVED_ATTEMPTS = 1.0  # of capacity that an owner keeps when it lends
UNSERVED_SHARE = 0.1  # of what comes to a peer, from which on capacity is lent to it


class Report(NamedTuple):
    """A peer's state, and when it came."""

    received_at: float
    state: StateReply


class Loan(NamedTuple):
    """How many attempts may be in flight, and until when."""

    max_attempts: int
    expires_at: float


class PeerReports:
    """The state that peers have reported of late. Times are seconds on one clock."""

    def __init__(self) -> None:
        self.reports: dict[int, Report] = {}  # by peer
        self.last_sent_ms: dict[int, int] = {}  # by peer, on its own clock
        self.rates = TokenBuckets(MAX_ANSWERS_PER_S, MAX_ANSWERS_PER_S)  # of answers, to all peers together

    def may_answer(self, now: float) -> bool:
        """Whether a request may be answered; counts the answer."""
        return self.rates.allow(0, now)

    def add(self, sender: int, sent_at_ms: int, state: StateReply, now: float) -> None:
        """Add a report, unless a later one of its sender has come before."""
        if sent_at_ms > self.last_sent_ms.get(sender, -1):
            self.last_sent_ms[sender], self.reports[sender] = sent_at_ms, Report(now, state)

    def fresh(self, now: float) -> list[Report]:
        """Return the reports that still count."""
        return [report for report in self.reports.values() if now - report.received_at < REPORT_LIFETIME_S]

    def count_warm(self, now: float, asked: int) -> int:
        """Return how many of those `asked` are warm and had a response of late; 0 where too few are."""
        fresh = [report.state for report in self.fresh(now)]
        warm = sum(state.is_warm and state.idle_s <= WARM_MAX_IDLE_S for state in fresh)
        return warm if 2 * len(fresh) >= asked and 3 * warm > 2 * len(fresh) else 0

    def agreed_scale(self, now: float, restored: float) -> float:
        """Return the responses a second and weight of a warm backend; `restored` where too few reported."""
        scales = [report.state.scale for report in self.fresh(now) if report.state.scale > 0.0]
        if len(scales) < MIN_REPORTS:
            return restored
        scale = median(scales)
        if not restored:
            return scale
        return min(max(scale, restored / MAX_SCALE_RATIO), restored * MAX_SCALE_RATIO)

    def cold_starts(self, now: float) -> dict[int, float]:
        """Return when those backends started that most peers report as cold, by tag."""
        fresh = self.fresh(now)
        starts: dict[int, list[float]] = {}
        for report in fresh:
            for tag, age_s in report.state.cold_ages_s.items():
                starts.setdefault(tag, []).append(report.received_at - age_s)
        return {tag: median(times) for tag, times in starts.items() if 2 * len(times) > max(1, len(fresh))}


class CapacityLoans:
    """The capacity that this proxy has lent, and what it has borrowed. Times are seconds on one clock."""

    def __init__(self) -> None:
        self.lent_out: dict[Backend, dict[int, Loan]] = {}  # by backend and peer
        self.borrowed: dict[Backend, Loan] = {}

    def lent_attempts(self, server: Backend, now: float) -> int:
        """Return how many attempts peers may have in flight at a backend of this proxy's."""
        loans = self.lent_out.get(server)
        if not loans:
            return 0
        for peer in [peer for peer, loan in loans.items() if loan.expires_at <= now]:
            del loans[peer]
        return sum(loan.max_attempts for loan in loans.values())

    def lend(self, server: Backend, peer: int, max_attempts: int, now: float) -> None:
        """Lend a peer capacity at a backend of this proxy's."""
        self.lent_out.setdefault(server, {})[peer] = Loan(max_attempts, now + LOAN_DURATION_S)

    def borrow(self, server: Backend, max_attempts: int, now: float) -> None:
        """Borrow capacity at a backend of another owner."""
        self.borrowed[server] = Loan(max_attempts, now + LOAN_DURATION_S)

    def borrowed_attempts(self, server: Backend, now: float) -> int:
        """Return how many attempts may be in flight from here at a backend of another owner."""
        loan = self.borrowed.get(server)
        return loan.max_attempts if loan and now < loan.expires_at else 0

    def clear(self) -> None:
        """End all loans."""
        self.lent_out.clear()
        self.borrowed.clear()


def most_unserved(rows: Iterable[tuple[int, Row]], window_s: float) -> list[int]:
    """Return the peers that serve less than comes to them, those that lack most first."""
    short = [(row.arrivals - row.served * window_s, number, row.arrivals) for number, row in rows]
    return [
        number
        for lack, number, arrivals in sorted(short, reverse=True)
        if lack > UNSERVED_SHARE * arrivals + 1.0
    ]
