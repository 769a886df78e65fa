"""Failover of a call between addresses until it has a clear answer. No I/O.

1. A 307 is followed to the address in its `Location`, at most twice in a row.
2. After a failure, a 5xx, a 408 or a 429 the same call is sent to the next address.
3. After each round over all addresses there is a pause, which doubles; the call fails after `rounds` rounds.
4. Every other answer is final.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from urllib.parse import urlsplit

from firvane.admin.answers import describe_failure
from firvane.core.address import Address, parse_address

MAX_REDIRECTS = 2
DEFAULT_ROUNDS = 4
FIRST_PAUSE_S = 0.2
LONGEST_PAUSE_S = 2.0

_REDIRECT_STATUS = 307
_RETRIABLE_STATUSES = (408, 429)


@dataclass(frozen=True, slots=True)
class Reply:
    """A received HTTP response; `location` is the header of that name."""

    status: int
    body: bytes
    location: str | None = None


@dataclass(frozen=True, slots=True)
class Attempt:
    """Send the call to this address after `pause` seconds."""

    address: Address
    path: str
    pause: float = 0.0


@dataclass(frozen=True, slots=True)
class Answered:
    """The call has a final answer from this address."""

    address: Address
    reply: Reply


@dataclass(frozen=True, slots=True)
class NoClearAnswer:
    """No address gave a clear answer; `reasons` has the last failure of each."""

    reasons: dict[str, str]


Step = Attempt | Answered | NoClearAnswer


class CallFailover:
    """Decides where and when to send one call next."""

    def __init__(self, addresses: Sequence[Address], path: str, rounds: int = DEFAULT_ROUNDS) -> None:
        self._addresses = list(addresses)
        self._path = path
        self._max_tries = rounds * len(self._addresses)
        self._tries = 0
        self._redirects = 0
        self._current = self._addresses[0]
        self._reasons: dict[str, str] = {}

    def begin(self) -> Attempt:
        """Return the first attempt."""
        return Attempt(self._current, self._path)

    def answer(self, reply: Reply) -> Step:
        """Return the next step after the last attempt received a response."""
        if reply.status == _REDIRECT_STATUS:
            return self._redirect(reply.location)
        if reply.status >= 500 or reply.status in _RETRIABLE_STATUSES:
            return self.failure(describe_failure(reply.status, reply.body))
        return Answered(self._current, reply)

    def failure(self, reason: str) -> Step:
        """Return the next step after the last attempt failed or had no clear answer."""
        host, port = self._current
        self._reasons[f"{host}:{port}"] = reason
        self._tries += 1
        self._redirects = 0
        if self._tries >= self._max_tries:
            return NoClearAnswer(dict(self._reasons))
        rounds, position = divmod(self._tries, len(self._addresses))
        self._current = self._addresses[position]
        pause = min(FIRST_PAUSE_S * 2 ** (rounds - 1), LONGEST_PAUSE_S) if position == 0 else 0.0
        return Attempt(self._current, self._path, pause)

    def _redirect(self, location: str | None) -> Step:
        target = _parse_location(location)
        if target is None:
            return self.failure(f"redirected to {location!r}")
        if self._redirects >= MAX_REDIRECTS:
            return self.failure("redirected too often")
        self._redirects += 1
        self._current, path = target
        return Attempt(self._current, path)


def _parse_location(location: str | None) -> tuple[Address, str] | None:
    try:
        parts = urlsplit(location or "")
        address = parse_address(parts.netloc)
    except ValueError:
        return None
    if parts.scheme != "http":
        return None
    return address, parts.path + (f"?{parts.query}" if parts.query else "")
