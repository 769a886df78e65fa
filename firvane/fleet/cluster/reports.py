"""Reports on the fleet for operators: the JSON types that their client reads."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from firvane.core.address import Address
from firvane.fleet.cluster.core import KnownMember
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.membership.members import Status

DECIMALS = 3  # of seconds


class MemberReport(msgspec.Struct, frozen=True):
    """A process of the fleet as the responding one sees it. Addresses are `HOST:PORT`."""

    address: str
    """Internal address: the name of the process."""
    role: str
    """`router` or `controller`."""
    zone: str
    state: str
    """`alive`, `suspect`, `dead` or `left`; the last two are kept for half a minute."""
    state_age_s: float
    """Seconds for which it has been seen in this state."""
    incarnation: str
    """16 hexadecimal digits, since not every reader of JSON keeps 64 bits; higher after each start."""
    control: str | None = None
    """Address of the operators' API, controllers only."""
    config_version: int | None = None
    """The version in force there; None where it was not reported to the responding process."""
    report_age_s: float | None = None

    @property
    def is_live(self) -> bool:
        """Whether it counts as live; a suspected one still does."""
        return self.state in LIVE_STATES


LIVE_STATES = (Status.ALIVE.name.lower(), Status.SUSPECT.name.lower())


class ReplicaReport(msgspec.Struct, frozen=True):
    """One replica of a part; None stands for what only the owner knows of others."""

    address: str
    incarnation: str
    kind: str
    """`voter`, `learner`, or `outside`: the responding process itself is no voter."""
    synced_index: int | None = None
    """Its disk holds the log up to here."""
    lag: int | None = None
    """Entries between that and the owner's last one."""
    silent_s: float | None = None
    troubles: list[str] = []
    """`disk`, `superseded` (it has lost its disk), `leaving`."""


class PartReport(msgspec.Struct, frozen=True):
    """One part as the responding controller sees it."""

    part: int
    role: str
    """Of the responding controller: `leader`, `follower`, `candidate`, or `closed` before it has started."""
    owned: bool = False
    """Whether the responding controller surely owns the part."""
    owner: str | None = None
    owner_control: str | None = None
    term: int = 0
    last_index: int = 0
    commit_index: int = 0
    applied_index: int = 0
    applied_version: int = 0
    """Part 0: the configuration's version. Others: the highest version of a service's record."""
    replicas: list[ReplicaReport] = []


class FleetResponse(msgspec.Struct, frozen=True, kw_only=True):
    """Fields of all responses."""

    code: int
    result: str
    config_version: int
    """The newest version that the responding process knows of."""
    asked: str
    """Internal address of the responding process."""


class MembersResponse(FleetResponse, frozen=True, kw_only=True):
    """The response to `GET /v1/fleet/members`; the responding process comes first."""

    members: list[MemberReport]


class PartsResponse(FleetResponse, frozen=True, kw_only=True):
    """The response to `GET /v1/fleet/parts`."""

    parts: list[PartReport]


class HandOverRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /v1/fleet/hand-over`."""

    part: int
    term: int
    """The part's term that the request rests on: a part whose owner has changed since is left alone."""
    successor: str | None = None
    """Internal or control address; None for the best one."""


class HandOverResponse(FleetResponse, frozen=True, kw_only=True):
    """The response to a hand-over that was carried out."""

    part: int
    owner: str


def encode_members(own: Address, config_version: int, known: Iterable[KnownMember]) -> bytes:
    """Return the members response of the process with the internal address `own`."""
    code = ResultCode.FLEET_STATE
    answer = MembersResponse(
        code=code.value,
        result=code.name.lower(),
        config_version=config_version,
        asked=address_text(own),
        members=[_member_report(each) for each in known],
    )
    return msgspec.json.encode(answer)


def address_text(address: Address) -> str:
    """`HOST:PORT`."""
    return f"{address[0]}:{address[1]}"


def incarnation_text(incarnation: int) -> str:
    """An incarnation as 16 hexadecimal digits."""
    return f"{incarnation:016x}"


def _member_report(known: KnownMember) -> MemberReport:
    member = known.state.member
    return MemberReport(
        address=address_text(member.address),
        role=member.role.name.lower(),
        zone=member.zone,
        state=known.state.status.name.lower(),
        state_age_s=round(known.state.age, DECIMALS),
        incarnation=incarnation_text(member.incarnation),
        control=address_text(member.control) if member.control else None,
        config_version=known.applied_version,
        report_age_s=None if known.report_age is None else round(known.report_age, DECIMALS),
    )
