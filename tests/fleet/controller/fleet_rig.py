"""The fleet service with a fake cluster and fake replication groups."""

from __future__ import annotations

from firvane.core.address import Address
from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Item, KnownMember, Member, Role
from firvane.fleet.controller.configuration_publisher import CONFIGURATION_KEY
from firvane.fleet.controller.fleet_service import FleetService
from firvane.fleet.controller.replication_host import GroupStatus, Transfer, TransferStart
from firvane.fleet.membership.members import MemberState, Status
from firvane.fleet.partitions import ALL_PARTITIONS
from firvane.fleet.replication.replica import Role as ReplicaRole
from firvane.fleet.replication.status import ReplicaStatus
from firvane.fleet.replication.types import Member as Replica

OWN: Address = ("10.0.0.1", 7300)
OTHER: Address = ("10.0.0.2", 7300)
ROUTER: Address = ("10.0.0.9", 7300)
CONTROL_PORT = 8262
OWN_PARTITION, OTHER_PARTITION, CLOSED_PARTITION = ALL_PARTITIONS
TERM = 4


def controller(address: Address, incarnation: int = 5) -> Member:
    return Member(address, Role.CONTROLLER, "east", (address[0], CONTROL_PORT), incarnation)


def known(member: Member, status: Status = Status.ALIVE, version: int | None = None) -> KnownMember:
    return KnownMember(MemberState(member, status, 12.3456), version, None if version is None else 0.25)


class FakeCluster:
    """A fake cluster agent."""

    def __init__(self) -> None:
        self.known = [
            known(controller(OWN), version=7),
            known(controller(OTHER), Status.SUSPECT),
            known(Member(ROUTER, Role.ROUTER, "west", None, 2**63), version=6),
        ]
        self.published = 8

    def known_members(self) -> list[KnownMember]:
        return self.known

    def members(self, role: Role | None = None) -> list[Member]:
        return [each.state.member for each in self.known if each.state.member.role is role]

    def item(self, key: bytes) -> Item | None:
        return Item(key, self.published, b"") if key == CONFIGURATION_KEY else None


class FakeGroups:
    """Three fake groups: this controller owns the first, another the second; the third is not open."""

    def __init__(self) -> None:
        self.owners: dict[int, Address | None] = {
            OWN_PARTITION: OWN,
            OTHER_PARTITION: OTHER,
            CLOSED_PARTITION: None,
        }
        self.start = TransferStart.STARTED
        self.successor: Address | None = OTHER
        self.transfers: list[tuple[int, Address | None]] = []

    def status(self, group: int) -> GroupStatus | None:
        if group == CLOSED_PARTITION:
            return None
        leads = self.owners[group] == OWN
        own = ReplicaStatus(Replica(OWN, 11), True, 40, 0.0)
        if leads:
            other = ReplicaStatus(Replica(OTHER, 12), True, 37, 0.05, disk_fault=True, draining=True)
            learner = ReplicaStatus(Replica(ROUTER, 13), False, 0, 2.0, superseded=True)
            others = (other, learner)
        else:
            others = (ReplicaStatus(Replica(OTHER, 12), True),)
        return GroupStatus(
            own=own.member,
            role=ReplicaRole.LEADER if leads else ReplicaRole.FOLLOWER,
            owned=leads,
            owner=self.owners[group],
            term=TERM,
            last_index=40,
            commit_index=39,
            applied_index=38,
            replicas=(own, *others),
        )

    def is_owner(self, group: int) -> bool:
        return self.owners[group] == OWN

    def owner(self, group: int) -> Address | None:
        return self.owners[group]

    def term(self, group: int) -> int:
        return TERM

    async def transfer(self, group: int, successor: Address | None, timeout: float) -> Transfer:
        self.transfers.append((group, successor))
        return Transfer(self.start, self.successor if self.start is TransferStart.STARTED else None)


class FleetRig:
    """The fleet service with its fakes."""

    def __init__(self) -> None:
        self.cluster, self.groups = FakeCluster(), FakeGroups()
        applied = {OWN_PARTITION: lambda: 7, OTHER_PARTITION: lambda: 3, CLOSED_PARTITION: lambda: 0}
        self.service = FleetService(
            OWN, self.cluster, self.groups, applied, lambda internal: (internal[0], CONTROL_PORT), QUIET
        )
