"""Checks the five guarantees of the policy agreement (the same policy at all proxies) against records.

Invariants of this module:

1. The time at which a proxy accepts a request is not observed. It is not before the request was last sent,
   nor before the end of a stall of its proxy during which it was sent; and not after its first attempt
   reached a backend, nor after its answer. A breach is reported only if these bounds prove it: the older
   request by its earliest time, the newer one by its latest.
2. (a) All answers to one request name one epoch, and it has no more attempts than that epoch's policy allows.
3. (b) No request is accepted under an older epoch later than `slack` after one was accepted under a newer
   epoch.
4. (c) Each change makes one epoch: no epoch exceeds the number that proposals not reported as failed can have
   made, and none has the policy of a failed proposal. A policy proposed at several proxies has failed when
   all of them report so, until it is proposed again.
5. (d) A change reported as in force stays in force: no request is accepted under an older epoch later than
   `slack` after the report, and no proxy reports another policy under its epoch number.
6. (e) A change is reported as in force or failed within `change` s, counted while some majority of the voters
   and the proxy where it was last proposed run undisturbed and the network has no fault. Any disturbance of
   these, a restart included, restarts the count.
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

KEPT = 10.0  # s for which an ended request is kept
FIRST = 1  # the first epoch of a fleet
OPEN, IN_FORCE, FAILED = "open", "in force", "failed"
NETWORK_FAULTS = ("cut", "link", "power")  # faults that may disconnect the voters of a majority


class Request:
    """The state of one request that the guarantees need."""

    __slots__ = ("attempts", "by", "epoch", "sendings", "since")

    def __init__(self) -> None:
        self.since = 0.0  # accepted at this time or later: when it was last sent
        self.by = inf  # accepted at this time or earlier
        self.sendings = self.attempts = 0
        self.epoch = 0  # named by its answer


class AcceptedRequest(NamedTuple):
    """A request whose answer named an epoch."""

    since: float
    epoch: int
    call: str
    proxy: str
    attempts: int
    sendings: int


class Proposal:
    """A proposed policy, at one or more proxies."""

    __slots__ = ("ended", "floor", "proxy", "since", "states")

    def __init__(self) -> None:
        self.states: dict[str, str] = {}  # "open", "failed" or "in force", by the proxy where it was proposed
        self.floor = 0  # epochs up to this one were in force before it was proposed
        self.proxy = ""  # where it was last proposed
        self.since = 0.0  # when it was last proposed
        self.ended = True

    @property
    def is_failed(self) -> bool:
        return all(state == FAILED for state in self.states.values())

    @property
    def open(self) -> int:
        """The number of epochs that it may still make."""
        return sum(state == OPEN for state in self.states.values())


class Epochs:
    """Checks records, given in order of time."""

    def __init__(
        self,
        findings: Findings,
        voters: Sequence[str],
        slack: float,
        change: float,
        attempts: Mapping[str, int] | None = None,
    ) -> None:
        """`slack` and `change` are in s; `attempts` is the attempt limit of a request by policy digest.

        Without voters guarantee (e) is not checked."""
        self.findings, self.slack, self.change = findings, slack, change
        self.attempts = attempts or {}
        self.requests: dict[str, Request] = {}
        self.ended_requests: deque[tuple[float, str]] = deque()
        self.newest = FIRST
        self.first: dict[int, tuple[float, str, str]] = {}  # by epoch: earliest acceptance, call and proxy
        self.accepted: deque[AcceptedRequest] = deque()  # recent requests, in order of their answers
        self.stalls: dict[str, tuple[float, float]] = {}  # by proxy: begin and end of its last stall
        self.digests: dict[int, str] = {}  # by epoch, as reported by proxies
        self.reported: dict[int, float] = {}  # by epoch: when it was first reported as in force
        self.proposals: dict[str, Proposal] = {}
        self.undisturbed = dict.fromkeys(voters, 0.0)  # since when, by proxy; inf while down
        self.voters = tuple(voters)
        self.no_fault_since = 0.0  # from when on the network has no fault
        self._handlers: dict[type, Callable[[Any], None]] = {
            Asked: self._asked, Arrived: self._arrived, Decided: self._decided, Abandoned: self._abandoned,
            ProxyState: self._proxy, Shaded: self._shaded, Proposed: self._proposed, Said: self._said,
            InUse: self._in_use,
        }  # fmt: skip

    def see(self, record: Record) -> None:
        handler = self._handlers.get(type(record))
        if handler:
            self._advance(record.at)
            handler(record)

    def end(self, at: float) -> None:
        """End the run: all records up to `at` have been seen."""
        self._advance(at)

    def _advance(self, now: float) -> None:
        while self.ended_requests and self.ended_requests[0][0] < now:
            self.requests.pop(self.ended_requests.popleft()[1], None)
        while self.accepted and self.accepted[0].since < now - KEPT:
            self.accepted.popleft()
        for digest, change in self.proposals.items() if self.voters else ():
            if not change.ended and now > (since := self._decidable_since(change)) + self.change:
                change.ended = True  # report it once
                text = f"policy {digest} proposed at {change.since:.3f} s has no outcome, though a majority"
                text += f" of the voters was undisturbed since {since:.3f} s; {self.change:g} s are allowed"
                self.findings.add(Rule.ENDLESS, now, text, proxy=change.proxy)

    def _decidable_since(self, change: Proposal) -> float:
        """Return since when the change could have been decided; inf if it can't be."""
        majority_since = sorted(self.undisturbed[voter] for voter in self.voters)[len(self.voters) // 2]
        return max(majority_since, self.no_fault_since, change.since, self.undisturbed.get(change.proxy, 0.0))

    # Requests

    def _asked(self, record: Asked) -> None:
        if not record.taken:
            return
        request = self.requests.setdefault(record.call, Request())
        request.since, request.by = record.at, inf
        request.sendings += 1

    def _arrived(self, record: Arrived) -> None:
        if request := self.requests.get(record.call):
            if request.sendings == 1:  # otherwise the attempt may belong to an earlier sending
                request.by = min(request.by, record.began)
            request.attempts += 1

    def _abandoned(self, record: Abandoned) -> None:
        self.ended_requests.append((record.at + KEPT, record.call))

    def _decided(self, record: Decided) -> None:
        request = self.requests.get(record.call)
        if request is None or record.epoch <= 0:
            return
        self.ended_requests.append((record.at + KEPT, record.call))
        at, call, proxy, epoch = record
        if request.epoch and request.epoch != epoch:
            text = f"answered under epoch {request.epoch}, and again under epoch {epoch}"
            self.findings.add(Rule.TWO_EPOCHS, at, text, call=call, proxy=proxy)
        request.epoch = epoch
        stalled_at, resumed_at = self.stalls.get(proxy, (inf, inf))
        since = resumed_at if stalled_at <= request.since < resumed_at else request.since
        answered = AcceptedRequest(since, epoch, call, proxy, request.attempts, request.sendings)
        self._check_attempts(answered, at)
        self._check_epoch(epoch, at, proxy)
        by = min(request.by, at)
        if by < self.first.get(epoch, (inf, "", ""))[0]:
            self._record_first(epoch, by, call, proxy)
        self.accepted.append(answered)
        newer = [self.first[other] for other in self.first if other > epoch]
        if newer:
            self._check_older(answered, at, min(newer))
        reported_at = min((then for later, then in self.reported.items() if later > epoch), default=inf)
        if since > reported_at + self.slack:
            text = f"accepted under epoch {epoch} at {since:.3f} s or later; a newer epoch was reported as in"
            text += f" force at {reported_at:.3f} s"
            self.findings.add(Rule.TAKEN_BACK, at, text, call=call, proxy=proxy)

    def _check_attempts(self, request: AcceptedRequest, at: float) -> None:
        """Check the attempts against the limit of the request's epoch, if that is known."""
        allowed = self.attempts.get(self.digests.get(request.epoch, ""), request.attempts) * request.sendings
        if request.attempts > allowed:
            text = f"{request.attempts} attempts; epoch {request.epoch}, that answered it, allows {allowed}"
            self.findings.add(Rule.TWO_EPOCHS, at, text, call=request.call, proxy=request.proxy)

    def _record_first(self, epoch: int, by: float, call: str, proxy: str) -> None:
        """Record an earlier acceptance under `epoch`, and recheck the requests answered since then."""
        before = dict(self.first)
        self.first[epoch] = by, call, proxy
        for request in self.accepted:
            known = min((before[other][0] for other in before if other > request.epoch), default=inf)
            if request.epoch < epoch and by < known and request.since <= known + self.slack:
                self._check_older(request, by, self.first[epoch])

    def _check_older(self, request: AcceptedRequest, at: float, newer: tuple[float, str, str]) -> None:
        by, call, proxy = newer
        if request.since > by + self.slack:
            text = f"accepted under epoch {request.epoch} at {request.since:.3f} s or later; {call} had been"
            text += f" accepted under a newer one at {proxy} by {by:.3f} s"
            self.findings.add(Rule.OLDER, at, text, call=request.call, proxy=request.proxy)

    # Proxies and network

    def _proxy(self, record: ProxyState) -> None:
        name, at, state = record.proxy, record.at, record.state
        if state == "stalled":
            self.stalls[name] = at, inf
        elif state == "on":
            self.stalls[name] = self.stalls.get(name, (at, at))[0], at
        elif state in ("started", "killed", "ended") and name in self.stalls:
            del self.stalls[name]
        self.undisturbed[name] = at if state in ("ready", "on") else inf

    def _shaded(self, record: Shaded) -> None:
        if record.name.startswith(NETWORK_FAULTS):
            self.no_fault_since = max(self.no_fault_since, record.until)

    # Changes

    def _check_epoch(self, epoch: int, at: float, proxy: str) -> None:
        """Check an epoch that is in force at a proxy."""
        if epoch > self.newest:
            known = sum(other > FIRST for other in self.digests)
            limit = FIRST + known + sum(change.open for change in self.proposals.values())
            if epoch > limit:
                text = f"epoch {epoch}, but proposals that have not failed make at most {limit} epochs"
                self.findings.add(Rule.FAILED_CAME, at, text, proxy=proxy)
            self.newest = epoch
        self._check_failed(epoch, self.digests.get(epoch, ""), at, proxy)

    def _check_failed(self, epoch: int, digest: str, at: float, proxy: str) -> None:
        change = self.proposals.get(digest)
        if change and change.is_failed and epoch > change.floor:
            text = f"policy {digest} is in force as epoch {epoch}, though it was reported as failed"
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
            self.reported.setdefault(record.epoch, record.at)
            self._check_digest(record.epoch, record.digest, record.at, record.proxy)
        elif change.is_failed:
            for epoch, digest in self.digests.items():
                if digest == record.digest:
                    self._check_failed(epoch, digest, record.at, record.proxy)

    def _in_use(self, record: InUse) -> None:
        self._check_digest(record.epoch, record.digest, record.at, record.proxy)

    def _check_digest(self, epoch: int, digest: str, at: float, proxy: str) -> None:
        known = self.digests.get(epoch)
        if known is None:
            self.digests[epoch] = digest
            for request in self.accepted:
                if request.epoch == epoch:
                    self._check_attempts(request, at)
            if epoch > FIRST and digest not in self.proposals:
                text = f"epoch {epoch} is policy {digest}, which was never proposed"
                self.findings.add(Rule.FAILED_CAME, at, text, proxy=proxy)
        elif known != digest:
            text = f"epoch {epoch} is policy {digest} here, and was reported as {known}"
            self.findings.add(Rule.TAKEN_BACK, at, text, proxy=proxy)
        self._check_epoch(epoch, at, proxy)
