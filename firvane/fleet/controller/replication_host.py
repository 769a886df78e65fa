"""Runs all replication groups of a controller over one cluster agent, one disk and one timer.

Invariants:

1. All messages to a controller within one iteration of the event loop, heartbeats of all groups included, go
   in one payload; only large messages are sent alone.
2. A timer that fires late first lets the event loop read pending datagrams: a process that was stalled has
   not read its leader's heartbeats, and must not start an election for that.
3. Only threads access the disk; the event loop never blocks on it.
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
MAX_CONTACT_AGE_S = 1.0  # without contact to a majority, a group's state is neither served nor published
START_TIMEOUT_S = 1.0  # of `start`; a group whose journal opens later starts when it opens
STALL_THRESHOLD_S = 0.050  # a timer that fires later than this means that the process was stalled
STALL_READ_DELAY_S = 0.002  # in which pending datagrams are read after a stall
REPLACEMENT_TIMEOUT_S = 1.5  # during a drain, for a spare controller to become a voter
RECOVERY_SYNC_SEQUENCE = 1  # the first write of a replica syncs the recovered state


class Transfer(Struct, frozen=True):
    """The result of a leadership transfer; `owner` is None if no new owner was known in time."""

    start: TransferStart
    owner: Address | None


class ReplicationHost:
    """The replication groups of one controller; methods that are not coroutines return immediately."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own_address: Address,
        directory: Path,
        groups: Mapping[int, StateMachine],
        *,
        first_start: bool,
        seeds: Sequence[Address],
        target_size: int,
        send: Callable[[Address, bytes], None],
        candidates: Callable[[], Sequence[Address]],
        domain_of: DomainOf = one_domain_per_address,
        on_ownership_changed: Callable[[int, bool, int], None],
        log: Log,
    ) -> None:
        self._loop = loop
        self._own_address = own_address
        self._machines = dict(groups)
        self._options = ReplicaOptions(tuple(seeds), target_size, Timing(), domain_of)
        self._send = send
        self._candidates = candidates
        self._on_ownership_changed = on_ownership_changed
        self._log = log
        self._random = random.Random(os.urandom(16))
        self._groups: dict[int, ReplicatedGroup] = {}
        self._may_bootstrap = first_start and own_address in seeds
        self._opener = JournalOpener(directory, self._may_bootstrap, self._on_opened_in_thread, log)
        self._writer = JournalWriter(self._on_synced_in_thread, self._on_error_in_thread)
        self._all_journals_open = asyncio.Event()
        self._opening_groups: set[int] = set()
        self._outbox: dict[Address, list[Envelope]] = {}
        self._futures: dict[tuple[int, int], asyncio.Future[ProposalResult]] = {}
        self._flush_scheduled = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._reading_after_stall = False
        self._groups_with_failed_writes: set[int] = set()
        self._flushed = asyncio.Event()
        self._closed = False

    # Called by the controller

    async def start(self) -> None:
        """Open the journals; returns when all are open, or after a timeout."""
        if not self._opening_groups and not self._groups:
            self._writer.start()
            self._opening_groups = set(self._machines)
            for group in self._machines:
                self._opener.start(group)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_journals_open.wait(), START_TIMEOUT_S)

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
        """Propose a command and return the result of its commit, within `timeout_s` seconds."""
        return await self._submit(
            group, lambda replicated_group, now: replicated_group.propose(payload, timeout_s, now)
        )

    async def read(self, group: int, timeout_s: float) -> ProposalResult:
        """Linearizable read: COMMITTED once all entries committed before the call are applied."""
        return await self._submit(group, lambda replicated_group, now: replicated_group.read(timeout_s, now))

    def is_owner(self, group: int) -> bool:
        """Whether this controller leads the group under a valid lease."""
        replicated_group = self._groups.get(group)
        return replicated_group is not None and replicated_group.is_owner(time.monotonic())

    def has_quorum_contact(self, group: int) -> bool:
        """Whether a majority of the group was reached recently, directly or through its owner."""
        replicated_group = self._groups.get(group)
        return replicated_group is not None and replicated_group.has_quorum_contact(
            time.monotonic(), MAX_CONTACT_AGE_S
        )

    def is_current(self, group: int) -> bool:
        """Whether the applied state recently held every committed entry."""
        replicated_group = self._groups.get(group)
        return replicated_group is not None and replicated_group.is_current(
            time.monotonic(), MAX_CONTACT_AGE_S
        )

    def state_age(self, group: int) -> float | None:
        """Seconds since the applied state was known to hold every committed entry; None if not known."""
        replicated_group = self._groups.get(group)
        return replicated_group.state_age(time.monotonic()) if replicated_group is not None else None

    def owner(self, group: int) -> Address | None:
        """The owner, if this controller knows it."""
        replicated_group = self._groups.get(group)
        return replicated_group.owner if replicated_group is not None else None

    def term(self, group: int) -> int:
        """The newest term that this controller knows; 0 before the first."""
        replicated_group = self._groups.get(group)
        return replicated_group.replica.term if replicated_group is not None else 0

    def unapplied(self, group: int) -> Sequence[bytes]:
        """The commands in the log that are not yet applied; some may never be committed."""
        replicated_group = self._groups.get(group)
        return replicated_group.unapplied() if replicated_group is not None else ()

    def status(self, group: int) -> GroupStatus | None:
        """The status of a group; None until its journal is open."""
        replicated_group = self._groups.get(group)
        return group_status(replicated_group, time.monotonic()) if replicated_group is not None else None

    async def transfer(self, group: int, successor: Address | None, timeout_s: float) -> Transfer:
        """Transfer a group to the voter with this address (None: any), and wait for its election."""
        replicated_group = self._groups.get(group)
        if replicated_group is None or self._closed:
            return Transfer(TransferStart.NOT_LEADER, None)
        deadline = time.monotonic() + timeout_s
        start, actions = replicated_group.transfer(successor, time.monotonic())
        self._perform(group, actions)
        while start is TransferStart.STARTED and (remaining_s := deadline - time.monotonic()) > 0:
            if replicated_group.owner not in (None, self._own_address):
                return Transfer(start, replicated_group.owner)
            self._flushed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._flushed.wait(), remaining_s)
        return Transfer(start, None)

    async def drain(self, timeout_s: float) -> None:
        """Transfer all owned groups, and wait for spare controllers to replace this one as a voter."""
        started = time.monotonic()
        for group_id, group in self._groups.items():
            self._perform(group_id, group.start_draining(started))
        deadline = started + timeout_s
        while (now := time.monotonic()) < deadline and self._is_drain_incomplete(now - started):
            self._flushed.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._flushed.wait(), deadline - now)

    def close(self) -> None:
        """Stop immediately; pending proposals and reads resolve to UNCLEAR."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._opener.close()
        self._writer.close()
        for future in self._futures.values():
            if not future.done():
                future.set_result(ProposalResult(ProposalStatus.UNCLEAR))
        self._futures.clear()

    # Event loop

    async def _submit(
        self, group: int, submit: Callable[[ReplicatedGroup, float], Submission]
    ) -> ProposalResult:
        replicated_group = self._groups.get(group)
        if replicated_group is None or self._closed:
            return ProposalResult(ProposalStatus.UNAVAILABLE)
        token, actions = submit(replicated_group, time.monotonic())
        future: asyncio.Future[ProposalResult] = self._loop.create_future()
        self._futures[group, token] = future
        self._perform(group, actions)
        try:
            return await future
        finally:
            self._futures.pop((group, token), None)

    def _perform(self, group_id: int, actions: Actions) -> None:
        for write in actions.writes:
            self._write(group_id, write)
        incarnation = self._groups[group_id].replica.identity.incarnation
        for outgoing in actions.messages:
            envelope = Envelope(group_id, outgoing.to.incarnation, incarnation, outgoing.message)
            self._outbox.setdefault(outgoing.to.address, []).append(envelope)
        for resolved in actions.resolved:
            future = self._futures.get((group_id, resolved.token))
            if future is not None and not future.done():
                future.set_result(resolved.result)
        for event in actions.events:
            self._log.info(event.name, group=group_id, **_format_fields(event.fields))
        for owned, term in actions.owner_changes:
            self._report_ownership(group_id, owned, term)
        if not self._flush_scheduled and not self._closed:
            self._flush_scheduled = True
            self._loop.call_soon(self._flush_outbox)

    def _report_ownership(self, group_id: int, owned: bool, term: int) -> None:
        try:
            self._on_ownership_changed(group_id, owned, term)
        except Exception:
            self._log.exception("ownership_callback_failed", group=group_id)

    def _flush_outbox(self) -> None:
        """Send the messages of this iteration of the event loop, and set the timer."""
        self._flush_scheduled = False
        if self._closed:
            return
        outbox, self._outbox = self._outbox, {}
        for address, envelopes in outbox.items():
            for batch in _batches(envelopes):
                self._send(address, encode_payload(batch))
        self._flushed.set()
        self._set_timer()

    def _set_timer(self) -> None:
        due = min((group.deadline() for group in self._groups.values()), default=float("inf"))
        if self._timer is not None:
            if self._timer_due <= due:  # the timer is set again when it fires
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
        for group_id, group in self._groups.items():
            if group.deadline() <= now:
                if candidates is None:
                    candidates = self._candidates()
                self._perform(group_id, group.tick(candidates, now))
        self._set_timer()

    def _is_drain_incomplete(self, elapsed_s: float) -> bool:
        """Whether this controller still leads a group, or a spare controller can replace it as a voter."""
        spares = set(self._candidates()) if elapsed_s < REPLACEMENT_TIMEOUT_S else set()
        for group in self._groups.values():
            replica = group.replica
            members = {member.address for member in replica.core.log.members}
            if replica.leadership is not None and len(members) > 1:
                return True
            if replica.is_voter and spares - members:
                return True
        return False

    # Journals: writes, and callbacks from the opener and writer threads

    def _write(self, group_id: int, write: Write) -> None:
        records = encode_write(write)
        if write.snapshot is not None:
            records.insert(0, encode_origin(self._groups[group_id].replica.core.may_bootstrap))
            self._writer.compact(group_id, write.sequence, encode_snapshot(write.snapshot), records)
        elif write.sequence == RECOVERY_SYNC_SEQUENCE:
            self._writer.sync_recovered(group_id, write.sequence)
        else:
            self._writer.append(group_id, write.sequence, records)

    def _on_opened_in_thread(self, group_id: int, opened: OpenedJournal) -> None:
        self._call_in_loop(functools.partial(self._on_opened, group_id, opened))

    def _on_opened(self, group_id: int, opened: OpenedJournal) -> None:
        if self._closed:
            return
        now = time.monotonic()
        identity = Member(self._own_address, opened.journal.identity)
        replica = Replica(identity, opened.recovered, self._options, self._random.uniform, now)
        try:
            group = ReplicatedGroup(replica, self._machines[group_id], self._random.getrandbits(64))
        except ValueError as error:
            self._log.error("replicated_state_unsupported", group=group_id, reason=str(error))
            return
        self._groups[group_id] = group
        self._writer.add(group_id, opened.journal)
        self._perform(group_id, group.tick(self._candidates(), now))
        self._opening_groups.discard(group_id)
        if not self._opening_groups:
            self._all_journals_open.set()

    def _on_synced_in_thread(self, group_id: int, sequence: int) -> None:
        self._call_in_loop(functools.partial(self._on_synced, group_id, sequence))

    def _on_synced(self, group_id: int, sequence: int) -> None:
        if self._closed:
            return
        if group_id in self._groups_with_failed_writes:
            self._groups_with_failed_writes.discard(group_id)
            self._log.info("disk_writes_recovered", group=group_id)
        self._perform(group_id, self._groups[group_id].confirm(sequence, time.monotonic()))

    def _on_error_in_thread(self, group_id: int, error: OSError) -> None:
        self._call_in_loop(functools.partial(self._on_disk_error, group_id, error))

    def _on_disk_error(self, group_id: int, error: OSError) -> None:
        if self._closed:
            return
        if group_id not in self._groups_with_failed_writes:
            self._groups_with_failed_writes.add(group_id)
            self._log.warning("disk_writes_failing", group=group_id, reason=str(error))
        self._perform(group_id, self._groups[group_id].on_disk_error(time.monotonic()))

    def _call_in_loop(self, call: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the event loop is closed
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
