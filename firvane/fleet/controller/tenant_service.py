"""Serves routers' requests about tenants: proofs of how recent the configuration is, and grants of quota.

Only a controller with recent contact to a majority sends a proof of freshness. Only the owner of the tenant's
partition, under its lease, grants quota, and never below a floor that is committed in the partition's log.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.partitions import CONFIGURATION_PARTITION
from firvane.fleet.replication.proposals import ProposalResult
from firvane.fleet.tenancy.floors import Floors, FloorsRecord
from firvane.fleet.tenancy.messages import (
    FreshnessProof,
    FreshnessRequest,
    GrantStatus,
    QuotaGrant,
    QuotaRequest,
    TenancyError,
    decode,
    encode,
)
from firvane.fleet.tenancy.quota import QuotaRules, QuotaTable

MAX_PROOF_AGE_S = 1.0  # of the applied state; an older state is not sent as a proof
FLOORS_INTERVAL_S = 0.2
PROPOSE_TIMEOUT_S = 1.0
REQUEST_TIMEOUT_S = 0.25  # for which a request may wait for a lower floor
MAX_PENDING_REQUESTS = 4096


class Replication(Protocol):
    """The methods of the replication host that this service uses."""

    def is_owner(self, group: int) -> bool:
        """Whether this controller owns the group."""

    def owner(self, group: int) -> Address | None:
        """The owner, if this controller knows it."""

    def state_age(self, group: int) -> float | None:
        """Seconds since the applied state was known to hold every committed entry; None if not known."""

    async def propose(self, group: int, payload: bytes, timeout_s: float) -> ProposalResult:
        """Propose a command and return the result of its commit."""


class _PendingRequest(Struct, frozen=True):
    router: Address
    quota_request: QuotaRequest
    deadline: float


class TenantService:
    """Proves freshness and grants quota to routers; called from the event loop's thread only."""

    def __init__(
        self,
        rules: QuotaRules,
        loop: asyncio.AbstractEventLoop,
        replication: Replication,
        floors: Mapping[int, Floors],
        version: Callable[[], int],
        own_address: Address,
        send: Callable[[Address, bytes], None],
        log: Log,
    ) -> None:
        """Create the service.

        Args:
            rules: The rules by which quota is granted.
            loop: The event loop.
            replication: The replication host.
            floors: The floors of each partition that are applied on this controller.
            version: Returns the configuration version that is applied on this controller.
            own_address: The internal address of this controller.
            send: Sends a payload to a router.
            log: The log.
        """
        self._loop = loop
        self._replication = replication
        self._floors = floors
        self._version = version
        self._own_address = own_address
        self._send = send
        self._log = log
        self._quotas = QuotaTable(rules)
        self._owned: set[int] = set()
        self._pending: list[_PendingRequest] = []
        self._proposals: dict[int, asyncio.Task[ProposalResult]] = {}  # by partition, at most one each
        self._proposal_number = random.getrandbits(62)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to propose due floors periodically."""
        self._timer = self._loop.call_later(FLOORS_INTERVAL_S, self._on_timer)

    def close(self) -> None:
        """Cancel the timer and all proposals."""
        if self._timer:
            self._timer.cancel()
        for proposal in self._proposals.values():
            proposal.cancel()

    def configure(self, tenants: Iterable[Tenant]) -> None:
        """Set the tenants and limits that are in force."""
        self._quotas.configure(tenants)

    def on_ownership_changed(self, partition: int, owned: bool) -> None:
        """Start or stop granting quota of a partition that this controller has acquired or lost."""
        if partition not in self._floors:
            return
        if owned:
            self._owned.add(partition)
            self._quotas.acquire(partition, self._floors[partition], time.monotonic())
        else:
            self._owned.discard(partition)
            self._quotas.release(partition)

    def on_floors_applied(self, partition: int, record: FloorsRecord) -> None:
        """Answer the pending requests of a partition that has applied new floors."""
        self._quotas.on_committed(partition, record)
        pending, self._pending = self._pending, []
        now = time.monotonic()
        for request in pending:
            if request.quota_request.partition != partition:
                self._pending.append(request)
            elif now < request.deadline:
                self._answer(request, now)

    def receive(self, sender: Address, payload: bytes) -> None:
        """Process a message from a router; a malformed one is dropped."""
        try:
            record = decode(payload)
        except TenancyError as error:
            self._log.warning("tenancy_record_dropped", reason=str(error))
            return
        match record:
            case FreshnessRequest(nonce):
                self._send(sender, encode(self._freshness_proof(nonce)))
            case QuotaRequest():
                now = time.monotonic()
                self._answer(_PendingRequest(sender, record, now + REQUEST_TIMEOUT_S), now)

    def _freshness_proof(self, nonce: int) -> FreshnessProof:
        age = self._replication.state_age(CONFIGURATION_PARTITION)
        if age is None or age > MAX_PROOF_AGE_S:
            return FreshnessProof(nonce, 0, None, self._owner_elsewhere(CONFIGURATION_PARTITION))
        return FreshnessProof(nonce, self._version(), age, None)

    def _answer(self, request: _PendingRequest, now: float) -> None:
        grant = self._grant(request.quota_request, now)
        if grant is not None:
            self._send(request.router, encode(grant))
        elif len(self._pending) < MAX_PENDING_REQUESTS:
            self._pending.append(request)
            self._propose_floors(request.quota_request.partition, now)

    def _grant(self, request: QuotaRequest, now: float) -> QuotaGrant | None:
        if not self._replication.is_owner(request.partition):
            return QuotaGrant(
                request.nonce, GrantStatus.NOT_OWNER, 0, 0.0, self._owner_elsewhere(request.partition)
            )
        return self._quotas.grant(request, now)

    def _owner_elsewhere(self, partition: int) -> Address | None:
        owner = self._replication.owner(partition)
        return None if owner == self._own_address else owner

    # Floors

    def _on_timer(self) -> None:
        now = time.monotonic()
        self._pending = [request for request in self._pending if now < request.deadline]
        for partition in self._owned:
            self._propose_floors(partition, now)
        self._timer = self._loop.call_later(FLOORS_INTERVAL_S, self._on_timer)

    def _propose_floors(self, partition: int, now: float) -> None:
        if partition in self._proposals or not self._replication.is_owner(partition):
            return
        floors = self._quotas.due_floors(partition, now)
        if not floors:
            return
        self._proposal_number += 1
        record = FloorsRecord(self._proposal_number, floors)
        self._quotas.on_proposed(partition, record)
        proposal = self._loop.create_task(
            self._replication.propose(partition, record.pack(), PROPOSE_TIMEOUT_S), name="floors"
        )
        self._proposals[partition] = proposal
        proposal.add_done_callback(lambda _: self._proposals.pop(partition, None))
