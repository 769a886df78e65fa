"""Interfaces that the engine depends on: clock, clients, targets, peers, discovery and decisions.

A frontend implements these protocols. `Q` and `A` are its types of requests and responses, which are opaque
to the engine.
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
    """The clock and timers of an event loop. All deadlines are in seconds on this clock."""

    def time(self) -> float:
        """Return the current time in seconds."""

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> TimerHandle:
        """Schedule a call at the time `when`."""


class Client(Protocol[A_contra]):
    """The sender of a request; it gets exactly one final answer.

    A streamed response takes two calls: `on_response_started`, then either `on_response_finished` or
    `on_response_aborted`. Any other answer takes one call.
    """

    def on_response(self, response: A_contra) -> None:
        """Send the complete response of a target."""

    def on_response_started(self, response: A_contra) -> None:
        """Start a streamed response; the rest of it does not pass through the engine."""

    def on_response_finished(self) -> None:
        """Finish the streamed response, which is complete."""

    def on_response_aborted(self) -> None:
        """Abort the streamed response, which was truncated and cannot be resumed."""

    def on_rejected(self, retry_after: float) -> None:
        """Reject the request; a retry is harmless, after `retry_after` seconds if that is above 0."""

    def on_failed(self) -> None:
        """Report a failure of the request, which may have run."""

    def on_bad_request(self) -> None:
        """Report that a target found the request invalid."""


class Handle(Protocol):
    """An exchange in progress."""

    def cancel(self) -> None:
        """Stop the exchange at once, without a report of its end."""


class Exchange(Protocol[A_contra]):
    """One attempt or health check, with the callbacks by which a frontend reports its progress."""

    deadline: float
    start_before: float  # the first byte must be sent before this time, else not at all

    def on_request_sent(self) -> None:
        """Report that the last byte of the request was passed to the kernel."""

    def on_body_consumed(self) -> None:
        """Report that part of the request body was released: the request cannot be sent again."""

    def on_response_started(self, response: A_contra) -> None:
        """Report the start of a streamed response; the exchange ends when it is complete."""

    def on_ended(self, termination: Termination, response: A_contra | None = None) -> None:
        """Report the end of the exchange; `response` is set if the target served it."""


class Targets(Protocol[Q_contra, A_co]):
    """The connections to the targets. An exchange may end before the call that starts it returns."""

    def forward(self, request: Q_contra, target: str, exchange: Exchange[A_co]) -> Handle:
        """Send a request to a target."""

    def probe(self, target: str, exchange: Exchange[A_co]) -> Handle:
        """Check a target's health."""

    def close_idle(self, target: str) -> None:
        """Close the idle connections to a target."""


class PeerChannel(Protocol):
    """Sends datagrams to the other proxies."""

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        """Send a datagram to one peer, or to all where `peer` is None."""


class ServerDiscovery(Protocol):
    """The source of the server list."""

    def refresh(self) -> None:
        """Request the complete list."""


class Decisions(Protocol):
    """A decision module: maps events to actions. Times are in seconds on the decisions' clock."""

    actions: list[api.Action]  # for the event being handled; kept if the handler raised

    def start(self, now: float) -> list[api.Action]:
        """Return the actions at the start of the proxy."""

    def handle(self, event: Any, now: float) -> list[api.Action]:
        """Return the actions for an event: an `interface.Event`, or one specific to the module."""

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; the indices of classes and tenants in use keep their meaning."""


class LoadShedder(Protocol):
    """Rejects arriving requests unparsed, as the decisions demand."""

    def shed(self, fractions: Sequence[float], retry_after: float, include_retries: bool) -> None:
        """Reject these fractions of the requests that arrive from now on.

        Args:
            fractions: one per tenant, or a single one for all requests.
            retry_after: seconds after which rejected clients may retry; 0: no Retry-After is sent.
            include_retries: also reject all requests marked as retries.
        """
