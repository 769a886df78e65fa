"""What the model servers ran, held against what clients sent.

An *attempt* is one request with an id of its own. The judgement is made after the end, from the records of
both sides.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from firvane.simulation.localfleet.prompts import PromptChunk

PROMPT_HEADERS = ("x-model", "x-token-count", "x-prompt-prefix")


def fingerprint(method: bytes, target: bytes, headers: Iterable[bytes], body: bytes) -> int:
    """A number that differs where a request was changed on its way; `headers` are values in a fixed order."""
    return zlib.crc32(body, zlib.crc32(b"\n".join((method, target, *headers))))


@dataclass(frozen=True, slots=True)
class Run:
    """A model server has begun to work on a request."""

    request_id: bytes
    instance: str
    events_before: int  # above 0 where a stream was taken up
    fingerprint: int


@dataclass(slots=True)
class SentAttempt:
    """An attempt of a client."""

    repeatable: bool
    fingerprint: int
    promised: bool = False  # answered 408, 421, 429 or 503: it has not run and never will


@dataclass(frozen=True, slots=True)
class Verdict:
    """The ids of attempts with which something went wrong, and what was repeated as it may be."""

    doubled: tuple[bytes, ...] = ()  # ran more than once although they may not be repeated
    ran_after_refusal: tuple[
        bytes, ...
    ] = ()  # ran although the client was informed they had not; not repeatable
    unasked: tuple[bytes, ...] = ()  # ran, and no client has sent them
    altered: tuple[bytes, ...] = ()  # reached a server with another path, body or prompt
    repeated: int = 0  # further runs of repeatable attempts from the start
    resumed: int = 0  # runs that took a stream up, for the system or for a client

    @property
    def clean(self) -> bool:
        """Whether nothing went wrong."""
        return not (self.doubled or self.ran_after_refusal or self.unasked or self.altered)


def judge(runs: Iterable[Run], sent: Mapping[bytes, SentAttempt]) -> Verdict:
    """Compare all runs with all attempts."""
    counts: Counter[bytes] = Counter()
    doubled: dict[bytes, None] = {}
    refused: dict[bytes, None] = {}
    unasked: dict[bytes, None] = {}
    altered: dict[bytes, None] = {}
    repeated = resumed = 0
    for run in runs:
        counts[run.request_id] += 1
        is_further = counts[run.request_id] > 1
        attempt = sent.get(run.request_id)
        if attempt is None:
            unasked[run.request_id] = None
            continue
        resumed += run.events_before > 0
        if run.fingerprint != attempt.fingerprint:
            altered[run.request_id] = None
        if not attempt.repeatable:
            if is_further:
                doubled[run.request_id] = None
            if attempt.promised:
                refused[run.request_id] = None
        elif is_further and not run.events_before:
            repeated += 1
    return Verdict(tuple(doubled), tuple(refused), tuple(unasked), tuple(altered), repeated, resumed)


@dataclass(slots=True)
class PrefillCounter:
    """Prompt tokens that were read by all servers together."""

    tokens_read: int = 0
    tokens_read_again: int = 0  # of parts that some server had read before
    _known: set[int] = field(default_factory=set)

    def note(self, part: PromptChunk) -> None:
        """A server has read this chunk completely."""
        self.tokens_read += part.tokens
        if part.id in self._known:
            self.tokens_read_again += part.tokens
        self._known.add(part.id)


@dataclass(slots=True)
class ServerRecords:
    """What all model servers record together."""

    runs: list[Run] = field(default_factory=list)
    reading: PrefillCounter = field(default_factory=PrefillCounter)
    rejected: int = 0  # requests rejected with a promise
    cancelled: int = 0  # requests whose connection closed while they waited or ran
    connections: int = 0  # ever accepted
