"""Metrics of one proxy by request class and tenant, used to compare two versions of the program.

Invariants:

1. A request is counted once, with its attempts so far, when its final answer is sent or its client has
   disconnected; requests in progress are not counted.
2. `in_time` counts requests served within the latency target of their class. A request that is not in time,
   refused or failed was late, or its client disconnected before the answer.
3. Latencies are those of served requests, in buckets of constant logarithmic width, so that the counts of two
   proxies can be added.
4. A request that is rejected unparsed is counted at the decision, without attempts and latency.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from math import floor, log2
from typing import Any, NamedTuple

from firvane.core import interface as api
from firvane.core.flows import Flow
from firvane.core.logs import Log

BUCKETS_PER_DOUBLING = 8  # equal to rollout/comparison_types.py, which a proxy does not import
MIN_LATENCY_S = 1e-6  # lower bound of bucket 0


def bucket(latency: float) -> int:
    """Return the bucket of a latency in s: bucket 0 starts at 1 µs, bucket 8 at 2 µs."""
    return floor(BUCKETS_PER_DOUBLING * log2(max(MIN_LATENCY_S, latency) / MIN_LATENCY_S) + 1e-9)


class Counts:
    """The counters of one class or one tenant."""

    __slots__ = ("attempts", "failed", "in_time", "latency", "refused", "taken")

    def __init__(self) -> None:
        self.taken = self.in_time = self.refused = self.failed = self.attempts = 0
        self.latency: dict[int, int] = {}

    def as_dict(self) -> dict[str, Any]:
        late = self.taken - self.in_time - self.refused - self.failed
        return {
            "taken": self.taken,
            "in_time": self.in_time,
            "late": late,
            "refused": self.refused,
            "failed": self.failed,
            "attempts": self.attempts,
            "latency": {str(index): count for index, count in sorted(self.latency.items())},
        }


class ResourceUse(NamedTuple):
    """Resource use of the process: CPU seconds since its start, and current memory and descriptors."""

    cpu_s: float
    rss_mb: float
    descriptors: int


class CountingClient:
    """Wraps the client of a flow, and counts the flow in `by` when the client gets its final answer."""

    __slots__ = ("by", "client", "flow", "latency_target", "now", "started_at")

    def __init__(
        self, flow: Flow[Any, Any], latency_target: float, by: Sequence[Counts], now: Callable[[], float]
    ) -> None:
        self.flow: Flow[Any, Any] | None = flow
        self.client, self.latency_target, self.by, self.now, self.started_at = (
            flow.client,
            latency_target,
            by,
            now,
            now(),
        )

    def record(self, outcome: str = "") -> None:
        """Count the flow; `outcome` is "served", "refused", "failed", or "" for a disconnected client."""
        flow, self.flow = self.flow, None  # breaks the reference cycle
        if flow is None:
            return
        elapsed = self.now() - self.started_at
        for counts in self.by:
            counts.taken += 1
            counts.attempts += len(flow.attempts)
            if outcome == "served":
                counts.in_time += elapsed <= self.latency_target
                index = bucket(elapsed)
                counts.latency[index] = counts.latency.get(index, 0) + 1
            elif outcome == "refused":
                counts.refused += 1
            elif outcome == "failed":
                counts.failed += 1

    def on_response(self, answer: Any) -> None:
        self.record("served")
        self.client.on_response(answer)

    def on_response_started(self, answer: Any) -> None:
        self.client.on_response_started(answer)

    def on_response_finished(self) -> None:
        self.record("served")
        self.client.on_response_finished()

    def on_response_aborted(self) -> None:
        self.record("failed")
        self.client.on_response_aborted()

    def on_rejected(self, retry_after: float) -> None:
        self.record("refused")
        self.client.on_rejected(retry_after)

    def on_failed(self) -> None:
        self.record("failed")
        self.client.on_failed()

    def on_bad_request(self) -> None:
        self.record("failed")
        self.client.on_bad_request()


class ErrorCountingLog:
    """A log that counts its error lines, including those of logs bound from it."""

    def __init__(self, log: Log, count: list[int] | None = None) -> None:
        self.log, self.count = log, [0] if count is None else count
        self.debug, self.info, self.warning = log.debug, log.info, log.warning
        self.is_enabled_for = log.is_enabled_for

    def bind(self, **fields: Any) -> ErrorCountingLog:
        return ErrorCountingLog(self.log.bind(**fields), self.count)

    def error(self, event: str, **fields: Any) -> None:
        self.count[0] += 1
        self.log.error(event, **fields)

    def exception(self, event: str, **fields: Any) -> None:
        self.count[0] += 1
        self.log.exception(event, **fields)


class ProxyMeasurements:
    """All counters of one proxy since its start; `now` and `resource_use` return the current values."""

    def __init__(
        self,
        now: Callable[[], float],
        resource_use: Callable[[], ResourceUse],
        errors: Sequence[int],
        version: str,
        pid: int,
    ) -> None:
        self.now, self.resource_use, self.errors, self.version, self.pid = (
            now,
            resource_use,
            errors,
            version,
            pid,
        )
        self.started_at = now()
        self.classes: dict[str, Counts] = {}
        self.tenants: dict[str, Counts] = {}

    def counts_of(self, cls: str, tenant: str | None) -> tuple[Counts, ...]:
        """Return the counters of a class, and of a tenant if the request has one."""
        by = [self.classes.get(cls) or self.classes.setdefault(cls, Counts())]
        if tenant is not None:
            by.append(self.tenants.get(tenant) or self.tenants.setdefault(tenant, Counts()))
        return tuple(by)

    def on_request(self, flow: Flow[Any, Any], request: api.Request, settings: api.Settings) -> None:
        """Wrap the client of a request that is passed to the engine, so that its end is counted."""
        cls = settings.classes[request.class_id]
        tenant = None if request.tenant is None else settings.tenants[request.tenant].name
        flow.client = CountingClient(flow, cls.latency_target, self.counts_of(cls.name, tenant), self.now)

    def on_disconnect(self, flow: Flow[Any, Any]) -> None:
        """Count a flow whose client has disconnected."""
        if isinstance(flow.client, CountingClient):
            flow.client.record()

    def on_unparsed_rejection(self, cls: str, tenant: str | None) -> None:
        """Count a request that is rejected before it is parsed."""
        for counts in self.counts_of(cls, tenant):
            counts.taken += 1
            counts.refused += 1

    def text(self) -> str:
        """Return the metrics as one line of JSON, for the admin API."""
        resource_use = self.resource_use()
        return json.dumps(
            {
                "version": self.version,
                "pid": self.pid,
                "uptime_s": round(self.now() - self.started_at, 3),
                "classes": {name: counts.as_dict() for name, counts in self.classes.items()},
                "tenants": {name: counts.as_dict() for name, counts in self.tenants.items()},
                "cpu_s": round(resource_use.cpu_s, 4),
                "rss_mb": round(resource_use.rss_mb, 3),
                "descriptors": resource_use.descriptors,
                "errors": self.errors[0],
            }
        )
