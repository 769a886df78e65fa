"""A replica's view of its group at one moment, for operators."""

from __future__ import annotations

from msgspec import Struct

from firvane.core.address import Address
from firvane.fleet.replication.group import ReplicatedGroup
from firvane.fleet.replication.leadership import Leadership
from firvane.fleet.replication.replica import Role
from firvane.fleet.replication.types import Member


class ReplicaStatus(Struct, frozen=True):
    """One replica of the group; None stands for values that only a leader knows."""

    member: Member
    is_voter: bool
    synced_index: int | None = None  # the log matches the leader's and is synced up to this index
    unresponsive_for_s: float | None = None
    disk_fault: bool = False
    superseded: bool = False  # another incarnation has replied from its address
    draining: bool = False


class GroupStatus(Struct, frozen=True):
    """The group as seen by the replica `own`."""

    own: Member
    role: Role
    owned: bool  # this replica holds the lease
    owner: Address | None
    term: int
    last_index: int
    commit_index: int
    applied_index: int
    replicas: tuple[ReplicaStatus, ...]


def group_status(group: ReplicatedGroup, now: float) -> GroupStatus:
    """The status of a group; progress of other replicas is included only on the leader."""
    replica = group.replica
    core = replica.core
    leadership = replica.leadership
    replicas = _peers_of_leader(leadership, now) if leadership else _other_voters(group)
    own = ReplicaStatus(
        replica.identity, replica.is_voter, core.writes.synced_index, 0.0, core.disk_fault(now)
    )
    return GroupStatus(
        own=replica.identity,
        role=replica.role,
        owned=group.is_owner(now),
        owner=group.owner,
        term=replica.term,
        last_index=core.log.last_index,
        commit_index=core.commit_index,
        applied_index=group.applied_index,
        replicas=(own, *replicas),
    )


def _peers_of_leader(leadership: Leadership, now: float) -> list[ReplicaStatus]:
    return [
        ReplicaStatus(
            peer.member,
            leadership.core.is_voter(peer.member.incarnation),
            peer.match_index,
            now - peer.last_reply_at,
            peer.disk_fault,
            peer.superseded,
            leadership.membership.is_draining(peer.member, now),
        )
        for peer in leadership.peers.values()
    ]


def _other_voters(group: ReplicatedGroup) -> list[ReplicaStatus]:
    own = group.replica.identity
    return [ReplicaStatus(member, True) for member in group.replica.core.log.members if member != own]
