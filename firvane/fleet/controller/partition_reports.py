"""Converts the status of a partition, as the local replica knows it, to the report for operators."""

from __future__ import annotations

from collections.abc import Callable

from firvane.core.address import Address
from firvane.fleet.cluster.reports import (
    DECIMALS,
    PartReport,
    ReplicaReport,
    format_address,
    format_incarnation,
)
from firvane.fleet.controller.replication_host import GroupStatus
from firvane.fleet.replication.replica import Role
from firvane.fleet.replication.status import ReplicaStatus

CLOSED = "closed"
VOTER = "voter"
LEARNER = "learner"
OUTSIDE = "outside"
DISK_FAULT = "disk"
SUPERSEDED = "superseded"
DRAINING = "leaving"


def partition_report(
    partition: int,
    status: GroupStatus | None,
    applied_version: int,
    control_address: Callable[[Address], Address],
) -> PartReport:
    """The report of one partition; `status` is None until its journal is open."""
    if status is None:
        return PartReport(partition, CLOSED, applied_version=applied_version)
    owner = status.owner
    return PartReport(
        part=partition,
        role=status.role.name.lower(),
        owned=status.owned,
        owner=format_address(owner) if owner else None,
        owner_control=format_address(control_address(owner)) if owner else None,
        term=status.term,
        last_index=status.last_index,
        commit_index=status.commit_index,
        applied_index=status.applied_index,
        applied_version=applied_version,
        replicas=[_replica_report(replica, status) for replica in status.replicas],
    )


def _replica_report(replica: ReplicaStatus, status: GroupStatus) -> ReplicaReport:
    is_leader = status.role is Role.LEADER
    synced = replica.synced_index
    unresponsive_s = replica.unresponsive_for_s
    return ReplicaReport(
        address=format_address(replica.member.address),
        incarnation=format_incarnation(replica.member.incarnation),
        kind=_kind(replica, status),
        synced_index=synced,
        lag=status.last_index - synced if is_leader and synced is not None else None,
        silent_s=None if unresponsive_s is None else round(unresponsive_s, DECIMALS),
        troubles=_faults(replica),
    )


def _kind(replica: ReplicaStatus, status: GroupStatus) -> str:
    """The kind of a replica; a replica reports itself as outside, as only the leader knows learners."""
    if replica.is_voter:
        return VOTER
    return OUTSIDE if replica.member == status.own else LEARNER


def _faults(replica: ReplicaStatus) -> list[str]:
    faults = {DISK_FAULT: replica.disk_fault, SUPERSEDED: replica.superseded, DRAINING: replica.draining}
    return [name for name, present in faults.items() if present]
