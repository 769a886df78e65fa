"""All replication groups of a controller over one agent, one disk and one timer: a thin driver.

Rules that hold here and nowhere else:

1. What one turn of the loop has for another controller goes in one payload, the heartbeats of all groups
   included; only what is large goes alone.
2. A timer that fires late lets the datagrams that waited be read first: a process that was held up has not
   heard its leader, which is no reason to stand for election.
3. The disk is only touched by threads; the loop never waits for it.
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
from firvane.fleet.controller.replication_opening import JournalOpener, OpenedJournal
from firvane.fleet.replication.codec import decode_payload, encode_payload, encoded_size
from firvane.fleet.replication.core import Write
from firvane.fleet.replication.entry_codec import encode_snapshot
from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.group import Actions, ReplicatedGroup
from firvane.fleet.replication.messages import Envelope
from firvane.fleet.replication.proposals import Proposal, ProposalStatus, StateMachine
from firvane.fleet.replication.records import encode_origin, encode_write
from firvane.fleet.replication.replica import Replica, ReplicaOptions
from firvane.fleet.replication.spread import DomainOf, one_domain_per_address
from firvane.fleet.replication.status import GroupStatus, group_status
from firvane.fleet.replication.transfer import TransferStart
from firvane.fleet.replication.types import Member, Timing
from firvane.fleet.storage.writer import JournalWriter

__all__ = [
    "GroupStatus",
    "Proposal",
    "ProposalStatus",
    "ReplicationHost",
    "StateMachine",
    "Transfer",
    "TransferStart",
]

PAYLOAD_BYTES = 1_150  # what goes together into one payload; a larger envelope goes alone
CONTACT_PATIENCE = 1.0  # seconds without a word of a majority after which nothing of a group is handed out
START_PATIENCE = 1.0  # seconds that `start` waits for the disk; groups that open later join then
LATE = 0.050  # seconds by which a timer is late when this process was held up
READ_FIRST = 0.002  # seconds given to the datagrams that waited meanwhile
REPLACEMENT_PATIENCE = 1.5  # seconds that a hand-over waits for a spare controller to take the place
OWN_WRITE = 1  # the first write of a replica: what was read back is to be synced


class Transfer(Struct, frozen=True):
    """How a transfer has ended: `owner` has taken over, None where nobody has in time."""

    start: TransferStart
    owner: Address | None


class ReplicationHost:
    """The groups of one controller; the methods that are no coroutines return at once."""

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
        self._opener = JournalOpener(directory, self._may_bootstrap, self._opened_in_thread, log)
        self._writer = JournalWriter(self._done_in_thread, self._refused_in_thread)
        self._all_open = asyncio.Event()
        self._opening: set[int] = set()
        self._outbox: dict[Address, list[Envelope]] = {}
        self._futures: dict[tuple[int, int], asyncio.Future[Proposal]] = {}
        self._turn_pending = False
        self._timer: asyncio.TimerHandle | None = None
        self._timer_due = float("inf")
        self._read_first = False
        self._refusing: set[int] = set()
        self._turn_ended = asyncio.Event()
        self._closed = False

    # For the program

    async def start(self) -> None:
        """Open the journals; return when all are open, or after a while with those that are."""
        if not self._opening and not self._groups:
            self._writer.start()
            self._opening = set(self._machines)
            for group in self._machines:
                self._opener.start(group)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._all_open.wait(), START_PATIENCE)

    def receive(self, sender: Address, payload: bytes) -> None:
        """A payload from another controller; what cannot be read is dropped."""
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

    async def propose(self, group: int, payload: bytes, timeout: float) -> Proposal:
        """Have a command committed; the answer comes within `timeout` seconds."""
        return await self._ask(group, lambda known, now: known.propose(payload, timeout, now))

    async def read(self, group: int, timeout: float) -> Proposal:
        """COMMITTED once what is applied here holds everything that was committed before the call."""
        return await self._ask(group, lambda known, now: known.read(timeout, now))

    def is_owner(self, group: int) -> bool:
        """Whether this process surely owns the group at this moment."""
        known = self._groups.get(group)
        return known is not None and known.is_owner(time.monotonic())

    def has_quorum_contact(self, group: int) -> bool:
        """Whether a majority of the group has been heard lately, directly or through its owner."""
        known = self._groups.get(group)
        return known is not None and known.has_quorum_contact(time.monotonic(), CONTACT_PATIENCE)

    def is_current(self, group: int) -> bool:
        """Whether the state that is applied here was the newest of a majority lately."""
        known = self._groups.get(group)
        return known is not None and known.is_current(time.monotonic(), CONTACT_PATIENCE)

    def state_age(self, group: int) -> float | None:
        """Seconds since the state here was surely the newest of a majority; None where that is not known."""
        known = self._groups.get(group)
        return known.state_age(time.monotonic()) if known is not None else None

    def owner(self, group: int) -> Address | None:
        """The owner as far as it is known here."""
        known = self._groups.get(group)
        return known.owner if known is not None else None

    def term(self, group: int) -> int:
        """The term as far as it is known here; 0 before the first."""
        known = self._groups.get(group)
        return known.replica.term if known is not None else 0

    def unapplied(self, group: int) -> Sequence[bytes]:
        """Commands that the log holds and that are not applied here yet; some may never be committed."""
        known = self._groups.get(group)
        return known.unapplied() if known is not None else ()

    def status(self, group: int) -> GroupStatus | None:
        """What is known here of a group; None while its journal is not open."""
        known = self._groups.get(group)
        return group_status(known, time.monotonic()) if known is not None else None

    async def transfer(self, group: int, successor: Address | None, timeout: float) -> Transfer:
        """Pass a group to the voter with this internal address, or to any; wait until it has taken over."""
        known = self._groups.get(group)
        if known is None or self._closed:
            return Transfer(TransferStart.NOT_LEADER, None)
        until = time.monotonic() + timeout
        start, actions = known.transfer(successor, time.monotonic())
        self._perform(group, actions)
        while start is TransferStart.STARTED and (left := until - time.monotonic()) > 0:
            if known.owner not in (None, self._own):
                return Transfer(start, known.owner)
            self._turn_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._turn_ended.wait(), left)
        return Transfer(start, None)

    async def hand_over(self, timeout: float) -> None:
        """Name successors of all that is owned, and let a spare controller take this one's place."""
        started = time.monotonic()
        for number, group in self._groups.items():
            self._perform(number, group.start_draining(started))
        until = started + timeout
        while (now := time.monotonic()) < until and self._is_needed(now - started):
            self._turn_ended.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._turn_ended.wait(), until - now)

    def close(self) -> None:
        """Stop at once; what waits for an answer has none."""
        self._closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._opener.close()
        self._writer.close()
        for future in self._futures.values():
            if not future.done():
                future.set_result(Proposal(ProposalStatus.UNCLEAR))
        self._futures.clear()

    # Turns of the loop

    async def _ask(
        self, group: int, ask: Callable[[ReplicatedGroup, float], tuple[int, Actions]]
    ) -> Proposal:
        known = self._groups.get(group)
        if known is None or self._closed:
            return Proposal(ProposalStatus.UNAVAILABLE)
        token, actions = ask(known, time.monotonic())
        future: asyncio.Future[Proposal] = self._loop.create_future()
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
                future.set_result(resolved.proposal)
        for event in actions.events:
            self._log.info(event.name, group=number, **_readable(event.fields))
        for owned, term in actions.owner_changes:
            self._tell_owner(number, owned, term)
        if not self._turn_pending and not self._closed:
            self._turn_pending = True
            self._loop.call_soon(self._end_turn)

    def _tell_owner(self, number: int, owned: bool, term: int) -> None:
        try:
            self._on_owner(number, owned, term)
        except Exception:
            self._log.exception("ownership_callback_failed", group=number)

    def _end_turn(self) -> None:
        """Send what this turn has brought, and set the timer."""
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
            if self._timer_due <= due:  # it sets itself anew when it fires
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
        if now - self._timer_due > LATE and not self._read_first:
            self._read_first = True
            self._timer = self._loop.call_later(READ_FIRST, self._on_timer)
            return
        self._read_first = False
        self._timer_due = float("inf")
        candidates: Sequence[Address] | None = None
        for number, group in self._groups.items():
            if group.deadline() <= now:
                if candidates is None:
                    candidates = self._candidates()
                self._perform(number, group.tick(candidates, now))
        self._set_timer()

    def _is_needed(self, since_start: float) -> bool:
        """Whether a hand-over has something to wait for."""
        spares = set(self._candidates()) if since_start < REPLACEMENT_PATIENCE else set()
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
        elif write.sequence == OWN_WRITE:
            self._writer.sync_recovered(number, write.sequence)
        else:
            self._writer.append(number, write.sequence, records)

    def _opened_in_thread(self, number: int, opened: OpenedJournal) -> None:
        self._to_loop(functools.partial(self._opened, number, opened))

    def _opened(self, number: int, opened: OpenedJournal) -> None:
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

    def _done_in_thread(self, number: int, sequence: int) -> None:
        self._to_loop(functools.partial(self._on_synced, number, sequence))

    def _on_synced(self, number: int, sequence: int) -> None:
        if self._closed:
            return
        if number in self._refusing:
            self._refusing.discard(number)
            self._log.info("disk_writes_recovered", group=number)
        self._perform(number, self._groups[number].confirm(sequence, time.monotonic()))

    def _refused_in_thread(self, number: int, error: OSError) -> None:
        self._to_loop(functools.partial(self._on_refused, number, error))

    def _on_refused(self, number: int, error: OSError) -> None:
        if self._closed:
            return
        if number not in self._refusing:
            self._refusing.add(number)
            self._log.warning("disk_writes_failing", group=number, reason=str(error))
        self._perform(number, self._groups[number].on_disk_error(time.monotonic()))

    def _to_loop(self, call: Callable[[], None]) -> None:
        with contextlib.suppress(RuntimeError):  # the loop is closed
            self._loop.call_soon_threadsafe(call)


def _readable(fields: Mapping[str, object]) -> dict[str, object]:
    """Fields for the log, addresses as they are written."""
    return {
        name: f"{value[0]}:{value[1]}" if isinstance(value, tuple) else value
        for name, value in fields.items()
    }


def _batches(envelopes: Sequence[Envelope]) -> list[list[Envelope]]:
    """Envelopes that go together into one payload each, in order."""
    batches: list[list[Envelope]] = []
    size = PAYLOAD_BYTES
    for envelope in envelopes:
        added = encoded_size(envelope)
        if size + added > PAYLOAD_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(envelope)
        size += added
    return batches
