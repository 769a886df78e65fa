"""Requests in progress, their attempts, and health checks: the state that `firvane.core.engine` works on."""

from __future__ import annotations

from asyncio import TimerHandle
from collections.abc import Callable
from typing import Generic, TypeVar

from firvane.core.engine_protocols import Client, Handle
from firvane.core.logs import QUIET
from firvane.core.request_counters import ClassCounters
from firvane.core.terminations import Termination

Q = TypeVar("Q")  # request type of the frontend
A = TypeVar("A")  # response type of the frontend

UNCOUNTED = ClassCounters()  # counters of flows before their class is known


def never_resumed() -> bool:
    """Return False: a truncated response is not resumed."""
    return False


class AttemptObserver(Generic[Q, A]):
    """Receives the reports of attempts and health checks; implemented by the engine."""

    def on_request_sent(self, attempt: Attempt[Q, A]) -> None:
        """Handle that the last byte of the request was passed to the kernel."""
        raise NotImplementedError

    def on_body_consumed(self, attempt: Attempt[Q, A]) -> None:
        """Handle that part of the request body was forwarded and released."""
        raise NotImplementedError

    def on_response_started(self, attempt: Attempt[Q, A], response: A) -> None:
        """Handle the start of a streamed response."""
        raise NotImplementedError

    def on_attempt_ended(self, attempt: Attempt[Q, A], termination: Termination, response: A | None) -> None:
        """Handle the end of an attempt; `response` is set if the target served it."""
        raise NotImplementedError

    def on_health_check_ended(self, check: HealthCheck[Q, A], termination: Termination) -> None:
        """Handle the end of a health check."""
        raise NotImplementedError


class Flow(Generic[Q, A]):
    """A request in progress, with its client, deadline and attempts.

    Attributes:
        deadline: when its final answer is due, in seconds on the loop's clock.
        name: request id given by the client, for the log.
        open: whether its final answer is still due.
        counters: counters of its class, once it is accepted.
        responding: the attempt whose streamed response the client is receiving.
        response_started: whether the client has received the beginning of a streamed response.
        body_consumed: whether part of its body was released, so that it cannot be sent again.
        is_bounded: whether its deadline also ends a response that has started.
        can_resume: returns whether another attempt can continue a response that was truncated.
        response_time: seconds from its last byte to its deadline, while the last byte is not sent; else 0.
        attempts: its attempts by number; None once an attempt has ended.
        attempts_in_flight: number of attempts that have not ended.
        decision_timers: timers that the decisions set for this request.
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
        """Remove an attempt that has ended, which breaks the reference cycle between the two."""
        self.attempts[attempt.number] = None
        self.attempts_in_flight -= 1
        if self.responding is attempt:
            self.responding = None


class Attempt(Generic[Q, A]):
    """One attempt to send a flow's request to a target; the `Exchange` that a frontend reports to.

    Attributes:
        started_at: when it was started, or, for a long body, when the last byte was sent.
        ended: whether its end was reported.
        request_sent: whether the last byte of the request was passed to the kernel.
        start_before: the first byte must be sent before this time.
        time_to_response: seconds until a streamed response started; 0 before.
    """

    __slots__ = (
        "deadline",
        "ended",
        "flow",
        "handle",
        "number",
        "observer",
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
        self.ended = False
        self.request_sent = False
        self.time_to_response = 0.0

    def on_request_sent(self) -> None:
        """Report that the last byte of the request was passed to the kernel."""
        self.observer.on_request_sent(self)

    def on_body_consumed(self) -> None:
        """Report that part of the request body was forwarded and released."""
        self.observer.on_body_consumed(self)

    def on_response_started(self, response: A) -> None:
        """Report the start of a streamed response."""
        self.observer.on_response_started(self, response)

    def on_ended(self, termination: Termination, response: A | None = None) -> None:
        """Report the end of the attempt."""
        self.observer.on_attempt_ended(self, termination, response)

    def stop(self, termination: Termination) -> None:
        """Stop the attempt and report its end, unless it has ended."""
        if not self.ended:
            if self.handle:
                self.handle.cancel()
            # A cancelled attempt that was not completely sent must not count as one that may have run.
            unsent = termination is Termination.CANCELLED and not self.request_sent
            self.on_ended(Termination.NOT_SENT if unsent else termination)


class HealthCheck(Generic[Q, A]):
    """A health check in progress; the `Exchange` that a frontend reports to."""

    def __init__(
        self, observer: AttemptObserver[Q, A], target: str, started_at: float, deadline: float
    ) -> None:
        self.observer = observer
        self.target = target
        self.started_at = started_at
        self.deadline = deadline
        self.start_before = deadline
        self.handle: Handle | None = None
        self.ended = False

    def on_request_sent(self) -> None:
        """Ignore the report."""

    def on_body_consumed(self) -> None:
        """Ignore the report."""

    def on_response_started(self, response: A) -> None:
        """End the check as timed out, as no valid response to it is streamed."""
        self.expire()

    def on_ended(self, termination: Termination, response: A | None = None) -> None:
        """Report the end of the check."""
        self.observer.on_health_check_ended(self, termination)

    def expire(self) -> None:
        """Cancel the check and report that it has timed out."""
        if not self.ended and self.handle:
            self.handle.cancel()
        self.on_ended(Termination.DEADLINE_EXCEEDED)
