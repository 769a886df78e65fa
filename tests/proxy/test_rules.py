"""The four rules, checked on the actions of a balancer for random event sequences."""

from __future__ import annotations

import heapq
import os
import random
import subprocess
import sys
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.proxy.balancer import Balancer
from tests.helpers import CLASSES, RULES, full_list, server, settings

NEVER_RAN = {
    api.Result.OVERLOADED,
    api.Result.CONNECTIONS_FULL,
    api.Result.CONNECT_FAILED,
    api.Result.NOT_SENT,
}
RESULTS = list(api.Result)


@dataclass
class Attempt:
    server: str
    sent_at: float
    result: api.Result | None = None


@dataclass
class RuleChecker:
    """Records the events and actions of one balancer, and asserts the four rules on each action."""

    config: api.Settings
    listed_down_at: dict[str, float] = field(default_factory=dict)
    entries: dict[str, api.Server] = field(default_factory=dict)
    requests: dict[int, api.Request] = field(default_factory=dict)
    deadline: dict[int, float] = field(default_factory=dict)
    attempts: dict[int, list[Attempt]] = field(default_factory=dict)
    answered: set[int] = field(default_factory=set)
    timers: list[tuple[float, int]] = field(default_factory=list)
    cold_sends: dict[str, list[float]] = field(default_factory=dict)

    def list_event(self, event: api.ServerList, now: float) -> None:
        if event.kind is api.ListKind.COMPLETE:
            for name in set(self.entries) - {entry.id for entry in event.servers}:
                self.listed_down_at.setdefault(name, now)
        for entry in event.servers:
            self.entries[entry.id] = entry
            if entry.state is api.ServerState.UP:
                self.listed_down_at.pop(entry.id, None)
            else:
                self.listed_down_at.setdefault(entry.id, now)

    def group(self, cls: api.RequestClass, name: str) -> int:
        entry = self.entries[name]
        return {api.DedupScope.ALL: 0, api.DedupScope.ZONE: entry.zone, api.DedupScope.CELL: entry.cell}[
            cls.dedup_scope
        ]

    def action(self, action: api.Action, now: float) -> None:
        match action:
            case api.SetTimer():
                heapq.heappush(self.timers, (now + action.delay, action.token))
            case api.Send():
                self.send(action, now)
            case api.Reject() | api.Fail():
                assert action.id not in self.answered, "two final answers"
                assert now <= self.deadline[action.id] + self.config.rules.answer_slack
                if isinstance(action, api.Reject):
                    self.check_rejection(action)
                self.answered.add(action.id)

    def send(self, send: api.Send, now: float) -> None:
        assert send.id not in self.answered, "sent after the final answer"
        cls = self.config.classes[self.requests[send.id].class_id]
        earlier = self.attempts[send.id]
        assert len(earlier) < self.config.limits.max_attempts
        in_flight = [a for a in earlier if a.result is None]
        assert not in_flight or self.config.limits.hedging
        maybe_ran = [a for a in earlier if a.result not in NEVER_RAN]
        if maybe_ran and cls.idempotency is not api.Idempotency.SAFE:
            assert cls.idempotency is api.Idempotency.KEYED, "an unsafe request ran twice"
            assert self.group(cls, send.server) == self.group(cls, maybe_ran[0].server)
            assert now <= maybe_ran[0].sent_at + cls.dedup_window
        down = self.listed_down_at.get(send.server)
        assert down is None or now <= down + self.config.rules.drain_grace, "sent to a drained server"
        entry = self.entries[send.server]
        age = now - (entry.up_since or -1e9)
        if age < self.config.rules.slow_start:
            times = self.cold_sends.setdefault(send.server, [])
            times.append(now)
            recent = [t for t in times if t > now - self.config.rules.fall_window]
            # The traffic in these tests is at most one request in 5 ms over at least two servers.
            assert len(recent) <= 0.5 * self.config.rules.fall_window / 0.005, (
                "a server in slow start was overloaded"
            )
        earlier.append(Attempt(send.server, now))

    def check_rejection(self, reject: api.Reject) -> None:
        cls = self.config.classes[self.requests[reject.id].class_id]
        maybe_ran = [a for a in self.attempts[reject.id] if a.result not in NEVER_RAN]
        if maybe_ran and cls.idempotency is not api.Idempotency.SAFE:
            assert cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL, (
                "rejected although the request may have run"
            )


