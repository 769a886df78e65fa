"""A test harness around one prompt balancer, and factories of its events."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement.balancer import PromptBalancer
from firvane.fleet.placement.events import (
    InstancesChanged,
    PeersChanged,
    PromptRequest,
    RequestKind,
    ServiceInfo,
)

A = TypeVar("A", bound=api.Action)
ANY_CLASS = api.RequestClass("prompt", latency_target=1.0, deadline=3600.0)
RULES = api.Rules(
    0.02, drain_grace=0.0, start_capacity=1.0, slow_start=0.0, fall_multiple=1.0, fall_window=1.0
)
LIMITS = api.Limits(max_attempts=16, cancel=True, peers=True, retry_after=True)
SERVICE = "model"


def settings(me: int = 1) -> api.Settings:
    return api.Settings(me=me, proxies=1, tick=0.001, classes=(ANY_CLASS,), rules=RULES, limits=LIMITS)


def instance(number: int, state: InstanceState = InstanceState.READY, service: str = SERVICE) -> Instance:
    return Instance(f"i-{number:02}", service, (f"127.0.0.{number + 1}", 80), "a", 64, state)


def instances(count: int, service: str = SERVICE) -> tuple[Instance, ...]:
    return tuple(instance(number, service=service) for number in range(count))


class Harness:
    """One balancer with a manual clock (`now`)."""

    def __init__(
        self, servers: int = 3, me: int = 1, peers: Sequence[int] = (1,), slack: float = 50.0
    ) -> None:
        self.now = 100.0
        self.balancer = PromptBalancer(settings(me), 7, self.now, retry_slack=slack)
        self.balancer.start(self.now)
        self.handle(PeersChanged(tuple(peers), tuple(0 for _ in peers)))
        self.handle(ServiceInfo(SERVICE, 64, 400_000, 4, 360))
        if servers:
            self.handle(InstancesChanged(SERVICE, instances(servers)))
        self.next_id = 0
        if slack:
            self.fill_budget()

    def fill_budget(self) -> None:
        """Fill the retry budget, as if the router had received many requests before."""
        for _ in range(1000):
            self.balancer.services[SERVICE].retry_budget.record_request(self.now)

    def handle(self, event: object, after: float = 0.0) -> list[api.Action]:
        self.now += after
        return list(self.balancer.handle(event, self.now))  # type: ignore[arg-type]

    def submit(self, **fields: object) -> list[api.Action]:
        self.next_id += 1
        return self.handle(request(self.next_id, **fields))

    def window(self, after: float = 0.25) -> list[api.Action]:
        return self.handle(api.TimerFired(0), after)

    def end_attempt(self, send: api.Send, result: api.Result, attempt: int = 0, finished: bool = False,
             after: float = 0.0) -> list[api.Action]:  # fmt: skip
        return self.handle(api.Outcome(send.id, attempt, send.server, result, 0.1, finished), after)

    def start_response(self, send: api.Send, attempt: int = 0, after: float = 0.05) -> list[api.Action]:
        return self.handle(api.StreamStarted(send.id, attempt, send.server, after), after)

    def serve(self, **fields: object) -> str:
        """Serve a request quickly, and return the id of its server."""
        [send] = only(self.submit(**fields), api.Send)
        self.start_response(send)
        self.end_attempt(send, api.Result.OK, finished=True)
        return send.server


def request(number: int, **fields: object) -> PromptRequest:
    defaults: dict[str, object] = {
        "id": number,
        "class_id": 0,
        "time_left": 5.0,
        "services": ((SERVICE, 1.0),),
        "chain": ((0xA0, 60), (0xB0 + number, 300)),
        "tokens_in": 360,
        "tokens_out": 60,
        "priority": 0,
        "latency_target": 0.4,
        "max_attempts": 2,
        "kind": RequestKind.STREAM,
        "resumable": True,
        "event_gap_target": 0.2,
    }
    return PromptRequest(**{**defaults, **fields})  # type: ignore[arg-type]


def long_prompt(shared_id: int, own_id: int = 1, **fields: object) -> dict[str, object]:
    """Return the fields of a long prompt with a large shared block, for a stream that is not retryable."""
    defaults: dict[str, object] = {
        "time_left": 10.0,
        "chain": ((shared_id, 13_000), (0x5000 + own_id, 3_000)),
        "tokens_in": 16_000,
        "priority": 1,
        "latency_target": 0.8,
        "max_attempts": 1,
        "resumable": False,
    }
    return {**defaults, **fields}


def only(actions: Sequence[api.Action], kind: type[A]) -> list[A]:
    return [action for action in actions if isinstance(action, kind)]
