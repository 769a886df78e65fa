"""What the engine expects of its surroundings: clock, clients, targets, peers, discovery and decisions.

A front implements these protocols. `Q` and `A` are the types in which it keeps a request and an answer; the
engine never opens either.
"""

from __future__ import annotations

from asyncio import TimerHandle
from collections.abc import Callable, Sequence
from typing import Any, Protocol, TypeVar

from firvane.core import interface as api
from firvane.core.terminations import Termination

Q_contra = TypeVar("Q_contra", contravariant=True)
A_contra = TypeVar("A_contra", contravariant=True)
A_co = TypeVar("A_co", covariant=True)


class Clock(Protocol):
    """The part of an event loop that keeps time. All deadlines are in seconds on its clock."""

    def time(self) -> float:
        """The present time in seconds."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> TimerHandle:
        """Schedule a call for a time on this clock."""


class Client(Protocol[A_contra]):
    """The sender of a request; it is given exactly one final answer.

    A streamed answer takes two calls: `on_response_started`, then either `on_response_finished` or
    `on_response_aborted`. Any other answer takes one.
    """

    def on_response(self, answer: A_contra) -> None:
        """The complete answer of a target."""

    def on_response_started(self, answer: A_contra) -> None:
        """A streamed answer has begun; the rest arrives without the engine."""

    def on_response_finished(self) -> None:
        """The streamed answer is complete."""

    def on_response_aborted(self) -> None:
        """The streamed answer broke off and will not be continued."""

    def on_rejected(self, retry_after: float) -> None:
        """The request was rejected, and a retry is harmless, after `retry_after` seconds where above 0."""

    def on_failed(self) -> None:
        """The request failed; it may have run."""

    def on_bad_request(self) -> None:
        """A target found the request itself invalid."""


class Handle(Protocol):
    """An exchange under way."""

    def cancel(self) -> None:
        """Stop at once, without a report."""


class Exchange(Protocol[A_contra]):
    """One attempt or health check as a front sees it, with the callbacks that report its progress."""

    deadline: float
    start_before: float  # its first byte is sent before that, or never

    def on_request_sent(self) -> None:
        """The last byte of the request was handed to the kernel."""

    def on_body_consumed(self) -> None:
        """Part of the request's body was forwarded and released: it cannot be sent again."""

    def on_response_started(self, answer: A_contra) -> None:
        """A streamed answer has begun; the exchange ends when all of it has arrived."""

    def on_ended(self, termination: Termination, answer: A_contra | None = None) -> None:
        """The exchange is over; `answer` where a target served it."""


class Targets(Protocol[Q_contra, A_co]):
    """The connections to the targets. An exchange may end before the call returns."""

    def forward(self, request: Q_contra, target: str, exchange: Exchange[A_co]) -> Handle:
        """Send a request to a target."""

    def probe(self, target: str, exchange: Exchange[A_co]) -> Handle:
        """Check a target's health."""

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target."""


class PeerChannel(Protocol):
    """The way to the other proxies."""

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        """Send a datagram to one peer, or to all where `peer` is None."""


class ServerDiscovery(Protocol):
    """The way to the list of servers."""

    def refresh(self) -> None:
        """Ask for the complete list."""


class Decisions(Protocol):
    """A decision module: it takes events and answers with actions. Times are in seconds on its own clock."""

    actions: list[api.Action]  # those of the event at hand, also where handling it raised

    def start(self, now: float) -> list[api.Action]:
        """The actions of a proxy that starts."""

    def handle(self, event: Any, now: float) -> list[api.Action]:
        """The actions that an event calls for; it is one of `interface.Event`, or of the module's own."""

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; the indices of classes and tenants in use keep their meaning."""


class LoadShedder(Protocol):
    """Where requests arrive: it rejects unparsed what the decisions shed."""

    def shed(self, fractions: Sequence[float], retry_after: float, include_retries: bool) -> None:
        """Reject these fractions of what arrives from now on.

        Args:
            fractions: one a tenant, or a single one for all.
            retry_after: seconds that the rejected clients are asked to stay away; 0: not said.
            include_retries: reject all requests that are marked as retries as well.
        """
