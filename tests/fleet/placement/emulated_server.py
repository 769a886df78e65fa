"""An emulated model server in simulated time: batches, prompts read in pieces, kept parts, a queue, failures.

It stands on the other side and knows nothing of the decisions. Times are in seconds.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import simpy

Parts = tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class Profile:
    """What a server can do."""

    slots: int = 64
    queue: int = 192
    memory: int = 440_000  # tokens
    step: float = 0.005  # s of a batch step
    step_by_run: float = 0.00003  # s more for each run that writes
    read_speed: float = 51_000.0  # prompt tokens a second
    piece: int = 1024  # prompt tokens of one step
    setup: float = 0.047  # s before a run may enter
    tokens_per_event: int = 4  # tokens of an event
    urgent_first: bool = False  # the most urgent prompt is read first, even before one that is half read


@dataclass(eq=False)
class Run:
    """One request at one server. `on_event` hears each event, `on_end` whether the answer is whole."""

    parts: Parts
    tokens_out: int
    priority: int
    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    order: int = 0
    unread: int = -1  # tokens; -1: its reading has not begun
    written: int = 0
    passed: int = 0
    over: bool = False

    @property
    def size(self) -> int:
        return sum(tokens for _, tokens in self.parts) + self.tokens_out


@dataclass
class ReadLog:
    """Which shared parts have been read, over all servers."""

    once: set[int] = field(default_factory=set)
    again: int = 0  # tokens of shared parts that were read again
    wasted: int = 0  # tokens read for runs that were given up
    total: int = 0


class EmulatedServer:
    """One start of a server; `submit` takes a run or turns it away."""

    def __init__(self, env: simpy.Environment, name: str, profile: Profile, log: ReadLog) -> None:
        self.env, self.name, self.profile, self.log = env, name, profile, log
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.entering = 0
        self.kept: dict[int, int] = {}
        self.kept_tokens = 0
        self.dark = False
        self.crashed = False
        self.wake = env.event()
        self.orders = itertools.count()
        self.process = env.process(self._work())

    def submit(self, run: Run) -> bool:
        """Take a run; False where the queue is full or the run is too large."""
        count = len(self.waiting) + len(self.running) + self.entering
        if count >= self.profile.slots + self.profile.queue or run.size > self.profile.memory:
            return False
        run.order = next(self.orders)
        self.entering += 1
        self.env.process(self._enter(run))
        return True

    def cancel(self, run: Run) -> None:
        if not run.over and run.unread > 0:
            self.log.wasted += sum(tokens for _, tokens in run.parts) - run.unread
        run.over = True

    def crash(self) -> None:
        """All runs break off."""
        self.crashed = True
        for run in [*self.waiting, *self.running]:
            self._end(run, False)
        self.waiting, self.running = [], []

    def set_dark(self, dark: bool) -> None:
        """Nothing comes out any more, or it goes on."""
        self.dark = dark
        self._wake()

    def _enter(self, run: Run) -> Generator[Any, Any, None]:
        yield self.env.timeout(self.profile.setup)
        self.entering -= 1
        if self.crashed:
            self._end(run, False)
        elif not run.over:
            self.waiting.append(run)
            self.waiting.sort(key=lambda each: (each.priority, each.order))
            self._wake()

    def _wake(self) -> None:
        if not self.wake.triggered:
            self.wake.succeed()

    def _work(self) -> Generator[Any, Any, None]:
        while not self.crashed:
            self._admit()
            if self.dark or not self.running:
                self.wake = self.env.event()
                yield self.wake
                continue
            reads = self._plan_reads()
            writing = [run for run in self.running if run.unread == 0]
            span = self.profile.step + self.profile.step_by_run * len(writing)
            yield self.env.timeout(span + sum(reads.values()) / self.profile.read_speed)
            while self.dark:
                self.wake = self.env.event()
                yield self.wake
            if not self.crashed:
                self._step(writing, reads)

    def _admit(self) -> None:
        self.waiting = [run for run in self.waiting if not run.over]
        self.running = [run for run in self.running if not run.over]
        used = sum(run.size for run in self.running)
        while self.waiting and len(self.running) < self.profile.slots:
            used += self.waiting[0].size
            if used > self.profile.memory:
                break
            self.running.append(self.waiting.pop(0))

    def _plan_reads(self) -> dict[Run, int]:
        left, reads = self.profile.piece, dict[Run, int]()
        order = self.running
        if self.profile.urgent_first:
            order = sorted(order, key=lambda run: (run.priority, run.order))
        for run in order:
            if run.unread < 0 and left > 0:
                run.unread = max(1, self._missing(run))
            if run.unread > 0 and left > 0:
                reads[run] = min(left, run.unread)
                left -= reads[run]
        return reads

    def _missing(self, run: Run) -> int:
        """Tokens that have to be read; notes what of it was read before by any server."""
        total, kept = sum(tokens for _, tokens in run.parts), 0
        for index, (part, tokens) in enumerate(run.parts):
            if part not in self.kept:
                for again, count in run.parts[index:-1]:
                    self.log.again += count if again in self.log.once else 0
                break
            kept += tokens
        self.log.once.update(part for part, _ in run.parts[:-1])
        self.log.total += total - kept
        return total - kept

    def _step(self, writing: list[Run], reads: dict[Run, int]) -> None:
        for run in writing:
            self._write(run)
        for run, tokens in reads.items():
            run.unread -= tokens
            if run.unread == 0 and not run.over:
                self._keep(run.parts)
                self._write(run)

    def _write(self, run: Run) -> None:
        if run.over:
            return
        run.written += 1
        whole = run.written >= run.tokens_out
        if whole or run.written % self.profile.tokens_per_event == 0:
            run.passed += 1
            run.on_event()
        if whole:
            self._end(run, True)

    def _keep(self, parts: Parts) -> None:
        for part, tokens in reversed(parts):
            self.kept_tokens += tokens - self.kept.pop(part, 0)
            self.kept[part] = tokens
        room = self.profile.memory - sum(run.size for run in self.running)
        while self.kept_tokens > room and self.kept:
            self.kept_tokens -= self.kept.pop(next(iter(self.kept)))

    def _end(self, run: Run, whole: bool) -> None:
        if not run.over:
            run.over = True
            run.on_end(whole)