def drive(rng: random.Random, steps: int, config: api.Settings) -> list[str]:
    """Feed random events to a balancer, check the rules on its actions, and return the actions as text."""
    now = 1000.0
    balancer = Balancer(config, rng.randrange(1 << 30), now)
    checker = RuleChecker(config)
    log: list[str] = []
    names = [f"s{i}" for i in range(6)]

    def record(actions: list[api.Action]) -> None:
        for action in actions:
            log.append(repr(action))
            checker.action(action, now)

    def feed(event: api.Event) -> None:
        if isinstance(event, api.ServerList):
            checker.list_event(event, now)
        record(balancer.handle(event, now))

    def entry(name: str) -> api.Server:
        i = names.index(name)
        return server(name, zone=i % 2, cell=i % 3, weight=1.0 + i % 2)

    def fire_timers() -> None:
        while checker.timers and checker.timers[0][0] <= now:
            _, token = heapq.heappop(checker.timers)
            feed(api.TimerFired(token))
        for number, deadline in checker.deadline.items():
            assert number in checker.answered or now <= deadline + config.rules.answer_slack, (
                "no final answer"
            )

    record(balancer.start(now))
    feed(full_list(*(entry(n) for n in names[: rng.randint(0, 6)])))
    for number in range(steps):
        now += rng.choice((0.0, 0.005, 0.005, 0.01, config.tick))
        fire_timers()
        choice = rng.random()
        in_flight = [
            (i, k)
            for i, tries in checker.attempts.items()
            for k, attempt in enumerate(tries)
            if attempt.result is None
        ]
        if choice < 0.4:
            time_left = rng.choice((0.001, 0.05, 0.3, 2.0))
            key = rng.choice((None, "a", "b", "c"))
            request = api.Request(
                number, rng.randrange(len(CLASSES)), time_left, key, is_retry=rng.random() < 0.2
            )
            checker.requests[number], checker.deadline[number] = request, now + time_left
            checker.attempts[number] = []
            feed(request)
        elif choice < 0.8 and in_flight:
            i, k = rng.choice(in_flight)
            attempt = checker.attempts[i][k]
            attempt.result = rng.choice(RESULTS)
            if attempt.result is api.Result.OK:
                checker.answered.add(i)
            done = i in checker.answered
            feed(api.Outcome(i, k, attempt.server, attempt.result, now - attempt.sent_at, done))
        elif choice < 0.9:
            name = rng.choice(names)
            state = rng.choice(list(api.ServerState))
            since = rng.choice((None, now - 0.5, now - 3.0))
            feed(
                api.ServerList(
                    api.ListKind.INCREMENTAL, number, (replace(entry(name), state=state, up_since=since),)
                )
            )
        elif choice < 0.93:
            kind = rng.choice((api.ListKind.COMPLETE, api.ListKind.FAILED))
            some = (
                () if kind is api.ListKind.FAILED else tuple(map(entry, rng.sample(names, rng.randint(0, 6))))
            )
            feed(api.ServerList(kind, number, some))
        elif choice < 0.97:
            feed(api.PeerMessage(rng.randrange(-1, 5), rng.randbytes(rng.choice((0, 3, 26, 80)))))
        elif checker.requests:
            number = rng.choice(list(checker.requests))
            if number not in checker.answered:
                checker.answered.add(number)
                feed(api.ClientGone(number))
    for _ in range(500):
        now += 0.005
        fire_timers()
    assert checker.answered >= set(checker.requests), "a request without a final answer"
    return log


CONFIGS = [
    settings(),
    settings(me=1, proxies=3, zones=2, key_affinity=False),
    settings(limits=api.Limits(max_attempts=2), ask=True, zones=2, zone=1),
    settings(me=4, proxies=5, rules=replace(RULES, slow_start=2.0, start_capacity=0.1)),
]


@pytest.mark.parametrize("config", CONFIGS)
@pytest.mark.parametrize("seed", range(12))
def test_rules_over_seeded_sequences(config: api.Settings, seed: int) -> None:
    drive(random.Random(seed), 600, config)


@hypothesis_settings(derandomize=True, max_examples=60, deadline=None)
@given(st.integers(0, 1 << 32), st.sampled_from(CONFIGS), st.integers(1, 200))
def test_rules_over_generated_sequences(seed: int, config: api.Settings, steps: int) -> None:
    drive(random.Random(seed), steps, config)


def test_same_events_same_actions_whatever_the_hash_seed() -> None:
    code = (
        "import hashlib, random; from tests.proxy.test_rules import CONFIGS, drive;"
        "print(hashlib.sha256(repr([drive(random.Random(s), 300, c) for c in CONFIGS for s in (1, 2)])"
        ".encode()).hexdigest())"
    )
    digests = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": hash_seed},
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for hash_seed in ("0", "1", "4711")
    }
    assert len(digests) == 1
