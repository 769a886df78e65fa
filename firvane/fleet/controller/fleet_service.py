"""Operators' calls about the fleet: its members, its partitions, and transfers of a partition's leadership.

Invariants:

1. Members and partitions are reported from local knowledge, without a quorum read: operators need the
   reports when there is no majority.
2. Only the owner transfers a partition, and only in the term given in the order, so that a repeated order
   does not transfer the partition a second time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol, TypedDict

import msgspec

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.cluster.agent import Item, KnownMember, Member, Role
from firvane.fleet.cluster.reports import (
    FleetResponse,
    HandOverResponse,
    PartReport,
    PartsResponse,
    encode_members,
    format_address,
)
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Problem
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY
from firvane.fleet.controller.configuration_service import Outcome
from firvane.fleet.controller.partition_reports import partition_report
from firvane.fleet.controller.replication_host import GroupStatus, Transfer, TransferStart
from firvane.fleet.controller.transfer_order import (
    InvalidTransferOrderError,
    TransferOrder,
    parse_transfer_order,
)
from firvane.fleet.partitions import ALL_PARTITIONS, CONFIGURATION_PARTITION

TRANSFER_TIMEOUT_S = 0.9  # operators' calls time out after 1 s

_REJECTION_CODES = {
    TransferStart.NOT_LEADER: ResultCode.NO_OWNER,
    TransferStart.IN_PROGRESS: ResultCode.NO_SUCCESSOR,
    TransferStart.UNKNOWN_VOTER: ResultCode.UNKNOWN_MEMBER,
    TransferStart.NO_HEALTHY_VOTER: ResultCode.NO_SUCCESSOR,
}


class CommonFields(TypedDict):
    """The fields common to every `FleetResponse`."""

    code: int
    result: str
    config_version: int
    asked: str


class Cluster(Protocol):
    """The methods of the cluster agent that this service uses."""

    def known_members(self) -> list[KnownMember]:
        """All known members, including those that are not live."""

    def members(self, role: Role | None = None) -> list[Member]:
        """The live members of a role, or of all roles."""

    def item(self, key: bytes) -> Item | None:
        """The newest known item of a key."""


class Groups(Protocol):
    """The methods of the replication host that this service uses."""

    def status(self, group: int) -> GroupStatus | None:
        """The status of a group; None until its journal is open."""

    def is_owner(self, group: int) -> bool:
        """Whether this controller owns the group."""

    def owner(self, group: int) -> Address | None:
        """The owner, if this controller knows it."""

    def term(self, group: int) -> int:
        """The newest term that this controller knows."""

    async def transfer(self, group: int, successor: Address | None, timeout_s: float) -> Transfer:
        """Transfer leadership to `successor`, or to any healthy voter if None."""


class FleetService:
    """Reports the state of the fleet to operators, and transfers partitions."""

    def __init__(
        self,
        own_address: Address,
        cluster: Cluster,
        groups: Groups,
        applied_versions: Mapping[int, Callable[[], int]],
        control_address: Callable[[Address], Address],
        log: Log,
    ) -> None:
        """Create the service.

        Args:
            own_address: The internal address of this controller.
            cluster: The cluster agent.
            groups: The replication host.
            applied_versions: For each partition, a function that returns the newest version applied here.
            control_address: Maps a controller's internal address to that of its operator API.
            log: The log.
        """
        self._own_address = own_address
        self._cluster = cluster
        self._groups = groups
        self._applied_versions = applied_versions
        self._control_address = control_address
        self._log = log

    def members(self) -> Outcome:
        """All known processes, with the configuration version in force at each."""
        version = self._newest_version()
        document = encode_members(self._own_address, version, self._cluster.known_members())
        return Outcome(ResultCode.FLEET_STATE, version, document=document)

    def partitions(self) -> Outcome:
        """The status of all partitions as this controller knows it."""
        code = ResultCode.FLEET_STATE
        partitions = [self._partition_report(partition) for partition in ALL_PARTITIONS]
        return self._respond(code, PartsResponse(**self._common_fields(code), parts=partitions))

    async def transfer_leadership(self, body: bytes) -> Outcome:
        """Transfer a partition to the successor given in the order, or to any healthy voter."""
        try:
            order = parse_transfer_order(body)
        except InvalidTransferOrderError as error:
            return self._reject(ResultCode.BAD_ARGUMENT, error.problem)
        if not self._groups.is_owner(order.partition):
            return self._redirect_to_owner(self._groups.owner(order.partition))
        successor = self._internal_address(order.successor)
        if successor == self._own_address:
            return self._transferred(order.partition, self._own_address)
        term = self._groups.term(order.partition)
        if order.term != term:
            problem = Problem(ResultCode.OTHER_TERM, "term", f"is {term} now, not {order.term}")
            return self._reject(ResultCode.OTHER_TERM, problem)
        return await self._transfer(order, successor)

    async def _transfer(self, order: TransferOrder, successor: Address | None) -> Outcome:
        transfer = await self._groups.transfer(order.partition, successor, TRANSFER_TIMEOUT_S)
        self._log.info(
            "leadership_transfer_ended",
            partition=order.partition,
            successor=format_address(successor) if successor else "any",
            start=transfer.start.value,
            owner=format_address(transfer.owner) if transfer.owner else "",
        )
        code = _REJECTION_CODES.get(transfer.start)
        if code is not None:
            return self._reject(code, Problem(code, "successor", transfer.start.value))
        if transfer.owner is None:
            return Outcome(ResultCode.UNCLEAR, self._newest_version())
        return self._transferred(order.partition, transfer.owner)

    def _partition_report(self, partition: int) -> PartReport:
        version = self._applied_versions[partition]()
        return partition_report(partition, self._groups.status(partition), version, self._control_address)

    def _internal_address(self, address: Address | None) -> Address | None:
        """Map a controller's control address to its internal address; return others unchanged."""
        for member in self._cluster.members(Role.CONTROLLER):
            if address is not None and member.control == address:
                return member.address
        return address

    def _newest_version(self) -> int:
        published = self._cluster.item(CONFIGURATION_KEY)
        return max(self._applied_versions[CONFIGURATION_PARTITION](), published.version if published else 0)

    def _common_fields(self, code: ResultCode) -> CommonFields:
        return CommonFields(
            code=code.value,
            result=code.name.lower(),
            config_version=self._newest_version(),
            asked=format_address(self._own_address),
        )

    def _transferred(self, partition: int, owner: Address) -> Outcome:
        code = ResultCode.HANDED_OVER
        return self._respond(
            code, HandOverResponse(**self._common_fields(code), part=partition, owner=format_address(owner))
        )

    @staticmethod
    def _respond(code: ResultCode, response: FleetResponse) -> Outcome:
        return Outcome(code, response.config_version, document=msgspec.json.encode(response))

    def _reject(self, code: ResultCode, problem: Problem) -> Outcome:
        return Outcome(code, self._newest_version(), (problem,))

    def _redirect_to_owner(self, owner: Address | None) -> Outcome:
        if owner is None or owner == self._own_address:
            return Outcome(ResultCode.NO_OWNER, self._newest_version())
        return Outcome(ResultCode.OTHER_PART_OWNER, self._newest_version(), owner=owner)
