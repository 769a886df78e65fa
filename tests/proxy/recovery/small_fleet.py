"""Some balancers and some boxes without a socket: events and messages between them, on one heap of times."""

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
    """`proxies` balancers that have just started, and boxes of these cores, off or cold from 0 s on."""

    def __init__(
        self,
        proxies: int,
        cores: list[int],
        seed: int = 1,
        rate: float = 100.0,
        memory: api.RestoredEstimates | None = None,
        lies: Callable[[int, bytes], bytes | None] = lambda sender, payload: payload,
        back: float = 0.0,
    ) -> None:
        """`lies` is what becomes of a message; None: it is lost. Boxes hear nothing before `back` s."""
        self.now, self.draw, self.lies, self.rate = 0.0, random.Random(seed), lies, rate
        self.loss = self.late = self.twice = 0.0  # parts of the datagrams lost, 1 s late, and twice there
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count().__next__
        self.boxes: dict[str, EmulatedBackend] = {}
        self.back = back
        for number, count in enumerate(cores):
            name = f"box-{number}"
            kind = Kind(name="k", share=1.0, cores=count, speed=(0.8, 0.8))
            self.boxes[name] = EmulatedBackend(name, kind, WARM, "z", seed + number, back, False)
        self.sent: dict[str, int] = dict.fromkeys(self.boxes, 0)
        self.after_drain = list[str]()  # attempts at boxes that had drained
        self.calls: dict[str, tuple[int, api.Send, int, float]] = {}
        self.asked: dict[tuple[int, int], tuple[float, str]] = {}
        self.attempts: dict[tuple[int, int], int] = {}
        self.served = self.refused = 0
        self.looked: dict[str, float] = {}
        self.entries = {name: api.Server(name, up_since=None) for name in self.boxes}
        self.version, self.lives = 1, [0] * proxies
        self.balancers: list[Balancer | None] = [None] * proxies
        for me in range(proxies):
            self.start(me, memory)
        self._ask(0)

    # Faults

    def start(self, me: int, memory: api.RestoredEstimates | None = None) -> None:
        """A proxy begins its life with the list as last known."""
        count, wanted = len(self.lives), api.RecoveryOptions()
        told = settings(me=me, proxies=count, classes=(READ,), rules=RULES, limits=LIMITS, recovery=wanted)
        self.lives[me] += 1
        balancer = self.balancers[me] = Balancer(told, self.draw.randrange(1 << 30), self.now)
        if memory and balancer.recovery:
            balancer.recovery.remember(memory, {"k": 0})
        self._act(me, balancer.start(self.now))
        self._give(me, api.ServerList(api.ListKind.CACHED, self.version, tuple(self.entries.values())))

    def end(self, me: int) -> api.RestoredEstimates | None:
        """Power goes from a proxy, and its connections with it; what it would have kept."""
        balancer, self.balancers[me] = self.balancers[me], None
        for call in [call for call, (whose, *_) in self.calls.items() if whose == me]:
            self.boxes[self.calls.pop(call)[1].server].cancel(self.now, call)
        recovery = balancer.recovery if balancer else None
        return recovery.recall(balancer.servers.values(), ["k"]) if balancer and recovery else None

    def tell(self, name: str, **changes: Any) -> None:
        """Discovery has news of a box for all that are on."""
        self.version += 1
        self.entries[name] = entry = replace(self.entries[name], **changes)
        for me in range(len(self.lives)):
            self._give(me, api.ServerList(api.ListKind.INCREMENTAL, self.version, (entry,)))

    def stop(self, name: str) -> None:
        """Power goes from a box; what it had is broken off."""
        self.boxes[name].silence(self.now)
        self._advance(name)

    def at(self, when: float, act: Callable[..., None], *more: Any) -> None:
        heapq.heappush(self.due, (when, self.order(), act, more))

    def run(self, seconds: float) -> SmallFleet:
        while self.due and self.due[0][0] <= seconds:
            self.now, _, act, more = heapq.heappop(self.due)
            act(*more)
        self.now = seconds
        return self

    def states(self) -> set[RecoveryState]:
        return {one.recovery.state_machine.state for one in self.balancers if one and one.recovery}

    def _ask(self, number: int) -> None:
        me, work = self.draw.randrange(len(self.lives)), self.draw.uniform(0.03, 0.05)
        request = api.Request(number + 1, 0, 2.0, key=f"k{self.draw.randrange(50)}", work=work)
        self.asked[me, request.id] = work, request.key or ""
        self.attempts[me, request.id] = 0
        self.at(self.now + self.draw.expovariate(self.rate), self._ask, number + 1)
        self._give(me, request)

    def _give(self, me: int, event: api.Event, life: int = 0) -> None:
        """To this life of a proxy alone, where one is meant."""
        balancer = self.balancers[me]
        if balancer and life in (0, self.lives[me]):
            self._act(me, balancer.handle(event, self.now))

    def _act(self, me: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(me, action)
            elif isinstance(action, api.SetTimer):
                fired = api.TimerFired(action.token)
                self.at(self.now + action.delay, self._give, me, fired, self.lives[me])
            elif isinstance(action, api.SendToPeer):
                self._tell(me, action)
            elif isinstance(action, api.Cancel):
                self._cancel(me, action)
            elif isinstance(action, api.Reject | api.Fail):
                self.refused += 1

    def _tell(self, me: int, told: api.SendToPeer) -> None:
        for other in range(len(self.lives)):
            payload = self.lies(me, told.payload)
            if other == me or told.peer not in (None, other) or payload is None:
                continue
            for _ in range(1 + (self.draw.random() < self.twice)):
                late = self.draw.uniform(0.002, 0.04) + (self.draw.random() < self.late)
                if self.draw.random() >= self.loss:
                    self.at(self.now + late, self._give, other, api.PeerMessage(me, payload))

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
        work, key = self.asked[me, send.id]
        verdict = box.offer(self.now, call, key, work).verdict
        if verdict == "turned away":
            self.at(self.now + 0.001, self._end, call, api.Result.OVERLOADED)
        self._look(send.server)

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
            self._give(me, outcome)

    def _look(self, name: str) -> None:
        at = self.boxes[name].next_at()
        if at < self.looked.get(name, float("inf")):
            self.looked[name] = at
            self.at(at, self._advance, name)

    def _advance(self, name: str) -> None:
        if self.looked.get(name) == self.now:
            del self.looked[name]
        for done in self.boxes[name].advance(self.now):
            self._end(done.call, api.Result.OK if done.end is JobEnd.COMPLETED else api.Result.RESET)
        self._look(name)
