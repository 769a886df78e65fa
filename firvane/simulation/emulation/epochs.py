"""One policy everywhere or nowhere: its five promises, checked from outside.

Rules that hold here and nowhere else:

1. When a request was taken is not seen. It was not before its last sending, nor before the end of a
   stand-still of its proxy in which it was sent; and not after its first attempt reached a box, nor after its
   answer. A breach is told only where the bounds prove it: the older by its earliest moment, the newer by its
   latest.
2. (a) All answers to one request tell one epoch, and it has no more attempts than that epoch's policy allows.
3. (b) No request is taken by an older epoch later than `slack` after any was taken by a newer one.
4. (c) Each change makes one epoch: none is seen beyond those that proposals not said to have failed can have
   made, and none whose policy is known to be a failed one's. A policy that was proposed at several doors has
   failed when all of them say so, until it is proposed again.
5. (d) What was said to be in force is: no request is taken by an older epoch later than `slack` after it was
   said, and no door tells another policy under its number.
6. (e) A change is said to be in force or to have failed within `change` s, counted while some majority of the
   voters and the proxy where it was proposed last run undisturbed and nothing befalls the network. What any
   of them is disturbed by, its return included, begins the count anew.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from math import inf
from typing import Any, NamedTuple

from firvane.simulation.emulation.records import (
    Abandoned,
    Arrived,
    Asked,
    Decided,
    InUse,
    Proposed,
    ProxyState,
    Record,
    Said,
    Shaded,
)
from firvane.simulation.emulation.verdict import Findings, Rule

KEPT = 10.0  # s for which a request that has ended is remembered
FIRST = 1  # the epoch in which a fleet is founded
OPEN, IN_FORCE, FAILED = "open", "in force", "failed"
WAYS = ("cut", "link", "power")  # troubles after which a majority may not hear one another


class Request:
    """One call, as far as it bears on promises."""

    __slots__ = ("attempts", "by", "epoch", "sendings", "since")

    def __init__(self) -> None:
        self.since = 0.0  # not taken before, by its last sending
        self.by = inf  # taken by then
        self.sendings = self.attempts = 0
        self.epoch = 0  # that its answer told


class Taken(NamedTuple):
    """A request whose answer told an epoch."""

    since: float
    epoch: int
    call: str
    proxy: str
    attempts: int
    sendings: int


class Proposal:
    """A policy proposed, at whichever doors."""

    __slots__ = ("ended", "floor", "proxy", "since", "states")

    def __init__(self) -> None:
        self.states: dict[str, str] = {}  # "open", "failed" or "in force", by the proxy where it was proposed
        self.floor = 0  # epochs up to this one were in force before it was proposed
        self.proxy = ""  # where it was proposed last
        self.since = 0.0  # when
        self.ended = True

    @property
    def is_failed(self) -> bool:
        return all(state == FAILED for state in self.states.values())

    @property
    def open(self) -> int:
        """How many epochs may still come of it."""
        return sum(state == OPEN for state in self.states.values())


class Epochs:
    """Sees records in the order of their times."""

    def __init__(
        self,
        findings: Findings,
        voters: Sequence[str],
        slack: float,
        change: float,
        attempts: Mapping[str, int] | None = None,
    ) -> None:
        """`slack` and `change` in s; `attempts` are the most that a request may have, by the policy's digest.
        Without voters nothing is said of (e)."""
        self.findings, self.slack, self.change = findings, slack, change
        self.attempts = attempts or {}
        self.requests: dict[str, Request] = {}
        self.over: deque[tuple[float, str]] = deque()
        self.newest = FIRST
        self.first: dict[int, tuple[float, str, str]] = {}  # of each epoch: taken by when, call and proxy
        self.taken: deque[Taken] = deque()  # the last, in the order in which they were answered
        self.stands: dict[str, tuple[float, float]] = {}  # proxies' last stand-stills, and when they went on
        self.digests: dict[int, str] = {}  # of the epochs that doors have told of
        self.said: dict[int, float] = {}  # when an epoch was first said to be in force
        self.proposals: dict[str, Proposal] = {}
        self.undisturbed = dict.fromkeys(voters, 0.0)  # since when, by proxy; inf while it is down
        self.voters = tuple(voters)
        self.ways = 0.0  # since when, or from when on, nothing befalls the network
        self._handlers: dict[type, Callable[[Any], None]] = {
            Asked: self._asked, Arrived: self._arrived, Decided: self._decided, Abandoned: self._abandoned,
            ProxyState: self._proxy, Shaded: self._shaded, Proposed: self._proposed, Said: self._said,
            InUse: self._in_use,
        }  # fmt: skip

    def see(self, record: Record) -> None:
        handler = self._handlers.get(type(record))
        if handler:
            self._pass(record.at)
            handler(record)

    def end(self, at: float) -> None:
        """Everything that came by `at` has been seen."""
        self._pass(at)

    def _pass(self, now: float) -> None:
        while self.over and self.over[0][0] < now:
            self.requests.pop(self.over.popleft()[1], None)
        while self.taken and self.taken[0].since < now - KEPT:
            self.taken.popleft()
        for digest, change in self.proposals.items() if self.voters else ():
            if not change.ended and now > (since := self._talk_since(change)) + self.change:
                change.ended = True  # it is told once
                text = f"policy {digest} proposed at {change.since:.3f} s has no end, though nothing disturbs"
                text += f" a majority of the voters since {since:.3f} s, and {self.change:g} s are allowed"
                self.findings.add(Rule.ENDLESS, now, text, proxy=change.proxy)

    def _talk_since(self, change: Proposal) -> float:
        """Since when it could have come to its end; inf: it cannot."""
        calm = sorted(self.undisturbed[voter] for voter in self.voters)[len(self.voters) // 2]
        return max(calm, self.ways, change.since, self.undisturbed.get(change.proxy, 0.0))

    # Requests

    def _asked(self, record: Asked) -> None:
        if not record.taken:
            return
        one = self.requests.setdefault(record.call, Request())
        one.since, one.by = record.at, inf
        one.sendings += 1

    def _arrived(self, record: Arrived) -> None:
        if one := self.requests.get(record.call):
            if one.sendings == 1:  # or it may be of the sending before
                one.by = min(one.by, record.began)
            one.attempts += 1

    def _abandoned(self, record: Abandoned) -> None:
        self.over.append((record.at + KEPT, record.call))

    def _decided(self, record: Decided) -> None:
        one = self.requests.get(record.call)
        if one is None or record.epoch <= 0:
            return
        self.over.append((record.at + KEPT, record.call))
        at, call, proxy, epoch = record
        if one.epoch and one.epoch != epoch:
            text = f"answered by epoch {one.epoch}, and again by epoch {epoch}"
            self.findings.add(Rule.TWO_EPOCHS, at, text, call=call, proxy=proxy)
        one.epoch = epoch
        stood, went_on = self.stands.get(proxy, (inf, inf))
        since = went_on if stood <= one.since < went_on else one.since
        now_taken = Taken(since, epoch, call, proxy, one.attempts, one.sendings)
        self._attempted(now_taken, at)
        self._seen(epoch, at, proxy)
        by = min(one.by, at)
        if by < self.first.get(epoch, (inf, "", ""))[0]:
            self._first(epoch, by, call, proxy)
        self.taken.append(now_taken)
        newer = [self.first[other] for other in self.first if other > epoch]
        if newer:
            self._older(now_taken, at, min(newer))
        told = min((then for later, then in self.said.items() if later > epoch), default=inf)
        if since > told + self.slack:
            text = f"taken by epoch {epoch} at {since:.3f} s or later; a newer one was said to be in force"
            text += f" at {told:.3f} s"
            self.findings.add(Rule.TAKEN_BACK, at, text, call=call, proxy=proxy)

    def _attempted(self, one: Taken, at: float) -> None:
        """Against what its epoch allows, where that is known."""
        allowed = self.attempts.get(self.digests.get(one.epoch, ""), one.attempts) * one.sendings
        if one.attempts > allowed:
            text = f"{one.attempts} attempts, and epoch {one.epoch} by which it was answered allows {allowed}"
            self.findings.add(Rule.TWO_EPOCHS, at, text, call=one.call, proxy=one.proxy)

    def _first(self, epoch: int, by: float, call: str, proxy: str) -> None:
        """One was taken by this epoch earlier than was known: what was answered meanwhile may prove older."""
        before = dict(self.first)
        self.first[epoch] = by, call, proxy
        for one in self.taken:
            known = min((before[other][0] for other in before if other > one.epoch), default=inf)
            if one.epoch < epoch and by < known and one.since <= known + self.slack:
                self._older(one, by, self.first[epoch])

    def _older(self, one: Taken, at: float, newer: tuple[float, str, str]) -> None:
        by, call, proxy = newer
        if one.since > by + self.slack:
            text = f"taken by epoch {one.epoch} at {one.since:.3f} s or later; {call} had been taken by a"
            text += f" newer one at {proxy} by {by:.3f} s"
            self.findings.add(Rule.OLDER, at, text, call=one.call, proxy=one.proxy)

    # Proxies and network

    def _proxy(self, record: ProxyState) -> None:
        name, at, state = record.proxy, record.at, record.state
        if state == "stalled":
            self.stands[name] = at, inf
        elif state == "on":
            self.stands[name] = self.stands.get(name, (at, at))[0], at
        elif state in ("started", "killed", "ended") and name in self.stands:
            del self.stands[name]
        self.undisturbed[name] = at if state in ("ready", "on") else inf

    def _shaded(self, record: Shaded) -> None:
        if record.name.startswith(WAYS):
            self.ways = max(self.ways, record.until)

    # Changes

    def _seen(self, epoch: int, at: float, proxy: str) -> None:
        """An epoch is in force somewhere."""
        if epoch > self.newest:
            known = sum(other > FIRST for other in self.digests)
            most = FIRST + known + sum(change.open for change in self.proposals.values())
            if epoch > most:
                text = f"epoch {epoch}, and proposals that have not failed make {most} at the most"
                self.findings.add(Rule.FAILED_CAME, at, text, proxy=proxy)
            self.newest = epoch
        self._failed(epoch, self.digests.get(epoch, ""), at, proxy)

    def _failed(self, epoch: int, digest: str, at: float, proxy: str) -> None:
        change = self.proposals.get(digest)
        if change and change.is_failed and epoch > change.floor:
            text = f"policy {digest} is epoch {epoch} and in force, though it was said to have failed"
            self.findings.add(Rule.FAILED_CAME, at, text, proxy=proxy)

    def _proposed(self, record: Proposed) -> None:
        change = self.proposals.setdefault(record.digest, Proposal())
        if not change.open:
            change.floor = self.newest
            change.states.clear()
        change.states[record.proxy] = OPEN
        change.proxy, change.since, change.ended = record.proxy, record.at, False

    def _said(self, record: Said) -> None:
        change = self.proposals.get(record.digest)
        if change is None or record.outcome not in (IN_FORCE, FAILED):
            return
        change.ended = True
        if record.proxy in change.states:
            change.states[record.proxy] = record.outcome
        if record.outcome == IN_FORCE:
            self.said.setdefault(record.epoch, record.at)
            self._told(record.epoch, record.digest, record.at, record.proxy)
        elif change.is_failed:
            for epoch, digest in self.digests.items():
                if digest == record.digest:
                    self._failed(epoch, digest, record.at, record.proxy)

    def _in_use(self, record: InUse) -> None:
        self._told(record.epoch, record.digest, record.at, record.proxy)

    def _told(self, epoch: int, digest: str, at: float, proxy: str) -> None:
        known = self.digests.get(epoch)
        if known is None:
            self.digests[epoch] = digest
            for one in self.taken:
                if one.epoch == epoch:
                    self._attempted(one, at)
            if epoch > FIRST and digest not in self.proposals:
                text = f"epoch {epoch} is policy {digest}, which nobody proposed"
                self.findings.add(Rule.FAILED_CAME, at, text, proxy=proxy)
        elif known != digest:
            text = f"epoch {epoch} is policy {digest} here, and was said to be {known}"
            self.findings.add(Rule.TAKEN_BACK, at, text, proxy=proxy)
        self._seen(epoch, at, proxy)
