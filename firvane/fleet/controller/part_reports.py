"""The state of a part, as its replica here knows it, in the form that operators get. Pure."""

from __future__ import annotations

from collections.abc import Callable

from firvane.core.address import Address
from firvane.fleet.cluster.reports import DECIMALS, PartReport, ReplicaReport, address_text, incarnation_text
from firvane.fleet.controller.replication import GroupStatus
from firvane.fleet.replication.replica import Role
from firvane.fleet.replication.status import ReplicaStatus

CLOSED = "closed"
VOTER, LEARNER, OUTSIDE = "voter", "learner", "outside"
DISK, SUPERSEDED, LEAVING = "disk", "superseded", "leaving"


def part_report(
    part: int,
    status: GroupStatus | None,
    applied_version: int,
    control_address: Callable[[Address], Address],
) -> PartReport:
    """The report of one part; `status` is None until its journal is open."""
    if status is None:
        return PartReport(part, CLOSED, applied_version=applied_version)
    owner = status.owner
    return PartReport(
        part=part,
        role=status.role.name.lower(),
        owned=status.owned,
        owner=address_text(owner) if owner else None,
        owner_control=address_text(control_address(owner)) if owner else None,
        term=status.term,
        last_index=status.last_index,
        commit_index=status.commit_index,
        applied_index=status.applied_index,
        applied_version=applied_version,
        replicas=[_replica_report(replica, status) for replica in status.replicas],
    )


def _replica_report(replica: ReplicaStatus, status: GroupStatus) -> ReplicaReport:
    leads = status.role is Role.LEADER
    synced = replica.synced_index
    silent = replica.unresponsive_for_s
    return ReplicaReport(
        address=address_text(replica.member.address),
        incarnation=incarnation_text(replica.member.incarnation),
        kind=_kind(replica, status),
        synced_index=synced,
        lag=status.last_index - synced if leads and synced is not None else None,
        silent_s=None if silent is None else round(silent, DECIMALS),
        troubles=_troubles(replica),
    )


def _kind(replica: ReplicaStatus, status: GroupStatus) -> str:
    """A replica here that is no voter may be taught or not: only the leader knows."""
    if replica.is_voter:
        return VOTER
    return OUTSIDE if replica.member == status.own else LEARNER


def _troubles(replica: ReplicaStatus) -> list[str]:
    found = {DISK: replica.disk_fault, SUPERSEDED: replica.superseded, LEAVING: replica.draining}
    return [name for name, present in found.items() if present]
