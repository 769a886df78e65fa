"""The answers of several controllers, merged into one view of the fleet. Pure."""

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
    """The answer to a question for members; `AnswerError` where it is none."""
    return _read(body, MembersResponse)


def read_parts(body: bytes) -> PartsResponse:
    """The answer to a question for parts; `AnswerError` where it is none."""
    return _read(body, PartsResponse)


def _read(body: bytes, kind: type[AnswerType]) -> AnswerType:
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise AnswerError(f"the body is not an answer: {error}") from error


def owner_addresses(answer: PartsResponse) -> list[str]:
    """The control addresses of the owners that have to be asked as well, each once."""
    elsewhere = [part.owner_control for part in answer.parts if not part.owned and part.owner_control]
    return list(dict.fromkeys(elsewhere))


def merge_parts(answers: Iterable[PartsResponse]) -> list[PartReport]:
    """Each part as its owner sees it, or as the view with the highest term does where none is the owner's."""
    best: dict[int, PartReport] = {}
    for answer in answers:
        for part in answer.parts:
            known = best.get(part.part)
            if known is None or (part.owned, part.term) > (known.owned, known.term):
                best[part.part] = part
    return [best[number] for number in sorted(best)]


class Behind(msgspec.Struct, frozen=True):
    """Which version is in force where, as some controllers know it together."""

    config_version: int
    """The newest version that any of them knows of."""
    current: list[MemberReport]
    behind: list[MemberReport]
    unknown: list[MemberReport]
    """Live processes that have not reported a version: they have none, or have just started."""

    @property
    def is_well(self) -> bool:
        """Whether the newest version is in force everywhere."""
        return not (self.behind or self.unknown)


def other_controllers(answer: MembersResponse) -> list[str]:
    """The control addresses of the other live controllers."""
    return [
        member.control
        for member in answer.members
        if member.control and member.is_live and member.address != answer.asked
    ]


def merge_versions(answers: Sequence[MembersResponse]) -> Behind:
    """Compare the last report of each live process with the newest version."""
    newest = max(answer.config_version for answer in answers)
    latest: dict[str, MemberReport] = {}
    for answer in answers:
        for member in answer.members:
            known = latest.get(member.address)
            if member.is_live and (known is None or _order(member) > _order(known)):
                latest[member.address] = member
    result = Behind(newest, [], [], [])
    for address in sorted(latest):
        _list_for(latest[address], result).append(latest[address])
    return result


def _order(member: MemberReport) -> tuple[str, int, float]:
    """Later lives first, then higher versions, which only rise in a life, then younger reports."""
    version = -1 if member.config_version is None else member.config_version
    return member.incarnation, version, -(member.report_age_s or 0.0)


def _list_for(member: MemberReport, result: Behind) -> list[MemberReport]:
    if member.config_version is None:
        return result.unknown
    return result.behind if member.config_version < result.config_version else result.current
