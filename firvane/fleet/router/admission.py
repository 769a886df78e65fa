"""Who may ask: the key of a request, the proof that it is still good, and the quota of its tenant.

Where the configuration has no tenants everything is admitted as it comes. Else a request ends in one of:
admitted, 401 for a key that nobody holds, 429 beyond its tenant's quota, or 503 where nobody can tell now.
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
from firvane.core.net.http import Message
from firvane.fleet.cluster.agent import Member, Role
from firvane.fleet.configuration.routes import Configuration, Route, Tenant
from firvane.fleet.partitions import partition_of
from firvane.fleet.router.requests import prompt_tokens
from firvane.fleet.tenancy.allowance import Allowances, request_cost
from firvane.fleet.tenancy.freshness import NONCES, Freshness
from firvane.fleet.tenancy.keys import AUTHORIZATION, KeyRing, bearer_key
from firvane.fleet.tenancy.messages import (
    Ask,
    Grant,
    Proof,
    Question,
    Record,
    Status,
    TenancyError,
    decode,
    tenant_id,
)
from firvane.fleet.tenancy.messages import encode as encode_record

HOLD_PART = 0.2  # of the aim, that a request waits for a proof or a grant
SHORTEST_HOLD, LONGEST_HOLD = 0.04, 0.25  # s
ASK_PATIENCE = 0.03  # s that a grant may take before another controller is asked
UNPROVEN_PAUSE = 0.4  # s after which a client that was refused without a proof may come again
NO_GRANT_PAUSE = 0.3  # the same where nobody could grant
MOST_WAITING = 1024  # requests that wait at once


class Applicant(Protocol):
    """Who waits for an admission; hears one of these, once."""

    def admitted(self, admission: Admitted) -> None: ...

    def turned_away(self, status: int, retry_after: float) -> None:
        """The request ends with this status; `retry_after` is 0 where it need not come again."""


class Admitted(Struct, frozen=True):
    """A request that may go on: its tenant, None without a key, and what it was counted with."""

    is_private: bool = False  # the configuration has tenants: what tells of them is not passed on
    tenant: Tenant | None = None
    cost: int = 0


OPEN = Admitted()
KEYLESS = Admitted(is_private=True)


class _Waiting(Struct, eq=False):
    """A request that waits for a proof, or for a grant."""

    applicant: Applicant
    message: Message
    route: Route
    until: float
    tenant: Tenant | None = None
    cost: int = 0
    ahead: int = 0
    spent: int = 0
    asked_at: float = 0.0
    nonce: int = 0
    asks: int = 0
    timer: asyncio.TimerHandle | None = None


class Admission:
    """Admits the requests of one router. Its calls come from the loop's thread."""

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
        """`revoke`: seconds within which a removed key must be refused; 0 where nothing has to prove it."""
        self._loop, self._own, self._zone = loop, own, zone
        self._rng, self._members, self._send, self._log = rng, members, send, log
        self._freshness = Freshness(rng, revoke)
        self._allowances = Allowances()
        self._keys: KeyRing | None = None
        self._unproven: dict[_Waiting, None] = {}
        self._asking: dict[int, _Waiting] = {}
        self._owners: dict[int, Address] = {}  # of parts, as they were told
        self._nonce = rng.randrange(NONCES)
        self.counts = {"unknown_key": 0, "unproven": 0, "over_quota": 0, "no_grant": 0}

    def configure(self, configuration: Configuration) -> None:
        """This configuration is in force."""
        tenants = configuration.tenants
        self._keys = None if tenants is None else KeyRing(tenants)
        self._freshness.configured(configuration.version)
        self.tick()

    def is_able(self) -> bool:
        """Whether a request with a good key would be admitted as far as proofs are concerned."""
        return self._keys is None or self._freshness.is_fresh(self._loop.time())

    def take_counts(self) -> dict[str, int]:
        """Requests turned away since the last call, by their reason."""
        taken, self.counts = self.counts, dict.fromkeys(self.counts, 0)
        return taken

    # Requests

    def admit(self, applicant: Applicant, message: Message, route: Route) -> None:
        """Decide about a request now, or once a proof or a grant has come."""
        if self._keys is None:
            applicant.admitted(OPEN)
            return
        if AUTHORIZATION in message.repeated:
            applicant.turned_away(400, 0.0)
            return
        now = self._loop.time()
        hold = min(LONGEST_HOLD, max(SHORTEST_HOLD, HOLD_PART * route.target_latency_ms / 1000))
        self._identify(_Waiting(applicant, message, route, now + hold), self._keys, now)

    def _identify(self, waiting: _Waiting, keys: KeyRing, now: float) -> None:
        key = bearer_key(waiting.message.fields)
        if waiting.route.anonymous and key is None:
            waiting.applicant.admitted(KEYLESS)
            return
        if not self._freshness.is_fresh(now):
            self._wait_for_proof(waiting, now)
            return
        tenant = keys.holder(key) if key is not None else None
        if tenant is not None:
            self._count(waiting, tenant, now)
        elif waiting.route.anonymous:
            waiting.applicant.admitted(KEYLESS)
        else:
            self.counts["unknown_key"] += 1
            waiting.applicant.turned_away(401, 0.0)

    def _wait_for_proof(self, waiting: _Waiting, now: float) -> None:
        if now >= waiting.until or len(self._unproven) >= MOST_WAITING:
            self.counts["unproven"] += 1
            waiting.applicant.turned_away(503, UNPROVEN_PAUSE)
            return
        self._unproven[waiting] = None
        waiting.timer = self._loop.call_at(waiting.until, self._expire_unproven, waiting)

    def _expire_unproven(self, waiting: _Waiting) -> None:
        if waiting in self._unproven:
            del self._unproven[waiting]
            self.counts["unproven"] += 1
            waiting.applicant.turned_away(503, UNPROVEN_PAUSE)

    def _identify_unproven(self, now: float) -> None:
        keys = self._keys
        if not self._unproven or keys is None or not self._freshness.is_fresh(now):
            return
        unproven, self._unproven = list(self._unproven), {}
        for waiting in unproven:
            if waiting.timer:
                waiting.timer.cancel()
            self._identify(waiting, keys, now)

    # Quota

    def _count(self, waiting: _Waiting, tenant: Tenant, now: float) -> None:
        waiting.tenant = tenant
        waiting.cost = request_cost(tenant, prompt_tokens(waiting.message))
        if tenant.rate <= 0:
            waiting.applicant.admitted(Admitted(True, tenant))
        elif self._allowances.take(tenant.name, waiting.cost, now):
            waiting.applicant.admitted(Admitted(True, tenant, waiting.cost))
        elif len(self._asking) >= MOST_WAITING:
            self._not_granted(waiting)
        else:
            waiting.ahead = self._allowances.ahead(tenant.name, waiting.cost)
            self._ask(waiting, tenant, now)

    def _ask(self, waiting: _Waiting, tenant: Tenant, now: float, whom: Address | None = None) -> None:
        part = partition_of(tenant.name)
        target = whom or self._owners.get(part) or self._any_controller(waiting.asks)
        if target is None or now >= waiting.until:
            self._not_granted(waiting)
            return
        self._nonce = (self._nonce + 1) % NONCES
        waiting.nonce, waiting.asked_at = self._nonce, now
        waiting.asks += 1
        waiting.spent = self._allowances.spent(tenant.name)
        self._asking[waiting.nonce] = waiting
        ask = Ask(waiting.nonce, tenant_id(tenant.name), part, waiting.cost, waiting.ahead, waiting.spent)
        self._send(target, encode_record(ask))
        waiting.timer = self._loop.call_at(
            min(waiting.until, now + ASK_PATIENCE), self._ask_again, waiting, tenant, part
        )

    def _ask_again(self, waiting: _Waiting, tenant: Tenant, part: int) -> None:
        """No answer has come in time: the owner may be another one by now."""
        if self._asking.pop(waiting.nonce, None) is not waiting:
            return
        self._owners.pop(part, None)
        self._ask(waiting, tenant, self._loop.time())

    def _not_granted(self, waiting: _Waiting) -> None:
        self.counts["no_grant"] += 1
        waiting.applicant.turned_away(503, NO_GRANT_PAUSE)

    def _granted(self, sender: Address, grant: Grant, now: float) -> None:
        waiting = self._asking.pop(grant.nonce, None)
        if waiting is None or waiting.tenant is None:
            return
        if waiting.timer:
            waiting.timer.cancel()
        tenant, part = waiting.tenant, partition_of(waiting.tenant.name)
        if grant.status is Status.ELSEWHERE:
            self._owners.pop(part, None)
            if grant.other is not None:
                self._owners[part] = grant.other
            self._ask_elsewhere(waiting, tenant, grant.other, sender, now)
            return
        self._owners[part] = sender
        if now >= waiting.until:  # this process stood still meanwhile: the tokens are those of another moment
            self._not_granted(waiting)
            return
        ahead = max(0, grant.tokens - waiting.cost)
        self._allowances.granted(tenant.name, ahead, waiting.spent, waiting.asked_at)
        if grant.status is Status.DENIED:
            self.counts["over_quota"] += 1
            waiting.applicant.turned_away(429, grant.pause)
        else:
            cost = waiting.cost if grant.status is Status.GRANTED else 0
            waiting.applicant.admitted(Admitted(True, tenant, cost))

    def _ask_elsewhere(
        self, waiting: _Waiting, tenant: Tenant, other: Address | None, sender: Address, now: float
    ) -> None:
        if other is not None and other != sender:
            self._ask(waiting, tenant, now, other)
        else:  # nobody owns the part at this moment
            part = partition_of(tenant.name)
            self._asking[waiting.nonce] = waiting
            due = min(waiting.until, now + ASK_PATIENCE)
            waiting.timer = self._loop.call_at(due, self._ask_again, waiting, tenant, part)

    def give_back(self, admission: Admitted) -> None:
        """An admitted request was refused, and never ran."""
        if admission.tenant is not None and admission.cost:
            self._allowances.give_back(admission.tenant.name, admission.cost, self._loop.time())

    def runs_again(self, admission: Admitted) -> None:
        """An admitted request is sent to a backend once more, after it may have run."""
        if admission.tenant is not None and admission.cost:
            self._allowances.spend(admission.tenant.name, admission.cost)

    # Other processes

    def receive(self, sender: Address, payload: bytes) -> None:
        """A record of a controller or of another router; what cannot be read is dropped."""
        try:
            record: Record = decode(payload)
        except TenancyError as error:
            self._log.warning("tenancy: record dropped.", reason=str(error))
            return
        now = self._loop.time()
        match record:
            case Question():
                self._send(sender, encode_record(self._freshness.answer(record, now)))
            case Proof():
                if self._freshness.receive(sender, record, now):
                    self._identify_unproven(now)
                else:
                    self.tick()
            case Grant():
                self._granted(sender, record, now)
            case Ask():
                pass  # only controllers grant

    def tick(self) -> None:
        """Ask the question that is due. To be called some twenty times a second."""
        now = self._loop.time()
        if self._keys is None:
            return
        self._identify_unproven(now)
        if not self._freshness.is_due(now):
            return
        due = self._freshness.question(self._controllers(), self._routers(), now)
        if due is not None:
            self._send(due[0], encode_record(due[1]))

    def forget_idle(self) -> None:
        """Drop what is kept of tenants that have not asked lately."""
        self._allowances.forget_idle(self._loop.time())

    def _controllers(self) -> list[Address]:
        """Controllers, those of the own zone first, each router beginning with another one."""
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
