"""Admission of requests: the key, the proof that it is still valid, and the quota of its tenant.

Where the configuration has no tenants, every request is admitted. Otherwise a request is admitted, or
rejected with 401 for an unknown key, 429 beyond its tenant's quota, or 503 where nobody can tell now.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Protocol
from zlib import crc32

from msgspec import Struct

from firvane.core.address import Address
from firvane.core.logs import Log
from firvane.core.net.http_message import Message
from firvane.fleet.cluster.agent import Member, Role
from firvane.fleet.configuration.routes import Configuration, Route, Tenant
from firvane.fleet.partitions import partition_of
from firvane.fleet.router.requests import prompt_tokens
from firvane.fleet.tenancy.allowance import Allowances, request_cost
from firvane.fleet.tenancy.freshness import NONCES, Freshness
from firvane.fleet.tenancy.keys import AUTHORIZATION, KeyRing, bearer_key
from firvane.fleet.tenancy.messages import (
    FreshnessProof,
    FreshnessRequest,
    GrantStatus,
    QuotaGrant,
    QuotaRequest,
    Record,
    TenancyError,
    decode,
    tenant_id,
)
from firvane.fleet.tenancy.messages import encode as encode_record

WAIT_RATIO = 0.2  # of the latency target, that a request waits for a proof or a grant
MIN_WAIT_S = 0.04
MAX_WAIT_S = 0.25
GRANT_TIMEOUT_S = 0.03  # until another controller is asked
UNPROVEN_RETRY_AFTER_S = 0.4
NO_GRANT_RETRY_AFTER_S = 0.3
MAX_PENDING = 1024  # requests that wait for a proof, and for a grant
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503


class AdmissionClient(Protocol):
    """Waits for the admission of a request; one of these is called, once."""

    def admitted(self, admission: Admitted) -> None:
        """The request goes on."""

    def rejected(self, status: int, retry_after: float) -> None:
        """The request ends with this status; `retry_after` is in seconds, 0 where a retry is useless."""


class Admitted(Struct, frozen=True):
    """The admission of a request.

    Attributes:
        is_private: Whether the configuration has tenants: then their headers are not forwarded.
        tenant: The tenant; None without a key.
        cost: Tokens of its quota that the request took.
    """

    is_private: bool = False
    tenant: Tenant | None = None
    cost: int = 0


UNRESTRICTED = Admitted()
ANONYMOUS = Admitted(is_private=True)


class _PendingAdmission(Struct, eq=False):
    """A request that waits for a proof or for a grant.

    Attributes:
        until: Loop time at which it is rejected.
        prefetch: Tokens asked for beyond its cost.
        spent: Tokens reported as used without a grant.
        asked_at: Loop time of the last ask.
        nonce: Of the last ask.
        attempts: Number of asks.
        timer: Ends the wait, or repeats the ask.
    """

    client: AdmissionClient
    message: Message
    route: Route
    until: float
    tenant: Tenant | None = None
    cost: int = 0
    prefetch: int = 0
    spent: int = 0
    requested_at: float = 0.0
    nonce: int = 0
    attempts: int = 0
    timer: asyncio.TimerHandle | None = None


class Admission:
    """Admits the requests of one router. Not thread-safe: to be called from the loop's thread.

    Attributes:
        rejections: Requests rejected since the last `take_rejections`, by reason.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own: Address,
        zone: str,
        revoke: float,
        rng: random.Random,
        members: Callable[[Role], Sequence[Member]],
        send: Callable[[Address, bytes], None],
        log: Log,
    ) -> None:
        """Start without a configuration.

        Args:
            loop: The event loop.
            own: This router's internal address.
            zone: Its zone; controllers of this zone are asked first.
            revoke: Seconds within which a removed key must be rejected; 0 where that needs no proof.
            rng: Source of nonces and choices.
            members: Returns the live members of a role.
            send: Sends a record to a member.
            log: The log.
        """
        self._loop, self._own, self._zone = loop, own, zone
        self._rng, self._members, self._send, self._log = rng, members, send, log
        self._freshness = Freshness(rng, revoke)
        self._allowances = Allowances()
        self._keys: KeyRing | None = None
        self._unproven: dict[_PendingAdmission, None] = {}
        self._asking: dict[int, _PendingAdmission] = {}  # by nonce
        self._owners: dict[int, Address] = {}  # last known, by partition
        self._nonce = rng.randrange(NONCES)
        self.rejections = {"unknown_key": 0, "unproven": 0, "over_quota": 0, "no_grant": 0}

    def configure(self, configuration: Configuration) -> None:
        """Apply a configuration."""
        tenants = configuration.tenants
        self._keys = None if tenants is None else KeyRing(tenants)
        self._freshness.set_version(configuration.version)
        self.tick()

    def is_ready(self) -> bool:
        """Return whether a request with a valid key needs no wait for a proof."""
        return self._keys is None or self._freshness.is_fresh(self._loop.time())

    def take_rejections(self) -> dict[str, int]:
        """Return the requests rejected since the last call, by reason."""
        taken, self.rejections = self.rejections, dict.fromkeys(self.rejections, 0)
        return taken

    # Requests

    def admit(self, client: AdmissionClient, message: Message, route: Route) -> None:
        """Decide about a request, now or once a proof or a grant has come."""
        if self._keys is None:
            client.admitted(UNRESTRICTED)
            return
        if AUTHORIZATION in message.repeated_fields:
            client.rejected(STATUS_BAD_REQUEST, 0.0)
            return
        now = self._loop.time()
        wait = min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_RATIO * route.target_latency_ms / 1000))
        self._identify(_PendingAdmission(client, message, route, now + wait), self._keys, now)

    def _identify(self, pending: _PendingAdmission, keys: KeyRing, now: float) -> None:
        key = bearer_key(pending.message.fields)
        if pending.route.anonymous and key is None:
            pending.client.admitted(ANONYMOUS)
            return
        if not self._freshness.is_fresh(now):
            self._wait_for_proof(pending, now)
            return
        tenant = keys.tenant_of(key) if key is not None else None
        if tenant is not None:
            self._charge(pending, tenant, now)
        elif pending.route.anonymous:
            pending.client.admitted(ANONYMOUS)
        else:
            self.rejections["unknown_key"] += 1
            pending.client.rejected(STATUS_UNAUTHORIZED, 0.0)

    def _wait_for_proof(self, pending: _PendingAdmission, now: float) -> None:
        if now >= pending.until or len(self._unproven) >= MAX_PENDING:
            self._reject_unproven(pending)
            return
        self._unproven[pending] = None
        pending.timer = self._loop.call_at(pending.until, self._expire_unproven, pending)

    def _expire_unproven(self, pending: _PendingAdmission) -> None:
        if pending in self._unproven:
            del self._unproven[pending]
            self._reject_unproven(pending)

    def _reject_unproven(self, pending: _PendingAdmission) -> None:
        self.rejections["unproven"] += 1
        pending.client.rejected(STATUS_UNAVAILABLE, UNPROVEN_RETRY_AFTER_S)

    def _identify_unproven(self, now: float) -> None:
        """Go on with the requests that waited for a proof, where there is one now."""
        keys = self._keys
        if not self._unproven or keys is None or not self._freshness.is_fresh(now):
            return
        unproven, self._unproven = list(self._unproven), {}
        for pending in unproven:
            if pending.timer:
                pending.timer.cancel()
            self._identify(pending, keys, now)

    # Quota

    def _charge(self, pending: _PendingAdmission, tenant: Tenant, now: float) -> None:
        """Take a request's cost from the tenant's quota, and ask the owner where none is left here."""
        pending.tenant = tenant
        pending.cost = request_cost(tenant, prompt_tokens(pending.message))
        if tenant.rate <= 0:
            pending.client.admitted(Admitted(True, tenant))
        elif self._allowances.take(tenant.name, pending.cost, now):
            pending.client.admitted(Admitted(True, tenant, pending.cost))
        elif len(self._asking) >= MAX_PENDING:
            self._reject_ungranted(pending)
        else:
            pending.prefetch = self._allowances.prefetch(tenant.name, pending.cost)
            self._ask(pending, tenant, now)

    def _ask(
        self, pending: _PendingAdmission, tenant: Tenant, now: float, owner: Address | None = None
    ) -> None:
        """Ask for a grant; `owner` is whom to ask, where that is known better than here."""
        partition = partition_of(tenant.name)
        target = owner or self._owners.get(partition) or self._any_controller(pending.attempts)
        if target is None or now >= pending.until:
            self._reject_ungranted(pending)
            return
        self._nonce = (self._nonce + 1) % NONCES
        pending.nonce, pending.requested_at = self._nonce, now
        pending.attempts += 1
        pending.spent = self._allowances.spent(tenant.name)
        request = QuotaRequest(
            pending.nonce, tenant_id(tenant.name), partition, pending.cost, pending.prefetch, pending.spent
        )
        self._await_grant(pending, tenant, partition, now)
        self._send(target, encode_record(request))

    def _await_grant(self, pending: _PendingAdmission, tenant: Tenant, partition: int, now: float) -> None:
        self._asking[pending.nonce] = pending
        due = min(pending.until, now + GRANT_TIMEOUT_S)
        pending.timer = self._loop.call_at(due, self._ask_again, pending, tenant, partition)

    def _ask_again(self, pending: _PendingAdmission, tenant: Tenant, partition: int) -> None:
        """Ask anybody after a time-out, since the owner may be another one by now."""
        if self._asking.pop(pending.nonce, None) is not pending:
            return
        self._owners.pop(partition, None)
        self._ask(pending, tenant, self._loop.time())

    def _reject_ungranted(self, pending: _PendingAdmission) -> None:
        self.rejections["no_grant"] += 1
        pending.client.rejected(STATUS_UNAVAILABLE, NO_GRANT_RETRY_AFTER_S)

    def _on_grant(self, sender: Address, grant: QuotaGrant, now: float) -> None:
        pending = self._asking.pop(grant.nonce, None)
        if pending is None or pending.tenant is None:
            return
        if pending.timer:
            pending.timer.cancel()
        tenant, partition = pending.tenant, partition_of(pending.tenant.name)
        if grant.status is GrantStatus.NOT_OWNER:
            self._on_not_owner(pending, tenant, grant.redirect, sender, now)
            return
        self._owners[partition] = sender
        if now >= pending.until:  # the process was suspended: the tokens are those of another moment
            self._reject_ungranted(pending)
            return
        prefetched = max(0, grant.tokens - pending.cost)
        self._allowances.record_grant(tenant.name, prefetched, pending.spent, pending.requested_at)
        if grant.status is GrantStatus.DENIED:
            self.rejections["over_quota"] += 1
            pending.client.rejected(STATUS_TOO_MANY_REQUESTS, grant.retry_after)
        else:
            cost = pending.cost if grant.status is GrantStatus.GRANTED else 0
            pending.client.admitted(Admitted(True, tenant, cost))

    def _on_not_owner(
        self,
        pending: _PendingAdmission,
        tenant: Tenant,
        owner: Address | None,
        sender: Address,
        now: float,
    ) -> None:
        """Ask the owner that the sender names; wait where it names none but itself."""
        partition = partition_of(tenant.name)
        self._owners.pop(partition, None)
        if owner is not None:
            self._owners[partition] = owner
        if owner is not None and owner != sender:
            self._ask(pending, tenant, now, owner)
        else:  # nobody owns the partition at this moment
            self._await_grant(pending, tenant, partition, now)

    def refund(self, admission: Admitted) -> None:
        """Give back the cost of an admitted request that never ran."""
        if admission.tenant is not None and admission.cost:
            self._allowances.refund(admission.tenant.name, admission.cost, self._loop.time())

    def charge_retry(self, admission: Admitted) -> None:
        """Charge an admitted request once more: it is sent to another backend after it may have run."""
        if admission.tenant is not None and admission.cost:
            self._allowances.charge(admission.tenant.name, admission.cost)

    # Other processes

    def receive(self, sender: Address, payload: bytes) -> None:
        """Act on a record of a controller or of another router; what is illegible is dropped."""
        try:
            record: Record = decode(payload)
        except TenancyError as error:
            self._log.warning("tenancy_record_dropped", reason=str(error))
            return
        now = self._loop.time()
        match record:
            case FreshnessRequest():
                self._send(sender, encode_record(self._freshness.prove(record, now)))
            case FreshnessProof():
                if self._freshness.receive(sender, record, now):
                    self._identify_unproven(now)
                else:
                    self.tick()
            case QuotaGrant():
                self._on_grant(sender, record, now)
            case QuotaRequest():
                pass  # only controllers grant

    def tick(self) -> None:
        """Ask for the proof that is due. To be called some twenty times a second."""
        now = self._loop.time()
        if self._keys is None:
            return
        self._identify_unproven(now)
        if not self._freshness.is_due(now):
            return
        due = self._freshness.next_request(self._controllers(), self._routers(), now)
        if due is not None:
            self._send(due[0], encode_record(due[1]))

    def forget_idle(self) -> None:
        """Drop the allowances of tenants that have sent nothing lately."""
        self._allowances.forget_idle(self._loop.time())

    def _controllers(self) -> list[Address]:
        """Return the controllers, those of the own zone first; each router starts with another one."""
        members = self._members(Role.CONTROLLER)
        turn = crc32(self._own[0].encode())
        near = sorted(member.address for member in members if member.zone == self._zone)
        far = sorted(member.address for member in members if member.zone != self._zone)
        return [*_rotated(near, turn), *_rotated(far, turn)]

    def _routers(self) -> list[Address]:
        return [member.address for member in self._members(Role.ROUTER) if member.address != self._own]

    def _any_controller(self, turn: int) -> Address | None:
        controllers = self._controllers()
        return controllers[turn % len(controllers)] if controllers else None


def _rotated(addresses: Sequence[Address], turn: int) -> list[Address]:
    start = turn % len(addresses) if addresses else 0
    return [*addresses[start:], *addresses[:start]]
