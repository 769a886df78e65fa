"""Fetching announced payloads: from one source at a time, from another one if it does not answer. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.dissemination.codec import Version

ANSWER_TIMEOUT = 0.15
"""Seconds to wait for an answer before another source is asked."""
SLOWEST_LINK = 300_000
"""Bytes a second of the slowest link on which a payload is waited for in full."""
MAX_SOURCES = 8
MAX_WANTED = 4096
"""Payloads fetched at one time; further announcements are ignored."""
MAX_WAITERS = 1024
"""Requests of others that wait for a payload which is being fetched here."""
MAX_ATTEMPTS = 6
"""Requests after which the next announcement or digest is waited for."""


class _Wanted(Struct):
    version: Version
    sources: list[Address]
    waiters: list[Address] = field(default_factory=list)
    is_passed_on: bool = False
    attempts: int = 0
    asked: Address | None = None
    deadline: float = 0.0


class Request(Struct, frozen=True):
    """A version to request from a source."""

    to: Address
    version: Version


class Arrival(Struct, frozen=True):
    """What was known of a payload before it came."""

    waiters: Sequence[Address] = ()
    """Who has requested it meanwhile."""
    is_passed_on: bool = False
    """Whether its announcement was passed on already."""


class Requests:
    """What is being fetched."""

    def __init__(self) -> None:
        self._wanted: dict[bytes, _Wanted] = {}

    def announced(
        self, version: Version, source: Address, preferred: Address | None, now: float
    ) -> Request | None:
        """The source has this version, which is newer than the own one: the request to send, if any.

        `preferred` is asked first; it may be fetching the version itself.
        """
        wanted = self._wanted.get(version.key)
        if wanted is not None and wanted.version.version >= version.version:
            if source not in wanted.sources and len(wanted.sources) < MAX_SOURCES:
                wanted.sources.append(source)
            return None
        sources = [source] if preferred is None or preferred == source else [preferred, source]
        if wanted is None and len(self._wanted) >= MAX_WANTED:
            return None
        waiters = wanted.waiters if wanted is not None else []
        wanted = self._wanted[version.key] = _Wanted(version, sources, waiters)
        return self._ask(wanted, now)

    def wait(self, version: Version, requester: Address) -> bool:
        """Somebody requests a version that is not here: whether it waits, as it is being fetched."""
        wanted = self._wanted.get(version.key)
        if wanted is None or wanted.version.version < version.version or len(wanted.waiters) >= MAX_WAITERS:
            return False
        if requester not in wanted.waiters:
            wanted.waiters.append(requester)
        return True

    def accepted(self, version: Version, source: Address, now: float) -> None:
        """The source sends this version: it has as long as a slow link takes."""
        wanted = self._wanted.get(version.key)
        if wanted is not None and wanted.version.version == version.version and wanted.asked == source:
            size = max(version.size, wanted.version.size)
            wanted.deadline = now + ANSWER_TIMEOUT + size / SLOWEST_LINK

    def refused(self, version: Version, source: Address, now: float) -> Request | None:
        """A source does not have this version: the request to send to another one, if there is one."""
        wanted = self._wanted.get(version.key)
        if wanted is None or wanted.version.version != version.version or wanted.asked != source:
            return None
        wanted.sources.remove(source)
        if not wanted.sources:
            del self._wanted[version.key]
            return None
        return self._ask(wanted, now)

    def pass_on(self, versions: Iterable[Version]) -> list[Version]:
        """Versions being fetched whose announcement was not passed on yet; they count as passed on now."""
        news = []
        for version in versions:
            wanted = self._wanted.get(version.key)
            if wanted is not None and wanted.version == version and not wanted.is_passed_on:
                wanted.is_passed_on = True
                news.append(version)
        return news

    def arrived(self, key: bytes, version: int) -> Arrival:
        """This version has come: requests for it or older ones are done."""
        wanted = self._wanted.get(key)
        if wanted is None or wanted.version.version > version:
            return Arrival()
        del self._wanted[key]
        is_passed_on = wanted.is_passed_on and wanted.version.version == version
        return Arrival(wanted.waiters, is_passed_on)

    def overdue(self, now: float) -> list[Request]:
        """Requests to repeat with another source."""
        again = []
        for wanted in [w for w in self._wanted.values() if w.deadline <= now]:
            if wanted.attempts >= MAX_ATTEMPTS:
                del self._wanted[wanted.version.key]
            else:
                again.append(self._ask(wanted, now))
        return again

    def deadline(self) -> float:
        """When the next request is overdue; infinite if nothing is fetched."""
        return min((wanted.deadline for wanted in self._wanted.values()), default=float("inf"))

    @staticmethod
    def _ask(wanted: _Wanted, now: float) -> Request:
        source = wanted.sources[wanted.attempts % len(wanted.sources)]
        wanted.attempts += 1
        wanted.asked = source
        wanted.deadline = now + ANSWER_TIMEOUT
        return Request(source, wanted.version)
