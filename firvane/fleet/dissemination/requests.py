"""Fetches of announced payloads, each from one source at a time, the next on a time-out. Does no I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.dissemination.codec import Version

RESPONSE_TIMEOUT_S = 0.15
"""Seconds without a response after which the request goes to another source."""
SLOWEST_LINK_BYTES_PER_S = 300_000
"""Throughput of the slowest link on which the transfer of a payload is not considered overdue."""
MAX_SOURCES = 8  # of one fetch
MAX_FETCHES = 4096
"""Maximum number of concurrent fetches; announcements of further keys are ignored."""
MAX_WAITERS = 1024
"""Maximum number of peers that wait for a payload that this process is fetching."""
MAX_ATTEMPTS = 6
"""Maximum number of requests in one fetch; the next announcement or digest starts another one."""


class _Fetch(Struct):
    version: Version
    sources: list[Address]
    waiters: list[Address] = field(default_factory=list)
    is_forwarded: bool = False
    attempts: int = 0
    current_source: Address | None = None
    deadline: float = 0.0


class Request(Struct, frozen=True):
    """A request for a version, to be sent to a source."""

    to: Address
    version: Version


class FetchResult(Struct, frozen=True):
    """The outcome of a completed fetch."""

    waiters: Sequence[Address] = ()
    """Peers that requested the payload while it was being fetched."""
    is_forwarded: bool = False
    """Whether the announcement has already been forwarded."""


class Requests:
    """The fetches in flight, by key."""

    def __init__(self) -> None:
        self._fetches: dict[bytes, _Fetch] = {}

    def add_announcement(
        self, version: Version, source: Address, preferred: Address | None, now: float
    ) -> Request | None:
        """Record that a source has a version newer than the stored one; return the request to send, if any.

        The request goes to `preferred` first; that peer may still be fetching the version itself.
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
        return self._next_request(fetch, now)

    def add_waiter(self, version: Version, requester: Address) -> bool:
        """Add a requester that waits for a version; return False if the version is not being fetched."""
        fetch = self._fetches.get(version.key)
        if fetch is None or fetch.version.version < version.version or len(fetch.waiters) >= MAX_WAITERS:
            return False
        if requester not in fetch.waiters:
            fetch.waiters.append(requester)
        return True

    def accepted(self, version: Version, source: Address, now: float) -> None:
        """Extend the time-out by the transfer time on a slow link, since the source sends this version."""
        fetch = self._fetches.get(version.key)
        if fetch is not None and fetch.version.version == version.version and fetch.current_source == source:
            size = max(version.size, fetch.version.size)
            fetch.deadline = now + RESPONSE_TIMEOUT_S + size / SLOWEST_LINK_BYTES_PER_S

    def rejected(self, version: Version, source: Address, now: float) -> Request | None:
        """Remove a source that lacks this version; return the request to send to another source, if any."""
        fetch = self._fetches.get(version.key)
        if fetch is None or fetch.version.version != version.version or fetch.current_source != source:
            return None
        fetch.sources.remove(source)
        if not fetch.sources:
            del self._fetches[version.key]
            return None
        return self._next_request(fetch, now)

    def mark_forwarded(self, versions: Iterable[Version]) -> list[Version]:
        """Return the versions being fetched that are not forwarded yet, and mark them as forwarded."""
        updates = []
        for version in versions:
            fetch = self._fetches.get(version.key)
            if fetch is not None and fetch.version == version and not fetch.is_forwarded:
                fetch.is_forwarded = True
                updates.append(version)
        return updates

    def complete(self, key: bytes, version: int) -> FetchResult:
        """End the fetch that the arrival of this version completes, and return its result."""
        fetch = self._fetches.get(key)
        if fetch is None or fetch.version.version > version:
            return FetchResult()
        del self._fetches[key]
        is_forwarded = fetch.is_forwarded and fetch.version.version == version
        return FetchResult(fetch.waiters, is_forwarded)

    def overdue(self, now: float) -> list[Request]:
        """Return the requests to send to other sources; remove fetches after `MAX_ATTEMPTS` requests."""
        retries = []
        for fetch in [pending for pending in self._fetches.values() if pending.deadline <= now]:
            if fetch.attempts >= MAX_ATTEMPTS:
                del self._fetches[fetch.version.key]
            else:
                retries.append(self._next_request(fetch, now))
        return retries

    def deadline(self) -> float:
        """Return when the next request is overdue; infinite without fetches."""
        return min((fetch.deadline for fetch in self._fetches.values()), default=float("inf"))

    @staticmethod
    def _next_request(fetch: _Fetch, now: float) -> Request:
        source = fetch.sources[fetch.attempts % len(fetch.sources)]
        fetch.attempts += 1
        fetch.current_source = source
        fetch.deadline = now + RESPONSE_TIMEOUT_S
        return Request(source, fetch.version)
