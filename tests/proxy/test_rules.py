"""The four rules, checked on the actions alone over generated event sequences."""

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
class Ledger:
    """What one balancer was told and did, and the rules that it must not break."""

    config: api.Settings
    told_down: dict[str, float] = field(default_factory=dict)
    entries: dict[str, api.Server] = field(default_factory=dict)
    requests: dict[int, api.Request] = field(default_factory=dict)
    deadline: dict[int, float] = field(default_factory=dict)
    attempts: dict[int, list[Attempt]] = field(default_factory=dict)
    over: set[int] = field(default_factory=set)
    timers: list[tuple[float, int]] = field(default_factory=list)
    cold_sends: dict[str, list[float]] = field(default_factory=dict)

    def list_event(self, event: api.ServerList, now: float) -> None:
        if event.kind is api.ListKind.COMPLETE:
            for name in set(self.entries) - {entry.id for entry in event.servers}:
                self.told_down.setdefault(name, now)
        for entry in event.servers:
            self.entries[entry.id] = entry
            if entry.state is api.ServerState.UP:
                self.told_down.pop(entry.id, None)
            else:
                self.told_down.setdefault(entry.id, now)

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
                assert action.id not in self.over, "two final answers"
                assert now <= self.deadline[action.id] + self.config.rules.answer_slack
                if isinstance(action, api.Reject):
                    self.refusal(action)
                self.over.add(action.id)

    def send(self, send: api.Send, now: float) -> None:
        assert send.id not in self.over, "sent after the final answer"
        cls = self.config.classes[self.requests[send.id].class_id]
        earlier = self.attempts[send.id]
        assert len(earlier) < self.config.limits.max_attempts
        out = [a for a in earlier if a.result is None]
        assert not out or self.config.limits.hedging
        maybe = [a for a in earlier if a.result not in NEVER_RAN]
        if maybe and cls.idempotency is not api.Idempotency.SAFE:
            assert cls.idempotency is api.Idempotency.KEYED, "an unsafe request ran twice"
            assert self.group(cls, send.server) == self.group(cls, maybe[0].server)
            assert now <= maybe[0].sent_at + cls.dedup_window
        down = self.told_down.get(send.server)
        assert down is None or now <= down + self.config.rules.drain_grace, "sent to a drained server"
        entry = self.entries[send.server]
        age = now - (entry.up_since or -1e9)
        if age < self.config.rules.slow_start:
            times = self.cold_sends.setdefault(send.server, [])
            times.append(now)
            recent = [t for t in times if t > now - self.config.rules.fall_window]
            # The traffic here never goes past one request in 5 ms over at least two servers.
            assert len(recent) <= 0.5 * self.config.rules.fall_window / 0.005, "a cold server was flooded"
        earlier.append(Attempt(send.server, now))

    def refusal(self, refuse: api.Reject) -> None:
        cls = self.config.classes[self.requests[refuse.id].class_id]
        maybe = [a for a in self.attempts[refuse.id] if a.result not in NEVER_RAN]
        if maybe and cls.idempotency is not api.Idempotency.SAFE:
            assert cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL, (
                "an untrue refusal"
            )


def drive(rng: random.Random, steps: int, config: api.Settings) -> list[str]:
    """Feed random events to a balancer, hold its actions against the rules, and return them."""
    now = 1000.0
    balancer = Balancer(config, rng.randrange(1 << 30), now)
    ledger = Ledger(config)
    log: list[str] = []
    names = [f"s{i}" for i in range(6)]

    def take(actions: list[api.Action]) -> None:
        for action in actions:
            log.append(repr(action))
            ledger.action(action, now)

    def give(event: api.Event) -> None:
        if isinstance(event, api.ServerList):
            ledger.list_event(event, now)
        take(balancer.handle(event, now))

    def entry(name: str) -> api.Server:
        i = names.index(name)
        return server(name, zone=i % 2, cell=i % 3, weight=1.0 + i % 2)

    def overdue() -> None:
        while ledger.timers and ledger.timers[0][0] <= now:
            _, token = heapq.heappop(ledger.timers)
            give(api.TimerFired(token))
        for number, end in ledger.deadline.items():
            assert number in ledger.over or now <= end + config.rules.answer_slack, "no final answer"

    take(balancer.start(now))
    give(full_list(*(entry(n) for n in names[: rng.randint(0, 6)])))
    for number in range(steps):
        now += rng.choice((0.0, 0.005, 0.005, 0.01, config.tick))
        overdue()
        choice = rng.random()
        out = [
            (i, k)
            for i, tries in ledger.attempts.items()
            for k, attempt in enumerate(tries)
            if attempt.result is None
        ]
        if choice < 0.4:
            left = rng.choice((0.001, 0.05, 0.3, 2.0))
            key = rng.choice((None, "a", "b", "c"))
            request = api.Request(number, rng.randrange(len(CLASSES)), left, key, is_retry=rng.random() < 0.2)
            ledger.requests[number], ledger.deadline[number] = request, now + left
            ledger.attempts[number] = []
            give(request)
        elif choice < 0.8 and out:
            i, k = rng.choice(out)
            attempt = ledger.attempts[i][k]
            attempt.result = rng.choice(RESULTS)
            if attempt.result is api.Result.OK:
                ledger.over.add(i)
            done = i in ledger.over
            give(api.Outcome(i, k, attempt.server, attempt.result, now - attempt.sent_at, done))
        elif choice < 0.9:
            name = rng.choice(names)
            state = rng.choice(list(api.ServerState))
            since = rng.choice((None, now - 0.5, now - 3.0))
            give(
                api.ServerList(
                    api.ListKind.INCREMENTAL, number, (replace(entry(name), state=state, up_since=since),)
                )
            )
        elif choice < 0.93:
            kind = rng.choice((api.ListKind.COMPLETE, api.ListKind.FAILED))
            some = (
                () if kind is api.ListKind.FAILED else tuple(map(entry, rng.sample(names, rng.randint(0, 6))))
            )
            give(api.ServerList(kind, number, some))
        elif choice < 0.97:
            give(api.PeerMessage(rng.randrange(-1, 5), rng.randbytes(rng.choice((0, 3, 26, 80)))))
        elif ledger.requests:
            number = rng.choice(list(ledger.requests))
            if number not in ledger.over:
                ledger.over.add(number)
                give(api.ClientGone(number))
    for _ in range(500):
        now += 0.005
        overdue()
    assert ledger.over >= set(ledger.requests), "a request was lost"
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
