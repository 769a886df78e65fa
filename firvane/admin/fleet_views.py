"""Merges the answers of several controllers into one view of the fleet. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import TypeVar

import msgspec

from firvane.admin.answers import AnswerError
from firvane.fleet.cluster.reports import (
    FleetResponse,
    MemberReport,
    MembersResponse,
    PartReport,
    PartsResponse,
)

AnswerType = TypeVar("AnswerType", bound=FleetResponse)


def read_members(body: bytes) -> MembersResponse:
    """Return the answer to a query for members; raises `AnswerError` for an invalid body."""
    return _read(body, MembersResponse)


def read_parts(body: bytes) -> PartsResponse:
    """Return the answer to a query for parts; raises `AnswerError` for an invalid body."""
    return _read(body, PartsResponse)


def _read(body: bytes, kind: type[AnswerType]) -> AnswerType:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AnswerError(f"the body is not an answer: {error}") from error


def owner_addresses(answer: PartsResponse) -> list[str]:
    """Return the control addresses, without duplicates, of owners other than the queried controller."""
    elsewhere = [part.owner_control for part in answer.parts if not part.owned and part.owner_control]
    return list(dict.fromkeys(elsewhere))


def merge_parts(answers: Iterable[PartsResponse]) -> list[PartReport]:
    """Return each part as its owner reports it, or else as reported with the highest term."""
    best: dict[int, PartReport] = {}
    for answer in answers:
        for part in answer.parts:
            known = best.get(part.part)
            if known is None or (part.owned, part.term) > (known.owned, known.term):
                best[part.part] = part
    return [best[number] for number in sorted(best)]


class VersionReport(msgspec.Struct, frozen=True):
    """The versions in force at the live processes, merged from the answers of some controllers."""

    config_version: int
    """The newest version that any of the controllers knows."""
    current: list[MemberReport]
    behind: list[MemberReport]
    unknown: list[MemberReport]
    """Live processes that have not reported a version: they have none, or have just started."""

    @property
    def is_current(self) -> bool:
        """Whether the newest version is in force everywhere."""
        return not (self.behind or self.unknown)


def other_controllers(answer: MembersResponse) -> list[str]:
    """Return the control addresses of the live controllers other than the queried one."""
    return [
        member.control
        for member in answer.members
        if member.control and member.is_live and member.address != answer.asked
    ]


def merge_versions(answers: Sequence[MembersResponse]) -> VersionReport:
    """Compare the last report of each live process with the newest version."""
    newest = max(answer.config_version for answer in answers)
    latest: dict[str, MemberReport] = {}
    for answer in answers:
        for member in answer.members:
            known = latest.get(member.address)
            if member.is_live and (known is None or _recency(member) > _recency(known)):
                latest[member.address] = member
    result = VersionReport(newest, [], [], [])
    for address in sorted(latest):
        _list_of(latest[address], result).append(latest[address])
    return result


def _recency(member: MemberReport) -> tuple[str, int, float]:
    """Return a sort key: incarnation, then version, which only rises within an incarnation, then recency."""
    version = -1 if member.config_version is None else member.config_version
    return member.incarnation, version, -(member.report_age_s or 0.0)


def _list_of(member: MemberReport, result: VersionReport) -> list[MemberReport]:
    if member.config_version is None:
        return result.unknown
    return result.behind if member.config_version < result.config_version else result.current
