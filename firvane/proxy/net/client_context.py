"""What all client connections share: their state, what they may ask for, and what is refused unseen."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable, Sequence
from typing import Protocol

import httptools

from firvane.core import interface as api
from firvane.core.engine import Engine
from firvane.core.flows import Flow
from firvane.core.net.http import Fault, Message, refusals, unescaped
from firvane.core.request_counters import ClassCounters
from firvane.proxy.limits.admission_gate import Gate
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.resource_monitor import Guard

# Two values of one of these would let the proxy and a target go by different ones.
SINGLE = frozenset((b"host", b"x-call-id", b"x-caller", b"x-budget-ms", b"x-route-hash", b"x-call-cost"))
# s after which clients of a proxy that may decide nothing come back, spread: its next lease may be near.
PAUSES = tuple(0.25 + step / 16 for step in (3, 11, 7, 15, 1, 9, 5, 13, 0, 8, 4, 12, 2, 10, 6, 14))
GREEDY = 4.0  # times as often as others, and four times more, is far more than they ask


class Agreement(Protocol):
    """Whether requests may be decided here at all, and by which policy; as the proxy has it."""

    stamp: bytes  # a header line for each answer, or none

    def may(self) -> bool: ...


class Measures(Protocol):
    """ClassCounters by class and tenant, as the proxy has them where they are asked for."""

    def take(self, flow: Flow[Message, Message], request: api.Request, settings: api.Settings) -> None: ...

    def left(self, flow: Flow[Message, Message]) -> None: ...

    def unseen(self, cls: str, tenant: str | None) -> None: ...


def method(cls: api.RequestClass) -> bytes:
    """That of its requests."""
    return b"GET" if cls.idempotency is api.Idempotency.SAFE else b"POST"


class ClientSide:
    """What all client connections of the proxy share, whoever may be here (`net.front`)."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        engine: Engine[Message, Message],
        settings: api.Settings,
        guard: Guard,
    ) -> None:
        self.loop, self.engine, self.settings, self.guard = loop, engine, settings, guard
        engine.load_shedder = self
        # Classes by the first part of a path; and, for a while, those that were there before, by their form.
        self.classes: dict[bytes, tuple[int, api.RequestClass]] = {}
        self.former: dict[tuple[bytes, bytes], tuple[int, api.RequestClass]] = {}
        self.counts: dict[bytes, ClassCounters] = {}
        self.tenants: dict[bytes, int] = {}
        self.connections: dict[ClientConnection, None] = {}  # in order: a set's would differ from run to run
        self.turns, self.account = guard.turns, guard.account
        self.gate = Gate((), guard.turns.full)
        self.retune(settings, tuple(range(len(settings.classes))))
        guard.counts = lambda: (self.gate.wished, self.gate.overflowed, self.gate.told())
        self.refusals = itertools.cycle(refusals(0.0, 0.0))
        self.agreement: Agreement | None = None  # where there is one on the policy for all proxies
        self.measures: Measures | None = None  # where they are asked for
        self.pauses = itertools.cycle(PAUSES)
        self.door: Callable[[bool], None] = lambda opened: None  # opens or shuts the way for new connections
        self.shut_out = False  # it is shut
        self.crowded = False  # more are here than there are places
        self.second, self.askers, self.asked = 0, 0, 0  # who has asked in this second, and how often
        self.usual = 0.0  # requests that a connection which asks has brought in the last one
        self.ids: set[bytes] = set()  # of the flows that are open here
        self.ready = False
        self.draining = False  # no longer ready for new clients
        self.closing = False  # nor for those that are here: each answer is a connection's last
        self.last = float("inf")  # no flow may still be open then

    def retune(self, settings: api.Settings, current: Sequence[int]) -> None:
        """Requests come by these settings from now on; clients may name the current classes."""
        self.former = {(name, method(cls)): (number, cls) for name, (number, cls) in self.classes.items()}
        self.settings = settings
        self.classes = {settings.classes[i].name.encode(): (i, settings.classes[i]) for i in current}
        self.counts = {
            name: self.engine.request_counters.for_class(cls.name) for name, (_, cls) in self.classes.items()
        }
        self.tenants = {tenant.name.encode(): i for i, tenant in enumerate(settings.tenants)}
        self.gate.name(tuple(self.tenants))

    def forget(self) -> None:
        """Nobody comes by the settings of before any more."""
        self.former.clear()

    def read(self, message: Message) -> tuple[api.Request, float]:
        """The request that a message holds and its deadline; `Fault` where it holds none."""
        path = message.url.split(b"?", 1)[0]
        if not path.startswith(b"/"):  # the absolute form, as sent to a proxy
            try:
                path = httptools.parse_url(message.url).path or b"/"
            except httptools.HttpParserInvalidURLError:
                raise Fault(400) from None
        name = path.split(b"/", 2)[1]
        known = self.classes.get(name)
        if known is None and b"%" in name:  # what a path cannot hold as it is comes percent-encoded
            name = unescaped(name)
            known = self.classes.get(name)
        if known is None or message.method != method(known[1]):
            known = self.former.get((name, message.method), known)
        if known is None:
            raise Fault(404)
        number, cls = known
        if message.method != method(cls):
            raise Fault(405)
        fields = message.fields
        if not SINGLE.isdisjoint(message.repeated) or (message.size and message.method == b"GET"):
            raise Fault(400)
        if fields.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            raise Fault(400)  # a coding that would pass as the body itself
        if fields.get(b"x-call-id") in self.ids:
            raise Fault(409)  # only one of two can be the one that a target's answer is for
        budget, tenant = fields.get(b"x-budget-ms", b""), None
        if not fields.get(b"x-call-id") or not budget.isdigit() or len(budget) > 9:
            raise Fault(400)
        if self.tenants:
            tenant = self.tenants.get(fields.get(b"x-caller", b""))
            if tenant is None:
                raise Fault(400)
        cost, key = fields.get(b"x-call-cost", b""), fields.get(b"x-route-hash")
        request = api.Request(
            id=-1,
            class_id=number,
            time_left=0.0,
            key=key.decode("latin-1") if key else None,
            tenant=tenant,
            work=int(cost) / 1e6 if cost.isdigit() and len(cost) <= 12 else None,
            is_retry=fields.get(b"x-again") == b"1",
            is_write=cls.idempotency is not api.Idempotency.SAFE,
        )
        return request, min(int(budget) / 1000, cls.deadline)

    def count(self, connection: ClientConnection) -> None:
        """A request of its is taken up: how often it asks, and how often others do, second by second."""
        second = int(self.loop.time())
        if second != self.second:
            self.usual = self.asked / self.askers if self.askers else 0.0
            self.second, self.askers, self.asked = second, 0, 0
        if connection.second != second:
            connection.second, connection.recent = second, 0
            self.askers += 1
        connection.recent += 1
        self.asked += 1

    def is_greedy(self, connection: ClientConnection) -> bool:
        """Whether it has asked far more in this second than others did in the last."""
        return connection.second == self.second and connection.recent > GREEDY * (1.0 + self.usual)

    def shed(self, parts: Sequence[float], retry_after: float, again: bool = False) -> None:
        """The decisions' word on what to refuse unseen."""
        self.gate.set(parts, again)
        limits = self.settings.limits
        pause = retry_after if limits.retry_after else 0.0
        self.refusals = itertools.cycle(refusals(pause, limits.max_retry_after))

    def count_refused(self, message: Message) -> float:
        """Whatever it asks for, nobody may decide on it now; for how many seconds its client should wait."""
        name = message.url.split(b"?", 1)[0].split(b"/", 2)[1:2]
        if counts := self.counts.get(name[0] if name else b""):
            counts.dropped += 1
            if self.measures is not None:
                self.count_unseen(name[0], message.fields.get(b"x-caller", b""))
        self.engine.event_counts["no lease on the policy"] += 1
        limits = self.settings.limits
        return min(limits.max_retry_after, next(self.pauses)) if limits.retry_after else 0.0

    def count_unseen(self, cls: bytes, tenant: bytes) -> None:
        """A request of these, as they stand on the wire, is refused before anything is decided on it."""
        if self.measures is not None:
            known = tenant.decode("latin-1") if tenant in self.tenants else None
            self.measures.unseen(cls.decode("latin-1"), known)

    def no_place(self) -> None:
        """All places are taken."""
        raise NotImplementedError
