"""Settings and events written by hand, for tests that need no bench."""

from __future__ import annotations

from typing import Any

from firvane.core import interface as api
from firvane.proxy.balancer import Balancer

SAFE = api.RequestClass("read", latency_target=0.5, deadline=2.0, value=1.0, idempotency=api.Idempotency.SAFE)
UNSAFE = api.RequestClass(
    "pay", latency_target=0.5, deadline=2.0, value=4.0, idempotency=api.Idempotency.UNSAFE
)
KEYED_ZONE = api.RequestClass(
    "index",
    latency_target=0.5,
    deadline=2.0,
    idempotency=api.Idempotency.KEYED,
    dedup_scope=api.DedupScope.ZONE,
    dedup_window=1.0,
)
KEYED_ALL = api.RequestClass(
    "export",
    latency_target=0.5,
    deadline=2.0,
    idempotency=api.Idempotency.KEYED,
    dedup_scope=api.DedupScope.ALL,
    dedup_window=1.0,
)
KEYED_CELL = api.RequestClass(
    "copy",
    latency_target=0.5,
    deadline=2.0,
    idempotency=api.Idempotency.KEYED,
    dedup_scope=api.DedupScope.CELL,
    dedup_window=1.0,
)
CLASSES = (SAFE, UNSAFE, KEYED_ZONE, KEYED_ALL, KEYED_CELL)
RULES = api.Rules(
    answer_slack=0.02,
    drain_grace=0.25,
    start_capacity=0.3,
    slow_start=8.0,
    fall_multiple=3.0,
    fall_window=1.0,
    ask_within=10.0,
)


def settings(**changes: Any) -> api.Settings:
    limits = api.Limits(max_attempts=4, cancel=True, hedging=True, peers=True, max_retry_after=1.2)
    base: dict[str, Any] = {
        "me": 0,
        "proxies": 1,
        "tick": 0.005,
        "classes": CLASSES,
        "rules": RULES,
        "limits": limits,
        "key_affinity": True,
    }
    return api.Settings(**{**base, **changes})


def server(name: str, **changes: Any) -> api.Server:
    return api.Server(name, **changes)


def full_list(*servers: api.Server, version: int = 1) -> api.ServerList:
    return api.ServerList(api.ListKind.COMPLETE, version, servers)


def changes(*servers: api.Server, version: int = 2) -> api.ServerList:
    return api.ServerList(api.ListKind.INCREMENTAL, version, servers)


def started(names: str = "abcd", now: float = 100.0, **more: Any) -> Balancer:
    """A balancer with one warm server for each letter."""
    balancer = Balancer(settings(**more), 7, now)
    balancer.start(now)
    balancer.handle(full_list(*(server(name) for name in names)), now)
    return balancer


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [action for action in actions if isinstance(action, api.Send)]


def answers(actions: list[api.Action]) -> list[api.Action]:
    return [action for action in actions if isinstance(action, api.Reject | api.Fail)]


def outcome(send: api.Send, attempt: int, result: api.Result, took: float = 0.1) -> api.Outcome:
    return api.Outcome(send.id, attempt, send.server, result, took, result is api.Result.OK)
