"""Inputs of a proxy's member of the agreement, and the actions that follow from them.

Values only: a driver turns what happens into an `Event`, hands it to `Member.handle`, and carries out each
`Action` that comes back, in order.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from firvane.proxy.quorum.types import Kept, Value

# Events


class Heard(NamedTuple):
    """A datagram of a peer that begins with `messages.MARK`."""

    sender: int
    payload: bytes


class Tick(NamedTuple):
    """Time has passed."""


class Saved(NamedTuple):
    """That `Save` is on disk."""

    token: int


class Unsaved(NamedTuple):
    """That `Save` could not be written."""

    token: int


class Checked(NamedTuple):
    """A text is here, and on disk where this is a voter; `why` is "" where it can be used."""

    digest: bytes
    why: str = ""


class Propose(NamedTuple):
    """A change to a text that is `Checked`, or of the voters; None leaves them."""

    digest: bytes
    voters: tuple[int, ...] | None = None


class Abort(NamedTuple):
    """Give a proposal up."""

    digest: bytes


Event = Heard | Tick | Saved | Unsaved | Checked | Propose | Abort


# Actions


class Say(NamedTuple):
    """Bytes to a peer."""

    peer: int
    payload: bytes


class Save(NamedTuple):
    """On disk, then `Saved`; a later one goes before an earlier."""

    token: int
    kept: Kept


class Fetch(NamedTuple):
    """This text is wanted, then `Checked`; these proxies may have it."""

    digest: bytes
    holders: tuple[int, ...]


class Swap(NamedTuple):
    """New requests are decided by this policy from now on."""

    value: Value


class Note(NamedTuple):
    """A line in the log."""

    event: str
    fields: Mapping[str, str | int | float]


Action = Say | Save | Fetch | Swap | Note
