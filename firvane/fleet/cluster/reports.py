"""Reports on the fleet for operators: the JSON types that their client reads."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from firvane.core.address import Address
from firvane.fleet.cluster.core import KnownMember
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.membership.members import Status

DECIMALS = 3  # to which seconds are rounded


class MemberReport(msgspec.Struct, frozen=True):
    """A process of the fleet in the view of the responding process. Addresses are `HOST:PORT`."""

    address: str
    """Internal address, which identifies the process."""
    role: str
    """`router` or `controller`."""
    zone: str
    state: str
    """`alive`, `suspect`, `dead` or `left`; dead and left members are reported for half a minute."""
    state_age_s: float
    """Seconds for which the member has been in this state in that view."""
    incarnation: str
    """16 hexadecimal digits, since not every JSON parser preserves 64-bit integers; rises with each start."""
    control: str | None = None
    """Address of the operators' API, controllers only."""
    config_version: int | None = None
    """The version that the member applies; None if the responding process has received no report of it."""
    report_age_s: float | None = None  # since that report arrived

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live, as a suspected member still does."""
        return self.state in LIVE_STATES


LIVE_STATES = (Status.ALIVE.name.lower(), Status.SUSPECT.name.lower())


class ReplicaReport(msgspec.Struct, frozen=True):
    """One replica of a part (partition); None for values of other replicas that only the owner knows."""

    address: str
    incarnation: str
    kind: str
    """`voter`, `learner`, or `outside` for the responding process if it is not a voter."""
    synced_index: int | None = None
    """The last log index that is synced to the replica's disk."""
    lag: int | None = None
    """Number of entries between `synced_index` and the owner's last entry."""
    silent_s: float | None = None  # for which the replica has not responded to the owner
    troubles: list[str] = []
    """`disk`, `superseded` (the replica has lost its disk), `leaving`."""


class PartReport(msgspec.Struct, frozen=True):
    """One part (partition) in the view of the responding controller."""

    part: int
    role: str
    """The responding controller's role: `leader`, `follower`, `candidate`, or `closed` before its start."""
    owned: bool = False
    """Whether the responding controller is certain to own the part."""
    owner: str | None = None
    owner_control: str | None = None
    term: int = 0
    last_index: int = 0
    commit_index: int = 0
    applied_index: int = 0
    applied_version: int = 0
    """In part 0 the configuration's version, in other parts the highest version of any service's record."""
    replicas: list[ReplicaReport] = []


class FleetResponse(msgspec.Struct, frozen=True, kw_only=True):
    """The fields that all responses have."""

    code: int
    result: str
    config_version: int
    """The newest version of the configuration known to the responding process."""
    asked: str
    """Internal address of the responding process."""


class MembersResponse(FleetResponse, frozen=True, kw_only=True):
    """The response to `GET /v1/fleet/members`; the responding process comes first."""

    members: list[MemberReport]


class PartsResponse(FleetResponse, frozen=True, kw_only=True):
    """The response to `GET /v1/fleet/parts`."""

    parts: list[PartReport]


class HandOverRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The request body of `POST /v1/fleet/hand-over`."""

    part: int
    term: int
    """The part's term that the client has read; a part whose owner has changed since is not handed over."""
    successor: str | None = None
    """Internal or control address of the new owner; None to have the best one chosen."""


class HandOverResponse(FleetResponse, frozen=True, kw_only=True):
    """The response to a completed hand-over."""

    part: int
    owner: str


def encode_members(own: Address, config_version: int, known_members: Iterable[KnownMember]) -> bytes:
    """Return the response to `GET /v1/fleet/members` of the process with the internal address `own`."""
    code = ResultCode.FLEET_STATE
    response = MembersResponse(
        code=code.value,
        result=code.name.lower(),
        config_version=config_version,
        asked=format_address(own),
        members=[_member_report(member) for member in known_members],
    )
    return msgspec.json.encode(response)


def format_address(address: Address) -> str:
    """`HOST:PORT`."""
    return f"{address[0]}:{address[1]}"


def format_incarnation(incarnation: int) -> str:
    """Return an incarnation as 16 hexadecimal digits."""
    return f"{incarnation:016x}"


def _member_report(known: KnownMember) -> MemberReport:
    member = known.state.member
    return MemberReport(
        address=format_address(member.address),
        role=member.role.name.lower(),
        zone=member.zone,
        state=known.state.status.name.lower(),
        state_age_s=round(known.state.age, DECIMALS),
        incarnation=format_incarnation(member.incarnation),
        control=format_address(member.control) if member.control else None,
        config_version=known.applied_version,
        report_age_s=None if known.report_age is None else round(known.report_age, DECIMALS),
    )
