"""Drives all replication groups of a controller over one cluster agent, one disk and one timer.

Invariants:

1. All messages of one turn of the loop to a controller, the heartbeats of all groups included, go in one
   payload; only large messages are sent alone.
2. A timer that fires late lets the pending datagrams be read first: a process that was stalled has not read
   its leader's heartbeats, which is no reason to start an election.
3. Only threads access the disk; the loop never waits for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import os
import random
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path

from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.controller.journal_opener import JournalOpener, OpenedJournal
from firvane.fleet.replication.codec import decode_payload, encode_payload, encoded_size
from firvane.fleet.replication.core import Write
from firvane.fleet.replication.entry_codec import encode_snapshot
from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.group import Actions, ReplicatedGroup, Submission
from firvane.fleet.replication.messages import Envelope
from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus, StateMachine
from firvane.fleet.replication.records import encode_origin, encode_write
from firvane.fleet.replication.replica import Replica, ReplicaOptions
from firvane.fleet.replication.spread import DomainOf, one_domain_per_address
from firvane.fleet.replication.status import GroupStatus, group_status
from firvane.fleet.replication.transfer import TransferStart
from firvane.fleet.replication.types import Member, Timing
from firvane.fleet.storage.writer import JournalWriter

__all__ = [
    "GroupStatus",
    "ProposalResult",
    "ProposalStatus",
    "ReplicationHost",
    "StateMachine",
    "Transfer",
    "TransferStart",
]

MAX_PAYLOAD_BYTES = 1_150  # of several envelopes; a larger envelope is sent alone
MAX_CONTACT_AGE_S = 1.0  # without contact to a majority, after which no state of a group is handed out
START_TIMEOUT_S = 1.0  # of `start`; journals that open later join then
STALL_THRESHOLD_S = 0.050  # a timer that is later than this shows that the process was stalled
STALL_READ_DELAY_S = 0.002  # for reading pending datagrams after a stall
REPLACEMENT_TIMEOUT_S = 1.5  # of a drain, for a spare controller to become a voter
RECOVERY_SYNC_SEQUENCE = 1  # the first write of a replica syncs the recovered state


class Transfer(Struct, frozen=True):
    """The end of a transfer: the new owner, None if there was none in time."""

    start: TransferStart
    owner: Address | None


class ReplicationHost:
    """The groups of one controller; the methods that are not coroutines return at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own: Address,
        directory: Path,
        groups: Mapping[int, StateMachine],
        *,
        first_start: bool,
        seeds: Sequence[Address],
        target_size: int,
        send: Callable[[Address, bytes], None],
        candidates: Callable[[], Sequence[Address]],
        domain_of: DomainOf = one_domain_per_address,
        on_owner: Callable[[int, bool, int], None],
        log: Log,
    ) -> None:
        self._loop = loop
        self._own = own
        self._machines = dict(groups)
        self._options = ReplicaOptions(tuple(seeds), target_size, Timing(), domain_of)
        self._send = send
        self._candidates = candidates
        self._on_owner = on_owner
        self._log = log
        self._random = random.Random(os.urandom(16))
        self._groups: dict[int, ReplicatedGroup] = {}
        self._may_bootstrap = first_start and own in seeds
        self._opener = JournalOpener(directory, self._may_bootstrap, self._on_opened_in_thread, log)
        self._writer = JournalWriter(self._on_synced_in_thread, self._on_error_in_thread)
        self._all_open = asyncio.Event()
        self._opening: set[int] = set()
        self._outbox: dict[Address, list[Envelope]] = {}
        self._futures: dict[tuple[int, int], asyncio.Future[ProposalResult]] = {}
        self._turn_pending = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._reading_after_stall = False
        self._failing_disks: set[int] = set()
        self._turn_ended = asyncio.Event()
        self._closed = False

    # Calls of the controller

    async def start(self) -> None:
        """Open the journals; returns when all are open, or after a timeout."""
        if not self._opening and not self._groups:
            self._writer.start()
            self._opening = set(self._machines)
            for group in self._machines:
                self._opener.start(group)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_open.wait(), START_TIMEOUT_S)

    def receive(self, sender: Address, payload: bytes) -> None:
        """Process a payload from another controller; a malformed one is dropped."""
        try:
            envelopes = decode_payload(payload)
        except DecodeError as error:
            self._log.warning("replication_payload_dropped", sender=sender, reason=str(error))
            return
        now = time.monotonic()
        for envelope in envelopes:
            group = self._groups.get(envelope.group)
            if group is not None:
                member = Member(sender, envelope.from_incarnation)
                actions = group.receive(member, envelope.to_incarnation, envelope.message, now)
                self._perform(envelope.group, actions)

    async def propose(self, group: int, payload: bytes, timeout_s: float) -> ProposalResult:
        """Have a command committed; the answer comes within `timeout_s` seconds."""
        return await self._submit(group, lambda known, now: known.propose(payload, timeout_s, now))

    async def read(self, group: int, timeout_s: float) -> ProposalResult:
        """COMMITTED once the applied state holds all that was committed before the call."""
        return await self._submit(group, lambda known, now: known.read(timeout_s, now))

    def is_owner(self, group: int) -> bool:
        """Whether this process holds the lease of the group now."""
        known = self._groups.get(group)
        return known is not None and known.is_owner(time.monotonic())

    def has_quorum_contact(self, group: int) -> bool:
        """Whether a majority of the group was reached recently, directly or through its owner."""
        known = self._groups.get(group)
        return known is not None and known.has_quorum_contact(time.monotonic(), MAX_CONTACT_AGE_S)

    def is_current(self, group: int) -> bool:
        """Whether the applied state recently held every committed entry."""
        known = self._groups.get(group)
        return known is not None and known.is_current(time.monotonic(), MAX_CONTACT_AGE_S)

    def state_age(self, group: int) -> float | None:
        """Seconds since the applied state was known to hold every committed entry; None if not known."""
        known = self._groups.get(group)
        return known.state_age(time.monotonic()) if known is not None else None

    def owner(self, group: int) -> Address | None:
        """The owner, as far as it is known here."""
        known = self._groups.get(group)
        return known.owner if known is not None else None

    def term(self, group: int) -> int:
        """The term, as far as it is known here; 0 before the first."""
        known = self._groups.get(group)
        return known.replica.term if known is not None else 0

    def unapplied(self, group: int) -> Sequence[bytes]:
        """The commands in the log that are not applied yet; some may never be committed."""
        known = self._groups.get(group)
        return known.unapplied() if known is not None else ()

    def status(self, group: int) -> GroupStatus | None:
        """The status of a group; None until its journal is open."""
        known = self._groups.get(group)
        return group_status(known, time.monotonic()) if known is not None else None

    async def transfer(self, group: int, successor: Address | None, timeout_s: float) -> Transfer:
        """Transfer a group to the voter with this internal address, or to any; waits for its election."""
        known = self._groups.get(group)
        if known is None or self._closed:
            return Transfer(TransferStart.NOT_LEADER, None)
        until = time.monotonic() + timeout_s
        start, actions = known.transfer(successor, time.monotonic())
        self._perform(group, actions)
        while start is TransferStart.STARTED and (remaining_s := until - time.monotonic()) > 0:
            if known.owner not in (None, self._own):
                return Transfer(start, known.owner)
            self._turn_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._turn_ended.wait(), remaining_s)
        return Transfer(start, None)

    async def drain(self, timeout_s: float) -> None:
        """Transfer all owned groups, and wait for spare controllers to replace this one as a voter."""
        started = time.monotonic()
        for number, group in self._groups.items():
            self._perform(number, group.start_draining(started))
        until = started + timeout_s
        while (now := time.monotonic()) < until and self._is_needed(now - started):
            self._turn_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._turn_ended.wait(), until - now)

    def close(self) -> None:
        """Stop at once; pending proposals and reads end as UNCLEAR."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._opener.close()
        self._writer.close()
        for future in self._futures.values():
            if not future.done():
                future.set_result(ProposalResult(ProposalStatus.UNCLEAR))
        self._futures.clear()

    # Turns of the loop

    async def _submit(
        self, group: int, submit: Callable[[ReplicatedGroup, float], Submission]
    ) -> ProposalResult:
        known = self._groups.get(group)
        if known is None or self._closed:
            return ProposalResult(ProposalStatus.UNAVAILABLE)
        token, actions = submit(known, time.monotonic())
        future: asyncio.Future[ProposalResult] = self._loop.create_future()
        self._futures[group, token] = future
        self._perform(group, actions)
        try:
            return await future
        finally:
            self._futures.pop((group, token), None)

    def _perform(self, number: int, actions: Actions) -> None:
        for write in actions.writes:
            self._write(number, write)
        incarnation = self._groups[number].replica.identity.incarnation
        for outgoing in actions.messages:
            envelope = Envelope(number, outgoing.to.incarnation, incarnation, outgoing.message)
            self._outbox.setdefault(outgoing.to.address, []).append(envelope)
        for resolved in actions.resolved:
            future = self._futures.get((number, resolved.token))
            if future is not None and not future.done():
                future.set_result(resolved.result)
        for event in actions.events:
            self._log.info(event.name, group=number, **_format_fields(event.fields))
        for owned, term in actions.owner_changes:
            self._report_ownership(number, owned, term)
        if not self._turn_pending and not self._closed:
            self._turn_pending = True
            self._loop.call_soon(self._end_turn)

    def _report_ownership(self, number: int, owned: bool, term: int) -> None:
        try:
            self._on_owner(number, owned, term)
        except Exception:
            self._log.exception("ownership_callback_failed", group=number)

    def _end_turn(self) -> None:
        """Send the messages of this turn, and set the timer."""
        self._turn_pending = False
        if self._closed:
            return
        outbox, self._outbox = self._outbox, {}
        for address, envelopes in outbox.items():
            for batch in _batches(envelopes):
                self._send(address, encode_payload(batch))
        self._turn_ended.set()
        self._set_timer()

    def _set_timer(self) -> None:
        due = min((group.deadline() for group in self._groups.values()), default=float("inf"))
        if self._timer is not None:
            if self._timer_due <= due:  # it is set again when it fires
                return
            self._timer.cancel()
            self._timer = None
        if due < float("inf"):
            self._timer_due = due
            delay = max(0.0, due - time.monotonic())
            self._timer = self._loop.call_later(delay, self._on_timer)

    def _on_timer(self) -> None:
        now = time.monotonic()
        self._timer = None
        if now - self._timer_due > STALL_THRESHOLD_S and not self._reading_after_stall:
            self._reading_after_stall = True
            self._timer = self._loop.call_later(STALL_READ_DELAY_S, self._on_timer)
            return
        self._reading_after_stall = False
        self._timer_due = float("inf")
        candidates: Sequence[Address] | None = None
        for number, group in self._groups.items():
            if group.deadline() <= now:
                if candidates is None:
                    candidates = self._candidates()
                self._perform(number, group.tick(candidates, now))
        self._set_timer()

    def _is_needed(self, elapsed_s: float) -> bool:
        """Whether a drain must go on: a group is still led here, or a spare can replace this voter."""
        spares = set(self._candidates()) if elapsed_s < REPLACEMENT_TIMEOUT_S else set()
        for group in self._groups.values():
            replica = group.replica
            members = {member.address for member in replica.core.log.members}
            if replica.leadership is not None and len(members) > 1:
                return True
            if replica.is_voter and spares - members:
                return True
        return False

    # The disk

    def _write(self, number: int, write: Write) -> None:
        records = encode_write(write)
        if write.snapshot is not None:
            records.insert(0, encode_origin(self._groups[number].replica.core.may_bootstrap))
            self._writer.compact(number, write.sequence, encode_snapshot(write.snapshot), records)
        elif write.sequence == RECOVERY_SYNC_SEQUENCE:
            self._writer.sync_recovered(number, write.sequence)
        else:
            self._writer.append(number, write.sequence, records)

    def _on_opened_in_thread(self, number: int, opened: OpenedJournal) -> None:
        self._to_loop(functools.partial(self._on_opened, number, opened))

    def _on_opened(self, number: int, opened: OpenedJournal) -> None:
        if self._closed:
            return
        now = time.monotonic()
        identity = Member(self._own, opened.journal.identity)
        replica = Replica(identity, opened.recovered, self._options, self._random.uniform, now)
        try:
            group = ReplicatedGroup(replica, self._machines[number], self._random.getrandbits(64))
        except ValueError as error:
            self._log.error("replicated_state_unsupported", group=number, reason=str(error))
            return
        self._groups[number] = group
        self._writer.add(number, opened.journal)
        self._perform(number, group.tick(self._candidates(), now))
        self._opening.discard(number)
        if not self._opening:
            self._all_open.set()

    def _on_synced_in_thread(self, number: int, sequence: int) -> None:
        self._to_loop(functools.partial(self._on_synced, number, sequence))

    def _on_synced(self, number: int, sequence: int) -> None:
        if self._closed:
            return
        if number in self._failing_disks:
            self._failing_disks.discard(number)
            self._log.info("disk_writes_recovered", group=number)
        self._perform(number, self._groups[number].confirm(sequence, time.monotonic()))

    def _on_error_in_thread(self, number: int, error: OSError) -> None:
        self._to_loop(functools.partial(self._on_disk_error, number, error))

    def _on_disk_error(self, number: int, error: OSError) -> None:
        if self._closed:
            return
        if number not in self._failing_disks:
            self._failing_disks.add(number)
            self._log.warning("disk_writes_failing", group=number, reason=str(error))
        self._perform(number, self._groups[number].on_disk_error(time.monotonic()))

    def _to_loop(self, call: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(call)


def _format_fields(fields: Mapping[str, object]) -> dict[str, object]:
    """Format addresses in the fields of a log event as HOST:PORT."""
    return {
        name: f"{value[0]}:{value[1]}" if isinstance(value, tuple) else value
        for name, value in fields.items()
    }


def _batches(envelopes: Sequence[Envelope]) -> list[list[Envelope]]:
    """Split envelopes into one batch for each payload, in order."""
    batches: list[list[Envelope]] = []
    size = MAX_PAYLOAD_BYTES
    for envelope in envelopes:
        added = encoded_size(envelope)
        if size + added > MAX_PAYLOAD_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(envelope)
        size += added
    return batches
