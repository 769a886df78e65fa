"""Fetches of announced payloads: from one source at a time, and another one on a time-out. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.dissemination.codec import Version

RESPONSE_TIMEOUT_S = 0.15
"""Until another source is asked."""
SLOWEST_LINK_BYTES_PER_S = 300_000
"""Of the slowest link on which a payload is waited for until its end."""
MAX_SOURCES = 8
MAX_FETCHES = 4096
"""Concurrent fetches; further announcements are ignored."""
MAX_WAITERS = 1024
"""Requests of others that wait for one payload being fetched here."""
MAX_ATTEMPTS = 6
"""Requests of one payload, after which the next announcement or digest is awaited."""


class _Fetch(Struct):
    version: Version
    sources: list[Address]
    waiters: list[Address] = field(default_factory=list)
    is_forwarded: bool = False
    attempts: int = 0
    current_source: Address | None = None
    deadline: float = 0.0


class Request(Struct, frozen=True):
    """A version to request from a source."""

    to: Address
    version: Version


class FetchResult(Struct, frozen=True):
    """A completed fetch."""

    waiters: Sequence[Address] = ()
    """Peers that have requested it meanwhile."""
    is_forwarded: bool = False
    """Whether its announcement was forwarded already."""


class Requests:
    """The fetches in flight, by key."""

    def __init__(self) -> None:
        self._fetches: dict[bytes, _Fetch] = {}

    def add_announcement(
        self, version: Version, source: Address, preferred: Address | None, now: float
    ) -> Request | None:
        """Record that a source has this version, newer than the own one; the request to send, if any.

        `preferred` is asked first; it may be fetching the version itself.
        """
        fetch = self._fetches.get(version.key)
        if fetch is not None and fetch.version.version >= version.version:
            if source not in fetch.sources and len(fetch.sources) < MAX_SOURCES:
                fetch.sources.append(source)
            return None
        sources = [source] if preferred is None or preferred == source else [preferred, source]
        if fetch is None and len(self._fetches) >= MAX_FETCHES:
            return None
        waiters = fetch.waiters if fetch is not None else []
        fetch = self._fetches[version.key] = _Fetch(version, sources, waiters)
        return self._ask(fetch, now)

    def add_waiter(self, version: Version, requester: Address) -> bool:
        """Let a requester wait for a version that is being fetched; False where it is not."""
        fetch = self._fetches.get(version.key)
        if fetch is None or fetch.version.version < version.version or len(fetch.waiters) >= MAX_WAITERS:
            return False
        if requester not in fetch.waiters:
            fetch.waiters.append(requester)
        return True

    def accepted(self, version: Version, source: Address, now: float) -> None:
        """Extend the time-out, since the source sends this version, by what a slow link takes."""
        fetch = self._fetches.get(version.key)
        if fetch is not None and fetch.version.version == version.version and fetch.current_source == source:
            size = max(version.size, fetch.version.size)
            fetch.deadline = now + RESPONSE_TIMEOUT_S + size / SLOWEST_LINK_BYTES_PER_S

    def rejected(self, version: Version, source: Address, now: float) -> Request | None:
        """Drop a source that does not have this version; the request to send to another one, if any."""
        fetch = self._fetches.get(version.key)
        if fetch is None or fetch.version.version != version.version or fetch.current_source != source:
            return None
        fetch.sources.remove(source)
        if not fetch.sources:
            del self._fetches[version.key]
            return None
        return self._ask(fetch, now)

    def take_unforwarded(self, versions: Iterable[Version]) -> list[Version]:
        """Take the versions being fetched whose announcement is not forwarded yet."""
        updates = []
        for version in versions:
            fetch = self._fetches.get(version.key)
            if fetch is not None and fetch.version == version and not fetch.is_forwarded:
                fetch.is_forwarded = True
                updates.append(version)
        return updates

    def complete(self, key: bytes, version: int) -> FetchResult:
        """End the fetches that this version, which has come, completes."""
        fetch = self._fetches.get(key)
        if fetch is None or fetch.version.version > version:
            return FetchResult()
        del self._fetches[key]
        is_forwarded = fetch.is_forwarded and fetch.version.version == version
        return FetchResult(fetch.waiters, is_forwarded)

    def overdue(self, now: float) -> list[Request]:
        """Requests to repeat with another source."""
        again = []
        for fetch in [w for w in self._fetches.values() if w.deadline <= now]:
            if fetch.attempts >= MAX_ATTEMPTS:
                del self._fetches[fetch.version.key]
            else:
                again.append(self._ask(fetch, now))
        return again

    def deadline(self) -> float:
        """When the next request is overdue; infinite without fetches."""
        return min((fetch.deadline for fetch in self._fetches.values()), default=float("inf"))

    @staticmethod
    def _ask(fetch: _Fetch, now: float) -> Request:
        source = fetch.sources[fetch.attempts % len(fetch.sources)]
        fetch.attempts += 1
        fetch.current_source = source
        fetch.deadline = now + RESPONSE_TIMEOUT_S
        return Request(source, fetch.version)
