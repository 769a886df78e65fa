"""A leader's side of replication: one object for each term that this replica leads."""

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

MAXIMUM_APPEND_BYTES = 1_000_000  # entries in one message; a single larger entry goes alone
MAXIMUM_APPENDS_AT_ONCE = 8
SNAPSHOTS_IN_VAIN = (4, 16, 64)  # numbers of unacknowledged snapshots that are told in the log
MINIMUM_BEAT_GAP = 0.010  # seconds between heartbeats that waiting reads ask for


class Leadership:
    """Progress of the others, lease, commit, reads, transfer and the changes of the group's voters."""

    def __init__(self, core: Core, policy: MembershipPolicy, now: float) -> None:
        self.core = core
        self.elected_at = now
        self.membership = Membership(core, policy)
        self.reads = LeaderReads(core)
        self.peers: dict[int, Progress] = {}
        self.next_beat = now
        self._beats = 0
        self._last_beat = float("-inf")
        self._transfer_until = float("-inf")
        self._resign_when_possible = False
        self._named_successor: Address | None = None  # None: any that is fit
        self._follow_members(now)
        self.first_index = self._append(EntryKind.NOOP, b"", now)

    # State

    @property
    def ready(self) -> bool:
        """Whether an entry of this term is committed: from then on the commit index is the newest."""
        return self.core.commit_index >= self.first_index

    def confirmed_at(self, now: float) -> float:
        """The latest time at which a majority is known to have followed this leader."""
        return quorum_value(self._of_voters(now, lambda peer: peer.echoed_at), self.core.quorum)

    def lease_until(self, now: float) -> float:
        """Until when no other leader can have been elected."""
        return self.confirmed_at(now) + self.core.timing.lease

    def has_lost_majority(self, now: float) -> bool:
        """Whether no majority has answered for a whole election timeout."""
        since = max(self.confirmed_at(now), self.elected_at)
        return now - since > self.core.timing.election_maximum

    def transferring(self, now: float) -> bool:
        """Whether leadership is about to pass to another, and nothing new is taken in."""
        return self._resign_when_possible and now < self._transfer_until

    def deadline(self) -> float:
        """When `tick` has something to do."""
        return self.next_beat

    # Inputs

    def propose(self, payload: bytes, now: float) -> int:
        """Append a command; its index."""
        return self._append(EntryKind.COMMAND, payload, now)

    def read(self, token: int, asker: Member | None, now: float) -> None:
        """Answer a read as soon as it is linearizable; who asks learns the commit index with it."""
        if asker is not None and (peer := self.peers.get(asker.incarnation)):
            self._send_heartbeat(peer, now)
        self.reads.add(token, asker, now)
        self._answer_reads(now)
        if self.reads.waiting and now - self._last_beat > MINIMUM_BEAT_GAP:
            self._beat(now)

    def start_transfer(self, now: float, successor: Address | None = None) -> None:
        """Resign in favour of the voter named, or of any, as soon as it has everything."""
        self._resign_when_possible = True
        self._named_successor = successor
        self._transfer_until = now + self.core.timing.transfer

    def tick(self, candidates: Sequence[Address], now: float) -> None:
        """Send what is due."""
        if now < self.next_beat:
            return
        self.membership.candidates = candidates
        interval = self.core.timing.heartbeat
        self.next_beat = (now // interval + 1) * interval  # the same moments for all groups of a process
        self._choose_learners(now)
        self._beat(now)
        self._beats += 1
        if self._beats % self.core.timing.beacon_beats == 1:
            for address in self.membership.addresses_to_call():
                self.core.send_to_address(address, Beacon(self.core.term, now))
        self._change_members(now)

    def on_append_reply(self, sender: Member, reply: AppendReply, now: float) -> None:
        """Note what a replica has, and send it what it lacks."""
        peer = self.peers.get(sender.incarnation)
        if peer is None:
            return
        peer.last_reply = now
        peer.echoed_at = max(peer.echoed_at, reply.echo)
        peer.disk_trouble = reply.disk_trouble
        if reply.accepted:
            peer.accepted(reply.received, reply.synced)
            self.advance_commit()
        elif peer.heeds_refusal(reply.received, now):
            peer.refused(reply.received)
        self._replicate(peer, now)
        self._answer_reads(now)
        if not self.core.is_voter(sender.incarnation):
            self.membership.on_beacon_reply(sender, now)
            self._change_members(now)

    def on_beacon_reply(self, sender: Member, echo: float, now: float) -> None:
        """A controller tells its incarnation; a recent `echo` shows that it is the present one."""
        if now - echo > self.core.timing.recent:
            return
        for peer in self.peers.values():
            if peer.member.address == sender.address and peer.member != sender:
                peer.superseded = True
        self.membership.on_beacon_reply(sender, now)
        self._choose_learners(now)

    def on_synced(self, now: float) -> None:
        """The own disk has synced something."""
        self.advance_commit()
        self._answer_reads(now)

    def advance_commit(self) -> None:
        """Commit what a majority of the voters, this replica's disk included, has synced in this term."""
        core = self.core
        synced = [
            core.writes.synced_index if member == core.identity else self.peers[member.incarnation].match
            for member in core.log.members
        ]
        index = int(quorum_value(synced, quorum_of(len(synced))))
        if index > core.commit_index and core.log.term_at(index) == core.term:
            core.commit_index = index

    def has_healthy_voter(self, now: float) -> bool:
        """Whether another voter is reachable and its disk is well."""
        return bool(self._healthy_voters(now))

    def successor(self, now: float) -> Member | None:
        """A healthy voter that has synced everything."""
        last = self.core.log.last_index
        fit = [peer for peer in self._healthy_voters(now) if peer.match == last and self._may_succeed(peer)]
        return max(fit, key=lambda peer: peer.last_reply).member if fit else None

    def may_transfer(self, successor: Address | None, now: float) -> TransferStart:
        """Whether a transfer to the voter named, or to any, can begin now."""
        if not self.ready:
            return TransferStart.NOT_LEADER
        if self.transferring(now):
            return TransferStart.BUSY
        others = {member.address for member in self.core.log.members if member != self.core.identity}
        if successor is not None and successor not in others:
            return TransferStart.UNKNOWN
        healthy = {peer.member.address for peer in self._healthy_voters(now)}
        if not healthy or (successor is not None and successor not in healthy):
            return TransferStart.UNFIT
        return TransferStart.BEGUN

    def _may_succeed(self, peer: Progress) -> bool:
        return self._named_successor in (None, peer.member.address)

    def _healthy_voters(self, now: float) -> list[Progress]:
        return [
            peer
            for peer in self.peers.values()
            if self.core.is_voter(peer.member.incarnation)
            and now - peer.last_reply < self.core.timing.recent
            and not (peer.disk_trouble or peer.superseded)
            and not self.membership.is_leaving(peer.member, now)
        ]

    def resign(self, now: float) -> Member | None:
        """Tell a successor to stand for election, if one is fit; this leadership must end with it."""
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

    def _beat(self, now: float) -> None:
        self._last_beat = now
        for peer in self.peers.values():
            if peer.next_index <= self.core.log.last_index and now >= peer.resend_after:
                self._replicate(peer, now)
            else:
                self._send_heartbeat(peer, now)

    def _send_heartbeat(self, peer: Progress, now: float) -> None:
        previous = peer.next_index - 1
        term = self.core.log.term_at(previous)
        if term is None:  # compacted: what is known to be committed here agrees with every later leader
            previous, term = self.core.log.base_index, self.core.log.base_term
        self._send_append(peer, previous, term, (), now)

    def _replicate(self, peer: Progress, now: float) -> None:
        log = self.core.log
        for _ in range(MAXIMUM_APPENDS_AT_ONCE):
            if peer.next_index > log.last_index:
                return
            previous = peer.next_index - 1
            term = log.term_at(previous)
            if term is None:
                self._send_snapshot(peer, now)
                return
            entries = log.entries_from(peer.next_index, MAXIMUM_APPEND_BYTES)
            self._send_append(peer, previous, term, entries, now)
            peer.next_index = entries[-1].index + 1
            peer.sent(entries[0].index, sum(len(entry.payload) for entry in entries), now)

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
        if now - peer.last_reply > self.core.timing.recent:  # let it show first that it is there
            self._send_heartbeat(peer, now)
            return
        self.core.send(peer.member, InstallSnapshot(self.core.term, now, snapshot))
        peer.next_index = snapshot.index + 1
        peer.sent_snapshot(snapshot.index, len(snapshot.state), now)
        if peer.snapshots_sent in SNAPSHOTS_IN_VAIN:
            self.core.log_event(
                "snapshot not acknowledged", member=peer.member.address, sent=peer.snapshots_sent
            )

    def _answer_reads(self, now: float) -> None:
        if self.ready and self.reads.waiting:
            self.reads.answer(self.confirmed_at(now), self.lease_until(now), now)

    # Members

    def _follow_members(self, now: float, learners: Sequence[Member] = ()) -> None:
        core = self.core
        wanted = {member.incarnation: member for member in (*core.log.members, *learners)}
        wanted.pop(core.identity.incarnation, None)
        self.peers = {
            incarnation: self.peers.get(incarnation) or Progress(member, core.log.last_index + 1, now)
            for incarnation, member in wanted.items()
        }

    def _choose_learners(self, now: float) -> None:
        known = set(self.peers)
        learners = self.membership.wanted_learners(self.peers, now)
        self._follow_members(now, learners)
        for incarnation, peer in self.peers.items():
            if incarnation not in known:
                self._send_heartbeat(peer, now)

    def _change_members(self, now: float) -> None:
        core = self.core
        if not self.ready or core.log.members_index > core.commit_index or self.transferring(now):
            return
        change = self.membership.next_change(self.peers, now)
        if change is not None:
            self._make_change(change, now)

    def _make_change(self, change: Change, now: float) -> None:
        core = self.core
        members = core.log.members
        if change.kind is ChangeKind.ADD:
            members = (*members, change.member)
        else:
            members = tuple(member for member in members if member != change.member)
        core.log_event(
            "members change", kind=change.kind.name.lower(), member=change.member.address, voters=len(members)
        )
        self._append(EntryKind.MEMBERS, encode_members(members), now)
        learners = [peer.member for peer in self.peers.values() if peer.member != change.member]
        self._follow_members(now, learners)

    def _of_voters(self, own: float, value: Callable[[Progress], float]) -> list[float]:
        identity = self.core.identity
        return [
            own if member == identity else value(self.peers[member.incarnation])
            for member in self.core.log.members
        ]
