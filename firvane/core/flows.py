"""A request on its way through the proxy, its attempts, and health checks.

The records belong to the engine (`firvane.core.engine`), whose rules they follow.
"""

from __future__ import annotations

from asyncio import TimerHandle
from collections.abc import Callable
from typing import Generic, TypeVar

from firvane.core.engine_protocols import Client, Handle
from firvane.core.logs import QUIET
from firvane.core.request_counters import ClassCounters
from firvane.core.terminations import Termination

Q = TypeVar("Q")  # a request as the front keeps it
A = TypeVar("A")  # a target's answer as the front keeps it

UNCOUNTED = ClassCounters()  # of a flow that has no class yet


def never_resumed() -> bool:
    """Return False: an answer that broke off stays short."""
    return False


class AttemptObserver(Generic[Q, A]):
    """What attempts and health checks report to: the engine."""

    def on_request_sent(self, attempt: Attempt[Q, A]) -> None:
        """The request's last byte was handed to the kernel."""
        raise NotImplementedError

    def on_body_consumed(self, attempt: Attempt[Q, A]) -> None:
        """Part of the request's body was forwarded and released."""
        raise NotImplementedError

    def on_response_started(self, attempt: Attempt[Q, A], answer: A) -> None:
        """A streamed answer has begun."""
        raise NotImplementedError

    def on_attempt_ended(self, attempt: Attempt[Q, A], termination: Termination, answer: A | None) -> None:
        """An attempt is over; `answer` where a target served it."""
        raise NotImplementedError

    def on_health_check_ended(self, check: HealthCheck[Q, A], termination: Termination) -> None:
        """A health check is over."""
        raise NotImplementedError


class Flow(Generic[Q, A]):
    """A request on its way through: what it asks, its client, its deadline and its attempts.

    Attributes:
        deadline: when its final answer is due, in seconds on the loop's clock.
        name: the client's id of the request, for the log.
        open: whether its final answer is due.
        counters: of its class, once it is accepted.
        responding: the attempt whose streamed answer its client receives.
        response_started: its client has received the beginning of a streamed answer.
        body_consumed: part of its body was forwarded, so that it cannot be sent again.
        is_bounded: its deadline also ends an answer that has begun.
        can_resume: returns whether another attempt can continue the answer that has begun and broken off.
        response_time: seconds that it has from its last byte on, where that is yet to come; else 0.
        attempts: by number; None where one is over.
        attempts_in_flight: attempts that are not over.
        decision_timers: timers that the decisions set for it.
    """

    __slots__ = (
        "attempts",
        "attempts_in_flight",
        "body_consumed",
        "can_resume",
        "client",
        "counters",
        "deadline",
        "decision_timers",
        "id",
        "is_bounded",
        "log",
        "name",
        "open",
        "request",
        "responding",
        "response_started",
        "response_time",
        "timer",
    )

    def __init__(self, request: Q, client: Client[A], deadline: float, name: bytes = b"") -> None:
        self.request = request
        self.client = client
        self.deadline = deadline
        self.name = name
        self.id = -1
        self.open = True
        self.counters = UNCOUNTED
        self.responding: Attempt[Q, A] | None = None
        self.response_started = False
        self.body_consumed = False
        self.is_bounded = False
        self.can_resume: Callable[[], bool] = never_resumed
        self.response_time = 0.0
        self.attempts: list[Attempt[Q, A] | None] = []
        self.attempts_in_flight = 0
        self.timer: TimerHandle | None = None
        self.decision_timers: list[TimerHandle] = []
        self.log = QUIET

    def release(self, attempt: Attempt[Q, A]) -> None:
        """Let go of an attempt that is over: the two know each other only until then."""
        self.attempts[attempt.number] = None
        self.attempts_in_flight -= 1
        if self.responding is attempt:
            self.responding = None


class Attempt(Generic[Q, A]):
    """One attempt of a flow at a target; the `Exchange` that a front reports to.

    Attributes:
        started_at: when it was started, or its request's last byte was sent where the body was long.
        request_sent: whether the request's last byte was handed to the kernel.
        time_to_response: seconds until a streamed answer began; else 0.
    """

    __slots__ = (
        "deadline",
        "flow",
        "handle",
        "number",
        "observer",
        "over",
        "request_sent",
        "start_before",
        "started_at",
        "target",
        "time_to_response",
        "timer",
    )

    def __init__(
        self,
        observer: AttemptObserver[Q, A],
        flow: Flow[Q, A],
        target: str,
        started_at: float,
        deadline: float,
        start_before: float,
    ) -> None:
        self.observer = observer
        self.flow = flow
        self.target = target
        self.started_at = started_at
        self.deadline = deadline
        self.start_before = start_before
        self.number = len(flow.attempts)
        self.handle: Handle | None = None
        self.timer: TimerHandle | None = None
        self.over = False
        self.request_sent = False
        self.time_to_response = 0.0

    def on_request_sent(self) -> None:
        """The request's last byte was handed to the kernel."""
        self.observer.on_request_sent(self)

    def on_body_consumed(self) -> None:
        """Part of the request's body was forwarded and released."""
        self.observer.on_body_consumed(self)

    def on_response_started(self, answer: A) -> None:
        """A streamed answer has begun."""
        self.observer.on_response_started(self, answer)

    def on_ended(self, termination: Termination, answer: A | None = None) -> None:
        """The attempt is over."""
        self.observer.on_attempt_ended(self, termination, answer)

    def stop(self, termination: Termination) -> None:
        """End it from this side."""
        if not self.over:
            if self.handle:
                self.handle.cancel()
            # An unsafe request must not pass for one that may have run while it was still connecting.
            unsent = termination is Termination.CANCELLED and not self.request_sent
            self.on_ended(Termination.NOT_SENT if unsent else termination)


class HealthCheck(Generic[Q, A]):
    """A health check under way; the `Exchange` that a front reports to."""

    def __init__(
        self, observer: AttemptObserver[Q, A], target: str, started_at: float, deadline: float
    ) -> None:
        self.observer = observer
        self.target = target
        self.started_at = started_at
        self.deadline = deadline
        self.start_before = deadline
        self.handle: Handle | None = None
        self.over = False

    def on_request_sent(self) -> None:
        """Nothing follows from it."""

    def on_body_consumed(self) -> None:
        """Nothing follows from it."""

    def on_response_started(self, answer: A) -> None:
        """End the check: no valid answer to one is streamed."""
        self.expire()

    def on_ended(self, termination: Termination, answer: A | None = None) -> None:
        """The check is over."""
        self.observer.on_health_check_ended(self, termination)

    def expire(self) -> None:
        """End it at its deadline."""
        if not self.over and self.handle:
            self.handle.cancel()
        self.on_ended(Termination.DEADLINE_EXCEEDED)
