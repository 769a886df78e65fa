"""Compares the runs at the model servers with the attempts of the clients.

An *attempt* is one request with a unique id. The comparison is made after the run, from the records of both
sides.
"""

from __future__ import annotations

import zlib
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from firvane.simulation.localfleet.prompts import PromptChunk

PROMPT_HEADERS = ("x-model", "x-token-count", "x-prompt-prefix")


def fingerprint(method: bytes, target: bytes, headers: Iterable[bytes], body: bytes) -> int:
    """A checksum to detect modified requests; `headers` are values in a fixed order."""
    return zlib.crc32(body, zlib.crc32(b"\n".join((method, target, *headers))))


@dataclass(frozen=True, slots=True)
class Run:
    """The start of work on a request at a model server."""

    request_id: bytes
    instance: str
    events_before: int  # above 0 for a resumed stream
    fingerprint: int


@dataclass(slots=True)
class SentAttempt:
    """An attempt of a client."""

    repeatable: bool
    fingerprint: int
    promised: bool = False  # response 408, 421, 429 or 503: guarantees that it has not run


@dataclass(frozen=True, slots=True)
class Verdict:
    """The ids of attempts with faults, and the numbers of permitted repetitions."""

    doubled: tuple[bytes, ...] = ()  # ran more than once although not repeatable
    ran_after_refusal: tuple[
        bytes, ...
    ] = ()  # ran although the response guarantees that they had not; not repeatable
    unasked: tuple[bytes, ...] = ()  # ran although no client sent them
    altered: tuple[bytes, ...] = ()  # reached a server with a different path, body or prompt
    repeated: int = 0  # further runs of repeatable attempts from the start
    resumed: int = 0  # runs that resumed a stream, for the fleet or for a client

    @property
    def clean(self) -> bool:
        """Whether there are no faults."""
        return not (self.doubled or self.ran_after_refusal or self.unasked or self.altered)


def judge(runs: Iterable[Run], sent: Mapping[bytes, SentAttempt]) -> Verdict:
    """Compare all runs with all attempts; return the verdict."""
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
    """Counts the prompt tokens prefilled by all servers together."""

    tokens_read: int = 0
    tokens_read_again: int = 0  # of chunks that some server had prefilled before
    _known: set[int] = field(default_factory=set)

    def note(self, part: PromptChunk) -> None:
        """Count a chunk that a server has prefilled completely."""
        self.tokens_read += part.tokens
        if part.id in self._known:
            self.tokens_read_again += part.tokens
        self._known.add(part.id)


@dataclass(slots=True)
class ServerRecords:
    """The records of all model servers."""

    runs: list[Run] = field(default_factory=list)
    reading: PrefillCounter = field(default_factory=PrefillCounter)
    rejected: int = 0  # rejected requests, which have not run
    cancelled: int = 0  # requests whose connection closed while they waited or ran
    connections: int = 0  # ever accepted
