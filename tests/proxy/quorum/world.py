"""Whole members on a small virtual network, and faults that are drawn by the test."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from benchmarks.policy_members import Change, ConsensusSimulation, HistoryConfig, Make
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum import events
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.types import ProposalOutcome, Timing, Value
from firvane.simulation.emulation.records import Proposed
from firvane.simulation.emulation.verdict import Findings

# A lease of a second in place of three, and all else with it: the same events in a third of the time.
SHORT = Timing(lease_s=1.0, round_trip_s=0.1, readiness_timeout_s=4.0)
FAULTS_S = 5.0  # in which all that is drawn happens
ENDS_S = 25.0  # after which everything must be well again


class Fault(NamedTuple):
    """A fault of one proxy, from then on, for so long."""

    kind: str
    proxy: int
    at: float  # s
    lasts: float  # s


class World(ConsensusSimulation):
    """Five voters, two proxies that learn; `proposals` are when, where, after how long aborted (0: not)."""

    def __init__(
        self,
        seed: int,
        injected_faults: Sequence[Fault] = (),
        proposals: Sequence[tuple[float, int, float]] = (),
        make: Make = Member,
        proxies: int = 7,
        times: Timing = SHORT,
    ) -> None:
        last = max([FAULTS_S, *(one.at + one.lasts for one in injected_faults)])
        seconds = last + ENDS_S
        config = HistoryConfig(
            proxies=proxies, seed=seed, seconds=seconds, faults="none", changes=0, times=times
        )
        super().__init__(config, make)
        self.injected_faults, self.proposals, self.last = injected_faults, proposals, last
        self.fine = False

    def plan(self) -> None:
        lost: set[int] = set()
        for one in self.injected_faults:
            if one.kind == "lose":  # fewer than half of the voters
                lost.add(one.proxy)
                kind = "lose" if len(lost) <= 2 or one.proxy not in self.voters else "kill"
                one = one._replace(kind=kind)
            self.at(one.at, self.inject, one)
        for number, (at, proxy, abort) in enumerate(self.proposals):
            change = Change(digest_of(b"%d" % number), at, proxy)
            self.at(at, self.propose_at, change)
            if abort:
                self.at(at + abort, self.abort, change)
        self.at(self.last, self.check_settled)

    def propose_at(self, change: Change) -> None:
        """At that door, and at no other one later."""
        node = self.nodes[change.proxy]
        if node.member and not node.is_stalled:
            self.changes.append(change)
            self.judge.see(Proposed(self.now, self.name(node.number), change.digest.hex()))
            self.text(node, change.digest)
            self.give(node, events.Propose(change.digest))
            self.poll(change)

    def poll(self, change: Change) -> None:
        node = self.nodes[change.proxy]
        if node.member and not node.is_stalled:
            outcome, why = node.member.outcome(change.digest)
            if outcome is ProposalOutcome.FAILED:
                change.outcome = outcome.value
                return
            if outcome is ProposalOutcome.IN_FORCE:
                change.outcome, change.epoch, change.ended = outcome.value, int(why.split()[1]), self.now
                return
            begun = not why.startswith("not proposed")  # else nothing has come of it, and nothing will
            change.outcome = outcome.value if node.run_number == 1 and begun else ""
        self.at(self.now + 0.1, self.poll, change)

    def inject(self, one: Fault) -> None:
        node, until = self.nodes[one.proxy], self.now + one.lasts
        others = [other for other in range(len(self.nodes)) if other != one.proxy]
        match one.kind:
            case "kill" | "lose":
                self.kill(node, "lost" if one.kind == "lose" else "kept")
                self.at(until, self.start, node)
            case "power":
                for other in self.nodes:
                    self.kill(other)
                    self.at(until, self.start, other)
            case "stall":
                self.stall(node, until)
            case "mute":
                self.cut_links([(one.proxy, other) for other in others], until, "link")
            case "deaf":
                self.cut_links([(other, one.proxy) for other in others], until, "link")
            case "cut":
                side = {one.proxy, (one.proxy + 1) % len(self.nodes)}
                ways = [(a, b) for a in range(7) for b in range(7) if (a in side) != (b in side)]
                self.cut_links(ways, until, "cut")
            case "full":
                node.disk_full = True
                self.at(until, self.free_disk, node)

    def check_settled(self) -> None:
        """Look now and then whether all hold a lease under one epoch, and every change has ended."""
        now = self.now
        held = {
            node.member.serving.epoch if node.member.serving and node.member.may_serve(node.clock(now)) else 0
            for node in self.nodes
            if node.member
        }
        ended = all(change.outcome in ("", "failed", "in force") for change in self.changes)
        self.fine = ended and len(held) == 1 and 0 not in held and not any(s.is_stalled for s in self.nodes)
        if self.fine:
            self.due.clear()
        else:
            self.at(now + 0.5, self.check_settled)

    def verdict(self) -> list[str]:
        """What is broken; none where all promises are kept."""
        self.run()
        self.findings = Findings()  # what that judge says of changes is told below, one by one
        lines = self.broken()
        if not self.fine:
            lines.append(f"(e) {self.now:.1f} s: not all hold a lease under one epoch, or a change is open")
        values: dict[int, Value] = {}
        for node in self.nodes:
            for epoch, value in (node.member.state.history if node.member else {}).items():
                if values.setdefault(epoch, value) != value:
                    lines.append(f"(d) epoch {epoch} is two policies")
        decided = {value.digest for value in values.values()}
        for change in self.changes:
            if change.outcome == "failed" and change.digest in decided:
                lines.append("(c) a change that was said to have failed is in force")
            if change.outcome == "in force" and values.get(change.epoch) is None and self.fine:
                continue  # nobody remembers that epoch any more
            if change.outcome == "in force" and values[change.epoch].digest != change.digest:
                lines.append("(d) a change that was said to be in force is lost")
        return lines
