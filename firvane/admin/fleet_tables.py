"""Formats the state of the fleet for a terminal. No I/O."""

from __future__ import annotations

from collections.abc import Sequence

from firvane.admin.fleet_views import VersionReport
from firvane.admin.tables import cell, format_table, seconds
from firvane.fleet.cluster.reports import MemberReport, MembersResponse, PartReport, ReplicaReport

MEMBER_TITLES = ("ADDRESS", "ROLE", "ZONE", "STATE", "FOR", "VERSION", "INCARNATION", "CONTROL")
REPLICA_TITLES = ("  REPLICA", "KIND", "SYNCED", "LAG", "SILENT", "TROUBLES", "INCARNATION")
BEHIND_TITLES = ("ADDRESS", "ROLE", "ZONE", "STATE", "VERSION", "REPORTED")


def members_table(answer: MembersResponse) -> str:
    """Return a table of the processes, ordered by role, zone and address."""
    ordered = sorted(answer.members, key=lambda member: (member.role, member.zone, member.address))
    return format_table(MEMBER_TITLES, [_member_row(member) for member in ordered])


def _member_row(member: MemberReport) -> list[str]:
    return [
        cell(member.address),
        cell(member.role),
        cell(member.zone),
        cell(member.state),
        seconds(member.state_age_s),
        cell(member.config_version),
        cell(member.incarnation),
        cell(member.control),
    ]


def parts_table(parts: Sequence[PartReport]) -> str:
    """Return a line and a table of replicas for each part."""
    return "\n\n".join(_part_text(part) for part in parts)


def _part_text(part: PartReport) -> str:
    owner = cell(part.owner) if part.owned else "nobody that answers"
    line = (
        f"part {part.part}: owned by {owner}, term {part.term}, last {part.last_index},"
        f" commit {part.commit_index}, applied {part.applied_index}, version {part.applied_version}"
    )
    table = format_table(REPLICA_TITLES, [_replica_row(replica) for replica in part.replicas])
    return f"{line}\n{table}"


def _replica_row(replica: ReplicaReport) -> list[str]:
    return [
        f"  {cell(replica.address)}",
        cell(replica.kind),
        cell(replica.synced_index),
        cell(replica.lag),
        seconds(replica.silent_s),
        cell(", ".join(replica.troubles)),
        cell(replica.incarnation),
    ]


def behind_text(report: VersionReport) -> str:
    """Return how many processes have the newest version, and a table of the others."""
    total = len(report.current) + len(report.behind) + len(report.unknown)
    line = f"version {report.config_version} is in force at {len(report.current)} of {total} processes"
    outdated = [*report.behind, *report.unknown]
    if not outdated:
        return line
    return f"{line}\n{format_table(BEHIND_TITLES, [_behind_row(member) for member in outdated])}"


def _behind_row(member: MemberReport) -> list[str]:
    age = member.report_age_s
    return [
        cell(member.address),
        cell(member.role),
        cell(member.zone),
        cell(member.state),
        cell(member.config_version),
        UNREPORTED if age is None else f"{seconds(age)} ago",
    ]


UNREPORTED = "never"
