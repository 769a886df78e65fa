"""The policy consensus alone, in virtual time: members of `quorum/` on a lossy network, with drawn faults.

Rules that hold here and nowhere else:

1. Each proxy has a clock of its own, whose rate differs from the true one by up to half of
   `Timing.clock_skew`, and which starts anywhere. Messages take 2 to 39 ms, 2% are lost, some come twice or
   up to 30 s late.
2. A kill forgets all but the disk. What was being written then is there or not, as drawn. Disks come back as
   they were, or empty in fewer than half of the voters.
3. A proxy takes requests by an epoch for as long as its member `may_serve`: these spans are exact, from one
   event of it to the next, and the promises (b) and (d) are judged on them; (c) and (e) by `fleet/epochs.py`.
4. An operator proposes at a proxy's door, asks it ten times a second, and proposes the same at another door
   where it is gone or does not know.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from math import inf
from random import Random
from typing import Any, NamedTuple

from msgspec import Struct

from firvane.proxy.limits.token_buckets import Rates
from firvane.proxy.net.peer_datagrams import DATAGRAM_BURST, DATAGRAM_RATE_PER_S
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum import events
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.types import (
    MAX_VOTERS,
    NO_PROPOSAL_NUMBER,
    ProposalOutcome,
    Timing,
    Value,
    VoterState,
)
from firvane.simulation.emulation.epochs import Epochs
from firvane.simulation.emulation.records import InUse, Proposed, ProxyState, Said, Shaded
from firvane.simulation.emulation.verdict import Findings, Grade

DELAY_S = (0.0017, 0.039)
LOSS, TWICE, LATE, LATE_S = 0.02, 0.005, 0.001, 30.0
WRITE_S, FETCH_S = (0.001, 0.02), (0.01, 0.06)
POLL_S, ELSEWHERE_S = 0.1, 3.0  # from one question to the next; until it is proposed at another door
CHANGE_S = 22.0  # in which a change ends: gathering, the lead, and what is lost on the way
ROUND_S = 5.0  # round a change, in which service that is lost is counted
BACK_S = (0.5, 12.0)
FIRST = digest_of(b"the first policy")
HEADERS = 28  # bytes of IP and UDP before a datagram


class Span(NamedTuple):
    """While a proxy could take requests by an epoch, in true time."""

    since: float
    until: float
    epoch: int
    proxy: int


class Seat:
    """A proxy's place: its clock, its disk, and the member that runs there."""

    def __init__(self, number: int, draw: Random, skew: float) -> None:
        self.number = number
        self.rate = 1.0 + draw.uniform(-0.5, 0.5) * skew
        self.offset = draw.uniform(0.0, 1e5)
        self.member: Member | None = None
        self.life = 0
        self.stored: VoterState | None = None
        self.texts: set[bytes] = {FIRST}
        self.stands = False
        self.waiting: list[events.Event] = []
        self.full = False  # its disk
        self.rates = Rates(DATAGRAM_RATE_PER_S, DATAGRAM_BURST)
        self.open: tuple[float, int] | None = None  # since when it holds, and which epoch
        self.tick_at = inf

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate

    def true(self, local: float) -> float:
        return (local - self.offset) / self.rate if abs(local) < inf else local


class Change(Struct):
    """A proposal, as its operator knows it."""

    digest: bytes
    at: float
    proxy: int
    voters: tuple[int, ...] | None = None
    outcome: str = ""
    ended: float = inf
    asked: float = 0.0  # when it was proposed last
    answered: float = 0.0  # when its door has last said anything but "unknown"
    epoch: int = 0


class Drawn(Struct, frozen=True, kw_only=True):
    """What befalls a fleet."""

    proxies: int
    seed: int
    seconds: float = 90.0
    faults: str = "drawn"  # "none", "third" (down all the time) or "drawn"
    changes: int = 4
    times: Timing = Timing()


class Figures(Struct, kw_only=True):
    """What came of it. Times in s."""

    proxies: int
    seed: int
    faults: str
    broken: list[str]
    in_force: list[float]  # from `propose` to "in force"
    outcomes: dict[str, int]
    messages: float  # a proxy and second
    bytes: float  # a proxy and second, headers left out
    lost: list[float]  # part of service lost in the 5 s round each change, of proxies that run
    idle: float  # part of the time in which proxies that run could take no request
    apart: float  # s between the first and the last proxy's swap, the most


