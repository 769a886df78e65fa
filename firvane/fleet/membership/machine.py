"""Membership as a state machine: joining, heartbeats, rumours, comparison of tables. Pure.

1. Live members form a ring. Each sends a heartbeat to its successor every `HEARTBEAT_PERIOD`; who
   misses those of its predecessor probes it, directly and through helpers, and suspects it if nothing
   answers (`detector`).
2. A suspicion carries its age, so that every member confirms the death at nearly the same time,
   `SUSPICION_TIME` after its start, unless the suspected member refutes it with a higher counter
   (`view`).
3. New records are passed on once to `FANOUT` members, in batches. What is missed that way is repaired:
   heartbeats and digests carry a summary of the table, and members whose summaries differ compare
   checksums of buckets.
4. A report of a death never overrides a live record of the same stamp: the member is probed instead.
5. Two members that believed each other dead in their present lives were cut off: they forget the deaths
   of that time, and take what the other one reports.
6. A process that was frozen (no input for `FREEZE_TIME`) blames nobody for its own silence.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.membership.codec import Kind, Message, MessageError, decode_message, encode_message
from firvane.fleet.membership.detector import HEARTBEAT_PERIOD, FailureDetector, some_members
from firvane.fleet.membership.members import Member, MemberState, Status
from firvane.fleet.membership.outbox import Outbox, Send, batches
from firvane.fleet.membership.table import BUCKETS
from firvane.fleet.membership.view import MemberView

FREEZE_TIME = 1.5
"""Seconds without any input after which this process was frozen: it has a timer each `HEARTBEAT_PERIOD`."""
RUMOUR_DELAY = 0.04
"""Seconds for which new records are gathered before they are passed on."""
FANOUT = 3
"""Members to which new records are passed on."""
COMPARE_INTERVAL = 0.3
"""Seconds between two comparisons of tables started by this process."""
FIRST_JOIN_PAUSE = 0.1
MAX_JOIN_PAUSE = 1.0
"""Pauses between two announcements to the seeds, in seconds: doubled from the first to the largest."""
MAX_MESSAGES = 64
"""Messages with records sent in answer to one comparison."""
LEAVE_FANOUT = 8
"""Members to which a leaving member says so itself."""


class Membership:
    """The membership of one process. Methods that take `now` (monotonic seconds) return what to send."""

    def __init__(self, identity: Member, seeds: Sequence[Address], rng: random.Random, now: float) -> None:
        self._view = MemberView(identity, rng)
        self._table = self._view.table
        self._outbox = Outbox(self._view)
        self._detector = FailureDetector(self._view, self._outbox, rng)
        self._rng = rng
        self._seeds: list[Address] = []
        self.set_seeds(seeds)
        self._is_leaving = False
        self._rumour_due = float("inf")
        self._heartbeat_due = now
        self._join_due = now
        self._join_pause = FIRST_JOIN_PAUSE
        self._compare_due = now
        self._last_input = now
        self._started = now

    @property
    def identity(self) -> Member:
        """This process; its incarnation rises if the cluster knows a higher one of its address."""
        return self._view.own

    @property
    def version(self) -> int:
        """Rises when the set of live members, or the identity of one, changes."""
        return self._table.version

    def members(self) -> list[Member]:
        """Members believed live, this process included."""
        return [self._view.own, *(entry.member for entry in self._table.live())]

    def member(self, address: Address) -> Member | None:
        """The live member at an address, or None; this process itself is not among them."""
        entry = self._table.get(address)
        return entry.member if entry is not None and entry.is_live else None

    def states(self, now: float) -> list[MemberState]:
        """All known members, this process first; those that died or left are kept for `TOMBSTONE_TIME`."""
        own = MemberState(self._view.own, Status.ALIVE, now - self._started)
        entries = self._table.all()
        return [own, *(MemberState(each.member, each.status, now - each.since) for each in entries)]

    def successor(self) -> Address | None:
        """The next member of the ring, or None."""
        entry = self._table.successor()
        return entry.member.address if entry else None

    def summary(self) -> int:
        """A checksum over all live members; other planes may carry it for `compare_summary`."""
        return self._table.summary()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """The seeds were replaced."""
        self._seeds = [seed for seed in seeds if seed != self._view.own.address]

    def deadline(self) -> float:
        """When `tick` is due next."""
        due = min(
            self._heartbeat_due, self._rumour_due, self._detector.deadline(), self._view.lost.deadline()
        )
        return min(due, self._join_due) if self._needs_join() else due

    def tick(self, now: float) -> list[Send]:
        """Do what is due."""
        if self._is_leaving:
            return []
        self._observe(now)
        self._detector.tick(now)
        if now >= self._heartbeat_due:
            self._heartbeat(now)
        if now >= self._join_due and self._needs_join():
            self._announce(now)
        lost = self._view.lost.take(now)
        if lost is not None:
            self._detector.probe_once(lost, now)
        if now >= self._rumour_due:
            self._pass_on(now)
        return self._finish(now)

    def receive(self, sender: Address, payload: bytes, now: float) -> list[Send]:
        """Take a message. `MessageError` if it is none."""
        message = decode_message(payload)
        if message.records[0].member.address != sender:
            raise MessageError("first record is not the sender's")
        if sender == self._view.own.address or self._is_leaving:
            return []
        self._observe(now)
        is_first = not self._table.live()
        if not self._view.is_believed(message.records[0]):
            self._outbox.add(sender, Message(Kind.NOTICE), self._view.records([sender], now))
        if self._view.was_cut_off(message.records[0], message.records):
            self._view.forget_deaths()
        for record in message.records:
            if self._view.merge(record, now, is_rumour=message.kind is not Kind.RECORDS):
                self._detector.doubt(record, now)
        self._detector.heard(sender, now)
        if is_first and sender not in self._seeds:
            self._send_compare(sender, is_join=True)
        self._handle(message, sender, now)
        return self._finish(now)

    def compare_summary(self, sender: Address, summary: int, now: float) -> list[Send]:
        """Another plane carried the sender's `summary`: start a comparison if it differs."""
        if self._is_leaving:
            return []
        self.heard(sender, now)
        self._compare(sender, summary, now)
        return self._finish(now)

    def heard(self, sender: Address, now: float) -> None:
        """Any message came from the sender: it is alive."""
        self._observe(now)
        self._detector.heard(sender, now)

    def leave(self, now: float) -> list[Send]:
        """Say to some members that this process ends; nothing is sent afterwards."""
        self._is_leaving = True
        payload = encode_message(
            Message(Kind.RUMOUR, summary=self._table.summary()), [self._view.own_record(Status.LEFT)]
        )
        return [Send(to, payload) for to in self._rumour_targets(LEAVE_FANOUT)]

    def _observe(self, now: float) -> None:
        if now - self._last_input > FREEZE_TIME:
            self._detector.wake()
            self._view.wake(now)
            self._heartbeat_due = now
            self._join_pause = FIRST_JOIN_PAUSE
        self._last_input = now

    def _finish(self, now: float) -> list[Send]:
        """Schedule what is to be passed on, and return the messages."""
        if self._view.fresh and self._rumour_due == float("inf"):
            self._rumour_due = now + RUMOUR_DELAY
        return self._outbox.take()

    def _handle(self, message: Message, sender: Address, now: float) -> None:
        match message.kind:
            case Kind.HEARTBEAT:
                self._compare(sender, message.summary, now)
            case Kind.PROBE:
                self._detector.on_probe(message, sender)
            case Kind.PROBE_REQUEST:
                self._detector.on_probe_request(message, sender, now)
            case Kind.ACK:
                self._detector.on_ack(message, now)
            case Kind.COMPARE:
                self._answer_compare(sender, message.buckets, now, with_checksums=True)
            case Kind.RECORDS if message.buckets:
                self._answer_compare(sender, message.buckets, now, with_checksums=False)

    def _heartbeat(self, now: float) -> None:
        self._heartbeat_due += HEARTBEAT_PERIOD
        if self._heartbeat_due <= now:
            self._heartbeat_due = now + HEARTBEAT_PERIOD
        successor = self.successor()
        if successor is not None:
            self._outbox.add(successor, Message(Kind.HEARTBEAT), is_heartbeat=True)
        self._view.forget(now)

    def _needs_join(self) -> bool:
        return bool(self._seeds) and not self._table.live_controllers

    def _announce(self, now: float) -> None:
        for seed in self._seeds:
            self._send_compare(seed, is_join=True)
        self._join_due = now + self._join_pause * self._rng.uniform(0.8, 1.2)
        self._join_pause = min(self._join_pause * 2, MAX_JOIN_PAUSE)

    def _pass_on(self, now: float) -> None:
        """Send the new records to the successor and to random members."""
        records = self._view.records(list(self._view.fresh), now)
        self._view.fresh.clear()
        self._rumour_due = float("inf")
        targets = self._rumour_targets(FANOUT)
        for batch in batches(records):
            for to in targets:
                self._outbox.add(to, Message(Kind.RUMOUR), batch)

    def _rumour_targets(self, count: int) -> list[Address]:
        successor = self.successor()
        targets = [] if successor is None else [successor]
        return targets + some_members(self._view, self._rng, count - len(targets), exclude=targets)

    def _compare(self, sender: Address, summary: int, now: float) -> None:
        if summary == self._table.summary() or self._view.fresh or now < self._compare_due:
            return
        self._compare_due = now + COMPARE_INTERVAL
        self._send_compare(sender)

    def _send_compare(self, to: Address, is_join: bool = False) -> None:
        self._outbox.add(to, Message(Kind.COMPARE, buckets=self._table.checksums()), is_join=is_join)

    def _answer_compare(
        self, to: Address, checksums: Sequence[int], now: float, with_checksums: bool
    ) -> None:
        """Send the records of the buckets that differ, tombstones included."""
        own = self._table.checksums()
        if len(checksums) != BUCKETS:
            return
        differing = {number for number in range(BUCKETS) if checksums[number] != own[number]}
        if not differing:
            return
        records = [entry.encoded(now) for entry in self._table.in_buckets(differing)]
        answers = list(batches(records))[:MAX_MESSAGES] or [[]]
        for batch in answers[:-1]:
            self._outbox.add(to, Message(Kind.RECORDS), batch)
        last = Message(Kind.RECORDS, buckets=own if with_checksums else ())
        self._outbox.add(to, last, answers[-1])
