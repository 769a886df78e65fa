"""Inputs of a proxy's consensus member, and the actions that follow from them.

Records only: the driver turns what happens into an `Event`, hands it to `Member.handle`, and carries out each
`Action` that comes back, in order.
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
    """Time has passed."""


class StateSaved(NamedTuple):
    """The `SaveState` of that token is on disk."""

    token: int


class StateSaveFailed(NamedTuple):
    """The `SaveState` of that token could not be written."""

    token: int


class TextChecked(NamedTuple):
    """A text is here, and on disk where this is a voter; `reason` is "" where it can be used."""

    digest: bytes
    reason: str = ""


class Propose(NamedTuple):
    """Change to a text that has been `TextChecked`, or change the voters; None leaves them."""

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
    """Write the state to disk, then report `StateSaved`; a later one supersedes an earlier one."""

    token: int
    state: VoterState


class FetchText(NamedTuple):
    """Fetch a text from these proxies, which may have it, then report `TextChecked`."""

    digest: bytes
    holders: tuple[int, ...]


class ActivatePolicy(NamedTuple):
    """Decide new requests by this policy from now on."""

    value: Value


class LogEvent(NamedTuple):
    """Write a line to the log."""

    event: str
    fields: Mapping[str, str | int | float]


Action = SendMessage | SaveState | FetchText | ActivatePolicy | LogEvent
