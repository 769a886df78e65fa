"""What a proxy counts of itself, by class and by tenant, for whoever compares it with another one.

Rules that hold here and nowhere else:

1. A request is counted once, when its final answer is given or its client has left, with its attempts up to
   then: no count stands for one that is still under way.
2. In time: served within its class's aim. What is neither in time, refused nor failed was late, or its client
   left before it had an answer.
3. Latencies are of what was served, in buckets of a fixed width in logarithms: those of two proxies add up.
4. What is refused unseen is counted when that is decided, and has no attempts and no latency.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from math import floor, log2
from typing import Any, NamedTuple

from firvane.core import interface as api
from firvane.core.flows import Flow
from firvane.core.logs import Log

PER_DOUBLING = 8  # buckets, as in rollout/words.py, of which a proxy loads nothing
LEAST = 1e-6  # s: the lower edge of bucket 0


def bucket(latency: float) -> int:
    """The bucket of a latency in s: 0 from 1 µs on, 8 from 2 µs on."""
    return floor(PER_DOUBLING * log2(max(LEAST, latency) / LEAST) + 1e-9)


class Counts:
    """Of one class or one tenant."""

    __slots__ = ("attempts", "failed", "in_time", "latency", "refused", "taken")

    def __init__(self) -> None:
        self.taken = self.in_time = self.refused = self.failed = self.attempts = 0
        self.latency: dict[int, int] = {}

    def told(self) -> dict[str, Any]:
        late = self.taken - self.in_time - self.refused - self.failed
        return {
            "taken": self.taken,
            "in_time": self.in_time,
            "late": late,
            "refused": self.refused,
            "failed": self.failed,
            "attempts": self.attempts,
            "latency": {str(number): count for number, count in sorted(self.latency.items())},
        }


class Used(NamedTuple):
    """What the process has used: CPU seconds since its start, and what it holds now."""

    cpu_s: float
    rss_mb: float
    descriptors: int


class Counted:
    """Stands between the decisions and whoever asked, and counts what is answered."""

    __slots__ = ("aim", "by", "client", "flow", "now", "since")

    def __init__(
        self, flow: Flow[Any, Any], aim: float, by: Sequence[Counts], now: Callable[[], float]
    ) -> None:
        self.flow: Flow[Any, Any] | None = flow
        self.client, self.aim, self.by, self.now, self.since = flow.client, aim, by, now, now()

    def over(self, outcome: str = "") -> None:
        """ "refused", "failed", "served", or nothing of these."""
        flow, self.flow = self.flow, None  # or the two would keep one another
        if flow is None:
            return
        took = self.now() - self.since
        for counts in self.by:
            counts.taken += 1
            counts.attempts += len(flow.attempts)
            if outcome == "served":
                counts.in_time += took <= self.aim
                number = bucket(took)
                counts.latency[number] = counts.latency.get(number, 0) + 1
            elif outcome == "refused":
                counts.refused += 1
            elif outcome == "failed":
                counts.failed += 1

    def on_response(self, answer: Any) -> None:
        self.over("served")
        self.client.on_response(answer)

    def on_response_started(self, answer: Any) -> None:
        self.client.on_response_started(answer)

    def on_response_finished(self) -> None:
        self.over("served")
        self.client.on_response_finished()

    def on_response_aborted(self) -> None:
        self.over("failed")
        self.client.on_response_aborted()

    def on_rejected(self, retry_after: float) -> None:
        self.over("refused")
        self.client.on_rejected(retry_after)

    def on_failed(self) -> None:
        self.over("failed")
        self.client.on_failed()

    def on_bad_request(self) -> None:
        self.over("failed")
        self.client.on_bad_request()


class Errors:
    """A log that counts its lines of errors, whoever it is bound to."""

    def __init__(self, log: Log, count: list[int] | None = None) -> None:
        self.log, self.count = log, [0] if count is None else count
        self.debug, self.info, self.warning = log.debug, log.info, log.warning
        self.is_enabled_for = log.is_enabled_for

    def bind(self, **fields: Any) -> Errors:
        return Errors(self.log.bind(**fields), self.count)

    def error(self, event: str, **fields: Any) -> None:
        self.count[0] += 1
        self.log.error(event, **fields)

    def exception(self, event: str, **fields: Any) -> None:
        self.count[0] += 1
        self.log.exception(event, **fields)


class Measures:
    """All counts of one proxy, from its start on. `now` and `used` tell what there is at that moment."""

    def __init__(
        self,
        now: Callable[[], float],
        used: Callable[[], Used],
        errors: Sequence[int],
        version: str,
        pid: int,
    ) -> None:
        self.now, self.used, self.errors, self.version, self.pid = now, used, errors, version, pid
        self.since = now()
        self.classes: dict[str, Counts] = {}
        self.tenants: dict[str, Counts] = {}

    def of(self, cls: str, tenant: str | None) -> tuple[Counts, ...]:
        """Where a request of this class, and of this tenant where there are any, is counted."""
        by = [self.classes.get(cls) or self.classes.setdefault(cls, Counts())]
        if tenant is not None:
            by.append(self.tenants.get(tenant) or self.tenants.setdefault(tenant, Counts()))
        return tuple(by)

    def take(self, flow: Flow[Any, Any], request: api.Request, settings: api.Settings) -> None:
        """A request is about to be handed to the decisions."""
        cls = settings.classes[request.class_id]
        tenant = None if request.tenant is None else settings.tenants[request.tenant].name
        flow.client = Counted(flow, cls.latency_target, self.of(cls.name, tenant), self.now)

    def left(self, flow: Flow[Any, Any]) -> None:
        """Its client has gone away."""
        if isinstance(flow.client, Counted):
            flow.client.over()

    def unseen(self, cls: str, tenant: str | None) -> None:
        """A request is refused before anything is decided on it."""
        for counts in self.of(cls, tenant):
            counts.taken += 1
            counts.refused += 1

    def text(self) -> str:
        """As the door tells them, on one line."""
        used = self.used()
        return json.dumps(
            {
                "version": self.version,
                "pid": self.pid,
                "uptime_s": round(self.now() - self.since, 3),
                "classes": {name: counts.told() for name, counts in self.classes.items()},
                "tenants": {name: counts.told() for name, counts in self.tenants.items()},
                "cpu_s": round(used.cpu_s, 4),
                "rss_mb": round(used.rss_mb, 3),
                "descriptors": used.descriptors,
                "errors": self.errors[0],
            }
        )
