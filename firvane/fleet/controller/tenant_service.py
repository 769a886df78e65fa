"""Answers routers about tenants: how recent the configuration here is, and what a tenant may still use.

Both answers are given only while they are surely true: a proof of freshness by a controller that a majority
has confirmed lately, a grant by the owner of the tenant's part under its lease, and never below a floor that
the part's log has committed.
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
from firvane.fleet.partitions import CONFIGURATION_PART
from firvane.fleet.replication.proposals import Proposal
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

PROOF_PATIENCE = 1.0  # s without a word of a majority after which this controller proves nothing
FLOORS_INTERVAL = 0.2  # s between looks for floors that are to be moved
PROPOSE_TIMEOUT = 1.0  # s
ASK_LASTS = 0.25  # s that an ask may wait for a lower floor
MOST_WAITING = 4096  # asks that wait at once


class Replication(Protocol):
    """What this service needs of the replication host."""

    def is_owner(self, group: int) -> bool: ...

    def owner(self, group: int) -> Address | None: ...

    def state_age(self, group: int) -> float | None: ...

    async def propose(self, group: int, payload: bytes, timeout: float) -> Proposal: ...


class _WaitingAsk(Struct, frozen=True):
    router: Address
    request: QuotaRequest
    until: float


class TenantService:
    """The controller's side of keys and quotas. Its calls come from the loop's thread."""

    def __init__(
        self,
        rules: QuotaRules,
        loop: asyncio.AbstractEventLoop,
        replication: Replication,
        floors: Mapping[int, Floors],
        version: Callable[[], int],
        own: Address,
        send: Callable[[Address, bytes], None],
        log: Log,
    ) -> None:
        """`floors` are those of each part as they are applied here, `version` that of the configuration."""
        self._loop, self._replication, self._floors = loop, replication, floors
        self._version, self._own = version, own
        self._send, self._log = send, log
        self._quotas = QuotaTable(rules)
        self._owned: set[int] = set()
        self._waiting: list[_WaitingAsk] = []
        self._proposals: dict[int, asyncio.Task[Proposal]] = {}  # by part, one at a time
        self._number = random.getrandbits(62)
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Look for floors that are to be moved, from now on."""
        self._timer = self._loop.call_later(FLOORS_INTERVAL, self._on_timer)

    def close(self) -> None:
        """Stop at once."""
        if self._timer:
            self._timer.cancel()
        for proposal in self._proposals.values():
            proposal.cancel()

    def configure(self, tenants: Iterable[Tenant]) -> None:
        """These tenants and limits are in force."""
        self._quotas.configure(tenants)

    def owner_changed(self, part: int, own: bool) -> None:
        """This controller has become the owner of a part, or is it no more."""
        if part not in self._floors:
            return
        if own:
            self._owned.add(part)
            self._quotas.acquire(part, self._floors[part], time.monotonic())
        else:
            self._owned.discard(part)
            self._quotas.release(part)

    def floors_committed(self, part: int, record: FloorsRecord) -> None:
        """A record of floors was applied to a part here."""
        self._quotas.on_committed(part, record)
        waiting, self._waiting = self._waiting, []
        now = time.monotonic()
        for each in waiting:
            if each.request.part != part:
                self._waiting.append(each)
            elif now < each.until:
                self._answer(each, now)

    def receive(self, sender: Address, payload: bytes) -> None:
        """A record of a router; what cannot be read is dropped."""
        try:
            record = decode(payload)
        except TenancyError as error:
            self._log.warning("tenancy_record_dropped", reason=str(error))
            return
        match record:
            case FreshnessRequest(nonce):
                self._send(sender, encode(self._proof(nonce)))
            case QuotaRequest():
                now = time.monotonic()
                self._answer(_WaitingAsk(sender, record, now + ASK_LASTS), now)

    def _proof(self, nonce: int) -> FreshnessProof:
        age = self._replication.state_age(CONFIGURATION_PART)
        if age is None or age > PROOF_PATIENCE:
            return FreshnessProof(nonce, 0, None, self._other_owner(CONFIGURATION_PART))
        return FreshnessProof(nonce, self._version(), age, None)

    def _answer(self, waiting: _WaitingAsk, now: float) -> None:
        grant = self._grant(waiting.request, now)
        if grant is not None:
            self._send(waiting.router, encode(grant))
        elif len(self._waiting) < MOST_WAITING:
            self._waiting.append(waiting)
            self._move_floors(waiting.request.part, now)

    def _grant(self, request: QuotaRequest, now: float) -> QuotaGrant | None:
        if not self._replication.is_owner(request.part):
            return QuotaGrant(request.nonce, GrantStatus.NOT_OWNER, 0, 0.0, self._other_owner(request.part))
        return self._quotas.grant(request, now)

    def _other_owner(self, part: int) -> Address | None:
        owner = self._replication.owner(part)
        return None if owner == self._own else owner

    # Floors

    def _on_timer(self) -> None:
        now = time.monotonic()
        self._waiting = [each for each in self._waiting if now < each.until]
        for part in self._owned:
            self._move_floors(part, now)
        self._timer = self._loop.call_later(FLOORS_INTERVAL, self._on_timer)

    def _move_floors(self, part: int, now: float) -> None:
        if part in self._proposals or not self._replication.is_owner(part):
            return
        floors = self._quotas.due_floors(part, now)
        if not floors:
            return
        self._number += 1
        record = FloorsRecord(self._number, floors)
        self._quotas.on_proposed(part, record)
        proposal = self._loop.create_task(
            self._replication.propose(part, record.pack(), PROPOSE_TIMEOUT), name="floors"
        )
        self._proposals[part] = proposal
        proposal.add_done_callback(lambda _: self._proposals.pop(part, None))
