"""The operators' view of the fleet: members, parts, and the hand-over of a part.

Rules that hold here:

1. Members and parts are told as they are known on this controller at this moment, without a majority: they
   are asked for when one is missing.
2. A part is handed over by its owner only, and only in the term that the order names: an order that is sent
   again after it was carried out does not move the part a second time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol, TypedDict

import msgspec

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item, KnownMember, Member, Role
from firvane.fleet.cluster.reports import (
    FleetAnswer,
    HandOverAnswer,
    PartReport,
    PartsAnswer,
    address_text,
    encode_members,
)
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Problem
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY
from firvane.fleet.controller.configuration_service import Outcome
from firvane.fleet.controller.hand_over_order import BadOrderError, HandOver, read_order
from firvane.fleet.controller.part_reports import part_report
from firvane.fleet.controller.replication import GroupStatus, Transfer, TransferStart
from firvane.fleet.partitions import ALL_PARTS, CONFIGURATION_PART

HAND_OVER_TIMEOUT = 0.9  # s; an operator waits a second for an answer

_REFUSALS = {
    TransferStart.NOT_LEADER: ResultCode.NO_OWNER,
    TransferStart.IN_PROGRESS: ResultCode.NO_SUCCESSOR,
    TransferStart.UNKNOWN_VOTER: ResultCode.UNKNOWN_MEMBER,
    TransferStart.NO_HEALTHY_VOTER: ResultCode.NO_SUCCESSOR,
}


class AnswerHead(TypedDict):
    """What all answers begin with, as `FleetAnswer` says."""

    code: int
    result: str
    config_version: int
    asked: str


class Cluster(Protocol):
    """What this service needs of the cluster agent."""

    def known_members(self) -> list[KnownMember]: ...

    def members(self, role: Role | None = None) -> list[Member]: ...

    def item(self, key: bytes) -> Item | None: ...


class Groups(Protocol):
    """What this service needs of the replication host."""

    def status(self, group: int) -> GroupStatus | None: ...

    def is_owner(self, group: int) -> bool: ...

    def owner(self, group: int) -> Address | None: ...

    def term(self, group: int) -> int: ...

    async def transfer(self, group: int, successor: Address | None, timeout: float) -> Transfer: ...


class FleetService:
    """Answers operators' questions about the fleet, and hands parts over."""

    def __init__(
        self,
        own: Address,
        cluster: Cluster,
        groups: Groups,
        applied_versions: Mapping[int, Callable[[], int]],
        control_address: Callable[[Address], Address],
        log: Log,
    ) -> None:
        """`applied_versions` gives for each part the newest version that is applied here."""
        self._own, self._cluster, self._groups = own, cluster, groups
        self._applied_versions, self._control_address = applied_versions, control_address
        self._log = log

    def members(self) -> Outcome:
        """All processes that this one knows of, with the version in force at each."""
        version = self._newest_version()
        document = encode_members(self._own, version, self._cluster.known_members())
        return Outcome(ResultCode.FLEET_STATE, version, document=document)

    def parts(self) -> Outcome:
        """All parts as this controller sees them."""
        code = ResultCode.FLEET_STATE
        parts = [self._part(part) for part in ALL_PARTS]
        return self._answer(code, PartsAnswer(**self._head(code), parts=parts))

    async def hand_over(self, body: bytes) -> Outcome:
        """Pass a part to the controller that the order names, or to the best one."""
        try:
            order = read_order(body)
        except BadOrderError as error:
            return self._refuse(ResultCode.BAD_ARGUMENT, error.problem)
        if not self._groups.is_owner(order.part):
            return self._not_owner(self._groups.owner(order.part))
        successor = self._internal_address(order.successor)
        if successor == self._own:
            return self._handed_over(order.part, self._own)
        term = self._groups.term(order.part)
        if order.term != term:
            problem = Problem(ResultCode.OTHER_TERM, "term", f"is {term} now, not {order.term}")
            return self._refuse(ResultCode.OTHER_TERM, problem)
        return await self._transfer(order, successor)

    async def _transfer(self, order: HandOver, successor: Address | None) -> Outcome:
        transfer = await self._groups.transfer(order.part, successor, HAND_OVER_TIMEOUT)
        self._log.info(
            "leadership_transfer_ended",
            part=order.part,
            successor=address_text(successor) if successor else "any",
            start=transfer.start.value,
            owner=address_text(transfer.owner) if transfer.owner else "",
        )
        code = _REFUSALS.get(transfer.start)
        if code is not None:
            return self._refuse(code, Problem(code, "successor", transfer.start.value))
        if transfer.owner is None:
            return Outcome(ResultCode.UNCLEAR, self._newest_version())
        return self._handed_over(order.part, transfer.owner)

    def _part(self, part: int) -> PartReport:
        version = self._applied_versions[part]()
        return part_report(part, self._groups.status(part), version, self._control_address)

    def _internal_address(self, address: Address | None) -> Address | None:
        """The internal address of the controller that is called at a control address; others as they are."""
        for member in self._cluster.members(Role.CONTROLLER):
            if address is not None and member.control == address:
                return member.address
        return address

    def _newest_version(self) -> int:
        published = self._cluster.item(CONFIGURATION_KEY)
        return max(self._applied_versions[CONFIGURATION_PART](), published.version if published else 0)

    def _head(self, code: ResultCode) -> AnswerHead:
        return AnswerHead(
            code=code.value,
            result=code.name.lower(),
            config_version=self._newest_version(),
            asked=address_text(self._own),
        )

    def _handed_over(self, part: int, owner: Address) -> Outcome:
        code = ResultCode.HANDED_OVER
        return self._answer(code, HandOverAnswer(**self._head(code), part=part, owner=address_text(owner)))

    @staticmethod
    def _answer(code: ResultCode, answer: FleetAnswer) -> Outcome:
        return Outcome(code, answer.config_version, document=msgspec.json.encode(answer))

    def _refuse(self, code: ResultCode, problem: Problem) -> Outcome:
        return Outcome(code, self._newest_version(), (problem,))

    def _not_owner(self, owner: Address | None) -> Outcome:
        if owner is None or owner == self._own:
            return Outcome(ResultCode.NO_OWNER, self._newest_version())
        return Outcome(ResultCode.OTHER_PART_OWNER, self._newest_version(), owner=owner)