Make = Callable[..., Member]


class Members:
    """One history."""

    def __init__(self, told: Drawn, make: Make = Member) -> None:
        self.told, self.make, self.times = told, make, told.times
        self.draw = Random(f"members/{told.seed}")
        self.net = Random(f"network/{told.seed}")
        self.now, self.order = 0.0, itertools.count()
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.voters = tuple(range(min(told.proxies, MAX_VOTERS if told.proxies >= MAX_VOTERS else 3)))
        self.seats = [Seat(number, self.draw, self.times.clock_skew) for number in range(told.proxies)]
        self.cut: dict[tuple[int, int], int] = {}  # ways that are shut, and by how many troubles
        self.unusable: dict[bytes, int] = {}  # policies that one proxy cannot use
        self.spans: list[Span] = []
        self.down: list[tuple[float, float, int]] = []  # while a proxy did not run
        self.away: dict[int, float] = {}  # proxies that do not run, and since when
        self.changes: list[Change] = []
        self.sent = self.size = 0
        self.findings = Findings()
        names = [self.name(voter) for voter in self.voters]
        self.judge = Epochs(self.findings, names, self.times.activation_tolerance_s, CHANGE_S)
        self.seen: dict[int, bytes] = {}
        first = VoterState(1, Value(1, FIRST, self.voters), True, NO_PROPOSAL_NUMBER, None, ())
        for seat in self.seats:
            if seat.number in self.voters:
                seat.stored = first

    def name(self, number: int) -> str:
        return f"p{number}"

    def at(self, when: float, act: Callable[..., None], *more: Any) -> None:
        heapq.heappush(self.due, (when, next(self.order), act, more))

    def run(self) -> Figures:
        for seat in self.seats:
            self.start(seat)
        self.plan()
        while self.due and self.due[0][0] <= self.told.seconds:
            self.now, _, act, more = heapq.heappop(self.due)
            act(*more)
        self.now = self.told.seconds
        self.judge.end(self.now)
        for seat in self.seats:
            self.look(seat)
            if seat.number in self.away:
                self.down.append((self.away[seat.number], self.now, seat.number))
        return self.figures()

    # Proxies

    def start(self, seat: Seat) -> None:
        if seat.member:
            return
        seat.life += 1
        if seat.number in self.away:
            self.down.append((self.away.pop(seat.number), self.now, seat.number))
        has = seat.texts if seat.number in self.voters or seat.life == 1 else ()
        has = [text for text in has if self.unusable.get(text) != seat.number]
        seed = self.told.seed * 1000 + seat.number * 100 + seat.life
        seat.member = self.make(
            seat.number, self.told.proxies, self.voters, self.times, seed, seat.clock(self.now),
            seat.stored, has,
        )  # fmt: skip
        seat.rates = Rates(DATAGRAM_RATE_PER_S, DATAGRAM_BURST)
        self.judge.see(ProxyState(self.now, self.name(seat.number), "ready"))
        self.give(seat, events.Tick())

    def kill(self, seat: Seat, disk: str = "kept") -> None:
        if not seat.member:
            return
        self.look(seat)
        seat.member, seat.waiting, seat.stands = None, [], False
        seat.life += 1
        seat.open = None
        self.away[seat.number] = self.now
        seat.offset = self.draw.uniform(0.0, 1e5) - self.now  # its machine was off
        if disk == "lost":
            seat.stored, seat.texts = None, set()
        self.judge.see(ProxyState(self.now, self.name(seat.number), "killed"))

    def stall(self, seat: Seat, until: float) -> None:
        if seat.member and not seat.stands:
            self.look(seat)
            seat.stands, seat.open = True, None
            self.judge.see(ProxyState(self.now, self.name(seat.number), "stalled"))
            self.at(until, self.go_on, seat, seat.life)

    def go_on(self, seat: Seat, life: int) -> None:
        if seat.life != life or not seat.stands:
            return
        seat.stands = False
        self.judge.see(ProxyState(self.now, self.name(seat.number), "on"))
        self.hold(seat)  # requests may be taken before anything else is done
        waiting, seat.waiting = seat.waiting, []
        for event in waiting:
            self.give(seat, event)
        self.give(seat, events.Tick())

    def give(self, seat: Seat, event: events.Event) -> None:
        """An event of its own, or what another one said to it."""
        member = seat.member
        if member is None:
            return
        if seat.stands:
            seat.waiting.append(event)
            return
        self.look(seat)
        local = seat.clock(self.now)
        for action in member.handle(event, local):
            self.act(seat, action)
        self.hold(seat)
        at = max(self.now + 1e-4, seat.true(member.next_tick_at(local)))
        if at < seat.tick_at or seat.tick_at <= self.now:
            seat.tick_at = at
            self.at(at, self.tick, seat, seat.life, at)

    def tick(self, seat: Seat, life: int, at: float) -> None:
        if seat.life == life and seat.tick_at == at:
            seat.tick_at = inf
            self.give(seat, events.Tick())

    def hold(self, seat: Seat) -> None:
        """It takes requests from now on, where it may."""
        member = seat.member
        if member and member.serving and member.may_serve(seat.clock(self.now)):
            value = member.serving
            seat.open = self.now, value.epoch
            if self.seen.get(seat.number * 1_000_000 + value.epoch) != value.digest:
                self.seen[seat.number * 1_000_000 + value.epoch] = value.digest
                self.judge.see(InUse(self.now, self.name(seat.number), value.epoch, value.digest.hex()))

    def look(self, seat: Seat) -> None:
        """Note until when it has taken requests since its last event."""
        if seat.open and seat.member:
            since, epoch = seat.open
            until = min(self.now, seat.true(seat.member.serve_until))
            if until > since:
                self.spans.append(Span(since, until, epoch, seat.number))
            seat.open = None

    def act(self, seat: Seat, action: events.Action) -> None:
        match action:
            case events.SendMessage(peer, payload):
                self.carry(seat.number, peer, payload)
            case events.SaveState(token, kept):
                self.at(self.now + self.draw.uniform(*WRITE_S), self.written, seat, seat.life, token, kept)
            case events.FetchText(digest, holders):
                for holder in holders:
                    there = self.seats[holder]
                    ways = not self.cut.get((seat.number, holder)) and not self.cut.get((holder, seat.number))
                    if there.member and not there.stands and ways and digest in there.texts:
                        took = self.draw.uniform(*FETCH_S)
                        self.at(self.now + took, self.fetched, seat, seat.life, digest)
                        break

    def written(self, seat: Seat, life: int, token: int, kept: VoterState) -> None:
        if seat.life != life:
            if seat.stored is not None and self.draw.random() < 0.5 and seat.life == life + 1:
                seat.stored = kept if not seat.member else seat.stored  # it was on its way when power went
            return
        if seat.full:
            self.give(seat, events.StateSaveFailed(token))
        else:
            seat.stored = kept
            self.give(seat, events.StateSaved(token))

    def fetched(self, seat: Seat, life: int, digest: bytes) -> None:
        if seat.life == life:
            self.text(seat, digest)

    def text(self, seat: Seat, digest: bytes) -> None:
        """A policy's text is there, and checked."""
        seat.texts.add(digest)
        bad = self.unusable.get(digest) == seat.number
        self.give(
            seat, events.TextChecked(digest, "classes[0].aim: above the deadline; lower it" if bad else "")
        )

    # Network

    def carry(self, sender: int, receiver: int, payload: bytes) -> None:
        self.sent += 1
        self.size += len(payload)
        if self.cut.get((sender, receiver)) or self.net.random() < LOSS:
            return
        delay = self.net.uniform(*DELAY_S)
        if self.net.random() < LATE:
            delay += self.net.uniform(0.0, LATE_S)
        self.at(self.now + delay, self.arrive, sender, receiver, payload)
        if self.net.random() < TWICE:
            self.at(self.now + delay + self.net.uniform(*DELAY_S), self.arrive, sender, receiver, payload)

    def arrive(self, sender: int, receiver: int, payload: bytes) -> None:
        seat = self.seats[receiver]
        if seat.member and seat.rates.allow(sender, self.now):
            self.give(seat, events.MessageReceived(sender, payload))

    def shut(self, ways: list[tuple[int, int]], until: float, name: str) -> None:
        for way in ways:
            self.cut[way] = self.cut.get(way, 0) + 1
        self.judge.see(Shaded(self.now, until, name))
        self.at(until, self.unshut, ways)

    def unshut(self, ways: list[tuple[int, int]]) -> None:
        for way in ways:
            self.cut[way] -= 1

    # Operators

    def propose(self, change: Change) -> None:
        runs = [seat for seat in self.seats if seat.member and not seat.stands]
        if not runs:
            self.at(self.now + POLL_S, self.propose, change)
            return
        seat = self.draw.choice(runs)
        change.proxy, change.asked, change.answered = seat.number, self.now, self.now
        if change not in self.changes:
            change.at = self.now
            self.changes.append(change)
        self.judge.see(Proposed(self.now, self.name(seat.number), change.digest.hex()))
        self.text(seat, change.digest)
        self.give(seat, events.Propose(change.digest, change.voters))
        self.at(self.now + POLL_S, self.poll, change)

    def poll(self, change: Change) -> None:
        seat = self.seats[change.proxy]
        outcome, why = ProposalOutcome.UNKNOWN, ""
        if seat.member and not seat.stands:
            outcome, why = seat.member.outcome(change.digest)
        if outcome is not ProposalOutcome.UNKNOWN:
            change.answered = self.now
        elif self.now > change.answered + ELSEWHERE_S:
            self.propose(change)
            return
        if outcome in (ProposalOutcome.IN_FORCE, ProposalOutcome.FAILED):
            change.outcome, change.ended = outcome.value, self.now
            if outcome is ProposalOutcome.IN_FORCE:
                change.epoch = int(why.split()[1])
                if change.voters:
                    self.judge.voters = tuple(self.name(voter) for voter in change.voters)
            said = Said(self.now, self.name(change.proxy), change.digest.hex(), outcome.value, change.epoch)
            self.judge.see(said)
            return
        self.at(self.now + POLL_S, self.poll, change)

    def abort(self, change: Change) -> None:
        self.give(self.seats[change.proxy], events.Abort(change.digest))

    # What befalls them

    def plan(self) -> None:
        draw, told = self.draw, self.told
        room = told.seconds - CHANGE_S - 8.0
        if told.faults == "third":
            down = draw.sample(range(told.proxies), told.proxies // 3)
            while sum(number in self.voters for number in down) > (len(self.voters) - 1) // 2:
                down = draw.sample(range(told.proxies), told.proxies // 3)
            for number in down:
                self.at(1.0, self.kill, self.seats[number])
        for number in range(told.changes):
            at = 8.0 + room * (number + draw.uniform(0.0, 0.5)) / told.changes
            change = Change(digest_of(b"%d/%d" % (told.seed, number)), at, 0)
            self.at(at, self.propose, change)
            if told.faults != "drawn":
                continue
            if draw.random() < 0.15:
                self.unusable[change.digest] = draw.randrange(told.proxies)
            if draw.random() < 0.15 and told.proxies > len(self.voters):
                gone = draw.choice(self.voters)
                change.voters = tuple(sorted({*self.voters} - {gone}))
            if draw.random() < 0.3:
                rival = Change(digest_of(b"%d/%d/rival" % (told.seed, number)), at, 0)
                self.at(at + draw.uniform(0.0, 5.0), self.propose, rival)
            if draw.random() < 0.15:
                self.at(at + draw.uniform(0.1, 6.0), self.abort, change)
        if told.faults == "drawn":
            for _ in range(draw.randint(3, 8)):
                self.at(draw.uniform(3.0, told.seconds - 15.0), self.trouble)
            empty = draw.sample(self.voters, (len(self.voters) - 1) // 2) if draw.random() < 0.4 else []
            for voter in empty:
                self.at(draw.uniform(3.0, told.seconds - 15.0), self.strike, [voter], "lost")

    def strike(self, numbers: list[int], disk: str = "kept") -> None:
        for number in numbers:
            self.kill(self.seats[number], disk)
            self.at(self.now + self.draw.uniform(*BACK_S), self.start, self.seats[number])

    def trouble(self) -> None:
        draw, proxies = self.draw, self.told.proxies
        until = self.now + draw.uniform(0.3, 15.0)
        some = draw.sample(range(proxies), max(1, draw.randint(1, max(1, proxies // 3))))
        one = draw.choice(self.voters) if draw.random() < 0.6 else draw.randrange(proxies)
        match draw.choice(("kill", "some", "power", "stall", "stall", "cut", "cut", "link", "full")):
            case "kill":
                self.strike([one])
            case "some":
                self.strike(some)
            case "power":
                self.strike(list(range(proxies)))
            case "stall":
                for number in {one, *(some if draw.random() < 0.3 else ())}:
                    self.stall(self.seats[number], until)
            case "cut":
                side = set(some) | {one}
                ways = [(a, b) for a in range(proxies) for b in range(proxies) if (a in side) != (b in side)]
                self.shut(ways, until, "cut")
            case "link":
                others = [number for number in range(proxies) if number != one]
                ways = [(one, other) for other in others]
                if draw.random() < 0.5:
                    ways = [(other, one) for other in others]
                if draw.random() < 0.5:
                    ways = [draw.choice(ways)]
                self.shut(ways, until, "link")
            case "full":
                self.seats[one].full = True
                self.judge.see(Shaded(self.now, until, "link, of a disk"))
                self.at(until, self.emptied, self.seats[one])

    def emptied(self, seat: Seat) -> None:
        seat.full = False

    # What came of it

    def broken(self) -> list[str]:
        lines = [f"{one.at:.3f} s, {one.proxy}: {one.rule.value}: {one.text}"
                 for one in self.findings.of(Grade.BROKEN)]  # fmt: skip
        first: dict[int, Span] = {}
        for span in self.spans:
            if span.epoch not in first or span.since < first[span.epoch].since:
                first[span.epoch] = span
        said = {change.epoch: change.ended for change in self.changes if change.epoch}
        slack = self.times.activation_tolerance_s
        for span in self.spans:
            newer = [other for epoch, other in first.items() if epoch > span.epoch]
            by = min(newer, key=lambda other: other.since, default=None)
            if by and span.until > by.since + slack:
                lines.append(
                    f"{span.until:.3f} s, p{span.proxy}: by epoch {span.epoch}, and p{by.proxy}"
                    f" by epoch {by.epoch} since {by.since:.3f} s"
                )
            told = min((at for epoch, at in said.items() if epoch > span.epoch), default=inf)
            if span.until > told + slack:
                lines.append(
                    f"{span.until:.3f} s, p{span.proxy}: by epoch {span.epoch}, and a newer one"
                    f" was said to be in force at {told:.3f} s"
                )
        return lines

    def figures(self) -> Figures:
        told, changes = self.told, self.changes
        outcomes: dict[str, int] = {}
        for change in changes:
            outcomes[change.outcome or "none"] = outcomes.get(change.outcome or "none", 0) + 1
        swaps: dict[int, list[float]] = {}
        begun: dict[tuple[int, int], float] = {}
        for span in self.spans:
            begun.setdefault((span.epoch, span.proxy), span.since)
        for (epoch, _), at in begun.items():
            swaps.setdefault(epoch, []).append(at)
        rounds = [min(at) - ROUND_S / 2 for epoch, at in swaps.items() if epoch > 1]
        apart = [max(at) - min(at) for epoch, at in swaps.items() if epoch > 1]
        return Figures(
            proxies=told.proxies, seed=told.seed, faults=told.faults, broken=self.broken(),
            in_force=[change.ended - change.at for change in changes if change.epoch],
            outcomes=outcomes, messages=self.sent / told.proxies / told.seconds,
            bytes=self.size / told.proxies / told.seconds,
            lost=[self.unserved(at, at + ROUND_S) for at in rounds],
            idle=self.unserved(3.0, told.seconds), apart=max(apart, default=0.0),
        )  # fmt: skip

    def unserved(self, since: float, until: float) -> float:
        """The part of that time in which proxies that ran could take no request."""

        def within(a: float, b: float) -> float:
            return max(0.0, min(b, until) - max(a, since))

        held = sum(within(span.since, span.until) for span in self.spans)
        down = sum(within(a, b) for a, b, _ in self.down)
        runs = self.told.proxies * (until - since) - down
        return max(0.0, 1.0 - held / runs) if runs > 0 else 0.0
