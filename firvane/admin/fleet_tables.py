"""The state of the fleet as text for a terminal. Pure."""

from __future__ import annotations

from collections.abc import Sequence

from firvane.admin.fleet_views import Behind
from firvane.admin.tables import cell, format_table, seconds
from firvane.fleet.cluster.reports import MemberReport, MembersResponse, PartReport, ReplicaReport

MEMBER_TITLES = ("ADDRESS", "ROLE", "ZONE", "STATE", "FOR", "VERSION", "INCARNATION", "CONTROL")
REPLICA_TITLES = ("  REPLICA", "KIND", "SYNCED", "LAG", "SILENT", "TROUBLES", "INCARNATION")
BEHIND_TITLES = ("ADDRESS", "ROLE", "ZONE", "STATE", "VERSION", "REPORTED")


def members_table(answer: MembersResponse) -> str:
    """One line for each process, in the order of their addresses."""
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
    """A line and a table of replicas for each part."""
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


def behind_text(found: Behind) -> str:
    """How many have the newest version, and a table of the others."""
    total = len(found.current) + len(found.behind) + len(found.unknown)
    line = f"version {found.config_version} is in force at {len(found.current)} of {total} processes"
    rest = [*found.behind, *found.unknown]
    if not rest:
        return line
    return f"{line}\n{format_table(BEHIND_TITLES, [_behind_row(member) for member in rest])}"


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
