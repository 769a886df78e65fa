"""A simulation of balancers and backends without sockets, with their events and messages in one queue."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any

from firvane.core import interface as api
from firvane.proxy.balancer import Balancer
from firvane.proxy.recovery.state_machine import RecoveryState
from firvane.simulation.emulation.backend import EmulatedBackend, JobEnd
from firvane.simulation.emulation.scenario import Boxes, Kind
from tests.helpers import settings

WARM = Boxes(warm_s=8.0, cold_share=0.13)
READ = api.RequestClass("read", latency_target=0.5, deadline=2.0, idempotency=api.Idempotency.SAFE)
RULES = api.Rules(0.02, 0.25, WARM.cold_share, WARM.warm_s, WARM.fall_multiple, WARM.fall_s, 10.0)
LIMITS = api.Limits(3, cancel=True, hedging=True, peers=True, max_retry_after=1.2)


class SmallFleet:
    """`proxies` balancers that have just started, and cold backends with these numbers of cores."""

    def __init__(
        self,
        proxies: int,
        cores: list[int],
        seed: int = 1,
        rate: float = 100.0,
        restored: api.RestoredEstimates | None = None,
        tamper: Callable[[int, bytes], bytes | None] = lambda sender, payload: payload,
        back: float = 0.0,
    ) -> None:
        """Start all balancers; `tamper` may change or drop messages; backends start at `back` s."""
        self.now, self.rng, self.tamper, self.rate = 0.0, random.Random(seed), tamper, rate
        self.loss = self.late = self.twice = 0.0  # fractions of datagrams lost, 1 s late, and duplicated
        self.queue: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count().__next__
        self.boxes: dict[str, EmulatedBackend] = {}
        self.back = back
        for number, count in enumerate(cores):
            name = f"box-{number}"
            kind = Kind(name="k", share=1.0, cores=count, speed=(0.8, 0.8))
            self.boxes[name] = EmulatedBackend(name, kind, WARM, "z", seed + number, back, False)
        self.sent: dict[str, int] = dict.fromkeys(self.boxes, 0)
        self.after_drain = list[str]()  # attempts at draining backends
        self.calls: dict[str, tuple[int, api.Send, int, float]] = {}
        self.requests: dict[tuple[int, int], tuple[float, str]] = {}
        self.attempts: dict[tuple[int, int], int] = {}
        self.served = self.refused = 0
        self.scheduled: dict[str, float] = {}
        self.entries = {name: api.Server(name, up_since=None) for name in self.boxes}
        self.version, self.lives = 1, [0] * proxies
        self.balancers: list[Balancer | None] = [None] * proxies
        for me in range(proxies):
            self.start(me, restored)
        self._new_request(0)

    # Faults

    def start(self, me: int, restored: api.RestoredEstimates | None = None) -> None:
        """Start a proxy process with the cached list."""
        count, options = len(self.lives), api.RecoveryOptions()
        config = settings(me=me, proxies=count, classes=(READ,), rules=RULES, limits=LIMITS, recovery=options)
        self.lives[me] += 1
        balancer = self.balancers[me] = Balancer(config, self.rng.randrange(1 << 30), self.now)
        if restored and balancer.recovery:
            balancer.recovery.restore(restored, {"k": 0})
        self._perform(me, balancer.start(self.now))
        self._deliver(me, api.ServerList(api.ListKind.CACHED, self.version, tuple(self.entries.values())))

    def end(self, me: int) -> api.RestoredEstimates | None:
        """Stop a proxy and close its connections; return the estimates that it would have saved."""
        balancer, self.balancers[me] = self.balancers[me], None
        for call in [call for call, (whose, *_) in self.calls.items() if whose == me]:
            self.boxes[self.calls.pop(call)[1].server].cancel(self.now, call)
        recovery = balancer.recovery if balancer else None
        return recovery.estimates_to_save(balancer.servers.values(), ["k"]) if balancer and recovery else None

    def tell(self, name: str, **changes: Any) -> None:
        """Send an update of a backend from discovery to all running proxies."""
        self.version += 1
        self.entries[name] = entry = replace(self.entries[name], **changes)
        for me in range(len(self.lives)):
            self._deliver(me, api.ServerList(api.ListKind.INCREMENTAL, self.version, (entry,)))

    def stop(self, name: str) -> None:
        """Stop a backend, which breaks its requests."""
        self.boxes[name].silence(self.now)
        self._advance(name)

    def at(self, when: float, act: Callable[..., None], *more: Any) -> None:
        heapq.heappush(self.queue, (when, self.order(), act, more))

    def run(self, seconds: float) -> SmallFleet:
        while self.queue and self.queue[0][0] <= seconds:
            self.now, _, act, more = heapq.heappop(self.queue)
            act(*more)
        self.now = seconds
        return self

    def states(self) -> set[RecoveryState]:
        return {one.recovery.state_machine.state for one in self.balancers if one and one.recovery}

    def _new_request(self, number: int) -> None:
        me, work = self.rng.randrange(len(self.lives)), self.rng.uniform(0.03, 0.05)
        request = api.Request(number + 1, 0, 2.0, key=f"k{self.rng.randrange(50)}", work=work)
        self.requests[me, request.id] = work, request.key or ""
        self.attempts[me, request.id] = 0
        self.at(self.now + self.rng.expovariate(self.rate), self._new_request, number + 1)
        self._deliver(me, request)

    def _deliver(self, me: int, event: api.Event, life: int = 0) -> None:
        """Deliver an event to a proxy; with `life`, only to that process of it."""
        balancer = self.balancers[me]
        if balancer and life in (0, self.lives[me]):
            self._perform(me, balancer.handle(event, self.now))

    def _perform(self, me: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(me, action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                self.at(self.now + action.delay, self._deliver, me, fired, self.lives[me])
            elif isinstance(action, api.SendToPeer):
                self._send_to_peers(me, action)
            elif isinstance(action, api.Cancel):
                self._cancel(me, action)
            elif isinstance(action, api.Reject | api.Fail):
                self.refused += 1

    def _send_to_peers(self, me: int, message: api.SendToPeer) -> None:
        for other in range(len(self.lives)):
            payload = self.tamper(me, message.payload)
            if other == me or message.peer not in (None, other) or payload is None:
                continue
            for _ in range(1 + (self.rng.random() < self.twice)):
                late = self.rng.uniform(0.002, 0.04) + (self.rng.random() < self.late)
                if self.rng.random() >= self.loss:
                    self.at(self.now + late, self._deliver, other, api.PeerMessage(me, payload))

    def _send(self, me: int, send: api.Send) -> None:
        number = self.attempts[me, send.id]
        self.attempts[me, send.id] += 1
        if self.entries[send.server].state is not api.ServerState.UP:
            self.after_drain.append(f"{send.server} by {me} at {self.now}")
        box, call = self.boxes[send.server], f"{me}/{send.id}/{number}"
        self.sent[send.server] += 1
        self.calls[call] = me, send, number, self.now
        if self.now < self.back or not box.is_up:
            self.at(self.now + 0.001, self._end, call, api.Result.CONNECT_FAILED)
            return
        work, key = self.requests[me, send.id]
        verdict = box.offer(self.now, call, key, work).verdict
        if verdict == "turned away":
            self.at(self.now + 0.001, self._end, call, api.Result.OVERLOADED)
        self._schedule(send.server)

    def _cancel(self, me: int, cancel: api.Cancel) -> None:
        call = f"{me}/{cancel.id}/{cancel.attempt}"
        if entry := self.calls.get(call):
            self.boxes[entry[1].server].cancel(self.now, call)
            self.at(self.now, self._end, call, api.Result.CANCELLED)

    def _end(self, call: str, result: api.Result) -> None:
        if entry := self.calls.pop(call, None):
            me, send, number, since = entry
            ok = result is api.Result.OK
            self.served += ok
            outcome = api.Outcome(send.id, number, send.server, result, self.now - since, ok)
            self._deliver(me, outcome)

    def _schedule(self, name: str) -> None:
        at = self.boxes[name].next_at()
        if at < self.scheduled.get(name, float("inf")):
            self.scheduled[name] = at
            self.at(at, self._advance, name)

    def _advance(self, name: str) -> None:
        if self.scheduled.get(name) == self.now:
            del self.scheduled[name]
        for done in self.boxes[name].advance(self.now):
            self._end(done.call, api.Result.OK if done.end is JobEnd.COMPLETED else api.Result.RESET)
        self._schedule(name)
