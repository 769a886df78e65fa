"""The result of a run: all that is kept of it, its hash, and its file.

Rules that hold here and nowhere else:

1. The hash is SHA-256 over the records in their order, each as msgpack of its kind and its fields: floats
   go in bit by bit. Two virtual runs of one scenario and seed have the same hash, or one of them was not a
   function of them.
2. A file is either the old one or the new one, whole: it is written aside, synced and renamed.
3. A file of another format than this one is refused, and says so.
"""

from __future__ import annotations

import hashlib
import os
import shlex
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct

from firvane.core.atomic_write import write_atomically
from firvane.proxy.quorum.types import Timing
from firvane.simulation.emulation.epochs import Epochs
from firvane.simulation.emulation.judge import Judge
from firvane.simulation.emulation.metrics import Leavers, ServiceResult
from firvane.simulation.emulation.network import seats
from firvane.simulation.emulation.records import Record, Shaded, Stated
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.service import Progress, Service
from firvane.simulation.emulation.verdict import Breach, Findings, Grade
from firvane.simulation.runner import policies

FORMAT = 1
OVER = "over"  # of a recovery: the ordinary way of things
CHANGE_S = 22.0  # in which a change of the policy ends while a majority of the voters talk
BATCH = 1 << 16  # bytes that are hashed at once

ClockName = Literal["virtual", "live"]


class Shade(Struct, frozen=True, kw_only=True):
    """A trouble while it lasted, in seconds."""

    name: str
    at: float
    until: float


class Result(ServiceResult, kw_only=True):
    """All that is kept of a run."""

    format: int = FORMAT
    scenario: Scenario
    seed: int
    clock: ClockName
    result_hash: str
    records: int
    replay: str  # the command that plays it again
    no_verdict: str = ""  # why nothing can be said of the proxies; "" where it can
    broken_rules: list[Breach]
    broken_counts: dict[str, int]  # by rule, also of breaches beyond those that are told in full
    costs: list[Breach]
    cost_counts: dict[str, int]
    near: list[Breach]
    leavers: Leavers = msgspec.field(default_factory=Leavers)
    troubles: list[Shade]
    recovery: list[Shade] = msgspec.field(default_factory=list)  # while any proxy was in that state

    @property
    def well(self) -> bool:
        """Whether there is a verdict and no rule was broken."""
        return not self.broken_rules and not self.no_verdict


class ResultError(ValueError):
    """A file that is no result, in one line."""


class Digest:
    """The hash of a run's records."""

    def __init__(self) -> None:
        self.count = 0
        self._sha = hashlib.sha256()
        self._encoder = msgspec.msgpack.Encoder()
        self._waiting = bytearray()

    def see(self, record: Record) -> None:
        self.count += 1
        self._encoder.encode_into((type(record).__name__, record), self._waiting, len(self._waiting))
        if len(self._waiting) >= BATCH:
            self._sha.update(self._waiting)
            self._waiting.clear()

    def hex(self) -> str:
        whole = self._sha.copy()
        whole.update(self._waiting)
        return whole.hexdigest()


def result_hash(records: list[Record]) -> str:
    """The hash of records that are all there."""
    digest = Digest()
    for record in records:
        digest.see(record)
    return digest.hex()


def replay_command(name: str, seed: int, clock: ClockName) -> str:
    """`name`: of a scenario that comes along, or of a file."""
    return f"firvane rehearse {shlex.quote(name)} --{clock} --seed {seed}"


def epochs(scenario: Scenario, findings: Findings) -> Epochs | None:
    """The judge of one policy for all, where the scenario has one, or files that are to be as one."""
    limits = scenario.proxies
    if not limits.voters and limits.change_by != "files":
        return None
    names = [seat.name for seat in seats(scenario.network, limits)]
    slack = Timing(lease_s=limits.lease_s).activation_tolerance_s
    return Epochs(findings, names[: limits.voters], slack, CHANGE_S, policies.allowed(scenario))


