"""The platform's list of instances, page by page.

`PageWalk` says which page to ask for next and yields the list only when all its pages have come. After 429 or
any failure it starts again from the first page, after a pause that doubles up to `LONGEST_PAUSE_S`. So it
does where the walk took longer than `LONGEST_WALK_S`: a process that was frozen must not act on an old list.
"""

from __future__ import annotations

from urllib.parse import quote

import msgspec
from msgspec import Struct

from firvane.core.address import parse_address
from firvane.fleet.discovery.instances import Instance, InstanceState, ModelVersion

LIST_PATH = "/instances"
FIRST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 4.0
LONGEST_WALK_S = 5.0
MAX_PAGES = 1_000
MAX_TEXT_BYTES = 255
MAX_COUNT = 2**32 - 1
MAX_MODELS = 255

OK = 200

_STATES = {"ready": InstanceState.READY, "draining": InstanceState.DRAINING}


class PageError(ValueError):
    """A page of the list cannot be read."""


class Page(Struct, frozen=True):
    """One page; `next_token` is None on the last."""

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
    """Read one page; `PageError` where anything in it is not as it must be."""
    try:
        entry = _decoder.decode(body)
        return Page(tuple(_instance(each) for each in entry.instances), entry.next_token or None)
    except PageError:
        raise
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise PageError(f"the page cannot be read: {error}") from error


class Fetch(Struct, frozen=True):
    """Ask for this path and query now."""

    path: str


class Pause(Struct, frozen=True):
    """Ask for `path` at the time `until` (monotonic seconds); `reason` says what went wrong."""

    until: float
    path: str
    reason: str


class CompleteList(Struct, frozen=True):
    """All pages have come. `certain` is false where there were several, between which the list may shift."""

    instances: tuple[Instance, ...]
    certain: bool


WalkStep = Fetch | Pause | CompleteList


class PageWalk:
    """One walk after the other through the pages of the list."""

    def __init__(self, zone: str | None = None) -> None:
        self._zone = zone
        self._found: dict[str, Instance] = {}
        self._pages = 0
        self._failures = 0
        self._began: float | None = None

    def begin(self, now: float | None = None) -> Fetch:
        """Start a walk; what an unfinished one had found is dropped. Without `now` it may take any time."""
        self._began = now
        self._found.clear()
        self._pages = 0
        return Fetch(self._path(None))

    def answer(self, status: int, body: bytes, now: float) -> WalkStep:
        """Take the answer to the last `Fetch` or `Pause`."""
        if status != OK:
            return self.failure(f"status {status}", now)
        if self._began is not None and now - self._began > LONGEST_WALK_S:
            return self.failure("the walk took too long", now)
        try:
            page = parse_page(body)
        except PageError as error:
            return self.failure(str(error), now)
        self._pages += 1
        for instance in page.instances:
            self._note(instance)
        if page.next_token is None:
            return self._complete(now)
        if self._pages >= MAX_PAGES:
            return self.failure("the list has too many pages", now)
        return Fetch(self._path(page.next_token))

    def failure(self, reason: str, now: float) -> Pause:
        """Take the news that no answer came, and start again after a pause."""
        pause = min(FIRST_PAUSE_S * 2.0 ** min(self._failures, 16), LONGEST_PAUSE_S)
        self._failures += 1
        return Pause(now + pause, self.begin(now + pause).path, reason)

    def _complete(self, now: float) -> CompleteList:
        complete = CompleteList(tuple(self._found.values()), self._pages == 1)
        self._failures = 0
        self.begin(now)
        return complete

    def _note(self, instance: Instance) -> None:
        """Keep an instance; one that a shifting list shows twice keeps the higher state."""
        known = self._found.get(instance.id)
        if known is None or instance.state > known.state:
            self._found[instance.id] = instance

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
    if not 0 <= entry.config_version < 2**64:
        raise PageError("the version of a model is out of bounds")
    adapters = tuple(each for each in entry.adapters if isinstance(each, str))[:MAX_MODELS]
    for text in (entry.name, *adapters):
        _check_length(text)
    return ModelVersion(entry.name, entry.config_version, adapters)


def _check_length(text: str) -> None:
    if len(text.encode()) > MAX_TEXT_BYTES:
        raise PageError("a text is too long")
