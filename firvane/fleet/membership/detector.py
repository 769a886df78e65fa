"""Failure detection: heartbeats along a ring, direct and indirect probes, suspicions. Does no I/O.

Members form a ring, and each sends its heartbeats to its successor. A process therefore monitors its
predecessor, and while that is unresponsive also members further back in the ring, so that a long run of dead
members is detected in a few steps.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.membership.codec import Kind, Message, encode_record
from firvane.fleet.membership.members import Record, Status
from firvane.fleet.membership.outbox import Outbox
from firvane.fleet.membership.probes import Probe, Probes, Stage
from firvane.fleet.membership.table import Entry
from firvane.fleet.membership.view import TIME_TOLERANCE_S, MemberView

HEARTBEAT_INTERVAL_S = 0.5
"""Seconds between two heartbeats to the successor in the ring."""
HEARTBEAT_TIMEOUT_S = 0.9
"""Seconds without a message after which a predecessor is probed."""
INDIRECT_PROBE_COUNT = 3
"""Number of members that are requested to probe an unresponsive member (indirect probes)."""


def random_alive_members(
    view: MemberView, rng: random.Random, count: int, exclude: Sequence[Address]
) -> list[Address]:
    """Return up to `count` random live members that are not suspected."""
    live = view.table.live()
    candidates = rng.sample(live, min(len(live), count + len(exclude) + 2))
    alive = [entry.member.address for entry in candidates if entry.status is Status.ALIVE]
    return [address for address in alive if address not in exclude][:count]


class FailureDetector:
    """The failure detector of one process."""

    def __init__(self, view: MemberView, outbox: Outbox, rng: random.Random) -> None:
        self._view = view
        self._outbox = outbox
        self._rng = rng
        self._probes = Probes()

    def deadline(self) -> float:
        """Return when `tick` is due next."""
        return min(self._probes.deadline(), self._view.deadline(), self._predecessor_deadline())

    def tick(self, now: float) -> None:
        """Advance overdue probes, end expired suspicions, and probe overdue predecessors."""
        for probe in self._probes.overdue(now):
            self._advance(probe, now)
        for address in self._view.confirm_deaths(now):
            self.probe_once(address, now)
        self._check_predecessors(now)

    def record_received(self, sender: Address, now: float) -> None:
        """Record that a message of the sender has arrived, which ends its probe."""
        entry = self._view.table.get(sender)
        if entry is not None and entry.is_live:
            entry.last_received_at = now
            self._probes.cancel(sender)

    def reset_after_freeze(self) -> None:
        """Cancel all probes: this process was suspended and may have missed the answers."""
        self._probes.clear()

    def probe_once(self, address: Address, now: float) -> None:
        """Probe an address once; a missing answer has no consequence."""
        self._send_probe(address, self._nonce(), now)

    def probe_reported_dead(self, report: Record, now: float) -> None:
        """Probe a live member that was reported dead; the probe carries the report, to be refuted."""
        address = report.member.address
        if self._probes.get(address) is not None:
            return
        probe = self._probes.start(address, self._nonce(), now)
        probe.is_reported_dead = True
        self._outbox.add(
            address, Message(Kind.PROBE, nonce=probe.nonce, target=address), [encode_record(report)]
        )

    def on_probe(self, message: Message, sender: Address) -> None:
        """Answer a probe."""
        own = self._view.own.address
        self._outbox.add(sender, Message(Kind.ACK, nonce=message.nonce, target=own))

    def on_probe_request(self, message: Message, sender: Address, now: float) -> None:
        """Probe the target for the sender."""
        nonce = self._nonce()
        if self._probes.add_relay(nonce, sender, message.nonce, now):
            self._send_probe(message.target, nonce, now)

    def on_ack(self, message: Message, now: float) -> None:
        """Handle an answer to a probe of this process, or to one sent on behalf of another member."""
        relay = self._probes.pop_relay(message.nonce, now)
        if relay is not None:
            answer = Message(Kind.ACK, nonce=relay.nonce, target=message.target)
            self._outbox.add(relay.requester, answer, self._view.records([message.target], now))
            return
        probe = self._probes.get(message.target)
        if probe is not None and probe.nonce == message.nonce:
            self.record_received(message.target, now)
            self._probes.cancel(message.target)

    def _predecessor_deadline(self) -> float:
        """Return when the predecessor is overdue; infinite while a probe of it is in flight."""
        for entry in self._view.table.predecessors():
            if entry.status is Status.ALIVE and self._probes.get(entry.member.address) is None:
                return entry.last_received_at + HEARTBEAT_TIMEOUT_S
            break
        return float("inf")

    def _check_predecessors(self, now: float) -> None:
        """Probe the predecessor if it is overdue, and two further members for each unresponsive one."""
        unresponsive = 0
        for checked, entry in enumerate(self._view.table.predecessors(), start=1):
            probe = self._probes.get(entry.member.address)
            if entry.status is Status.SUSPECT or (probe is not None and probe.stage is Stage.INDIRECT):
                unresponsive += 1
            elif probe is None and self._is_overdue(entry, now, unresponsive):
                self._start_probe(entry, now)
            if checked > 2 * unresponsive:
                return

    @staticmethod
    def _is_overdue(entry: Entry, now: float, unresponsive: int) -> bool:
        """Return whether a member must be probed.

        Members behind an unresponsive one send their heartbeats to it, not to this process: their time-out is
        shorter.
        """
        timeout = HEARTBEAT_INTERVAL_S if unresponsive else HEARTBEAT_TIMEOUT_S
        return now - entry.last_received_at >= timeout - TIME_TOLERANCE_S

    def _start_probe(self, entry: Entry, now: float) -> None:
        probe = self._probes.start(entry.member.address, self._nonce(), now)
        self._send_probe(probe.target, probe.nonce, now)

    def _advance(self, probe: Probe, now: float) -> None:
        entry = self._view.table.get(probe.target)
        if entry is None or not entry.is_live:
            self._probes.cancel(probe.target)
        elif probe.stage is Stage.DIRECT:
            self._probe_indirectly(probe, now)
        else:
            self._probes.cancel(probe.target)
            if probe.is_reported_dead:
                self._view.mark_dead(probe.target, now)
            else:
                self._view.suspect(probe.target, now)
                self.probe_once(probe.target, now)  # carries the suspicion to be refuted

    def _probe_indirectly(self, probe: Probe, now: float) -> None:
        probe.advance(now)
        self._send_probe(probe.target, probe.nonce, now)
        request = Message(Kind.PROBE_REQUEST, nonce=probe.nonce, target=probe.target)
        for proxy in random_alive_members(
            self._view, self._rng, INDIRECT_PROBE_COUNT, exclude=(probe.target,)
        ):
            self._outbox.add(proxy, request, self._view.records([probe.target], now))

    def _send_probe(self, target: Address, nonce: int, now: float) -> None:
        message = Message(Kind.PROBE, nonce=nonce, target=target)
        self._outbox.add(target, message, self._view.records([target], now))

    def _nonce(self) -> int:
        return self._rng.getrandbits(32)
