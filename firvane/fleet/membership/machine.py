"""Membership as a state machine: joining, heartbeats, updates, anti-entropy. Does no I/O.

1. Live members form a ring. Each sends a heartbeat to its successor every `HEARTBEAT_INTERVAL_S`; a member
   that receives none from its predecessor probes it, directly and then indirectly, and suspects it if there
   is no answer (`detector`).
2. A suspicion carries its age, so that every member confirms the death at nearly the same time,
   `SUSPICION_TIMEOUT_S` after its start, unless the suspected member refutes it with a higher counter
   (`view`).
3. New records are forwarded once to `FANOUT` members (gossip), in batches. Records that a member misses are
   repaired by anti-entropy: heartbeats and digests carry a summary of the table, and members whose summaries
   differ compare checksums of buckets.
4. A report of a death never overrides a live record of the same stamp: the member is probed instead.
5. Two members that believe each other dead in their current incarnations were partitioned: they remove the
   tombstones of dead members, and accept the records that the other one sends.
6. A process that was suspended (no input for `FREEZE_THRESHOLD_S`) suspects no member because of messages
   that it missed meanwhile.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from firvane.core.address import Address
from firvane.fleet.membership.codec import Kind, Message, MessageError, decode_message, encode_message
from firvane.fleet.membership.detector import HEARTBEAT_INTERVAL_S, FailureDetector, random_alive_members
from firvane.fleet.membership.members import Member, MemberState, Status
from firvane.fleet.membership.outbox import Outbox, Send, split_into_batches
from firvane.fleet.membership.table import BUCKET_COUNT
from firvane.fleet.membership.view import MemberView

FREEZE_THRESHOLD_S = 1.5
"""Seconds without input after which the process was suspended: a timer fires each `HEARTBEAT_INTERVAL_S`."""
UPDATE_DELAY_S = 0.04
"""Seconds for which new records are collected into a batch before they are forwarded."""
FANOUT = 3
"""Number of members to which new records are forwarded."""
COMPARE_INTERVAL_S = 0.3
"""Minimum seconds between two comparisons of tables that this process starts."""
INITIAL_JOIN_BACKOFF_S = 0.1
MAX_JOIN_BACKOFF_S = 1.0
"""Bounds of the exponential backoff between announcements to the seeds."""
MIN_JITTER = 0.8
MAX_JITTER = 1.2
MAX_RECORD_MESSAGES = 64
"""Maximum number of messages with records in answer to one comparison."""
LEAVE_FANOUT = 8
"""Number of members that a leaving member notifies directly."""


class Membership:
    """The membership of one process. Methods that take `now` (monotonic seconds) return messages to send."""

    def __init__(self, identity: Member, seeds: Sequence[Address], rng: random.Random, now: float) -> None:
        self._view = MemberView(identity, rng)
        self._table = self._view.table
        self._outbox = Outbox(self._view)
        self._detector = FailureDetector(self._view, self._outbox, rng)
        self._rng = rng
        self._seeds: list[Address] = []
        self.set_seeds(seeds)
        self._is_leaving = False
        self._update_due = float("inf")
        self._heartbeat_due = now
        self._join_due = now
        self._join_backoff = INITIAL_JOIN_BACKOFF_S
        self._compare_due = now
        self._last_input_at = now
        self._started_at = now

    @property
    def identity(self) -> Member:
        """This process's identity; its incarnation rises if the cluster knows a higher one of its address."""
        return self._view.own

    @property
    def version(self) -> int:
        """A number that rises when the set of live members, or the identity of a live member, changes."""
        return self._table.version

    def members(self) -> list[Member]:
        """Return the members believed live, this process included."""
        return [self._view.own, *(entry.member for entry in self._table.live())]

    def member(self, address: Address) -> Member | None:
        """Return the live member at an address, or None; also None for the address of this process."""
        entry = self._table.get(address)
        return entry.member if entry is not None and entry.is_live else None

    def states(self, now: float) -> list[MemberState]:
        """Return all known members, this process first; dead and left members for `TOMBSTONE_LIFETIME_S`."""
        own = MemberState(self._view.own, Status.ALIVE, now - self._started_at)
        entries = self._table.all()
        return [own, *(MemberState(each.member, each.status, now - each.since) for each in entries)]

    def successor(self) -> Address | None:
        """Return the next member of the ring that is not suspected, or None."""
        entry = self._table.successor()
        return entry.member.address if entry else None

    def summary(self) -> int:
        """Return a checksum over all live members; other messages may carry it for `compare_summary`."""
        return self._table.summary()

    def set_seeds(self, seeds: Sequence[Address]) -> None:
        """Replace the seeds, the addresses to which this process announces itself."""
        self._seeds = [seed for seed in seeds if seed != self._view.own.address]

    def deadline(self) -> float:
        """Return when `tick` is due next."""
        due = min(
            self._heartbeat_due,
            self._update_due,
            self._detector.deadline(),
            self._view.failed_members.deadline(),
        )
        return min(due, self._join_due) if self._needs_join() else due

    def tick(self, now: float) -> list[Send]:
        """Send heartbeats, announcements, probes and updates that are due."""
        if self._is_leaving:
            return []
        self._detect_freeze(now)
        self._detector.tick(now)
        if now >= self._heartbeat_due:
            self._send_heartbeat(now)
        if now >= self._join_due and self._needs_join():
            self._send_announcements(now)
        failed = self._view.failed_members.next_probe_target(now)
        if failed is not None:
            self._detector.probe_once(failed, now)
        if now >= self._update_due:
            self._send_updates(now)
        return self._take_messages(now)

    def receive(self, sender: Address, payload: bytes, now: float) -> list[Send]:
        """Handle a message.

        Raises:
            MessageError: The payload is not a message, or its first record is not the sender's.
        """
        message = decode_message(payload)
        if message.records[0].member.address != sender:
            raise MessageError("first record is not the sender's")
        if sender == self._view.own.address or self._is_leaving:
            return []
        self._detect_freeze(now)
        is_first = not self._table.live()
        if not self._view.is_up_to_date(message.records[0]):
            self._outbox.add(sender, Message(Kind.CORRECTION), self._view.records([sender], now))
        if self._view.was_partitioned(message.records[0], message.records):
            self._view.remove_dead_members()
        for record in message.records:
            if self._view.merge(record, now, is_update=message.kind is not Kind.RECORDS):
                self._detector.probe_reported_dead(record, now)
        self._detector.record_received(sender, now)
        if is_first and sender not in self._seeds:
            self._send_compare(sender, is_join=True)
        self._handle(message, sender, now)
        return self._take_messages(now)

    def compare_summary(self, sender: Address, summary: int, now: float) -> list[Send]:
        """Compare the sender's summary with this process's, and start anti-entropy if they differ."""
        if self._is_leaving:
            return []
        self.record_received(sender, now)
        self._compare_summaries(sender, summary, now)
        return self._take_messages(now)

    def record_received(self, sender: Address, now: float) -> None:
        """Record that a message of the sender has arrived, so that the sender is alive."""
        self._detect_freeze(now)
        self._detector.record_received(sender, now)

    def leave(self, now: float) -> list[Send]:
        """Return messages that notify some members that this process leaves; it sends nothing afterwards."""
        self._is_leaving = True
        payload = encode_message(
            Message(Kind.UPDATE, summary=self._table.summary()), [self._view.own_record(Status.LEFT)]
        )
        return [Send(to, payload) for to in self._update_targets(LEAVE_FANOUT)]

    def _detect_freeze(self, now: float) -> None:
        if now - self._last_input_at > FREEZE_THRESHOLD_S:
            self._detector.reset_after_freeze()
            self._view.reset_after_freeze(now)
            self._heartbeat_due = now
            self._join_backoff = INITIAL_JOIN_BACKOFF_S
        self._last_input_at = now

    def _take_messages(self, now: float) -> list[Send]:
        """Schedule the forwarding of new records, and return the collected messages."""
        if self._view.pending_updates and self._update_due == float("inf"):
            self._update_due = now + UPDATE_DELAY_S
        return self._outbox.take()

    def _handle(self, message: Message, sender: Address, now: float) -> None:
        match message.kind:
            case Kind.HEARTBEAT:
                self._compare_summaries(sender, message.summary, now)
            case Kind.PROBE:
                self._detector.on_probe(message, sender)
            case Kind.PROBE_REQUEST:
                self._detector.on_probe_request(message, sender, now)
            case Kind.ACK:
                self._detector.on_ack(message, now)
            case Kind.COMPARE:
                self._send_differing_records(sender, message.buckets, now, with_checksums=True)
            case Kind.RECORDS if message.buckets:
                self._send_differing_records(sender, message.buckets, now, with_checksums=False)

    def _send_heartbeat(self, now: float) -> None:
        self._heartbeat_due += HEARTBEAT_INTERVAL_S
        if self._heartbeat_due <= now:
            self._heartbeat_due = now + HEARTBEAT_INTERVAL_S
        successor = self.successor()
        if successor is not None:
            self._outbox.add(successor, Message(Kind.HEARTBEAT), is_heartbeat=True)
        self._view.remove_expired_tombstones(now)

    def _needs_join(self) -> bool:
        return bool(self._seeds) and not self._table.live_controllers

    def _send_announcements(self, now: float) -> None:
        for seed in self._seeds:
            self._send_compare(seed, is_join=True)
        self._join_due = now + self._join_backoff * self._rng.uniform(MIN_JITTER, MAX_JITTER)
        self._join_backoff = min(self._join_backoff * 2, MAX_JOIN_BACKOFF_S)

    def _send_updates(self, now: float) -> None:
        """Send the new records to the successor and to random members."""
        records = self._view.records(list(self._view.pending_updates), now)
        self._view.pending_updates.clear()
        self._update_due = float("inf")
        targets = self._update_targets(FANOUT)
        for batch in split_into_batches(records):
            for to in targets:
                self._outbox.add(to, Message(Kind.UPDATE), batch)

    def _update_targets(self, count: int) -> list[Address]:
        successor = self.successor()
        targets = [] if successor is None else [successor]
        return targets + random_alive_members(self._view, self._rng, count - len(targets), exclude=targets)

    def _compare_summaries(self, sender: Address, summary: int, now: float) -> None:
        if summary == self._table.summary() or self._view.pending_updates or now < self._compare_due:
            return
        self._compare_due = now + COMPARE_INTERVAL_S
        self._send_compare(sender)

    def _send_compare(self, to: Address, is_join: bool = False) -> None:
        self._outbox.add(to, Message(Kind.COMPARE, buckets=self._table.checksums()), is_join=is_join)

    def _send_differing_records(
        self, to: Address, checksums: Sequence[int], now: float, with_checksums: bool
    ) -> None:
        """Send the records of the buckets that differ, tombstones included."""
        own = self._table.checksums()
        if len(checksums) != BUCKET_COUNT:
            return
        differing = {number for number in range(BUCKET_COUNT) if checksums[number] != own[number]}
        if not differing:
            return
        records = [entry.encoded(now) for entry in self._table.entries_in_buckets(differing)]
        messages = list(split_into_batches(records))[:MAX_RECORD_MESSAGES] or [[]]
        for batch in messages[:-1]:
            self._outbox.add(to, Message(Kind.RECORDS), batch)
        last = Message(Kind.RECORDS, buckets=own if with_checksums else ())
        self._outbox.add(to, last, messages[-1])
