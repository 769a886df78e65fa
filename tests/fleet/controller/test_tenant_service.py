"""Freshness proofs only with recent contact to a majority, quota grants only under the lease."""

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
PARTITION = partition_of(TENANT)


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
    """A tenant service with a record of the messages that it sent."""

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

    def request(self, record: Record) -> Record:
        self.service.receive(ROUTER, encode(record))
        to, answer = self.sent.pop()
        assert to == ROUTER and not self.sent
        return answer


def quota_request() -> QuotaRequest:
    return QuotaRequest(5, tenant_id(TENANT), PARTITION, 10, 0, 0)


def run(test: Callable[[], Awaitable[None]]) -> None:
    async def inside() -> None:
        await test()

    asyncio.run(inside())


def test_a_freshness_proof_has_the_age_and_version_of_the_state() -> None:
    async def test() -> None:
        proof = Service(Replication()).request(FreshnessRequest(3))
        assert isinstance(proof, FreshnessProof)
        assert proof.nonce == 3 and proof.version == 7
        assert proof.age is not None and 0.2 <= proof.age <= 0.202

    run(test)


def test_without_recent_contact_to_a_majority_the_proof_names_the_owner() -> None:
    async def test() -> None:
        for age in (None, MAX_PROOF_AGE_S + 0.01):
            assert Service(Replication(age=age)).request(FreshnessRequest(3)) == FreshnessProof(
                3, 0, None, OTHER
            )

    run(test)


def test_without_another_known_owner_the_proof_names_none() -> None:
    async def test() -> None:
        for leader in (None, OWN):
            assert Service(Replication(None, leader=leader)).request(FreshnessRequest(3)) == FreshnessProof(
                3, 0, None, None
            )

    run(test)


def test_only_the_owner_under_its_lease_grants() -> None:
    async def test() -> None:
        replication = Replication()
        service = Service(replication)
        service.floors[PARTITION][tenant_id(TENANT)] = 1_000
        service.service.configure([Tenant(TENANT, rate=1e12, burst=1e12)])
        assert service.request(quota_request()) == QuotaGrant(5, GrantStatus.NOT_OWNER, 0, 0.0, OTHER)
        replication.owned.add(PARTITION)
        # Not yet notified of its ownership.
        assert service.request(quota_request()) == QuotaGrant(5, GrantStatus.NOT_OWNER, 0, 0.0, None)
        service.service.on_ownership_changed(PARTITION, True)
        granted = service.request(quota_request())
        assert isinstance(granted, QuotaGrant) and granted.status is GrantStatus.GRANTED
        replication.owned.clear()  # the lease has expired, before the notification
        assert service.request(quota_request()) == QuotaGrant(5, GrantStatus.NOT_OWNER, 0, 0.0, OTHER)

    run(test)


def test_a_request_waits_until_the_floor_that_it_needs_is_committed() -> None:
    async def test() -> None:
        replication = Replication(owned={PARTITION})
        service = Service(replication)
        service.service.configure([Tenant(TENANT, rate=1e6, burst=1e6)])
        service.service.on_ownership_changed(PARTITION, True)
        service.service.receive(ROUTER, encode(quota_request()))
        assert not service.sent
        await asyncio.sleep(0)
        partition, record = replication.proposed.pop()
        assert partition == PARTITION
        service.floors[PARTITION].apply(record)
        service.service.on_floors_applied(PARTITION, record)
        to, grant = service.sent.pop()
        assert to == ROUTER and isinstance(grant, QuotaGrant) and grant.status is GrantStatus.GRANTED

    run(test)


def test_a_failed_proposal_is_followed_by_another() -> None:
    async def test() -> None:
        replication = Replication(owned={PARTITION})
        service = Service(replication)
        service.service.configure([Tenant(TENANT, rate=1e6, burst=1e6)])
        service.service.on_ownership_changed(PARTITION, True)
        for _ in range(2):
            service.service.receive(ROUTER, encode(quota_request()))
            for _ in range(3):
                await asyncio.sleep(0)
        assert len(replication.proposed) == 2
        numbers = {record.number for _, record in replication.proposed}
        assert len(numbers) == 2

    run(test)


def test_malformed_and_unexpected_messages_are_dropped() -> None:
    async def test() -> None:
        service = Service(Replication())
        service.service.receive(ROUTER, b"\x09 no record")
        service.service.receive(ROUTER, encode(QuotaGrant(1, GrantStatus.GRANTED, 1, 0.0, None)))
        assert not service.sent

    run(test)
