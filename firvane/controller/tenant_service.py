"""Answers routers about tenants: how recent the configuration here is, and what a tenant may still use.

Both answers are given only while they are surely true: a proof of freshness by a controller that a majority
has confirmed lately, a grant by the owner of the tenant's part under its lease.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from typing import Protocol

from firvane.address import Address
from firvane.configuration.routes import Tenant
from firvane.logs import Log
from firvane.parts import CONFIGURATION_PART
from firvane.tenancy.messages import Ask, Grant, Proof, Question, Status, TenancyError, decode, encode
from firvane.tenancy.quota import QuotaLedger, QuotaRules

PROOF_PATIENCE = 1.0  # s without a word of a majority after which this controller proves nothing


class Replication(Protocol):
    """What this service needs of the replication host."""

    def is_owner(self, group: int) -> bool: ...

    def owner(self, group: int) -> Address | None: ...

    def state_age(self, group: int) -> float | None: ...


class TenantService:
    """The controller's side of keys and quotas. Its calls come from the loop's thread."""

    def __init__(
        self,
        rules: QuotaRules,
        replication: Replication,
        version: Callable[[], int],
        own: Address,
        send: Callable[[Address, bytes], None],
        log: Log,
    ) -> None:
        """`version` is that of the configuration which is applied here."""
        self._replication, self._version, self._own = replication, version, own
        self._send, self._log = send, log
        self._ledger = QuotaLedger(rules)

    def configure(self, tenants: Iterable[Tenant]) -> None:
        """These tenants and limits are in force."""
        self._ledger.configure(tenants, time.monotonic())

    def owner_changed(self, part: int, own: bool) -> None:
        """This controller has become the owner of a part, or is it no more."""
        if own:
            self._ledger.own(part, time.monotonic())
        else:
            self._ledger.disown(part)

    def receive(self, sender: Address, payload: bytes) -> None:
        """A record of a router; what cannot be read is dropped."""
        try:
            record = decode(payload)
        except TenancyError as error:
            self._log.warning("tenancy: record dropped.", reason=str(error))
            return
        match record:
            case Question(nonce):
                self._send(sender, encode(self._proof(nonce)))
            case Ask():
                self._send(sender, encode(self._grant(record)))

    def _proof(self, nonce: int) -> Proof:
        age = self._replication.state_age(CONFIGURATION_PART)
        if age is None or age > PROOF_PATIENCE:
            return Proof(nonce, 0, None, self._other_owner(CONFIGURATION_PART))
        return Proof(nonce, self._version(), age, None)

    def _grant(self, ask: Ask) -> Grant:
        if not self._replication.is_owner(ask.part):
            return Grant(ask.nonce, Status.ELSEWHERE, 0, 0.0, self._other_owner(ask.part))
        return self._ledger.grant(ask, time.monotonic())

    def _other_owner(self, part: int) -> Address | None:
        owner = self._replication.owner(part)
        return None if owner == self._own else owner
