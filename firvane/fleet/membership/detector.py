"""The detection of failed members: who watches whom, probes, helpers, suspicions. Pure.

Members form a ring, and each sends its heartbeats to its successor. So a process watches its
predecessor, and those further back once the predecessor is in doubt: a long run of dead members is
covered in a few steps.
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
from firvane.fleet.membership.view import EPSILON, MemberView

HEARTBEAT_PERIOD = 0.5
"""Seconds between two heartbeats to the successor in the ring."""
HEARTBEAT_GRACE = 0.9
"""Seconds without a message after which a predecessor is probed."""
HELPERS = 3
"""Members asked to probe a member that does not answer."""


def some_members(
    view: MemberView, rng: random.Random, count: int, exclude: Sequence[Address]
) -> list[Address]:
    """Some random live members that are not suspected."""
    live = view.table.live()
    picked = rng.sample(live, min(len(live), count + len(exclude) + 2))
    good = [entry.member.address for entry in picked if entry.status is Status.ALIVE]
    return [address for address in good if address not in exclude][:count]


class FailureDetector:
    """Watches members on behalf of one process."""

    def __init__(self, view: MemberView, outbox: Outbox, rng: random.Random) -> None:
        self._view = view
        self._outbox = outbox
        self._rng = rng
        self._probes = Probes()

    def deadline(self) -> float:
        """When `tick` is due next."""
        return min(self._probes.deadline(), self._view.deadline(), self._watch_due())

    def tick(self, now: float) -> None:
        """Advance probes, confirm deaths, probe who is overdue."""
        for probe in self._probes.overdue(now):
            self._advance(probe, now)
        for address in self._view.confirm_deaths(now):
            self.probe_once(address, now)
        self._watch(now)

    def heard(self, sender: Address, now: float) -> None:
        """Any message came from the sender: it is alive."""
        entry = self._view.table.get(sender)
        if entry is not None and entry.is_live:
            entry.heard = now
            self._probes.cancel(sender)

    def wake(self) -> None:
        """This process was frozen: answers may have been missed."""
        self._probes.clear()

    def probe_once(self, address: Address, now: float) -> None:
        """Probe an address without a consequence if it does not answer."""
        self._send_probe(address, self._nonce(), now)

    def doubt(self, report: Record, now: float) -> None:
        """Another member believes this live one dead: probe it, and let it know, so that it refutes that."""
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
        if self._probes.relay(nonce, sender, message.nonce, now):
            self._send_probe(message.target, nonce, now)

    def on_ack(self, message: Message, now: float) -> None:
        """An answer, to an own probe or to one sent for another member."""
        relay = self._probes.relayed(message.nonce, now)
        if relay is not None:
            answer = Message(Kind.ACK, nonce=relay.nonce, target=message.target)
            self._outbox.add(relay.requester, answer, self._view.records([message.target], now))
            return
        probe = self._probes.get(message.target)
        if probe is not None and probe.nonce == message.nonce:
            self.heard(message.target, now)
            self._probes.cancel(message.target)

    def _watch_due(self) -> float:
        """When the predecessor is overdue; infinite while it is in doubt, as its probe has a deadline."""
        for entry in self._view.table.predecessors():
            if entry.status is Status.ALIVE and self._probes.get(entry.member.address) is None:
                return entry.heard + HEARTBEAT_GRACE
            break
        return float("inf")

    def _watch(self, now: float) -> None:
        """Probe the predecessor if it is overdue, and for each one in doubt two more behind it."""
        in_doubt = 0
        for looked_at, entry in enumerate(self._view.table.predecessors(), start=1):
            probe = self._probes.get(entry.member.address)
            if entry.status is Status.SUSPECT or (probe is not None and probe.stage is Stage.INDIRECT):
                in_doubt += 1
            elif probe is None and self._is_overdue(entry, now, in_doubt):
                self._start_probe(entry, now)
            if looked_at > 2 * in_doubt:
                return

    @staticmethod
    def _is_overdue(entry: Entry, now: float, in_doubt: int) -> bool:
        """Members further back send their heartbeats elsewhere: they are probed if not heard just now."""
        grace = HEARTBEAT_PERIOD if in_doubt else HEARTBEAT_GRACE
        return now - entry.heard >= grace - EPSILON

    def _start_probe(self, entry: Entry, now: float) -> None:
        probe = self._probes.start(entry.member.address, self._nonce(), now)
        self._send_probe(probe.target, probe.nonce, now)

    def _advance(self, probe: Probe, now: float) -> None:
        entry = self._view.table.get(probe.target)
        if entry is None or not entry.is_live:
            self._probes.cancel(probe.target)
        elif probe.stage is Stage.DIRECT:
            self._ask_helpers(probe, now)
        else:
            self._probes.cancel(probe.target)
            if probe.is_reported_dead:
                self._view.bury(probe.target, now)
            else:
                self._view.suspect(probe.target, now)
                self.probe_once(probe.target, now)  # it learns of the suspicion, and can refute it

    def _ask_helpers(self, probe: Probe, now: float) -> None:
        probe.advance(now)
        self._send_probe(probe.target, probe.nonce, now)
        request = Message(Kind.PROBE_REQUEST, nonce=probe.nonce, target=probe.target)
        for helper in some_members(self._view, self._rng, HELPERS, exclude=(probe.target,)):
            self._outbox.add(helper, request, self._view.records([probe.target], now))

    def _send_probe(self, target: Address, nonce: int, now: float) -> None:
        message = Message(Kind.PROBE, nonce=nonce, target=target)
        self._outbox.add(target, message, self._view.records([target], now))

    def _nonce(self) -> int:
        return self._rng.getrandbits(32)
