"""The policy consensus alone, in virtual time: members of `quorum/` on a lossy network, with drawn faults.

Rules of the simulation:

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

DELAY_RANGE_S = (0.0017, 0.039)
LOSS_PROBABILITY = 0.02
DUPLICATE_PROBABILITY = 0.005
LATE_PROBABILITY = 0.001
MAX_EXTRA_DELAY_S = 30.0
WRITE_RANGE_S = (0.001, 0.02)
FETCH_RANGE_S = (0.01, 0.06)
POLL_INTERVAL_S = 0.1  # of operators, for the outcome of a change
OTHER_PROXY_AFTER_S = 3.0  # without an outcome, until it is proposed at another proxy
CHANGE_S = 22.0  # in which a change ends: readiness, the activation delay, and what is lost on the way
ROUND_S = 5.0  # round a change, in which service that is lost is counted
RESTART_RANGE_S = (0.5, 12.0)
FIRST = digest_of(b"the first policy")


class Span(NamedTuple):
    """While a proxy could take requests by an epoch, in true time."""

    since: float
    until: float
    epoch: int
    proxy: int


class SimulatedProxy:
    """A proxy: its clock, its disk, and the member that runs there."""

    def __init__(self, number: int, draw: Random, skew: float) -> None:
        self.number = number
        self.rate = 1.0 + draw.uniform(-0.5, 0.5) * skew
        self.offset = draw.uniform(0.0, 1e5)
        self.member: Member | None = None
        self.run_number = 0
        self.stored: VoterState | None = None
        self.texts: set[bytes] = {FIRST}
        self.is_stalled = False
        self.pending_events: list[events.Event] = []
        self.disk_full = False  # its disk
        self.rates = Rates(DATAGRAM_RATE_PER_S, DATAGRAM_BURST)
        self.open_span: tuple[float, int] | None = None  # since when it holds, and which epoch
        self.tick_at = inf

    def clock(self, now: float) -> float:
        return self.offset + now * self.rate

    def true_time(self, local: float) -> float:
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


class HistoryConfig(Struct, frozen=True, kw_only=True):
    """What happens to a fleet."""

    proxies: int
    seed: int
    seconds: float = 90.0
    faults: str = "drawn"  # "none", "third" (down all the time) or "drawn"
    changes: int = 4
    times: Timing = Timing()


class Figures(Struct, kw_only=True):
    """The result. Times in s."""

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


class ConsensusSimulation:
    """One history of a fleet."""

    def __init__(self, config: HistoryConfig, make: Make = Member) -> None:
        self.config, self.make, self.times = config, make, config.times
        self.draw = Random(f"members/{config.seed}")
        self.net = Random(f"network/{config.seed}")
        self.now, self.order = 0.0, itertools.count()
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.voters = tuple(range(min(config.proxies, MAX_VOTERS if config.proxies >= MAX_VOTERS else 3)))
        self.nodes = [
            SimulatedProxy(number, self.draw, self.times.clock_skew) for number in range(config.proxies)
        ]
        self.cut_counts: dict[tuple[int, int], int] = {}  # ways that are shut, and by how many troubles
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
        for node in self.nodes:
            if node.number in self.voters:
                node.stored = first

    def name(self, number: int) -> str:
        return f"p{number}"

    def at(self, when: float, act: Callable[..., None], *more: Any) -> None:
        heapq.heappush(self.due, (when, next(self.order), act, more))

    def run(self) -> Figures:
        for node in self.nodes:
            self.start(node)
        self.plan()
        while self.due and self.due[0][0] <= self.config.seconds:
            self.now, _, act, more = heapq.heappop(self.due)
            act(*more)
        self.now = self.config.seconds
        self.judge.end(self.now)
        for node in self.nodes:
            self.end_span(node)
            if node.number in self.away:
                self.down.append((self.away[node.number], self.now, node.number))
        return self.figures()

    # Proxies

    def start(self, node: SimulatedProxy) -> None:
        if node.member:
            return
        node.run_number += 1
        if node.number in self.away:
            self.down.append((self.away.pop(node.number), self.now, node.number))
        has = node.texts if node.number in self.voters or node.run_number == 1 else ()
        has = [text for text in has if self.unusable.get(text) != node.number]
        seed = self.config.seed * 1000 + node.number * 100 + node.run_number
        node.member = self.make(
            node.number, self.config.proxies, self.voters, self.times, seed, node.clock(self.now),
            node.stored, has,
        )  # fmt: skip
        node.rates = Rates(DATAGRAM_RATE_PER_S, DATAGRAM_BURST)
        self.judge.see(ProxyState(self.now, self.name(node.number), "ready"))
        self.give(node, events.Tick())

    def kill(self, node: SimulatedProxy, disk: str = "kept") -> None:
        if not node.member:
            return
        self.end_span(node)
        node.member, node.pending_events, node.is_stalled = None, [], False
        node.run_number += 1
        node.open_span = None
        self.away[node.number] = self.now
        node.offset = self.draw.uniform(0.0, 1e5) - self.now  # its machine was off
        if disk == "lost":
            node.stored, node.texts = None, set()
        self.judge.see(ProxyState(self.now, self.name(node.number), "killed"))

    def stall(self, node: SimulatedProxy, until: float) -> None:
        if node.member and not node.is_stalled:
            self.end_span(node)
            node.is_stalled, node.open_span = True, None
            self.judge.see(ProxyState(self.now, self.name(node.number), "stalled"))
            self.at(until, self.resume, node, node.run_number)

    def resume(self, node: SimulatedProxy, life: int) -> None:
        if node.run_number != life or not node.is_stalled:
            return
        node.is_stalled = False
        self.judge.see(ProxyState(self.now, self.name(node.number), "on"))
        self.begin_span(node)  # requests may be taken before anything else is done
        waiting, node.pending_events = node.pending_events, []
        for event in waiting:
            self.give(node, event)
        self.give(node, events.Tick())

    def give(self, node: SimulatedProxy, event: events.Event) -> None:
        """Hand a member an event."""
        member = node.member
        if member is None:
            return
        if node.is_stalled:
            node.pending_events.append(event)
            return
        self.end_span(node)
        local = node.clock(self.now)
        for action in member.handle(event, local):
            self.act(node, action)
        self.begin_span(node)
        at = max(self.now + 1e-4, node.true_time(member.next_tick_at(local)))
        if at < node.tick_at or node.tick_at <= self.now:
            node.tick_at = at
            self.at(at, self.tick, node, node.run_number, at)

    def tick(self, node: SimulatedProxy, life: int, at: float) -> None:
        if node.run_number == life and node.tick_at == at:
            node.tick_at = inf
            self.give(node, events.Tick())

    def begin_span(self, node: SimulatedProxy) -> None:
        """Begin a span in which it takes requests, where it may."""
        member = node.member
        if member and member.serving and member.may_serve(node.clock(self.now)):
            value = member.serving
            node.open_span = self.now, value.epoch
            if self.seen.get(node.number * 1_000_000 + value.epoch) != value.digest:
                self.seen[node.number * 1_000_000 + value.epoch] = value.digest
                self.judge.see(InUse(self.now, self.name(node.number), value.epoch, value.digest.hex()))

    def end_span(self, node: SimulatedProxy) -> None:
        """Record until when it has taken requests since its last event."""
        if node.open_span and node.member:
            since, epoch = node.open_span
            until = min(self.now, node.true_time(node.member.serve_until))
            if until > since:
                self.spans.append(Span(since, until, epoch, node.number))
            node.open_span = None

    def act(self, node: SimulatedProxy, action: events.Action) -> None:
        match action:
            case events.SendMessage(peer, payload):
                self.send(node.number, peer, payload)
            case events.SaveState(token, kept):
                self.at(
                    self.now + self.draw.uniform(*WRITE_RANGE_S),
                    self.written,
                    node,
                    node.run_number,
                    token,
                    kept,
                )
            case events.FetchText(digest, holders):
                for holder in holders:
                    there = self.nodes[holder]
                    ways = not self.cut_counts.get((node.number, holder)) and not self.cut_counts.get(
                        (holder, node.number)
                    )
                    if there.member and not there.is_stalled and ways and digest in there.texts:
                        took = self.draw.uniform(*FETCH_RANGE_S)
                        self.at(self.now + took, self.fetched, node, node.run_number, digest)
                        break

    def written(self, node: SimulatedProxy, life: int, token: int, kept: VoterState) -> None:
        if node.run_number != life:
            if node.stored is not None and self.draw.random() < 0.5 and node.run_number == life + 1:
                node.stored = kept if not node.member else node.stored  # it was on its way when power went
            return
        if node.disk_full:
            self.give(node, events.StateSaveFailed(token))
        else:
            node.stored = kept
            self.give(node, events.StateSaved(token))

    def fetched(self, node: SimulatedProxy, life: int, digest: bytes) -> None:
        if node.run_number == life:
            self.text(node, digest)

    def text(self, node: SimulatedProxy, digest: bytes) -> None:
        """A policy's text is there, and checked."""
        node.texts.add(digest)
        bad = self.unusable.get(digest) == node.number
        self.give(
            node, events.TextChecked(digest, "classes[0].aim: above the deadline; lower it" if bad else "")
        )

    # Network

    def send(self, sender: int, receiver: int, payload: bytes) -> None:
        self.sent += 1
        self.size += len(payload)
        if self.cut_counts.get((sender, receiver)) or self.net.random() < LOSS_PROBABILITY:
            return
        delay = self.net.uniform(*DELAY_RANGE_S)
        if self.net.random() < LATE_PROBABILITY:
            delay += self.net.uniform(0.0, MAX_EXTRA_DELAY_S)
        self.at(self.now + delay, self.deliver, sender, receiver, payload)
        if self.net.random() < DUPLICATE_PROBABILITY:
            self.at(
                self.now + delay + self.net.uniform(*DELAY_RANGE_S), self.deliver, sender, receiver, payload
            )

    def deliver(self, sender: int, receiver: int, payload: bytes) -> None:
        node = self.nodes[receiver]
        if node.member and node.rates.allow(sender, self.now):
            self.give(node, events.MessageReceived(sender, payload))

    def cut_links(self, ways: list[tuple[int, int]], until: float, name: str) -> None:
        for way in ways:
            self.cut_counts[way] = self.cut_counts.get(way, 0) + 1
        self.judge.see(Shaded(self.now, until, name))
        self.at(until, self.heal_links, ways)

    def heal_links(self, ways: list[tuple[int, int]]) -> None:
        for way in ways:
            self.cut_counts[way] -= 1

    # Operators

    def propose(self, change: Change) -> None:
        runs = [node for node in self.nodes if node.member and not node.is_stalled]
        if not runs:
            self.at(self.now + POLL_INTERVAL_S, self.propose, change)
            return
        node = self.draw.choice(runs)
        change.proxy, change.asked, change.answered = node.number, self.now, self.now
        if change not in self.changes:
            change.at = self.now
            self.changes.append(change)
        self.judge.see(Proposed(self.now, self.name(node.number), change.digest.hex()))
        self.text(node, change.digest)
        self.give(node, events.Propose(change.digest, change.voters))
        self.at(self.now + POLL_INTERVAL_S, self.poll, change)

    def poll(self, change: Change) -> None:
        node = self.nodes[change.proxy]
        outcome, why = ProposalOutcome.UNKNOWN, ""
        if node.member and not node.is_stalled:
            outcome, why = node.member.outcome(change.digest)
        if outcome is not ProposalOutcome.UNKNOWN:
            change.answered = self.now
        elif self.now > change.answered + OTHER_PROXY_AFTER_S:
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
        self.at(self.now + POLL_INTERVAL_S, self.poll, change)

    def abort(self, change: Change) -> None:
        self.give(self.nodes[change.proxy], events.Abort(change.digest))

    # Faults

    def plan(self) -> None:
        draw, config = self.draw, self.config
        room = config.seconds - CHANGE_S - 8.0
        if config.faults == "third":
            down = draw.sample(range(config.proxies), config.proxies // 3)
            while sum(number in self.voters for number in down) > (len(self.voters) - 1) // 2:
                down = draw.sample(range(config.proxies), config.proxies // 3)
            for number in down:
                self.at(1.0, self.kill, self.nodes[number])
        for number in range(config.changes):
            at = 8.0 + room * (number + draw.uniform(0.0, 0.5)) / config.changes
            change = Change(digest_of(b"%d/%d" % (config.seed, number)), at, 0)
            self.at(at, self.propose, change)
            if config.faults != "drawn":
                continue
            if draw.random() < 0.15:
                self.unusable[change.digest] = draw.randrange(config.proxies)
            if draw.random() < 0.15 and config.proxies > len(self.voters):
                gone = draw.choice(self.voters)
                change.voters = tuple(sorted({*self.voters} - {gone}))
            if draw.random() < 0.3:
                rival = Change(digest_of(b"%d/%d/rival" % (config.seed, number)), at, 0)
                self.at(at + draw.uniform(0.0, 5.0), self.propose, rival)
            if draw.random() < 0.15:
                self.at(at + draw.uniform(0.1, 6.0), self.abort, change)
        if config.faults == "drawn":
            for _ in range(draw.randint(3, 8)):
                self.at(draw.uniform(3.0, config.seconds - 15.0), self.inject_random_fault)
            empty = draw.sample(self.voters, (len(self.voters) - 1) // 2) if draw.random() < 0.4 else []
            for voter in empty:
                self.at(draw.uniform(3.0, config.seconds - 15.0), self.crash, [voter], "lost")

    def crash(self, numbers: list[int], disk: str = "kept") -> None:
        for number in numbers:
            self.kill(self.nodes[number], disk)
            self.at(self.now + self.draw.uniform(*RESTART_RANGE_S), self.start, self.nodes[number])

    def inject_random_fault(self) -> None:
        draw, proxies = self.draw, self.config.proxies
        until = self.now + draw.uniform(0.3, 15.0)
        some = draw.sample(range(proxies), max(1, draw.randint(1, max(1, proxies // 3))))
        one = draw.choice(self.voters) if draw.random() < 0.6 else draw.randrange(proxies)
        match draw.choice(("kill", "some", "power", "stall", "stall", "cut", "cut", "link", "full")):
            case "kill":
                self.crash([one])
            case "some":
                self.crash(some)
            case "power":
                self.crash(list(range(proxies)))
            case "stall":
                for number in {one, *(some if draw.random() < 0.3 else ())}:
                    self.stall(self.nodes[number], until)
            case "cut":
                side = set(some) | {one}
                ways = [(a, b) for a in range(proxies) for b in range(proxies) if (a in side) != (b in side)]
                self.cut_links(ways, until, "cut")
            case "link":
                others = [number for number in range(proxies) if number != one]
                ways = [(one, other) for other in others]
                if draw.random() < 0.5:
                    ways = [(other, one) for other in others]
                if draw.random() < 0.5:
                    ways = [draw.choice(ways)]
                self.cut_links(ways, until, "link")
            case "full":
                self.nodes[one].disk_full = True
                self.judge.see(Shaded(self.now, until, "link, of a disk"))
                self.at(until, self.free_disk, self.nodes[one])

    def free_disk(self, node: SimulatedProxy) -> None:
        node.disk_full = False

    # Results

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
            said_at = min((at for epoch, at in said.items() if epoch > span.epoch), default=inf)
            if span.until > said_at + slack:
                lines.append(
                    f"{span.until:.3f} s, p{span.proxy}: by epoch {span.epoch}, and a newer one"
                    f" was said to be in force at {said_at:.3f} s"
                )
        return lines

    def figures(self) -> Figures:
        config, changes = self.config, self.changes
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
            proxies=config.proxies, seed=config.seed, faults=config.faults, broken=self.broken(),
            in_force=[change.ended - change.at for change in changes if change.epoch],
            outcomes=outcomes, messages=self.sent / config.proxies / config.seconds,
            bytes=self.size / config.proxies / config.seconds,
            lost=[self.unserved(at, at + ROUND_S) for at in rounds],
            idle=self.unserved(3.0, config.seconds), apart=max(apart, default=0.0),
        )  # fmt: skip

    def unserved(self, since: float, until: float) -> float:
        """The part of that time in which proxies that ran could take no request."""

        def within(a: float, b: float) -> float:
            return max(0.0, min(b, until) - max(a, since))

        held = sum(within(span.since, span.until) for span in self.spans)
        down = sum(within(a, b) for a, b, _ in self.down)
        runs = self.config.proxies * (until - since) - down
        return max(0.0, 1.0 - held / runs) if runs > 0 else 0.0
