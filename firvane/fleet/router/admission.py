"""Admission control: checks a request's API key, the freshness of the key list, and the tenant's quota.

If the configuration has no tenants, every request is admitted. Otherwise a request is admitted, or rejected
with 401 for an unknown key, with 429 if its tenant's quota is exceeded, or with 503 if no freshness proof or
no quota grant is available in time.
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
from firvane.fleet.router.requests import total_tokens
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

WAIT_RATIO = 0.2  # part of the route's latency target that a request may wait for a proof or a grant
MIN_WAIT_S = 0.04
MAX_WAIT_S = 0.25
GRANT_TIMEOUT_S = 0.03  # then another controller is tried
UNPROVEN_RETRY_AFTER_S = 0.4
NO_GRANT_RETRY_AFTER_S = 0.3
MAX_PENDING = 1024  # requests waiting for a proof; the same limit applies to those waiting for a grant
STATUS_BAD_REQUEST = 400
STATUS_UNAUTHORIZED = 401
STATUS_TOO_MANY_REQUESTS = 429
STATUS_UNAVAILABLE = 503


class AdmissionClient(Protocol):
    """Receives the admission decision of a request: exactly one of the callbacks is called, once."""

    def on_admitted(self, admission: Admitted) -> None:
        """Continue with the request, which is admitted."""

    def on_rejected(self, status: int, retry_after: float) -> None:
        """Respond with this status; `retry_after` is in seconds, 0 if a retry is useless."""


class Admitted(Struct, frozen=True):
    """The positive admission decision of a request.

    Attributes:
        is_private: Whether the key and tenant headers are removed before forwarding, which is so if the
            configuration has tenants.
        tenant: The tenant that owns the key; None for anonymous requests.
        cost: Quota tokens charged for the request.
    """

    is_private: bool = False
    tenant: Tenant | None = None
    cost: int = 0


UNRESTRICTED = Admitted()
ANONYMOUS = Admitted(is_private=True)


class _PendingAdmission(Struct, eq=False):
    """A request that waits for a freshness proof or for a quota grant.

    Attributes:
        deadline: Loop time at which the request is rejected.
        prefetch_tokens: Tokens requested in addition to the cost.
        reported_use: Tokens used without a grant, as reported by the last grant request.
        requested_at: Loop time of the last grant request.
        nonce: Nonce of the last grant request.
        attempts: Number of grant requests sent.
        timer: Ends the wait, or repeats the grant request.
    """

    client: AdmissionClient
    message: Message
    route: Route
    deadline: float
    tenant: Tenant | None = None
    cost: int = 0
    prefetch_tokens: int = 0
    reported_use: int = 0
    requested_at: float = 0.0
    nonce: int = 0
    attempts: int = 0
    timer: asyncio.TimerHandle | None = None


class Admission:
    """Admission control of one router. Not thread-safe: call it from the event loop's thread.

    Attributes:
        rejections: Requests rejected since the last `take_rejections`, by reason.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own_address: Address,
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
            own_address: Internal address of this router.
            zone: Zone of this router; controllers in the same zone are tried first.
            revoke: Seconds within which a removed key must be rejected; 0 disables freshness proofs.
            rng: Source of nonces and random choices.
            members: Returns the live members of a role.
            send: Sends a record to a member.
            log: The log.
        """
        self._loop, self._own_address, self._zone = loop, own_address, zone
        self._rng, self._members, self._send, self._log = rng, members, send, log
        self._freshness = Freshness(rng, revoke)
        self._allowances = Allowances()
        self._keys: KeyRing | None = None
        self._awaiting_proof: dict[_PendingAdmission, None] = {}
        self._awaiting_grant: dict[int, _PendingAdmission] = {}  # by nonce
        self._partition_owners: dict[int, Address] = {}  # last known owner by partition
        self._nonce = rng.randrange(NONCES)
        self.rejections = {"unknown_key": 0, "unproven": 0, "over_quota": 0, "no_grant": 0}

    def configure(self, configuration: Configuration) -> None:
        """Apply a new configuration."""
        tenants = configuration.tenants
        self._keys = None if tenants is None else KeyRing(tenants)
        self._freshness.set_version(configuration.version)
        self.tick()

    def is_ready(self) -> bool:
        """Return whether requests can be authenticated without waiting for a freshness proof."""
        return self._keys is None or self._freshness.is_fresh(self._loop.time())

    def take_rejections(self) -> dict[str, int]:
        """Return the requests rejected since the last call, by reason."""
        counts, self.rejections = self.rejections, dict.fromkeys(self.rejections, 0)
        return counts

    # Requests

    def admit(self, client: AdmissionClient, message: Message, route: Route) -> None:
        """Decide about a request, immediately or once a proof or a grant has been received."""
        if self._keys is None:
            client.on_admitted(UNRESTRICTED)
            return
        if AUTHORIZATION in message.repeated_fields:
            client.on_rejected(STATUS_BAD_REQUEST, 0.0)
            return
        now = self._loop.time()
        wait = min(MAX_WAIT_S, max(MIN_WAIT_S, WAIT_RATIO * route.target_latency_ms / 1000))
        self._authenticate(_PendingAdmission(client, message, route, now + wait), self._keys, now)

    def _authenticate(self, pending: _PendingAdmission, keys: KeyRing, now: float) -> None:
        key = bearer_key(pending.message.fields)
        if pending.route.anonymous and key is None:
            pending.client.on_admitted(ANONYMOUS)
            return
        if not self._freshness.is_fresh(now):
            self._wait_for_proof(pending, now)
            return
        tenant = keys.tenant_of(key) if key is not None else None
        if tenant is not None:
            self._charge(pending, tenant, now)
        elif pending.route.anonymous:
            pending.client.on_admitted(ANONYMOUS)
        else:
            self.rejections["unknown_key"] += 1
            pending.client.on_rejected(STATUS_UNAUTHORIZED, 0.0)

    def _wait_for_proof(self, pending: _PendingAdmission, now: float) -> None:
        if now >= pending.deadline or len(self._awaiting_proof) >= MAX_PENDING:
            self._reject_without_proof(pending)
            return
        self._awaiting_proof[pending] = None
        pending.timer = self._loop.call_at(pending.deadline, self._expire_proof_wait, pending)

    def _expire_proof_wait(self, pending: _PendingAdmission) -> None:
        if pending in self._awaiting_proof:
            del self._awaiting_proof[pending]
            self._reject_without_proof(pending)

    def _reject_without_proof(self, pending: _PendingAdmission) -> None:
        self.rejections["unproven"] += 1
        pending.client.on_rejected(STATUS_UNAVAILABLE, UNPROVEN_RETRY_AFTER_S)

    def _authenticate_waiting(self, now: float) -> None:
        """Authenticate the requests waiting for a freshness proof, if the proof is fresh now."""
        keys = self._keys
        if not self._awaiting_proof or keys is None or not self._freshness.is_fresh(now):
            return
        waiting, self._awaiting_proof = list(self._awaiting_proof), {}
        for pending in waiting:
            if pending.timer:
                pending.timer.cancel()
            self._authenticate(pending, keys, now)

    # Quota

    def _charge(self, pending: _PendingAdmission, tenant: Tenant, now: float) -> None:
        """Charge a request to its tenant's quota; request a grant if the prefetched tokens do not suffice."""
        pending.tenant = tenant
        pending.cost = request_cost(tenant, total_tokens(pending.message))
        if tenant.rate <= 0:
            pending.client.on_admitted(Admitted(True, tenant))
        elif self._allowances.take(tenant.name, pending.cost, now):
            pending.client.on_admitted(Admitted(True, tenant, pending.cost))
        elif len(self._awaiting_grant) >= MAX_PENDING:
            self._reject_without_grant(pending)
        else:
            pending.prefetch_tokens = self._allowances.prefetch(tenant.name, pending.cost)
            self._request_grant(pending, tenant, now)

    def _request_grant(
        self, pending: _PendingAdmission, tenant: Tenant, now: float, owner: Address | None = None
    ) -> None:
        """Send a grant request to `owner`, or by default to the last known owner or to any controller."""
        partition = partition_of(tenant.name)
        target = owner or self._partition_owners.get(partition) or self._choose_controller(pending.attempts)
        if target is None or now >= pending.deadline:
            self._reject_without_grant(pending)
            return
        self._nonce = (self._nonce + 1) % NONCES
        pending.nonce, pending.requested_at = self._nonce, now
        pending.attempts += 1
        pending.reported_use = self._allowances.spent(tenant.name)
        request = QuotaRequest(
            pending.nonce,
            tenant_id(tenant.name),
            partition,
            pending.cost,
            pending.prefetch_tokens,
            pending.reported_use,
        )
        self._wait_for_grant(pending, tenant, partition, now)
        self._send(target, encode_record(request))

    def _wait_for_grant(self, pending: _PendingAdmission, tenant: Tenant, partition: int, now: float) -> None:
        self._awaiting_grant[pending.nonce] = pending
        timeout_at = min(pending.deadline, now + GRANT_TIMEOUT_S)
        pending.timer = self._loop.call_at(timeout_at, self._retry_grant_request, pending, tenant, partition)

    def _retry_grant_request(self, pending: _PendingAdmission, tenant: Tenant, partition: int) -> None:
        """Request the grant from any controller after a time-out, since the owner may have changed."""
        if self._awaiting_grant.pop(pending.nonce, None) is not pending:
            return
        self._partition_owners.pop(partition, None)
        self._request_grant(pending, tenant, self._loop.time())

    def _reject_without_grant(self, pending: _PendingAdmission) -> None:
        self.rejections["no_grant"] += 1
        pending.client.on_rejected(STATUS_UNAVAILABLE, NO_GRANT_RETRY_AFTER_S)

    def _on_grant(self, sender: Address, grant: QuotaGrant, now: float) -> None:
        pending = self._awaiting_grant.pop(grant.nonce, None)
        if pending is None or pending.tenant is None:
            return
        if pending.timer:
            pending.timer.cancel()
        tenant, partition = pending.tenant, partition_of(pending.tenant.name)
        if grant.status is GrantStatus.NOT_OWNER:
            self._follow_redirect(pending, tenant, grant.redirect, sender, now)
            return
        self._partition_owners[partition] = sender
        if now >= pending.deadline:  # the process was suspended: the granted tokens have expired
            self._reject_without_grant(pending)
            return
        prefetched = max(0, grant.tokens - pending.cost)
        self._allowances.record_grant(tenant.name, prefetched, pending.reported_use, pending.requested_at)
        if grant.status is GrantStatus.DENIED:
            self.rejections["over_quota"] += 1
            pending.client.on_rejected(STATUS_TOO_MANY_REQUESTS, grant.retry_after)
        else:
            cost = pending.cost if grant.status is GrantStatus.GRANTED else 0
            pending.client.on_admitted(Admitted(True, tenant, cost))

    def _follow_redirect(
        self,
        pending: _PendingAdmission,
        tenant: Tenant,
        owner: Address | None,
        sender: Address,
        now: float,
    ) -> None:
        """Request the grant from the owner that the sender names; wait if it names none or itself."""
        partition = partition_of(tenant.name)
        self._partition_owners.pop(partition, None)
        if owner is not None:
            self._partition_owners[partition] = owner
        if owner is not None and owner != sender:
            self._request_grant(pending, tenant, now, owner)
        else:  # the partition has no owner at the moment
            self._wait_for_grant(pending, tenant, partition, now)

    def refund(self, admission: Admitted) -> None:
        """Refund the cost of an admitted request that did not run."""
        if admission.tenant is not None and admission.cost:
            self._allowances.refund(admission.tenant.name, admission.cost, self._loop.time())

    def charge_retry(self, admission: Admitted) -> None:
        """Charge an admitted request again, since it is retried on another backend after it may have run."""
        if admission.tenant is not None and admission.cost:
            self._allowances.charge(admission.tenant.name, admission.cost)

    # Messages from other processes

    def receive(self, sender: Address, payload: bytes) -> None:
        """Handle a record from a controller or another router; records that cannot be decoded are dropped."""
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
                    self._authenticate_waiting(now)
                else:
                    self.tick()
            case QuotaGrant():
                self._on_grant(sender, record, now)
            case QuotaRequest():
                pass  # only controllers grant quota

    def tick(self) -> None:
        """Send the next freshness request if one is due. To be called about twenty times a second."""
        now = self._loop.time()
        if self._keys is None:
            return
        self._authenticate_waiting(now)
        if not self._freshness.is_due(now):
            return
        due_request = self._freshness.next_request(self._controllers(), self._other_routers(), now)
        if due_request is not None:
            self._send(due_request[0], encode_record(due_request[1]))

    def evict_idle(self) -> None:
        """Evict the allowances of tenants without recent requests."""
        self._allowances.forget_idle(self._loop.time())

    def _controllers(self) -> list[Address]:
        """Return the controllers, those in the same zone first, rotated so that routers spread over them."""
        members = self._members(Role.CONTROLLER)
        rotation = crc32(self._own_address[0].encode())
        same_zone = sorted(member.address for member in members if member.zone == self._zone)
        other_zones = sorted(member.address for member in members if member.zone != self._zone)
        return [*_rotate(same_zone, rotation), *_rotate(other_zones, rotation)]

    def _other_routers(self) -> list[Address]:
        return [
            member.address for member in self._members(Role.ROUTER) if member.address != self._own_address
        ]

    def _choose_controller(self, attempt: int) -> Address | None:
        controllers = self._controllers()
        return controllers[attempt % len(controllers)] if controllers else None


def _rotate(addresses: Sequence[Address], rotation: int) -> list[Address]:
    start = rotation % len(addresses) if addresses else 0
    return [*addresses[start:], *addresses[:start]]
