"""Events that a consensus member handles, and the actions that it returns.

The driver creates each `Event`, passes it to `Member.handle`, and executes the returned `Action` records in
order.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from firvane.proxy.quorum.types import Value, VoterState

# Events


class MessageReceived(NamedTuple):
    """A peer's datagram that begins with `messages.MESSAGE_PREFIX`."""

    sender: int
    payload: bytes


class Tick(NamedTuple):
    """Runs the steps that are due."""


class StateSaved(NamedTuple):
    """The state of the `SaveState` with this token is on disk."""

    token: int


class StateSaveFailed(NamedTuple):
    """The state of the `SaveState` with this token could not be written."""

    token: int


class TextChecked(NamedTuple):
    """A text is available (on a voter: on disk); `reason` is "" if it is usable, otherwise why not."""

    digest: bytes
    reason: str = ""


class Propose(NamedTuple):
    """Propose a change to a text reported by `TextChecked`, or of the voters; None keeps the voters."""

    digest: bytes
    voters: tuple[int, ...] | None = None


class Abort(NamedTuple):
    """Withdraw a proposal."""

    digest: bytes


Event = MessageReceived | Tick | StateSaved | StateSaveFailed | TextChecked | Propose | Abort


# Actions


class SendMessage(NamedTuple):
    """Send a datagram to a peer."""

    peer: int
    payload: bytes


class SaveState(NamedTuple):
    """Write the state to disk, then report `StateSaved`; a later action supersedes an earlier one."""

    token: int
    state: VoterState


class FetchText(NamedTuple):
    """Fetch a text from `holders`, the proxies that may have it, then report `TextChecked`."""

    digest: bytes
    holders: tuple[int, ...]


class ActivatePolicy(NamedTuple):
    """Serve new requests under this policy from now on."""

    value: Value


class LogEvent(NamedTuple):
    """Write an event to the log."""

    event: str
    fields: Mapping[str, str | int | float]


Action = SendMessage | SaveState | FetchText | ActivatePolicy | LogEvent
