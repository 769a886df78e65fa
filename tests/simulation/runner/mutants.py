"""A catalogue of ways to break the proxy, each with the rule that must catch it in a virtual run.

A rehearsal that never fails proves nothing. Each of these replaces a method or two of the real objects, as
a slip in them would; the run is otherwise the one that an operator starts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import replace
from functools import partial, partialmethod
from itertools import count
from typing import Any, NamedTuple
from unittest.mock import patch

from firvane.core import interface as api
from firvane.core.engine import Engine
from firvane.proxy.balancer import Balancer
from firvane.proxy.capacity.backend_estimates import BackendEstimates
from firvane.proxy.config import platform
from firvane.proxy.net import peer_datagrams, upstream_pool
from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.net.connection_limiter import ConnectionLimiter
from firvane.proxy.net.peer_datagrams import PeerDatagrams
from firvane.proxy.net.upstream_pool import UpstreamPools
from firvane.proxy.proxy import Proxy
from firvane.simulation.emulation.scenario import Boxes, Load, Scenario, Trouble
from firvane.simulation.emulation.verdict import Grade, Rule

SEED = 5


def day(seconds: float, rate: float = 120.0, boxes: int = 6, *troubles: Trouble, **load: Any) -> Scenario:
    """A short one on few boxes, so that all of the catalogue takes seconds."""
    load = {"rate": rate, "keys": 300, "body_bytes": 200, **load}
    few = Boxes(count=boxes)
    return Scenario(
        name="mutant", seconds=seconds, warm_up_s=1.0, boxes=few, load=Load(**load), troubles=troubles
    )


SLOWED = Trouble(kind="slow", at_s=1.0, for_s=5.0, part=0.5, part_speed=0.05)
CALM, LONG, FULL = day(4.0), day(18.0, 50.0), day(3.0, 300.0, 3)
CLOSING = day(3.0, 120.0, 6, Trouble(kind="drain", at_s=1.0, part=0.9, drain_s=8.0))
DRAINS = day(9.0, 80.0, 6, Trouble(kind="drain", at_s=1.0, part=0.4, drain_s=8.0))
CRASH = day(7.0, 200.0, 6, Trouble(kind="crash", at_s=1.5, for_s=1.0, part=0.4))
RESTART = day(6.0, 120.0, 6, Trouble(kind="restart", at_s=2.0))
DAWDLING = Trouble(kind="slow", at_s=1.0, for_s=7.0, part=0.5, part_speed=0.05)  # copies follow
LEAVING = day(
    8.0, 32.0, 14, DAWDLING, work_ms=(500.0, 600.0), aim_s=1.5, deadline_s=4.0, leaving=0.4,
    leave_s=(0.02, 0.05), at_once=2,
)  # fmt: skip
ONCE = day(6.0, 120.0, 6, SLOWED, may_repeat=False)


class Mutant(NamedTuple):
    """One way to break it. `methods`: whose, which, and what takes its place, which is given the original."""

    name: str
    rule: Rule
    scenario: Scenario
    methods: list[tuple[Any, str, Callable[..., Any]]]
    grade: Grade = Grade.BROKEN

    @contextmanager
    def broken(self) -> Iterator[None]:
        with ExitStack() as stack:
            state.clear()
            for owner, name, instead in self.methods:
                original = getattr(owner, name)
                bind = partialmethod if isinstance(owner, type) else partial
                stack.enter_context(patch.object(owner, name, bind(instead, original)))
            yield


state: dict[str, Any] = {}  # of the mutant at work


def once_in(every: int) -> bool:
    """True once in so many calls."""
    return next(state.setdefault("calls", count(1))) % every == 0


def lose(self: ClientConnection, served: Any, answer: Any) -> None:
    """Now and then an answer is thrown away."""
    if not once_in(60):
        served(self, answer)


def swap(self: ClientConnection, served: Any, answer: Any) -> None:
    """Now and then a client gets the body of the answer before."""
    mine = list(answer.body), answer.size
    if once_in(60):
        answer.body, answer.size = state["before"]
    state["before"] = mine
    served(self, answer)


def write_twice(self: ClientConnection, served: Any, answer: Any) -> None:
    """Now and then an answer is written twice."""
    write, times = self.transport.writelines, 2 if once_in(60) else 1
    with patch.object(self, "transport", wraps=self.transport) as transport:
        transport.writelines.side_effect = lambda pieces: write(list(pieces) * times)
        served(self, answer)


def deafen(self: Engine[Any, Any], listed: Any, news: api.ServerList) -> None:
    """A box that drains is taken for one that is up."""
    for server in news.servers:
        if server.state is api.ServerState.DRAINING:
            server.state = api.ServerState.UP
    listed(self, news)


def prefer_cold(self: Balancer, choose: Any, job: Any, now: float, limit: float) -> Any:
    """What has just started is liked best."""
    cold = [one for one in self.servers.values() if one.started_at and self.may_send(job, one, now)]
    return max(cold, key=lambda one: one.started_at) if cold else choose(self, job, now, limit)


def repeat_all(self: Balancer, may_send: Any, job: Any, server: Any, now: float) -> bool:
    """A class that may not repeat is taken for one that may."""
    maybe, job.maybe_ran = job.maybe_ran, 0
    try:
        return bool(may_send(self, job, server, now))
    finally:
        job.maybe_ran = maybe


def send_thrice(self: Engine[Any, Any], send: Any, action: api.Send) -> None:
    """Now and then a request is sent to three boxes at once."""
    others = sorted(self.known_targets - {action.server})[:2] if once_in(60) else []
    for server in (action.server, *others):
        send(self, api.Send(action.id, server, action.timeout, action.start_before))


def unbind(parse: Any, raw: Any) -> api.Settings:
    """The cap on attempts is read wrong."""
    settings = parse(raw)
    return replace(settings, limits=replace(settings.limits, max_attempts=9))


def hold_back(self: Engine[Any, Any], refuse: Any, action: api.Reject) -> None:
    """Refusals wait until the client would have gone, so that it does not come again."""
    if flow := self.flows.get(action.id):
        self.clock.call_at(flow.deadline - 0.1, refuse, self, action)


def believe(self: ConnectionLimiter, accept: Any, quiet: Any, stands: Any) -> ClientConnection:
    """Who has left is noticed only where the loop reads, as before the kernel was asked."""
    return accept(self, quiet)  # type: ignore[no-any-return]


class Nobody:
    """Who waits for an exchange that nobody wants."""

    def __init__(self, deadline: float) -> None:
        self.deadline = self.start_before = deadline

    def on_request_sent(self) -> None: ...

    def on_body_consumed(self) -> None: ...

    def on_response_started(self, answer: Any) -> None: ...

    def on_ended(self, ending: Any, answer: Any = None) -> None: ...


def go_on(self: Engine[Any, Any], refuse: Any, action: api.Reject) -> None:
    """What has been refused is sent to a box all the same, a little later."""
    flow, target = self.flows.get(action.id), min(self.known_targets)
    refuse(self, action)
    if flow:
        at, nobody = self.clock.time() + 0.1, Nobody(flow.deadline)
        self.clock.call_at(at, self.targets.forward, flow.request, target, nobody)


def keep(every: int) -> Callable[..., None]:
    """Now and then what is over is not put away."""

    def method(self: Any, put_away: Any, what: Any) -> None:
        if not once_in(every):
            put_away(self, what)

    return method


def forge(head: Any, request: Any, *more: Any) -> list[bytes]:
    """Now and then a request goes on under an id of the proxy's own."""
    call = request.fields.get(b"x-call-id", b"")
    pieces: list[bytes] = head(request, *more)
    return [b"".join(pieces).replace(call, call[::-1])] if call and once_in(60) else pieces


