"""A controller proves and grants only while it surely may."""

from __future__ import annotations

from dataclasses import dataclass, field

from firvane.address import Address
from firvane.configuration.routes import Tenant
from firvane.controller.tenant_service import PROOF_PATIENCE, TenantService
from firvane.logs import QUIET
from firvane.parts import CONFIGURATION_PART
from firvane.tenancy.messages import (
    Ask,
    Grant,
    Proof,
    Question,
    Record,
    Status,
    decode,
    encode,
    tenant_id,
)
from firvane.tenancy.quota import QuotaRules

OWN: Address = ("10.0.0.1", 1)
OTHER: Address = ("10.0.0.2", 1)
ROUTER: Address = ("10.1.0.1", 1)


@dataclass
class Replication:
    age: float | None = 0.2
    owned: set[int] = field(default_factory=set)
    leader: Address | None = OTHER

    def is_owner(self, group: int) -> bool:
        return group in self.owned

    def owner(self, group: int) -> Address | None:
        return self.leader

    def state_age(self, group: int) -> float | None:
        return self.age if group == CONFIGURATION_PART else None


class Service:
    """A service whose answers are kept."""

    def __init__(self, replication: Replication) -> None:
        self.sent: list[tuple[Address, Record]] = []
        self.service = TenantService(
            QuotaRules(),
            replication,
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


def ask(part: int = 1) -> Ask:
    return Ask(5, tenant_id("t"), part, 10, 0, 0)


def test_the_age_of_the_state_is_told_with_its_version() -> None:
    proof = Service(Replication()).ask(Question(3))
    assert isinstance(proof, Proof)
    assert proof.nonce == 3 and proof.version == 7
    assert proof.age is not None and 0.2 <= proof.age <= 0.202


def test_who_has_not_heard_of_a_majority_lately_names_another() -> None:
    for age in (None, PROOF_PATIENCE + 0.01):
        assert Service(Replication(age=age)).ask(Question(3)) == Proof(3, 0, None, OTHER)


def test_who_knows_nobody_else_names_nobody() -> None:
    for leader in (None, OWN):
        assert Service(Replication(None, leader=leader)).ask(Question(3)) == Proof(3, 0, None, None)


def test_only_the_owner_under_its_lease_grants() -> None:
    replication = Replication()
    service = Service(replication)
    service.service.configure([Tenant("t", rate=1e12, burst=1e12)])
    assert service.ask(ask()) == Grant(5, Status.ELSEWHERE, 0, 0.0, OTHER)
    replication.owned.add(1)
    assert service.ask(ask()) == Grant(5, Status.ELSEWHERE, 0, 0.0, None)  # not told of it yet
    service.service.owner_changed(1, True)
    granted = service.ask(ask())
    assert isinstance(granted, Grant) and granted.status is Status.GRANTED
    replication.owned.clear()  # its lease is over, before it was told so
    assert service.ask(ask()) == Grant(5, Status.ELSEWHERE, 0, 0.0, OTHER)


def test_what_is_no_record_is_dropped() -> None:
    service = Service(Replication())
    service.service.receive(ROUTER, b"\x09 no record")
    service.service.receive(ROUTER, encode(Grant(1, Status.GRANTED, 1, 0.0, None)))
    assert not service.sent
