"""Simulation of consensus members on a virtual network, with faults and proposals given by the test."""

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

# Time bounds scaled to a lease of 1 s instead of 3 s, so that the same events take a third of the time.
SHORT = Timing(lease_s=1.0, round_trip_s=0.1, readiness_timeout_s=4.0)
FAULTS_S = 5.0  # time within which drawn faults and proposals start
ENDS_S = 25.0  # time after the last fault within which all proxies must have recovered


class Fault(NamedTuple):
    """A fault of a proxy, its start and its duration."""

    kind: str
    proxy: int
    at: float  # s
    duration: float  # s


class FaultSimulation(ConsensusSimulation):
    """Five voters and two non-voters.

    `proposals` are the time, the proxy, and the delay until the abort (0: no abort) of each proposal.
    """

    def __init__(
        self,
        seed: int,
        injected_faults: Sequence[Fault] = (),
        proposals: Sequence[tuple[float, int, float]] = (),
        make: Make = Member,
        proxies: int = 7,
        times: Timing = SHORT,
    ) -> None:
        last_fault_end = max([FAULTS_S, *(fault.at + fault.duration for fault in injected_faults)])
        seconds = last_fault_end + ENDS_S
        config = HistoryConfig(
            proxies=proxies, seed=seed, seconds=seconds, faults="none", changes=0, times=times
        )
        super().__init__(config, make)
        self.injected_faults, self.proposals, self.last_fault_end = injected_faults, proposals, last_fault_end
        self.settled = False

    def plan(self) -> None:
        lost: set[int] = set()
        for fault in self.injected_faults:
            if fault.kind == "lose":  # only fewer than half of the voters may lose their state
                lost.add(fault.proxy)
                kind = "lose" if len(lost) <= 2 or fault.proxy not in self.voters else "kill"
                fault = fault._replace(kind=kind)
            self.at(fault.at, self.inject, fault)
        for number, (at, proxy, abort) in enumerate(self.proposals):
            change = Change(digest_of(b"%d" % number), at, proxy)
            self.at(at, self.propose_at, change)
            if abort:
                self.at(at + abort, self.abort, change)
        self.at(self.last_fault_end, self.check_settled)

    def propose_at(self, change: Change) -> None:
        """Propose a change at its proxy only, without retries at other proxies."""
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
            outcome, reason = node.member.outcome(change.digest)
            if outcome is ProposalOutcome.FAILED:
                change.outcome = outcome.value
                return
            if outcome is ProposalOutcome.IN_FORCE:
                change.outcome, change.epoch, change.ended = outcome.value, int(reason.split()[1]), self.now
                return
            begun = not reason.startswith("not proposed")  # otherwise the proposal was not started
            change.outcome = outcome.value if node.run_number == 1 and begun else ""
        self.at(self.now + 0.1, self.poll, change)

    def inject(self, fault: Fault) -> None:
        node, until = self.nodes[fault.proxy], self.now + fault.duration
        others = [other for other in range(len(self.nodes)) if other != fault.proxy]
        match fault.kind:
            case "kill" | "lose":
                self.kill(node, "lost" if fault.kind == "lose" else "kept")
                self.at(until, self.start, node)
            case "power":
                for other in self.nodes:
                    self.kill(other)
                    self.at(until, self.start, other)
            case "stall":
                self.stall(node, until)
            case "mute":
                self.cut_links([(fault.proxy, other) for other in others], until, "link")
            case "deaf":
                self.cut_links([(other, fault.proxy) for other in others], until, "link")
            case "cut":
                side = {fault.proxy, (fault.proxy + 1) % len(self.nodes)}
                links = [(a, b) for a in range(7) for b in range(7) if (a in side) != (b in side)]
                self.cut_links(links, until, "cut")
            case "full":
                node.disk_full = True
                self.at(until, self.free_disk, node)

    def check_settled(self) -> None:
        """Stop once all proxies hold a lease under one epoch and no change is open; repeat every 0.5 s."""
        now = self.now
        served_epochs = {
            node.member.serving.epoch if node.member.serving and node.member.may_serve(node.clock(now)) else 0
            for node in self.nodes
            if node.member
        }
        ended = all(change.outcome in ("", "failed", "in force") for change in self.changes)
        self.settled = (
            ended
            and len(served_epochs) == 1
            and 0 not in served_epochs
            and not any(s.is_stalled for s in self.nodes)
        )
        if self.settled:
            self.due.clear()
        else:
            self.at(now + 0.5, self.check_settled)

    def verdict(self) -> list[str]:
        """Run the simulation and return the violated guarantees."""
        self.run()
        self.findings = Findings()  # changes are checked individually below
        lines = self.broken()
        if not self.settled:
            lines.append(f"(e) {self.now:.1f} s: not all hold a lease under one epoch, or a change is open")
        values: dict[int, Value] = {}
        for node in self.nodes:
            for epoch, value in (node.member.state.history if node.member else {}).items():
                if values.setdefault(epoch, value) != value:
                    lines.append(f"(d) epoch {epoch} has two policies")
        decided = {value.digest for value in values.values()}
        for change in self.changes:
            if change.outcome == "failed" and change.digest in decided:
                lines.append("(c) a change reported as failed is in force")
            if change.outcome == "in force" and values.get(change.epoch) is None and self.settled:
                continue  # the epoch is no longer in any history
            if change.outcome == "in force" and values[change.epoch].digest != change.digest:
                lines.append("(d) a change reported as in force is lost")
        return lines
