"""One replica of one group: roles, terms, and the dispatch of messages and timers.

Inputs are method calls with `now` in monotonic seconds; their results are fetched with `take_outputs`.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.replication.bootstrap import Bootstrap
from firvane.fleet.replication.candidacy import Candidacy, Phase
from firvane.fleet.replication.core import Core, Outputs, ReadReady, Recovered
from firvane.fleet.replication.follower import Follower
from firvane.fleet.replication.leadership import Leadership
from firvane.fleet.replication.membership_policy import MembershipPolicy
from firvane.fleet.replication.messages import (
    Append,
    AppendReply,
    Beacon,
    BeaconReply,
    DrainNotice,
    InstallSnapshot,
    Introduction,
    Message,
    PreVote,
    PreVoteReply,
    ReadReply,
    ReadRequest,
    TimeoutNow,
    Vote,
    VoteReply,
)
from firvane.fleet.replication.spread import DomainOf, one_domain_per_address
from firvane.fleet.replication.succession import Succession
from firvane.fleet.replication.types import DEFAULT_TIMING, NO_INCARNATION, Member, Snapshot, Timing
from firvane.fleet.replication.voting import Voter

WITHDRAWAL_RETRY_RANGE_S = (0.1, 0.2)  # until the next pre-vote, after yielding to another candidate


class Role(enum.Enum):
    """The roles of a replica."""

    FOLLOWER = 1
    CANDIDATE = 2
    LEADER = 3


class ReplicaOptions(Struct, frozen=True):
    """Options of a replica.

    `seeds`: the addresses that bootstrap the group. `domain_of` returns the failure domain of an address.
    """

    seeds: tuple[Address, ...]
    target_size: int
    timing: Timing = DEFAULT_TIMING
    domain_of: DomainOf = one_domain_per_address


class Replica:
    """The protocol state machine of one replica."""

    def __init__(
        self,
        identity: Member,
        recovered: Recovered,
        options: ReplicaOptions,
        uniform: Callable[[float, float], float],
        now: float,
    ) -> None:
        timing = options.timing
        self.core = Core(identity, recovered, timing, uniform, now)
        self.policy = MembershipPolicy(
            options.target_size,
            timing.learner_start_after_s,
            timing.voter_replace_after_s,
            timing.reachable_within_s,
            options.domain_of,
        )
        abstain_until = now if recovered.is_empty else now + timing.election_timeout_min_s
        self.voter = Voter(self.core, abstain_until)
        self.bootstrap = Bootstrap(self.core, options.seeds, now)
        self.role = Role.FOLLOWER
        self.leader: Address | None = None
        self.leadership: Leadership | None = None
        self.live_controllers: Sequence[Address] = ()  # in order of preference as members; set by the driver
        self._candidacy: Candidacy | None = None
        self._follower: Follower | None = None
        self._succession = Succession(self.core, now)
        self._election_deadline = now + uniform(timing.election_timeout_min_s, timing.election_timeout_max_s)
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[type, Callable[..., None]]:
        return {
            Append: self._on_append,
            AppendReply: self._on_append_reply,
            Beacon: self._on_beacon,
            BeaconReply: self._on_beacon_reply,
            InstallSnapshot: self._on_install_snapshot,
            Introduction: self._on_introduction,
            DrainNotice: self._on_drain_notice,
            PreVote: self._on_pre_vote,
            PreVoteReply: self._on_pre_vote_reply,
            ReadReply: self._on_read_reply,
            ReadRequest: self._on_read_request,
            TimeoutNow: self._on_timeout_now,
            Vote: self._on_vote,
            VoteReply: self._on_vote_reply,
        }

    # State

    @property
    def identity(self) -> Member:
        """This replica's address and incarnation."""
        return self.core.identity

    @property
    def term(self) -> int:
        """The current term."""
        return self.core.term

    @property
    def commit_index(self) -> int:
        """The index of the last entry known to be committed."""
        return self.core.commit_index

    @property
    def is_voter(self) -> bool:
        """Whether this replica's log names it as a voter."""
        return self.core.self_is_voter

    def is_ready_leader(self) -> bool:
        """Whether this replica leads and has committed an entry of its term."""
        return self.leadership is not None and self.leadership.is_ready

    def lease_until(self, now: float) -> float:
        """The end of this replica's lease in monotonic seconds; -inf if it does not lead."""
        if self.leadership is None or not self.leadership.is_ready:
            return float("-inf")
        return self.leadership.lease_until(now)

    def confirmed_at(self, now: float) -> float:
        """When a majority last acknowledged this replica as its leader; -inf if it does not lead."""
        if self.leadership is None or not self.leadership.is_ready:
            return float("-inf")
        return self.leadership.confirmed_at(now)

    def last_append_at(self, now: float) -> float:
        """When the last append or snapshot arrived from the leader; `now` on the leader, -inf if never."""
        if self.leadership is not None:
            return now
        return self._follower.last_append_at if self._follower is not None else float("-inf")

    def accepts_proposals(self, now: float) -> bool:
        """Whether this replica accepts proposals: it leads, holds the lease and its disk accepts writes."""
        leadership = self.leadership
        if leadership is None or leadership.is_transferring(now) or self.core.disk_fault(now):
            return False
        return now < leadership.lease_until(now)

    def deadline(self) -> float:
        """When `tick` is due next."""
        if self.leadership is not None:
            return self.leadership.deadline()
        due_at = self._candidacy.deadline if self._candidacy else float("inf")
        if self.core.self_is_voter and not self._candidacy:
            due_at = self._election_deadline
        if self.bootstrap.is_pending:
            due_at = min(due_at, self.bootstrap.next_introduction_at)
        return min(due_at, self._succession.deadline())

    def take_outputs(self) -> Outputs:
        """Return and clear the results of the inputs since the last call."""
        return self.core.take_outputs()

    # Inputs

    def receive(self, sender: Member, to_incarnation: int, message: Message, now: float) -> None:
        """Process a message that was addressed to `to_incarnation`."""
        if sender == self.identity:
            return
        if to_incarnation not in (NO_INCARNATION, self.identity.incarnation):
            if isinstance(message, Append | InstallSnapshot | Beacon):
                self.core.send(sender, BeaconReply(self.term, message.sent_at))
            return
        self._handlers[type(message)](sender, message, now)

    def tick(self, now: float) -> None:
        """Run the timers that are due at `now`."""
        if self.leadership is not None:
            self._tick_leader(self.leadership, now)
            return
        self._succession.tick(self._follower.leader if self._follower else None, now)
        if self.bootstrap.is_pending and self.bootstrap.tick(now):
            self._election_deadline = now
        if self._candidacy is not None:
            if now >= self._candidacy.deadline:
                self._start_pre_vote(now)
        elif self.core.self_is_voter and now >= self._election_deadline:
            self._start_pre_vote(now)

    def confirm(self, sequence: int, now: float) -> None:
        """Record that the disk has synced all writes up to `sequence`."""
        self.core.confirm(sequence, now)
        if self.leadership is not None:
            self.leadership.on_synced(now)
        elif self._candidacy is not None:
            self._candidacy.on_synced()
            self._count_votes(now)
        elif self._follower is not None:
            self._follower.on_synced(now)

    def on_disk_error(self, now: float) -> None:
        """Record that the disk rejected a write; the driver retries the write until it is synced."""
        self.core.disk_rejects_writes = True
        if self.leadership is not None:
            self._tick_leader(self.leadership, now)

    def propose(self, payload: bytes, now: float) -> int:
        """Append a command to this leader's log in the current term; returns its index."""
        assert self.leadership is not None
        return self.leadership.propose(payload, now)

    def read(self, token: int, now: float) -> None:
        """Request a linearizable read; its read index is added to `Outputs.reads` once known.

        Nothing is reported if no leader is known or a message is lost: the caller retries.
        """
        if self.leadership is not None:
            self.leadership.read(token, None, now)
        elif self._follower is not None:
            self.core.send(self._follower.leader, ReadRequest(self.term, token))

    def start_draining(self, now: float) -> None:
        """Announce that this process is about to stop, to transfer leadership and be replaced by a spare."""
        self._succession.draining = True
        if self.leadership is not None:
            self.leadership.start_transfer(now)
            self._tick_leader(self.leadership, now)

    def compact(self, index: int, state: bytes, keep_bytes: int, now: float) -> None:
        """Replace the log up to the committed entry `index` with a snapshot of the state machine.

        Does nothing if `index` is not committed or not in the log any more.
        """
        log = self.core.log
        term = log.term_at(index)
        if term is None or index > self.core.commit_index:
            return
        members_index, members = log.members_at(index)
        snapshot = Snapshot(index, term, members_index, members, state)
        log.compact(snapshot, keep_bytes)
        self.core.persist(now, log.after(index), snapshot)

    # Roles

    def _tick_leader(self, leadership: Leadership, now: float) -> None:
        self.voter.leader_seen_at = max(self.voter.leader_seen_at, leadership.confirmed_at(now))
        if leadership.has_lost_quorum(now):
            self._step_down("majority_lost", now)
            return
        if self._succession.draining or self.core.disk_fault(now):
            self._start_transfer_if_possible(leadership, now)
        if leadership.is_transferring(now) and self._try_to_resign(leadership, now):
            return
        leadership.tick(self.live_controllers, now)
        self._step_down_if_removed(now)

    def _start_transfer_if_possible(self, leadership: Leadership, now: float) -> None:
        if not leadership.is_transferring(now) and leadership.has_healthy_voter(now):
            self.core.log_event("leadership_transfer_started", draining=self._succession.draining)
            leadership.start_transfer(now)

    def _try_to_resign(self, leadership: Leadership, now: float) -> bool:
        successor = leadership.resign(now)
        if successor is None:
            return False
        self.core.log_event("leadership_transferred", successor=successor.address)
        self._step_down("transferred", now)
        self._succession.set_successor(successor, now)
        return True

    def _step_down_if_removed(self, now: float) -> None:
        core = self.core
        if not core.self_is_voter and core.commit_index >= core.log.members_index:
            self._step_down("removed", now)

    def _step_down(self, reason: str, now: float) -> None:
        if self.leadership is not None:
            self.core.log_event("leadership_lost", reason=reason, term=self.term)
            self.voter.leader_seen_at = max(self.voter.leader_seen_at, self.leadership.confirmed_at(now))
        self.role = Role.FOLLOWER
        self.leadership = None
        self.leader = None
        self._candidacy = None
        self._follower = None
        self._reset_election(now)

    def _adopt_term(self, term: int, now: float) -> None:
        self._step_down("higher_term", now)
        self._succession.clear_successor()
        self.core.adopt(term, NO_INCARNATION, now)

    def _follow_leader(self, leader: Member, term: int, now: float) -> Follower:
        if term > self.term:
            self._adopt_term(term, now)
        self.voter.leader_seen_at = now
        self.voter.release()
        self._succession.clear_successor()
        self._reset_election(now)
        if self._follower is None or self._follower.leader != leader:
            self._step_down("other_leader", now)
            self._follower = Follower(self.core, leader)
            self.leader = leader.address
            self.core.log_event("following_leader", leader=leader.address, term=self.term)
        return self._follower

    def _reset_election(self, now: float) -> None:
        timing = self.core.timing
        self._election_deadline = now + self.core.uniform(
            timing.election_timeout_min_s, timing.election_timeout_max_s
        )

    def _start_pre_vote(self, now: float) -> None:
        self._reset_election(now)
        self._candidacy = None
        self.role = Role.FOLLOWER
        core = self.core
        if self._succession.draining or core.disk_fault(now) or self.voter.follows_leader(now):
            return
        if not self.voter.reserve(self.identity.incarnation, now):
            self._election_deadline = now + core.uniform(*WITHDRAWAL_RETRY_RANGE_S)
            return
        self.leader = None
        self._follower = None
        self._start_candidacy(Phase.PRE_VOTE, False, now)

    def _start_candidacy(self, phase: Phase, transfer: bool, now: float) -> None:
        self.role = Role.CANDIDATE
        self._candidacy = Candidacy(self.core, phase, transfer, now)
        self._count_votes(now)

    def _count_votes(self, now: float) -> None:
        candidacy = self._candidacy
        if candidacy is None or not candidacy.won:
            return
        if candidacy.phase is Phase.PRE_VOTE:
            self._start_candidacy(Phase.VOTE, False, now)
        else:
            self._become_leader(now)

    def _become_leader(self, now: float) -> None:
        self.role = Role.LEADER
        self._candidacy = None
        self._follower = None
        self.voter.release()
        self.leader = self.identity.address
        self.core.log_event("leader_elected", term=self.term, voters=len(self.core.log.members))
        self.leadership = Leadership(self.core, self.policy, now)
        self.leadership.advance_commit()

    # Messages

    def _on_pre_vote(self, sender: Member, request: PreVote, now: float) -> None:
        candidacy = self._candidacy
        if candidacy is not None and candidacy.phase is Phase.PRE_VOTE:
            log = self.core.log
            sender_rank = (request.last_term, request.last_index, sender.incarnation)
            if sender_rank > (log.last_term, log.last_index, self.identity.incarnation):
                self._withdraw(now)
        self.voter.on_pre_vote(sender, request, self.leader, now)

    def _withdraw(self, now: float) -> None:
        self.role = Role.FOLLOWER
        self._candidacy = None
        self.voter.release()
        self._election_deadline = now + self.core.uniform(*WITHDRAWAL_RETRY_RANGE_S)

    def _on_pre_vote_reply(self, sender: Member, reply: PreVoteReply, now: float) -> None:
        if reply.term > self.term:
            self._adopt_term(reply.term, now)
            self._election_deadline = now + self.core.uniform(*WITHDRAWAL_RETRY_RANGE_S)
        elif self._candidacy is not None:
            self._candidacy.on_pre_vote_reply(sender, reply)
            self._count_votes(now)
            if not reply.granted and reply.leader is not None and self.leader is None:
                self.leader = reply.leader

    def _on_vote(self, sender: Member, request: Vote, now: float) -> None:
        if request.term > self.term:
            if not request.transfer and self.voter.follows_leader(now):
                return
            self._adopt_term(request.term, now)
        if request.term < self.term:
            self.core.send(sender, VoteReply(self.term, False))
        elif self.voter.on_vote(sender, request, now):
            self._reset_election(now)

    def _on_vote_reply(self, sender: Member, reply: VoteReply, now: float) -> None:
        if reply.term > self.term:
            self._adopt_term(reply.term, now)
        elif self._candidacy is not None:
            self._candidacy.on_vote_reply(sender, reply)
            self._count_votes(now)

    def _on_append(self, sender: Member, message: Append, now: float) -> None:
        if message.term < self.term:
            rejection = AppendReply(self.term, message.sent_at, False, 0, 0, self.core.disk_fault(now))
            self.core.send(sender, rejection)
        else:
            self._follow_leader(sender, message.term, now).on_append(message, now)

    def _on_install_snapshot(self, sender: Member, message: InstallSnapshot, now: float) -> None:
        if message.term >= self.term:
            self._follow_leader(sender, message.term, now).on_snapshot(message, now)

    def _on_append_reply(self, sender: Member, reply: AppendReply, now: float) -> None:
        if reply.term > self.term:
            self._adopt_term(reply.term, now)
        elif self.leadership is not None and reply.term == self.term:
            self.leadership.on_append_reply(sender, reply, now)
            self._resign_if_transferring(now)

    def _on_beacon(self, sender: Member, message: Beacon, now: float) -> None:
        if message.term >= self.term:
            self._follow_leader(sender, message.term, now)
        self.core.send(sender, BeaconReply(self.term, message.sent_at))

    def _on_beacon_reply(self, sender: Member, reply: BeaconReply, now: float) -> None:
        if reply.term > self.term:
            self._adopt_term(reply.term, now)
        elif self.leadership is not None:
            self.leadership.on_beacon_reply(sender, reply.echo, now)

    def _on_introduction(self, sender: Member, message: Introduction, now: float) -> None:
        if self.bootstrap.is_pending:
            self.bootstrap.on_introduction(sender)
            self.bootstrap.next_introduction_at = now

    def _on_drain_notice(self, sender: Member, message: DrainNotice, now: float) -> None:
        if self.leadership is not None:
            self.leadership.membership.on_drain_notice(sender, now)

    def _on_timeout_now(self, sender: Member, message: TimeoutNow, now: float) -> None:
        is_from_leader = self._follower is not None and self._follower.leader == sender
        if message.term == self.term and is_from_leader and self.is_voter and not self.core.disk_fault(now):
            self._start_candidacy(Phase.VOTE, True, now)

    def _on_read_request(self, sender: Member, message: ReadRequest, now: float) -> None:
        if self.leadership is not None and message.term == self.term:
            self.leadership.read(message.token, sender, now)

    def _on_read_reply(self, sender: Member, message: ReadReply, now: float) -> None:
        if message.term == self.term:
            self.core.outputs.reads.append(ReadReady(message.token, message.index))

    def _resign_if_transferring(self, now: float) -> None:
        leadership = self.leadership
        if leadership is not None and leadership.is_transferring(now):
            self._try_to_resign(leadership, now)
