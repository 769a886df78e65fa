"""Random histories of one balancer, against an oracle that knows the rules of requests and nothing else."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import pytest

from firvane.core import interface as api
from firvane.fleet.discovery.instances import InstanceState
from firvane.fleet.placement.events import (
    InstancesChanged,
    PeersChanged,
    PromptRequest,
    RequestKind,
    StreamProgress,
)
from tests.fleet.placement.helpers import SERVICE, Harness, instance, long_prompt, request

ENDS = [api.Result.OK] * 6 + [
    api.Result.ERROR,
    api.Result.OVERLOADED,
    api.Result.CONNECT_FAILED,
    api.Result.RESET,
    api.Result.TIMEOUT,
    api.Result.NOT_SENT,
    api.Result.CONNECTIONS_FULL,
]
SLACK, RATIO, WINDOW = 20.0, 0.2, 10.0


@dataclass
class TrackedRequest:
    """One request as the oracle follows it."""

    request: PromptRequest
    deadline: float
    sent: list[str] = field(default_factory=list)
    out: set[int] = field(default_factory=set)
    reached: int = 0
    may_have_run: int = 0
    begun: int = -1
    head: bool = False
    over: bool = False


class Oracle:
    """Plays an engine that obeys every action, and checks it against the rules."""

    def __init__(self, seed: int) -> None:
        self.rng, self.harness = random.Random(seed), Harness(4, slack=SLACK)
        self.requests: dict[int, TrackedRequest] = {}
        self.states = {f"i-{number:02}": InstanceState.READY for number in range(4)}
        self.next_server = 4
        self.timers: list[tuple[float, int]] = []
        self.arrivals: list[tuple[float, bool]] = []  # when, and whether it is a repeat
        self.asked: list[float] = []

    def handle(self, event: object) -> None:
        for action in self.harness.handle(event):
            self.obey(action)

    def obey(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, api.SetTimer):
            assert action.delay >= 0.0
            self.timers.append((self.harness.now + action.delay, action.token))
        elif isinstance(action, api.Cancel):
            self.cancel(action)
        elif isinstance(action, api.Reject):
            one = self.requests[action.id]
            assert not one.over and one.may_have_run == 0 and not one.head
            assert 0.0 < action.retry_after <= 2.0
            one.over = True
        elif isinstance(action, api.Fail):
            one = self.requests[action.id]
            assert not one.over and (one.may_have_run or one.head)
            one.over = True

    def check_send(self, action: api.Send) -> None:
        one = self.requests[action.id]
        assert not one.over and not one.out, "one attempt at a time, and none after the answer"
        assert self.harness.now < one.deadline
        assert self.states[action.server] is InstanceState.READY
        assert one.reached < one.request.max_attempts
        assert one.may_have_run == 0 or one.request.retryable
        self.arrivals.append((self.harness.now, one.reached > 0))
        one.out.add(len(one.sent))
        one.sent.append(action.server)
        one.reached += 1
        one.may_have_run += 1

    def cancel(self, action: api.Cancel) -> None:
        one = self.requests[action.id]
        if action.attempt in one.out:
            assert one.over or one.request.retryable
            self.end(action.id, action.attempt, api.Result.CANCELLED)

    def end(self, number: int, attempt: int, result: api.Result) -> None:
        one = self.requests[number]
        one.out.discard(attempt)
        if result.never_ran:
            one.may_have_run -= 1
            one.reached -= result is not api.Result.OVERLOADED
        if result is api.Result.OK and not one.over:
            one.over = True
        elif one.begun == attempt and not one.over:
            one.begun = -1
            one.over = not one.request.retryable
        event = api.Outcome(number, attempt, one.sent[attempt], result, 0.1, one.over)
        self.pending.append(event)

    def step(self) -> None:
        self.pending: list[api.Outcome] = []
        self.harness.now += self.rng.expovariate(40.0)
        due = [timer for timer in self.timers if timer[0] <= self.harness.now]
        self.timers = [timer for timer in self.timers if timer[0] > self.harness.now]
        for _, token in due:
            self.handle(api.TimerFired(token))
            self.flush()
        steps = [
            self.submit,
            self.submit,
            self.begin,
            self.finish,
            self.finish,
            self.leave,
            self.hint,
            self.change,
            self.garbage,
        ]
        self.rng.choice(steps)()
        self.flush()

    def flush(self) -> None:
        while self.pending:
            self.handle(self.pending.pop(0))

    def submit(self) -> None:
        self.harness.next_id += 1
        kind = self.rng.choice(list(RequestKind))
        fields: dict[str, object] = {
            "kind": kind,
            "resumable": kind is RequestKind.STREAM and self.rng.random() < 0.6,
            "max_attempts": self.rng.randint(1, 3),
            "priority": self.rng.randint(0, 3),
        }
        if self.rng.random() < 0.2:
            fields = long_prompt(self.rng.randrange(9), self.harness.next_id, **{**fields, "time_left": 10.0})
        asked = request(self.harness.next_id, **fields)
        self.requests[asked.id] = TrackedRequest(asked, self.harness.now + asked.time_left)
        self.asked.append(self.harness.now)
        self.handle(asked)

    def some(self) -> tuple[int, int] | None:
        out = [(number, attempt) for number, one in self.requests.items() for attempt in one.out]
        return self.rng.choice(out) if out else None

    def begin(self) -> None:
        if found := self.some():
            number, attempt = found
            one = self.requests[number]
            if not one.over and one.begun < 0 and one.request.kind is RequestKind.STREAM:
                one.begun, one.head = attempt, True
                self.handle(api.StreamStarted(number, attempt, one.sent[attempt], 0.08))

    def finish(self) -> None:
        if found := self.some():
            result = self.rng.choice(ENDS)
            if self.requests[found[0]].begun == found[1]:
                result = self.rng.choice([api.Result.OK, api.Result.RESET, api.Result.TIMEOUT])
            self.end(*found, result)

    def leave(self) -> None:
        waiting = [number for number, one in self.requests.items() if not one.over]
        if waiting and self.rng.random() < 0.3:
            number = self.rng.choice(waiting)
            self.requests[number].over = True
            self.handle(api.ClientGone(number))

    def hint(self) -> None:
        if found := self.some():
            self.handle(StreamProgress(self.requests[found[0]].sent[found[1]]))

    def change(self) -> None:
        if self.rng.random() < 0.5:
            count = self.rng.randint(1, 3)
            self.handle(PeersChanged(tuple(range(1, count + 1)), (0,) * count))
            return
        name = self.rng.choice(list(self.states))
        ready = [each for each, state in self.states.items() if state is InstanceState.READY]
        if len(ready) > 2 and self.states[name] is InstanceState.READY:
            self.states[name] = InstanceState.DRAINING
        elif self.states[name] is InstanceState.DRAINING:
            self.states[name] = InstanceState.GONE
            self.states[f"i-{self.next_server:02}"] = InstanceState.READY
            self.next_server += 1
        listed = [instance(int(each[2:]), state) for each, state in self.states.items()]
        self.handle(InstancesChanged(SERVICE, tuple(listed)))

    def garbage(self) -> None:
        self.handle(api.PeerMessage(2, self.rng.randbytes(self.rng.randrange(80))))
        self.handle(api.Outcome(10**6, 0, "i-00", api.Result.OK, 0.1, True))
        self.handle(api.StreamStarted(10**6, 0, "i-00", 0.1))
        self.handle(api.TimerFired(10**6))

    def settle(self) -> None:
        """All clients leave; nothing may be left of them."""
        self.pending = []
        for number, one in self.requests.items():
            if not one.over:
                one.over = True
                self.handle(api.ClientGone(number))
                self.flush()
        assert not any(one.out for one in self.requests.values())
        balancer = self.harness.balancer
        assert not balancer.pending_requests and not balancer.attempts
        for server in balancer.services[SERVICE].servers.values():
            assert server.in_flight == 0 and not server.pending_prefills

    def check_budget(self) -> None:
        repeats = [at for at, repeat in self.arrivals if repeat]
        for end in repeats:
            span = [at for at in repeats if end - WINDOW < at <= end]
            asked = [at for at in self.asked if end - WINDOW <= at <= end]
            assert len(span) <= RATIO * len(asked) + SLACK


@pytest.mark.parametrize("seed", range(40))
def test_random_histories_keep_the_rules(seed: int) -> None:
    oracle = Oracle(seed)
    oracle.pending = []
    for _ in range(500):
        oracle.step()
    oracle.check_budget()
    oracle.settle()
    assert len(oracle.requests) > 60
