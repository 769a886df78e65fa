"""Random event sequences for one balancer, checked by an oracle against the rules of requests."""

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

RESULTS = [api.Result.OK] * 6 + [
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
    """The oracle's state of one request."""

    request: PromptRequest
    deadline: float
    sent: list[str] = field(default_factory=list)
    in_flight: set[int] = field(default_factory=set)
    reached: int = 0
    may_have_run: int = 0
    started_attempt: int = -1
    response_started: bool = False
    ended: bool = False


class Oracle:
    """Performs the balancer's actions as the router does, and checks each against the rules."""

    def __init__(self, seed: int) -> None:
        self.rng, self.harness = random.Random(seed), Harness(4, slack=SLACK)
        self.requests: dict[int, TrackedRequest] = {}
        self.states = {f"i-{number:02}": InstanceState.READY for number in range(4)}
        self.next_server = 4
        self.timers: list[tuple[float, int]] = []
        self.arrivals: list[tuple[float, bool]] = []  # time of each attempt, and whether it is a retry
        self.submitted: list[float] = []

    def handle(self, event: object) -> None:
        for action in self.harness.handle(event):
            self.perform(action)

    def perform(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.check_send(action)
        elif isinstance(action, api.SetTimer):
            assert action.delay >= 0.0
            self.timers.append((self.harness.now + action.delay, action.token))
        elif isinstance(action, api.Cancel):
            self.cancel(action)
        elif isinstance(action, api.Reject):
            tracked = self.requests[action.id]
            assert not tracked.ended and tracked.may_have_run == 0 and not tracked.response_started
            assert 0.0 < action.retry_after <= 2.0
            tracked.ended = True
        elif isinstance(action, api.Fail):
            tracked = self.requests[action.id]
            assert not tracked.ended and (tracked.may_have_run or tracked.response_started)
            tracked.ended = True

    def check_send(self, action: api.Send) -> None:
        tracked = self.requests[action.id]
        assert not tracked.ended and not tracked.in_flight, (
            "one open attempt at a time, and none after the final response"
        )
        assert self.harness.now < tracked.deadline
        assert self.states[action.server] is InstanceState.READY
        assert tracked.reached < tracked.request.max_attempts
        assert tracked.may_have_run == 0 or tracked.request.retryable
        self.arrivals.append((self.harness.now, tracked.reached > 0))
        tracked.in_flight.add(len(tracked.sent))
        tracked.sent.append(action.server)
        tracked.reached += 1
        tracked.may_have_run += 1

    def cancel(self, action: api.Cancel) -> None:
        tracked = self.requests[action.id]
        if action.attempt in tracked.in_flight:
            assert tracked.ended or tracked.request.retryable
            self.end(action.id, action.attempt, api.Result.CANCELLED)

    def end(self, number: int, attempt: int, result: api.Result) -> None:
        tracked = self.requests[number]
        tracked.in_flight.discard(attempt)
        if result.never_ran:
            tracked.may_have_run -= 1
            tracked.reached -= result is not api.Result.OVERLOADED
        if result is api.Result.OK and not tracked.ended:
            tracked.ended = True
        elif tracked.started_attempt == attempt and not tracked.ended:
            tracked.started_attempt = -1
            tracked.ended = not tracked.request.retryable
        event = api.Outcome(number, attempt, tracked.sent[attempt], result, 0.1, tracked.ended)
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
            self.start_stream,
            self.finish,
            self.finish,
            self.disconnect,
            self.report_progress,
            self.change_membership,
            self.send_invalid_events,
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
        submitted = request(self.harness.next_id, **fields)
        self.requests[submitted.id] = TrackedRequest(submitted, self.harness.now + submitted.time_left)
        self.submitted.append(self.harness.now)
        self.handle(submitted)

    def random_attempt(self) -> tuple[int, int] | None:
        in_flight = [
            (number, attempt) for number, tracked in self.requests.items() for attempt in tracked.in_flight
        ]
        return self.rng.choice(in_flight) if in_flight else None

    def start_stream(self) -> None:
        if in_flight_attempt := self.random_attempt():
            number, attempt = in_flight_attempt
            tracked = self.requests[number]
            if (
                not tracked.ended
                and tracked.started_attempt < 0
                and tracked.request.kind is RequestKind.STREAM
            ):
                tracked.started_attempt, tracked.response_started = attempt, True
                self.handle(api.StreamStarted(number, attempt, tracked.sent[attempt], 0.08))

    def finish(self) -> None:
        if in_flight_attempt := self.random_attempt():
            result = self.rng.choice(RESULTS)
            if self.requests[in_flight_attempt[0]].started_attempt == in_flight_attempt[1]:
                result = self.rng.choice([api.Result.OK, api.Result.RESET, api.Result.TIMEOUT])
            self.end(*in_flight_attempt, result)

    def disconnect(self) -> None:
        waiting = [number for number, tracked in self.requests.items() if not tracked.ended]
        if waiting and self.rng.random() < 0.3:
            number = self.rng.choice(waiting)
            self.requests[number].ended = True
            self.handle(api.ClientGone(number))

    def report_progress(self) -> None:
        if in_flight_attempt := self.random_attempt():
            self.handle(StreamProgress(self.requests[in_flight_attempt[0]].sent[in_flight_attempt[1]]))

    def change_membership(self) -> None:
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

    def send_invalid_events(self) -> None:
        self.handle(api.PeerMessage(2, self.rng.randbytes(self.rng.randrange(80))))
        self.handle(api.Outcome(10**6, 0, "i-00", api.Result.OK, 0.1, True))
        self.handle(api.StreamStarted(10**6, 0, "i-00", 0.1))
        self.handle(api.TimerFired(10**6))

    def end_all_requests(self) -> None:
        """Disconnect all clients, and check that no state of their requests remains."""
        self.pending = []
        for number, tracked in self.requests.items():
            if not tracked.ended:
                tracked.ended = True
                self.handle(api.ClientGone(number))
                self.flush()
        assert not any(tracked.in_flight for tracked in self.requests.values())
        balancer = self.harness.balancer
        assert not balancer.pending_requests and not balancer.attempts
        for server in balancer.services[SERVICE].servers.values():
            assert server.in_flight == 0 and not server.pending_prefills

    def check_budget(self) -> None:
        retries = [at for at, is_retry in self.arrivals if is_retry]
        for end in retries:
            retries_in_window = [at for at in retries if end - WINDOW < at <= end]
            submitted = [at for at in self.submitted if end - WINDOW <= at <= end]
            assert len(retries_in_window) <= RATIO * len(submitted) + SLACK


@pytest.mark.parametrize("seed", range(40))
def test_random_event_sequences_do_not_violate_the_rules(seed: int) -> None:
    oracle = Oracle(seed)
    oracle.pending = []
    for _ in range(500):
        oracle.step()
    oracle.check_budget()
    oracle.end_all_requests()
    assert len(oracle.requests) > 60
