"""Reads the platform's list of instances, page by page.

`InstanceListReader` returns the path of the next page to fetch, and the list once all pages are read. After a
429 or any failure it starts again from the first page, with exponential backoff up to `MAX_BACKOFF_S`. It
also starts again if reading the pages took longer than `MAX_READ_DURATION_S`, since a process that was frozen
must not act on an old list.
"""

from __future__ import annotations

from urllib.parse import quote

import msgspec
from msgspec import Struct

from firvane.core.address import parse_address
from firvane.fleet.discovery import DiscoveryError
from firvane.fleet.discovery.instances import Instance, InstanceState, ModelVersion

LIST_PATH = "/instances"
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 4.0
MAX_READ_DURATION_S = 5.0
MAX_PAGES = 1_000
MAX_TEXT_BYTES = 255
MAX_COUNT = 2**32 - 1
MAX_VERSION = 2**64 - 1
MAX_BACKOFF_DOUBLINGS = 16
MAX_MODELS = 255

OK = 200

_STATES = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}


class PageError(DiscoveryError, ValueError):
    """A page of the list is malformed."""


class Page(Struct, frozen=True):
    """A page of the list; `next_token` is None on the last page."""

    instances: tuple[Instance, ...]
    next_token: str | None


class _ModelEntry(msgspec.Struct):
    name: str
    config_version: int = 0
    adapters: list[object] = []


class _InstanceEntry(msgspec.Struct):
    id: str
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = 0
    config_version: str | int = ""
    cold_remaining_ms: float = 0
    stage: str | None = None
    models: list[_ModelEntry] | None = None


class _PageEntry(msgspec.Struct):
    instances: list[_InstanceEntry]
    next_token: str | None = None


_decoder = msgspec.json.Decoder(_PageEntry)


def parse_page(body: bytes) -> Page:
    """Decode one page; `PageError` if it is malformed or out of bounds."""
    try:
        entry = _decoder.decode(body)
        return Page(tuple(_instance(each) for each in entry.instances), entry.next_token or None)
    except PageError:
        raise
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PageError(f"the page cannot be read: {error}") from error


class Fetch(Struct, frozen=True):
    """The next step is to fetch this path and query now."""

    path: str


class Backoff(Struct, frozen=True):
    """The next step is to fetch `path` at `until` (monotonic seconds), after a failure for `reason`."""

    until: float
    path: str
    reason: str


class CompleteList(Struct, frozen=True):
    """The complete list; `is_consistent` unless it had several pages, between which it may change."""

    instances: tuple[Instance, ...]
    is_consistent: bool


ReadStep = Fetch | Backoff | CompleteList


class InstanceListReader:
    """Reads the pages of the list repeatedly; the caller fetches them."""

    def __init__(self, zone: str | None = None) -> None:
        self._zone = zone
        self._instances_by_id: dict[str, Instance] = {}
        self._pages = 0
        self._failures = 0
        self._began_at: float | None = None

    def begin(self, now: float | None = None) -> Fetch:
        """Start from the first page, and discard an unfinished read; without `now` there is no time limit."""
        self._began_at = now
        self._instances_by_id.clear()
        self._pages = 0
        return Fetch(self._path(None))

    def on_reply(self, status: int, body: bytes, now: float) -> ReadStep:
        """Process the reply to the last `Fetch` or `Backoff`."""
        if status != OK:
            return self.on_failure(f"status {status}", now)
        if self._began_at is not None and now - self._began_at > MAX_READ_DURATION_S:
            return self.on_failure("reading the pages took too long", now)
        try:
            page = parse_page(body)
        except PageError as error:
            return self.on_failure(str(error), now)
        self._pages += 1
        for instance in page.instances:
            self._record(instance)
        if page.next_token is None:
            return self._complete(now)
        if self._pages >= MAX_PAGES:
            return self.on_failure("the list has too many pages", now)
        return Fetch(self._path(page.next_token))

    def on_failure(self, reason: str, now: float) -> Backoff:
        """Start again after a backoff, because no usable reply was received."""
        backoff_s = min(INITIAL_BACKOFF_S * 2.0 ** min(self._failures, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF_S)
        self._failures += 1
        return Backoff(now + backoff_s, self.begin(now + backoff_s).path, reason)

    def _complete(self, now: float) -> CompleteList:
        complete = CompleteList(tuple(self._instances_by_id.values()), self._pages == 1)
        self._failures = 0
        self.begin(now)
        return complete

    def _record(self, instance: Instance) -> None:
        """Record an instance; if a changing list contains it twice, the higher state wins."""
        known = self._instances_by_id.get(instance.id)
        if known is None or instance.state > known.state:
            self._instances_by_id[instance.id] = instance

    def _path(self, token: str | None) -> str:
        query = []
        if self._zone is not None:
            query.append(f"zone={quote(self._zone, safe='')}")
        if token is not None:
            query.append(f"page_token={quote(token, safe='')}")
        return LIST_PATH + ("?" + "&".join(query) if query else "")


def _instance(entry: _InstanceEntry) -> Instance:
    state = _STATES.get(entry.state)
    if state is None:
        raise PageError(f"{entry.state!r} is not a state of an instance")
    if not entry.id or not 0 <= entry.slots <= MAX_COUNT or len(entry.models or ()) > MAX_MODELS:
        raise PageError("an instance is out of bounds")
    software, stage = str(entry.config_version), entry.stage or ""
    for text in (entry.id, entry.service, entry.zone, software, stage):
        _check_length(text)
    return Instance(
        entry.id,
        entry.service,
        parse_address(entry.address),
        entry.zone,
        entry.slots,
        state,
        software,
        int(min(max(entry.cold_remaining_ms, 0), MAX_COUNT)),
        tuple(_model(each) for each in entry.models or ()),
        stage,
    )


def _model(entry: _ModelEntry) -> ModelVersion:
    if not 0 <= entry.config_version <= MAX_VERSION:
        raise PageError("the version of a model is out of bounds")
    adapters = tuple(each for each in entry.adapters if isinstance(each, str))[:MAX_MODELS]
    for text in (entry.name, *adapters):
        _check_length(text)
    return ModelVersion(entry.name, entry.config_version, adapters)


def _check_length(text: str) -> None:
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise PageError("a string is too long")
