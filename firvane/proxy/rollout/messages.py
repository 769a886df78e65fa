"""The words of a roll: what proxies say of themselves, what is found, what the course hears and wants.

Rules that hold here and nowhere else:

1. Times are seconds on one clock of whoever hands them in; counts are one block's, not those since the start.
2. A latency's bucket is told by `bucket`, eight to a doubling, so that both sides are cut at the same edges.
3. A `Keep` comes before the actions of its step in their list, and is on disk before any of them is done.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from math import floor, log2

PER_DOUBLING = 8  # buckets of latency
LEAST_LATENCY = 1e-6  # s: what is below counts as that


def bucket(latency: float) -> int:
    """The bucket of a latency in s: 0 from 1 µs on, 8 from 2 µs on."""
    return floor(PER_DOUBLING * log2(max(LEAST_LATENCY, latency) / LEAST_LATENCY) + 1e-9)


def edge(number: int) -> float:
    """The least latency of a bucket, s."""
    return float(LEAST_LATENCY * 2 ** (number / PER_DOUBLING))


class Side(Enum):
    """Which version a proxy is of."""

    OLD = "old"
    NEW = "new"


class Verdict(Enum):
    """What a comparison says."""

    WORSE = "worse"
    FINE = "fine"
    CANNOT_TELL = "cannot tell yet"


@dataclass(frozen=True)
class Counts:
    """Of the requests of one key that ended in a block. What is none of the three was late."""

    taken: int = 0
    in_time: int = 0
    refused: int = 0
    failed: int = 0
    attempts: int = 0
    latency: Mapping[int, int] = field(default_factory=dict)  # of what was answered, by `bucket`


@dataclass(frozen=True)
class Use:
    """What one process used: CPU and log lines within the block, the rest at its end."""

    cpu_s: float = 0.0
    rss_mb: float = 0.0
    descriptors: int = 0
    errors: int = 0  # lines of the log that tell of an error


@dataclass(frozen=True)
class Block:
    """One block of one proxy, from `at - block_s` to `at`."""

    at: float
    zone: str
    side: Side
    proxy: str
    up: float  # for which the process has run at the block's end, s
    by: Mapping[str, Counts]  # "class:NAME" and "tenant:NAME": each request counts once in either
    use: Use = Use()


@dataclass(frozen=True)
class Finding:
    """What a comparison has found, and by what."""

    verdict: Verdict
    why: str  # one sentence
    metric: str = ""  # a field of `plan.Harms`; "" where no single one decides
    key: str = ""  # of `Block.by`; "" for the process as a whole
    old: float = 0.0
    new: float = 0.0
    bound: float = 0.0  # of the difference: the lower one where it is worse, else the upper one
    least: float = 0.0  # the harm that counts


class State(Enum):
    """Where a roll is."""

    PLANNED = "planned"
    REPLACING = "replacing"
    COMPARING = "comparing"
    PAUSED = "paused"
    GOING_BACK = "going back"
    DONE = "done"
    BACK = "back"  # it went back whole
    GIVEN_UP = "given up"  # somebody has to look: `Kept.why` says at what


ENDS = frozenset((State.DONE, State.BACK, State.GIVEN_UP))


class Cause(Enum):
    """Why a roll went from one state to the next."""

    BEGUN = "the trial and the fleet are well"
    REFUSED = "the trial of the new version failed"
    UNWELL = "the fleet was not well before the roll"
    REPLACED = "all places of the stage that are up have the new version"
    FINE = "the stage is fine"
    LAST = "the last stage is fine"
    AT_END = "the plan asks at the end of the stage"
    WORSE = "the new version does worse"
    FAILED = "the new version could not take a place"
    TOO_LONG = "the stage took its longest time"
    PAUSE = "an operator paused it"
    GO = "an operator let it go on"
    AGAIN = "an operator let it begin"
    ACCEPTED = "an operator accepted the last stage"
    BACK = "an operator sent it back"
    UNANSWERED = "nobody answered the pause in time"
    WHOLE = "no place has the new version any more"
    LEFT = "not every place could go back"


class Call(Enum):
    """What an operator may say."""

    GO = "go"
    PAUSE = "pause"
    BACK = "back"


# What the course hears


@dataclass(frozen=True)
class Tried:
    """The trial start of the new version beside the fleet has ended; `wrong` is empty where it went well."""

    wrong: str = ""


@dataclass(frozen=True)
class Before:
    """How the fleet did before the roll: the part of its requests answered in time; None: too few to say."""

    share: float | None


@dataclass(frozen=True)
class Found:
    """What a place says: the version that serves there, by its name in the plan ("" where nothing serves).

    It ends an order as well: `busy` says that the place is still replacing.
    """

    place: str
    version: str
    busy: bool = False


@dataclass(frozen=True)
class Replaced:
    """An order was done: that version serves there now."""

    place: str
    version: str


@dataclass(frozen=True)
class ReplaceFailed:
    """An order came to nothing: what served there before still does."""

    place: str
    why: str


@dataclass(frozen=True)
class Down:
    """Nobody can be reached at that place."""

    place: str


@dataclass(frozen=True)
class Judged:
    """What the comparison that `Compare` began says by now. `number` is that `Compare`'s."""

    finding: Finding
    number: int


@dataclass(frozen=True)
class Tick:
    """Time has passed. Due at least once a second."""


@dataclass(frozen=True)
class Operator:
    """An operator's call."""

    call: Call


Event = Tried | Before | Found | Replaced | ReplaceFailed | Down | Judged | Tick | Operator


# What the course wants


@dataclass(frozen=True)
class Kept:
    """What is on disk of a course. Plain values only."""

    plan: str  # the digest of the plan's text, which whoever reads it checks
    roll: int = 0  # grows with each take-over: places refuse a lower one
    state: State = State.PLANNED
    stage: int = 0
    spent: float = 0.0  # s in this state (of the stage while replacing and comparing) at the last keeping
    ordered: Mapping[str, str] = field(default_factory=dict)  # by place, the version it may be changing to
    new: tuple[str, ...] = ()  # places that have the new version, or may have it
    failures: Mapping[str, int] = field(default_factory=dict)  # orders that came to nothing, by place
    comparisons: int = 0  # begun in all: each has its own part of alpha
    before: float | None = None
    tried: bool = False
    accepts: bool = False  # where paused: whether GO ends the stage
    cause: Cause | None = None  # of the last change of state
    why: str = ""  # the sentence to it


@dataclass(frozen=True)
class Keep:
    """Put this on disk before going on."""

    kept: Kept


@dataclass(frozen=True)
class Try:
    """Start the new version beside the fleet and say `Tried`."""

    version: str


@dataclass(frozen=True)
class Observe:
    """Measure the fleet for that long and say `Before`."""

    span: float


@dataclass(frozen=True)
class Ask:
    """Ask these places what is true and say `Found` or `Down` of each; again every few seconds."""

    places: tuple[str, ...]


@dataclass(frozen=True)
class Replace:
    """Give a place the new version."""

    place: str
    version: str
    roll: int


@dataclass(frozen=True)
class Back:
    """Give a place the old version again."""

    place: str
    version: str
    roll: int


@dataclass(frozen=True)
class Compare:
    """Begin a comparison anew, with this part of alpha; an earlier one is over."""

    number: int
    alpha: float
    soak_s: float
    before: float | None
    alone: bool  # the stage is all: in the end no old side is left


@dataclass(frozen=True)
class Stop:
    """The comparison is over."""


@dataclass(frozen=True)
class Note:
    """A sentence for the log and the report."""

    text: str


Action = Keep | Try | Observe | Ask | Replace | Back | Compare | Stop | Note
