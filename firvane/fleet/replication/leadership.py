"""The leader's side of replication: one object for each term that this replica leads."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from firvane.core.address import Address
from firvane.fleet.replication.core import Core
from firvane.fleet.replication.members_codec import encode_members
from firvane.fleet.replication.membership import Membership
from firvane.fleet.replication.membership_policy import Change, ChangeKind, MembershipPolicy
from firvane.fleet.replication.messages import Append, AppendReply, Beacon, InstallSnapshot, TimeoutNow
from firvane.fleet.replication.progress import Progress, quorum_value
from firvane.fleet.replication.reads import LeaderReads
from firvane.fleet.replication.transfer import TransferStart
from firvane.fleet.replication.types import Entry, EntryKind, Member, quorum_of

MAX_APPEND_BYTES = 1_000_000  # of entries in one message; a larger entry is sent in a message of its own
MAX_APPENDS_PER_ROUND = 8
LOGGED_UNACKNOWLEDGED_SNAPSHOTS = (4, 16, 64)  # counts at which a warning is logged
MIN_HEARTBEAT_GAP_S = 0.010  # between heartbeats for pending reads


class Leadership:
    """Replication progress, lease, commit index, reads, leadership transfer and membership changes."""

    def __init__(self, core: Core, policy: MembershipPolicy, now: float) -> None:
        self.core = core
        self.elected_at = now
        self.membership = Membership(core, policy)
        self.reads = LeaderReads(core)
        self.peers: dict[int, Progress] = {}
        self.next_heartbeat_at = now
        self._heartbeat_count = 0
        self._last_heartbeat_at = float("-inf")
        self._transfer_deadline = float("-inf")
        self._resign_pending = False
        self._requested_successor: Address | None = None  # None: any healthy voter
        self._track_members(now)
        self.noop_index = self._append(EntryKind.NOOP, b"", now)

    # State

    @property
    def is_ready(self) -> bool:
        """Whether an entry of this term is committed, so that the commit index covers all earlier terms."""
        return self.core.commit_index >= self.noop_index

    def confirmed_at(self, now: float) -> float:
        """The latest monotonic time at which a majority is known to have followed this leader."""
        return quorum_value(self._voter_values(now, lambda peer: peer.echoed_at), self.core.quorum)

    def lease_until(self, now: float) -> float:
        """The end of the lease: until then no other leader can be elected."""
        return self.confirmed_at(now) + self.core.timing.lease_duration_s

    def has_lost_quorum(self, now: float) -> bool:
        """Whether no majority has replied for an election timeout."""
        quorum_contact_at = max(self.confirmed_at(now), self.elected_at)
        return now - quorum_contact_at > self.core.timing.election_timeout_max_s

    def is_transferring(self, now: float) -> bool:
        """Whether a leadership transfer is in progress, so that proposals are not accepted."""
        return self._resign_pending and now < self._transfer_deadline

    def deadline(self) -> float:
        """When `tick` is due next."""
        return self.next_heartbeat_at

    # Inputs

    def propose(self, payload: bytes, now: float) -> int:
        """Append a command; returns its index."""
        return self._append(EntryKind.COMMAND, payload, now)

    def read(self, token: int, requester: Member | None, now: float) -> None:
        """Answer a read with the commit index once it is linearizable.

        Args:
            token: Identifies the read in its answer.
            requester: The follower that requested the read; None if this replica did.
            now: Monotonic seconds.
        """
        if requester is not None and (peer := self.peers.get(requester.incarnation)):
            self._send_heartbeat(peer, now)
        self.reads.add(token, requester, now)
        self._answer_reads(now)
        if self.reads.has_pending and now - self._last_heartbeat_at > MIN_HEARTBEAT_GAP_S:
            self._send_heartbeats(now)

    def start_transfer(self, now: float, successor: Address | None = None) -> None:
        """Start a leadership transfer to `successor`, or to any healthy voter if None.

        This leader resigns once the successor's log is complete.
        """
        self._resign_pending = True
        self._requested_successor = successor
        self._transfer_deadline = now + self.core.timing.transfer_timeout_s

    def tick(self, live_controllers: Sequence[Address], now: float) -> None:
        """Send the heartbeats and beacons that are due, and start learners and membership changes."""
        if now < self.next_heartbeat_at:
            return
        self.membership.live_controllers = live_controllers
        interval = self.core.timing.heartbeat_interval_s
        self.next_heartbeat_at = (now // interval + 1) * interval  # aligned across the groups of a process
        self._choose_learners(now)
        self._send_heartbeats(now)
        self._heartbeat_count += 1
        if self._heartbeat_count % self.core.timing.heartbeats_per_beacon == 1:
            for address in self.membership.beacon_targets():
                self.core.send_to_address(address, Beacon(self.core.term, now))
        self._change_members(now)

    def on_append_reply(self, sender: Member, reply: AppendReply, now: float) -> None:
        """Record a replica's progress, and send the entries that the replica lacks."""
        peer = self.peers.get(sender.incarnation)
        if peer is None:
            return
        peer.last_reply_at = now
        peer.echoed_at = max(peer.echoed_at, reply.echo)
        peer.disk_fault = reply.disk_fault
        if reply.accepted:
            peer.on_accepted(reply.received_index, reply.synced_index)
            self.advance_commit()
        elif peer.should_backtrack(reply.received_index, now):
            peer.on_rejected(reply.received_index)
        self._replicate(peer, now)
        self._answer_reads(now)
        if not self.core.is_voter(sender.incarnation):
            self.membership.on_beacon_reply(sender, now)
            self._change_members(now)

    def on_beacon_reply(self, sender: Member, echo: float, now: float) -> None:
        """Record the incarnation of a controller, unless `echo` shows that the reply may be outdated."""
        if now - echo > self.core.timing.reachable_within_s:
            return
        for peer in self.peers.values():
            if peer.member.address == sender.address and peer.member != sender:
                peer.superseded = True
        self.membership.on_beacon_reply(sender, now)
        self._choose_learners(now)

    def on_synced(self, now: float) -> None:
        """Advance the commit index after this replica's disk has synced a write."""
        self.advance_commit()
        self._answer_reads(now)

    def advance_commit(self) -> None:
        """Advance the commit index to the last entry of this term that a majority of voters has synced."""
        core = self.core
        synced = [
            core.writes.synced_index
            if member == core.identity
            else self.peers[member.incarnation].match_index
            for member in core.log.members
        ]
        index = int(quorum_value(synced, quorum_of(len(synced))))
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_index = index

    def has_healthy_voter(self, now: float) -> bool:
        """Whether any other voter is healthy, so that leadership can be transferred."""
        return bool(self._healthy_voters(now))

    def successor(self, now: float) -> Member | None:
        """The eligible successor with the latest reply: a healthy voter that has synced the whole log.

        None if there is none.
        """
        log_end = self.core.log.last_index
        eligible = [
            peer
            for peer in self._healthy_voters(now)
            if peer.match_index == log_end and self._is_requested_successor(peer)
        ]
        return max(eligible, key=lambda peer: peer.last_reply_at).member if eligible else None

    def check_transfer(self, successor: Address | None, now: float) -> TransferStart:
        """Whether a transfer to `successor`, or to any healthy voter if None, can start now."""
        if not self.is_ready:
            return TransferStart.NOT_LEADER
        if self.is_transferring(now):
            return TransferStart.IN_PROGRESS
        other_voters = {member.address for member in self.core.log.members if member != self.core.identity}
        if successor is not None and successor not in other_voters:
            return TransferStart.UNKNOWN_VOTER
        healthy_addresses = {peer.member.address for peer in self._healthy_voters(now)}
        if not healthy_addresses or (successor is not None and successor not in healthy_addresses):
            return TransferStart.NO_HEALTHY_VOTER
        return TransferStart.STARTED

    def _is_requested_successor(self, peer: Progress) -> bool:
        return self._requested_successor in (None, peer.member.address)

    def _healthy_voters(self, now: float) -> list[Progress]:
        return [
            peer
            for peer in self.peers.values()
            if self.core.is_voter(peer.member.incarnation)
            and now - peer.last_reply_at < self.core.timing.reachable_within_s
            and not (peer.disk_fault or peer.superseded)
            and not self.membership.is_draining(peer.member, now)
        ]

    def resign(self, now: float) -> Member | None:
        """Send `TimeoutNow` to an eligible successor; the caller must step down if one is returned."""
        successor = self.successor(now)
        if successor is not None:
            self.core.send(successor, TimeoutNow(self.core.term))
        return successor

    # Replication

    def _append(self, kind: EntryKind, payload: bytes, now: float) -> int:
        core = self.core
        entry = Entry(core.log.last_index + 1, core.term, kind, payload)
        core.append((entry,), now)
        for peer in self.peers.values():
            self._replicate(peer, now)
        return entry.index

    def _send_heartbeats(self, now: float) -> None:
        self._last_heartbeat_at = now
        for peer in self.peers.values():
            if peer.next_index <= self.core.log.last_index and now >= peer.resend_after:
                self._replicate(peer, now)
            else:
                self._send_heartbeat(peer, now)

    def _send_heartbeat(self, peer: Progress, now: float) -> None:
        previous = peer.next_index - 1
        term = self.core.log.term_at(previous)
        if term is None:  # compacted, so committed: the entry is in every later leader's log
            previous, term = self.core.log.base_index, self.core.log.base_term
        self._send_append(peer, previous, term, (), now)

    def _replicate(self, peer: Progress, now: float) -> None:
        log = self.core.log
        for _ in range(MAX_APPENDS_PER_ROUND):
            if peer.next_index > log.last_index:
                return
            previous = peer.next_index - 1
            term = log.term_at(previous)
            if term is None:
                self._send_snapshot(peer, now)
                return
            entries = log.entries_from(peer.next_index, MAX_APPEND_BYTES)
            self._send_append(peer, previous, term, entries, now)
            peer.next_index = entries[-1].index + 1
            peer.on_entries_sent(entries[0].index, sum(len(entry.payload) for entry in entries), now)

    def _send_append(
        self, peer: Progress, previous: int, term: int, entries: tuple[Entry, ...], now: float
    ) -> None:
        core = self.core
        message = Append(core.term, now, previous, term, core.commit_index, entries)
        core.send(peer.member, message)

    def _send_snapshot(self, peer: Progress, now: float) -> None:
        snapshot = self.core.log.snapshot
        if snapshot is None or now < peer.resend_after:
            return
        if (
            now - peer.last_reply_at > self.core.timing.reachable_within_s
        ):  # an unresponsive peer gets a heartbeat instead of a large message
            self._send_heartbeat(peer, now)
            return
        self.core.send(peer.member, InstallSnapshot(self.core.term, now, snapshot))
        peer.next_index = snapshot.index + 1
        peer.on_snapshot_sent(snapshot.index, len(snapshot.state), now)
        if peer.unacknowledged_snapshots in LOGGED_UNACKNOWLEDGED_SNAPSHOTS:
            self.core.log_event(
                "snapshot_unacknowledged", member=peer.member.address, snapshots=peer.unacknowledged_snapshots
            )

    def _answer_reads(self, now: float) -> None:
        if self.is_ready and self.reads.has_pending:
            self.reads.answer(self.confirmed_at(now), self.lease_until(now), now)

    # Membership

    def _track_members(self, now: float, learners: Sequence[Member] = ()) -> None:
        core = self.core
        tracked = {member.incarnation: member for member in (*core.log.members, *learners)}
        tracked.pop(core.identity.incarnation, None)
        self.peers = {
            incarnation: self.peers.get(incarnation) or Progress(member, core.log.last_index + 1, now)
            for incarnation, member in tracked.items()
        }

    def _choose_learners(self, now: float) -> None:
        previous_peers = set(self.peers)
        learners = self.membership.wanted_learners(self.peers, now)
        self._track_members(now, learners)
        for incarnation, peer in self.peers.items():
            if incarnation not in previous_peers:
                self._send_heartbeat(peer, now)

    def _change_members(self, now: float) -> None:
        core = self.core
        if not self.is_ready or core.log.members_index > core.commit_index or self.is_transferring(now):
            return
        change = self.membership.next_change(self.peers, now)
        if change is not None:
            self._append_change(change, now)

    def _append_change(self, change: Change, now: float) -> None:
        core = self.core
        members = core.log.members
        if change.kind is ChangeKind.ADD:
            members = (*members, change.member)
        else:
            members = tuple(member for member in members if member != change.member)
        core.log_event(
            "membership_changed",
            kind=change.kind.name.lower(),
            member=change.member.address,
            voters=len(members),
        )
        self._append(EntryKind.MEMBERS, encode_members(members), now)
        learners = [peer.member for peer in self.peers.values() if peer.member != change.member]
        self._track_members(now, learners)

    def _voter_values(self, own_value: float, value_of: Callable[[Progress], float]) -> list[float]:
        identity = self.core.identity
        return [
            own_value if member == identity else value_of(self.peers[member.incarnation])
            for member in self.core.log.members
        ]