class Witness:
    """Sees a run's records in their order and makes its result.

    What is live is judged leniently, for the reason that `judge.py` gives, unless `strict` says otherwise.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        clock: ClockName,
        *,
        replay: str = "",
        strict: bool | None = None,
    ) -> None:
        self.scenario, self.seed, self.clock = scenario, seed, clock
        self.replay = replay or replay_command(scenario.name, seed, clock)
        strict = clock == "virtual" if strict is None else strict
        self.judge = Judge(scenario, strict=strict, replay=self.replay)
        self.epochs = epochs(scenario, self.judge.findings)
        self.service = Service(scenario)
        self.digest = Digest()
        self.troubles: list[Shade] = []
        self.states: dict[str, tuple[str, float]] = {}  # of each proxy, and since when
        self.recovery: dict[str, list[tuple[float, float]]] = {}  # when proxies were in each state
        self.at = 0.0

    def see(self, record: Record) -> None:
        self.at = record.at
        self.digest.see(record)
        self.judge.see(record)
        if self.epochs:
            self.epochs.see(record)
        self.service.see(record)
        if type(record) is Shaded:
            self.troubles.append(Shade(name=record.name, at=record.at, until=record.until))
        elif type(record) is Stated:
            self._stated(record.proxy, record.state, record.at)

    def _stated(self, proxy: str, state: str, at: float) -> None:
        before, since = self.states.pop(proxy, ("", at))
        if before not in ("", OVER):
            self.recovery.setdefault(before, []).append((since, at))
        self.states[proxy] = state, at

    def progress(self) -> Progress:
        return self.service.progress()

    def broken(self) -> int:
        """Breaches so far."""
        return sum(count for (grade, _), count in self.judge.findings.counts.items() if grade is Grade.BROKEN)

    def result(self, no_verdict: str = "") -> Result:
        """Once, after the last record."""
        self.judge.end(self.at)
        if self.epochs:
            self.epochs.end(self.at)
        for proxy in list(self.states):
            self._stated(proxy, "", self.at)
        found = self.judge.findings
        figures = self.service.result()
        counts: dict[Grade, dict[str, int]] = {grade: {} for grade in Grade}
        for (grade, rule), count in found.counts.items():
            counts[grade][rule.value] = count
        told: dict[str, Any] = {name: getattr(figures, name) for name in figures.__struct_fields__}
        return Result(
            **told,
            scenario=self.scenario,
            seed=self.seed,
            clock=self.clock,
            result_hash=self.digest.hex(),
            records=self.digest.count,
            replay=self.replay,
            no_verdict=no_verdict,
            broken_rules=found.of(Grade.BROKEN),
            broken_counts=counts[Grade.BROKEN],
            costs=found.of(Grade.COSTS),
            cost_counts=counts[Grade.COSTS],
            near=found.of(Grade.NEAR),
            leavers=self.judge.leavers,
            troubles=self.troubles,
            recovery=[
                Shade(name=f"{state} (recovery)", at=at, until=until)
                for state, spans in sorted(self.recovery.items())
                for at, until in joined(spans)
            ],
        )


def joined(spans: list[tuple[float, float]]) -> list[tuple[float, float]]:
    """The same times, each once."""
    whole: list[tuple[float, float]] = []
    for at, until in sorted(spans):
        if whole and at <= whole[-1][1]:
            whole[-1] = whole[-1][0], max(whole[-1][1], until)
        else:
            whole.append((at, until))
    return whole


class _Format(Struct):
    format: int = 0


def read(path: str | os.PathLike[str]) -> Result:
    """A result's file. `ResultError` where it is none, `OSError` where it cannot be read."""
    data = Path(path).read_bytes()
    try:
        if (has := msgspec.json.decode(data, type=_Format).format) != FORMAT:
            raise ResultError(f"{path} has format {has}, and only {FORMAT} is known here")
        return msgspec.json.decode(data, type=Result)
    except msgspec.DecodeError as error:
        raise ResultError(f"{path} is no result: {error}") from None


def write(path: str | os.PathLike[str], result: Result) -> None:
    """Write a result's file, or leave the one that is there. `OSError` where that cannot be done."""
    write_atomically(path, msgspec.json.encode(result) + b"\n")
