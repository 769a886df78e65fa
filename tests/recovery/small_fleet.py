"""Some balancers and some boxes without a socket: events and messages between them, on one heap of times."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from typing import Any

from firvane import interface as api
from firvane.choice import Balancer
from firvane.fleet.box import Box, End
from firvane.fleet.scenario import Boxes, Kind
from firvane.recovery.course import State
from tests.helpers import settings

WARM = Boxes(warm_s=8.0, cold_share=0.13)
READ = api.RequestClass("read", aim=0.5, deadline=2.0, repeat=api.Repeat.SAFE)
RULES = api.Rules(0.02, 0.25, WARM.cold_share, WARM.warm_s, WARM.fall_multiple, WARM.fall_s, 10.0)
LIMITS = api.Limits(3, cancel=True, second_copies=True, peers=True, max_retry_after=1.2)


class SmallFleet:
    """`proxies` balancers that have just started, and boxes of these cores, off or cold from 0 s on."""

    def __init__(
        self,
        proxies: int,
        cores: list[int],
        seed: int = 1,
        rate: float = 100.0,
        memory: api.Remembered | None = None,
        lies: Callable[[int, bytes], bytes | None] = lambda sender, payload: payload,
        drained: frozenset[str] = frozenset(),
        back: float = 0.0,
    ) -> None:
        """`lies` is what becomes of a message; None: it is lost. Boxes hear nothing before `back` s."""
        self.now, self.draw, self.lies, self.rate = 0.0, random.Random(seed), lies, rate
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.order = itertools.count().__next__
        self.boxes: dict[str, Box] = {}
        self.back = back
        for number, count in enumerate(cores):
            name = f"box-{number}"
            kind = Kind(name="k", share=1.0, cores=count, speed=(0.8, 0.8))
            self.boxes[name] = Box(name, kind, WARM, "z", seed + number, back, False)
        self.sent: dict[str, int] = dict.fromkeys(self.boxes, 0)
        self.calls: dict[str, tuple[int, api.Send, int, float]] = {}
        self.asked: dict[tuple[int, int], tuple[float, str]] = {}
        self.attempts: dict[tuple[int, int], int] = {}
        self.served = self.refused = 0
        self.looked: dict[str, float] = {}
        self.balancers = []
        for me in range(proxies):
            told = settings(
                me=me, proxies=proxies, classes=(READ,), rules=RULES, limits=LIMITS, recovery=api.Recovery()
            )
            balancer = Balancer(told, seed + me, 0.0)
            self.balancers.append(balancer)
            if memory:
                assert balancer.recovery
                balancer.recovery.remember(memory, {"k": 0})
        entries = tuple(
            api.Server(
                name, state=api.ServerState.DRAINING if name in drained else api.ServerState.UP, up_since=None
            )
            for name in self.boxes
        )
        for me, balancer in enumerate(self.balancers):
            self._act(me, balancer.start(0.0))
            self._act(me, balancer.handle(api.ServerList(api.ListKind.CACHED, 1, entries), 0.0))
        self._ask(0)

    def at(self, when: float, act: Callable[..., None], *more: Any) -> None:
        heapq.heappush(self.due, (when, self.order(), act, more))

    def run(self, seconds: float) -> SmallFleet:
        while self.due and self.due[0][0] <= seconds:
            self.now, _, act, more = heapq.heappop(self.due)
            act(*more)
        self.now = seconds
        return self

    def states(self) -> set[State]:
        return {balancer.recovery.course.state for balancer in self.balancers if balancer.recovery}

    def _ask(self, number: int) -> None:
        me, work = self.draw.randrange(len(self.balancers)), self.draw.uniform(0.03, 0.05)
        request = api.Request(number + 1, 0, 2.0, key=f"k{self.draw.randrange(50)}", work=work)
        self.asked[me, request.id] = work, request.key or ""
        self.attempts[me, request.id] = 0
        self.at(self.now + self.draw.expovariate(self.rate), self._ask, number + 1)
        self._give(me, request)

    def _give(self, me: int, event: api.Event) -> None:
        self._act(me, self.balancers[me].handle(event, self.now))

    def _act(self, me: int, actions: list[api.Action]) -> None:
        for action in actions:
            if isinstance(action, api.Send):
                self._send(me, action)
            elif isinstance(action, api.SetTimer):
                self.at(self.now + action.span, self._give, me, api.TimerFired(action.token))
            elif isinstance(action, api.Tell):
                self._tell(me, action)
            elif isinstance(action, api.Cancel):
                self._cancel(me, action)
            elif isinstance(action, api.Refuse | api.Fail):
                self.refused += 1

    def _tell(self, me: int, told: api.Tell) -> None:
        for other in range(len(self.balancers)):
            payload = self.lies(me, told.payload)
            if other != me and told.peer in (None, other) and payload is not None:
                late = self.now + self.draw.uniform(0.002, 0.04)
                self.at(late, self._give, other, api.PeerMessage(me, payload))

    def _send(self, me: int, send: api.Send) -> None:
        number = self.attempts[me, send.id]
        self.attempts[me, send.id] += 1
        box, call = self.boxes[send.server], f"{me}/{send.id}/{number}"
        self.sent[send.server] += 1
        self.calls[call] = me, send, number, self.now
        if self.now < self.back or not box.is_up:
            self.at(self.now + 0.001, self._end, call, api.Result.CONNECT_FAILED)
            return
        work, key = self.asked[me, send.id]
        verdict = box.offer(self.now, call, key, work).verdict
        if verdict == "turned away":
            self.at(self.now + 0.001, self._end, call, api.Result.FULL)
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
            self._end(done.call, api.Result.OK if done.end is End.WHOLE else api.Result.RESET)
        self._look(name)
