"""A controller proves and grants only while it surely may."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from firvane.core.address import Address
from firvane.core.logs import QUIET
from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.controller.tenant_service import MAX_PROOF_AGE_S, TenantService
from firvane.fleet.partitions import CONFIGURATION_PARTITION, partition_of
from firvane.fleet.replication.proposals import ProposalResult, ProposalStatus
from firvane.fleet.tenancy.floors import Floors, FloorsRecord, unpack_floors
from firvane.fleet.tenancy.messages import (
    FreshnessProof,
    FreshnessRequest,
    GrantStatus,
    QuotaGrant,
    QuotaRequest,
    Record,
    decode,
    encode,
    tenant_id,
)
from firvane.fleet.tenancy.quota import QuotaRules

OWN: Address = ("10.0.0.1", 1)
OTHER: Address = ("10.0.0.2", 1)
ROUTER: Address = ("10.1.0.1", 1)
TENANT = "t"
PART = partition_of(TENANT)


@dataclass
class Replication:
    age: float | None = 0.2
    owned: set[int] = field(default_factory=set)
    leader: Address | None = OTHER
    proposed: list[tuple[int, FloorsRecord]] = field(default_factory=list)

    def is_owner(self, group: int) -> bool:
        return group in self.owned

    def owner(self, group: int) -> Address | None:
        return self.leader

    async def propose(self, group: int, payload: bytes, timeout: float) -> ProposalResult:
        self.proposed.append((group, unpack_floors(payload)))
        return ProposalResult(ProposalStatus.UNCLEAR)

    def state_age(self, group: int) -> float | None:
        return self.age if group == CONFIGURATION_PARTITION else None


class Service:
    """A service whose answers are kept."""

    def __init__(self, replication: Replication) -> None:
        self.sent: list[tuple[Address, Record]] = []
        self.floors = {1: Floors(), 2: Floors()}
        self.service = TenantService(
            QuotaRules(),
            asyncio.get_running_loop(),
            replication,
            self.floors,
            lambda: 7,
            OWN,
            lambda to, payload: self.sent.append((to, decode(payload))),
            QUIET,
        )

    def ask(self, record: Record) -> Record:
        self.service.receive(ROUTER, encode(record))
        to, answer = self.sent.pop()
        assert to == ROUTER and not self.sent
        return answer


def ask() -> QuotaRequest:
    return QuotaRequest(5, tenant_id(TENANT), PART, 10, 0, 0)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def inside() -> None:
        await test()

    asyncio.run(inside())


def test_the_age_of_the_state_is_told_with_its_version() -> None:
    async def test() -> None:
        proof = Service(Replication()).ask(FreshnessRequest(3))
        assert isinstance(proof, FreshnessProof)
        assert proof.nonce == 3 and proof.version == 7
        assert proof.age is not None and 0.2 <= proof.age <= 0.202

    run(test)


def test_who_has_not_heard_of_a_majority_lately_names_another() -> None:
    async def test() -> None:
        for age in (None, MAX_PROOF_AGE_S + 0.01):
            assert Service(Replication(age=age)).ask(FreshnessRequest(3)) == FreshnessProof(3, 0, None, OTHER)

    run(test)


def test_who_knows_nobody_else_names_nobody() -> None:
    async def test() -> None:
        for leader in (None, OWN):
            assert Service(Replication(None, leader=leader)).ask(FreshnessRequest(3)) == FreshnessProof(
                3, 0, None, None
            )

    run(test)


def test_only_the_owner_under_its_lease_grants() -> None:
    async def test() -> None:
        replication = Replication()
        service = Service(replication)
        service.floors[PART][tenant_id(TENANT)] = 1_000
        service.service.configure([Tenant(TENANT, rate=1e12, burst=1e12)])
        assert service.ask(ask()) == QuotaGrant(5, GrantStatus.NOT_OWNER, 0, 0.0, OTHER)
        replication.owned.add(PART)
        assert service.ask(ask()) == QuotaGrant(5, GrantStatus.NOT_OWNER, 0, 0.0, None)  # not told of it yet
        service.service.on_ownership_changed(PART, True)
        granted = service.ask(ask())
        assert isinstance(granted, QuotaGrant) and granted.status is GrantStatus.GRANTED
        replication.owned.clear()  # its lease is over, before it was told so
        assert service.ask(ask()) == QuotaGrant(5, GrantStatus.NOT_OWNER, 0, 0.0, OTHER)

    run(test)


def test_an_ask_waits_for_the_floor_that_it_needs_and_is_answered_once_that_is_committed() -> None:
    async def test() -> None:
        replication = Replication(owned={PART})
        service = Service(replication)
        service.service.configure([Tenant(TENANT, rate=1e6, burst=1e6)])
        service.service.on_ownership_changed(PART, True)
        service.service.receive(ROUTER, encode(ask()))
        assert not service.sent
        await asyncio.sleep(0)
        partition, record = replication.proposed.pop()
        assert partition == PART
        service.floors[PART].apply(record)
        service.service.on_floors_applied(PART, record)
        to, grant = service.sent.pop()
        assert to == ROUTER and isinstance(grant, QuotaGrant) and grant.status is GrantStatus.GRANTED

    run(test)


def test_a_proposal_that_came_to_nothing_is_followed_by_another() -> None:
    async def test() -> None:
        replication = Replication(owned={PART})
        service = Service(replication)
        service.service.configure([Tenant(TENANT, rate=1e6, burst=1e6)])
        service.service.on_ownership_changed(PART, True)
        for _ in range(2):
            service.service.receive(ROUTER, encode(ask()))
            for _ in range(3):
                await asyncio.sleep(0)
        assert len(replication.proposed) == 2
        numbers = {record.number for _, record in replication.proposed}
        assert len(numbers) == 2

    run(test)


def test_what_is_no_record_is_dropped() -> None:
    async def test() -> None:
        service = Service(Replication())
        service.service.receive(ROUTER, b"\x09 no record")
        service.service.receive(ROUTER, encode(QuotaGrant(1, GrantStatus.GRANTED, 1, 0.0, None)))
        assert not service.sent

    run(test)