async def end_at_once(self: Proxy, drain: Any) -> None:
    """Told to end, a proxy ends, whatever it has taken."""


def pad(self: PeerDatagrams, tell: Any, peer: int | None, payload: bytes) -> None:
    """Rows for the peers grow beyond what a datagram may hold."""
    with patch.object(peer_datagrams, "MAX_DATAGRAM_BYTES", 1000):
        tell(self, peer, payload.ljust(257, b"\0"))


MUTANTS = (
    Mutant("a lost answer", Rule.LOST, CALM, [(ClientConnection, "on_response", lose)]),
    Mutant("an answer given to another call", Rule.FOREIGN, CALM, [(ClientConnection, "on_response", swap)]),
    Mutant(
        "an answer written twice", Rule.ANSWERED_TWICE, CALM, [(ClientConnection, "on_response", write_twice)]
    ),
    Mutant("a send after the drain", Rule.DRAINED, DRAINS, [
        (Engine, "update_server_list", deafen),
        (UpstreamPools, "update_target",
         lambda self, update, name, address, up: update(self, name, address, True)),
    ]),
    Mutant("a cold box flooded", Rule.PUSHED_OVER, CRASH, [
        (BackendEstimates, "is_in_slow_start", lambda self, is_in_slow_start, server, now: False),
        (Balancer, "choose", prefer_cold),
    ]),
    Mutant("a duplicate where none may be", Rule.EFFECTS, ONCE, [(Balancer, "may_send", repeat_all)]),
    Mutant("three copies at once", Rule.COPIES, CALM, [(Engine, "_send", send_thrice)]),
    Mutant("a cap that does not bind", Rule.ATTEMPTS, CLOSING, [(platform, "parse_settings", unbind)]),
    Mutant("an answer held back", Rule.HELD_BACK, FULL, [(Engine, "_reject", hold_back)], Grade.COSTS),
    Mutant("a send after the answer", Rule.AFTER_END, FULL, [(Engine, "_reject", go_on)]),
    Mutant("a client that left unseen", Rule.SENT_ON, LEAVING, [(ConnectionLimiter, "accept", believe)]),
    Mutant("a leak of flows", Rule.LEAK, CALM, [(Engine, "_forget", keep(5))]),
    Mutant("a leak of sockets", Rule.LEAK, LONG, [(UpstreamPools, "park", keep(2))]),
    Mutant("an id that no client sent", Rule.UNKNOWN, CALM, [(upstream_pool, "format_request_head", forge)]),
    Mutant("an end that waits for nobody", Rule.LOST, RESTART, [(Proxy, "drain", end_at_once)]),
    Mutant("a datagram too long", Rule.DATAGRAM, CALM, [(PeerDatagrams, "send_datagram", pad)]),
)  # fmt: skip
