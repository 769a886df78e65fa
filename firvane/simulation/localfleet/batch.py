"""The batch of a model server as a state machine: inputs are requests and times, outputs stream events.

1. Work is done in steps. In a step each running request whose prefill is complete gets one token, and at most
   `chunk_tokens` of the remaining prompts are prefilled. A step takes longer the more requests run.
2. Requests of higher priority (a lower number) are admitted first and displace others if there is no room.
3. If memory runs out, the newest request of the lowest priority is preempted. It waits again, keeps the
   tokens written so far, and its prompt is prefilled again except for the chunks that are still cached.
4. A request has run once its first token is written. Only a request that has not run may be rejected.
"""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

from firvane.simulation.localfleet.profiles import ServerProfile
from firvane.simulation.localfleet.prompts import Prompt, PromptChunk
from firvane.simulation.localfleet.token_memory import TokenMemory


class RejectionReason(enum.Enum):
    """Why a request was rejected without having run."""

    FULL = "full"
    TOO_LARGE = "larger than the memory"
    EXPIRED = "deadline passed in the queue"


@dataclass(frozen=True, slots=True)
class Job:
    """A request to a batch; `deadline` is monotonic time in seconds."""

    number: int
    prompt: Prompt
    priority: int
    deadline: float
    events_before: int = 0  # events that the client already has; the stream continues after them


@dataclass(frozen=True, slots=True)
class Rejected:
    """The job has not run and will not run."""

    job: int
    reason: RejectionReason


@dataclass(frozen=True, slots=True)
class Produced:
    """The next event of the job's stream; events are numbered from 1."""

    job: int
    event: int
    last: bool


@dataclass(frozen=True, slots=True)
class TimedOut:
    """The job's deadline passed while it ran; the job has ended."""

    job: int


@dataclass(frozen=True, slots=True)
class ChunkPrefilled:
    """A chunk of a prompt that was not cached has been prefilled completely."""

    part: PromptChunk


Output = Rejected | Produced | TimedOut | ChunkPrefilled


def event_count(output_tokens: int, stride: int) -> int:
    """Number of events in a complete stream: the first has one token, the others up to `stride`."""
    return 1 + math.ceil((output_tokens - 1) / stride)


def tokens_within(events: int, output_tokens: int, stride: int) -> int:
    """Tokens in the first `events` events of a stream."""
    return min(output_tokens, 1 + (events - 1) * stride) if events else 0


@dataclass(slots=True)
class _Task:
    """A job with its progress."""

    job: Job
    order: int  # of arrival, from 1
    written: int  # output tokens written
    locked: list[PromptChunk] = field(default_factory=list)
    chunks_to_prefill: list[PromptChunk] = field(default_factory=list)
    chunk_tokens_left: int = 0  # of the first chunk still to be prefilled
    output_to_prefill: int = 0  # tokens written earlier that have to be prefilled
    private: int = 0  # tokens reserved in addition to the locked chunks
    has_written: bool = False  # a token has been written here

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key; lower ranks are admitted first."""
        return self.job.priority, self.order

    @property
    def needs_prefill(self) -> bool:
        """Whether part of its prompt or earlier output is still to be prefilled."""
        return bool(self.chunks_to_prefill) or self.output_to_prefill > 0


class Batch:
    """The work of one model server; `next_step` is the time of the next `advance`, None while idle."""

    def __init__(self, profile: ServerProfile) -> None:
        self.profile = profile
        self.memory = TokenMemory(profile.cache_tokens)
        self.next_step: float | None = None
        self._waiting: list[_Task] = []
        self._running: list[_Task] = []
        self._arrivals = 0
        self._step_prefill: list[tuple[_Task, int]] = []  # tokens prefilled in the current step
        self._outputs: list[Output] = []

    @property
    def queued(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def active(self) -> int:
        """Number of running requests."""
        return len(self._running)

    def submit(self, job: Job, now: float) -> list[Output]:
        """Accept a job, or reject it or a job of lower priority."""
        profile = self.profile
        self._arrivals += 1
        before = tokens_within(job.events_before, job.prompt.output_tokens, profile.stride)
        task = _Task(job, self._arrivals, before)
        if job.prompt.tokens + job.prompt.output_tokens > profile.cache_tokens:
            return [Rejected(job.number, RejectionReason.TOO_LARGE)]
        if self.queued + self.active >= profile.slots + profile.queue:
            not_started = [each for each in self._waiting if not each.has_written]
            displaced = max([*not_started, task], key=lambda each: each.rank)
            if displaced is task:
                return [Rejected(job.number, RejectionReason.FULL)]
            self._waiting.remove(displaced)
            self._reject(displaced, RejectionReason.FULL)
        self._waiting.append(task)
        if self.next_step is None:
            self._begin_step(now)
        return self._take_outputs()

    def cancel(self, number: int) -> None:
        """Cancel a job whose caller has disconnected."""
        for tasks in (self._waiting, self._running):
            for task in tasks:
                if task.job.number == number:
                    tasks.remove(task)
                    self._release(task)
                    self._step_prefill = [entry for entry in self._step_prefill if entry[0] is not task]
                    return

    def advance(self, now: float) -> list[Output]:
        """Perform the steps that end by `now`."""
        while self.next_step is not None and self.next_step <= now:
            end = self.next_step
            self._finish_step(end)
            self._begin_step(end)
        return self._take_outputs()

    def _take_outputs(self) -> list[Output]:
        outputs, self._outputs = self._outputs, []
        return outputs

    # Steps

    def _begin_step(self, now: float) -> None:
        self._expire(now)
        self._admit()
        if not self._running:
            self.next_step = None
            return
        self._step_prefill = self._plan_prefill()
        read = sum(tokens for _, tokens in self._step_prefill)
        profile = self.profile
        duration_ms = profile.step_ms + profile.step_ms_per_request * len(self._running)
        self.next_step = now + (duration_ms + read / profile.prefill_tokens_per_ms) / 1000

    def _plan_prefill(self) -> list[tuple[_Task, int]]:
        left = self.profile.chunk_tokens
        plan: list[tuple[_Task, int]] = []
        for task in sorted(self._running, key=lambda each: each.rank):
            if task.needs_prefill and left > 0:
                tokens = min(left, self._prefill_backlog(task))
                plan.append((task, tokens))
                left -= tokens
        return plan

    @staticmethod
    def _prefill_backlog(task: _Task) -> int:
        later_chunks = sum(part.tokens for part in task.chunks_to_prefill[1:])
        return task.chunk_tokens_left + later_chunks + task.output_to_prefill

    def _finish_step(self, now: float) -> None:
        prefilling, self._step_prefill = self._step_prefill, []
        decoding = [task for task in self._running if not task.needs_prefill]
        for task, tokens in prefilling:
            self._prefill(task, tokens)
            if not task.needs_prefill:
                decoding.append(task)  # the end of the prefill produces the first token
        for task in decoding:
            if task in self._running:  # not preempted for an earlier task
                self._write_token(task)

    def _prefill(self, task: _Task, tokens: int) -> None:
        while tokens > 0 and task.chunks_to_prefill:
            read = min(tokens, task.chunk_tokens_left)
            task.chunk_tokens_left -= read
            tokens -= read
            if task.chunk_tokens_left == 0:
                self._complete_chunk(task)
        task.output_to_prefill -= min(tokens, task.output_to_prefill)

    def _complete_chunk(self, task: _Task) -> None:
        part = task.chunks_to_prefill.pop(0)
        self.memory.keep(part)
        task.private -= part.tokens
        task.locked.append(part)
        task.chunk_tokens_left = task.chunks_to_prefill[0].tokens if task.chunks_to_prefill else 0
        self._outputs.append(ChunkPrefilled(part))

    def _write_token(self, task: _Task) -> None:
        while not self.memory.reserve(1):
            victim = max(self._running, key=lambda each: each.rank)
            self._preempt(victim)
            if victim is task:
                return
        task.private += 1
        task.written += 1
        task.has_written = True
        total = task.job.prompt.output_tokens
        last = task.written >= total
        if last or (task.written - 1) % self.profile.stride == 0:
            event = event_count(task.written, self.profile.stride)
            self._outputs.append(Produced(task.job.number, event, last))
        if last:
            self._running.remove(task)
            self._release(task)

    # Slots and memory

    def _expire(self, now: float) -> None:
        for task in [each for each in self._waiting if each.job.deadline <= now]:
            self._waiting.remove(task)
            if task.has_written:  # preempted during its stream
                self._outputs.append(TimedOut(task.job.number))
            else:
                self._reject(task, RejectionReason.EXPIRED)
        for task in [each for each in self._running if each.job.deadline <= now]:
            self._running.remove(task)
            self._release(task)
            self._outputs.append(TimedOut(task.job.number))

    def _reject(self, task: _Task, reason: RejectionReason) -> None:
        self._outputs.append(Rejected(task.job.number, reason))

    def _admit(self) -> None:
        while self._waiting:
            task = min(self._waiting, key=lambda each: each.rank)
            while not self._admit_task(task):
                victim = max(self._running, key=lambda each: each.rank, default=None)
                if victim is None or victim.job.priority <= task.job.priority:
                    return
                self._preempt(victim)

    def _admit_task(self, task: _Task) -> bool:
        """Admit a waiting task if a slot and memory for its prompt are free."""
        if len(self._running) >= self.profile.slots:
            return False
        parts = task.job.prompt.parts
        kept = self.memory.lock_cached(parts)
        needed = sum(part.tokens for part in parts[kept:]) + task.written
        if not self.memory.reserve(needed):
            self.memory.unlock(parts[:kept])
            return False
        task.locked, task.chunks_to_prefill = list(parts[:kept]), list(parts[kept:])
        task.chunk_tokens_left = task.chunks_to_prefill[0].tokens if task.chunks_to_prefill else 0
        task.private, task.output_to_prefill = needed, task.written
        self._waiting.remove(task)
        self._running.append(task)
        return True

    def _preempt(self, task: _Task) -> None:
        self._running.remove(task)
        self._release(task)
        self._waiting.append(task)

    def _release(self, task: _Task) -> None:
        self.memory.free(task.private)
        self.memory.unlock(task.locked)
        task.private, task.locked, task.chunks_to_prefill = 0, [], []
        task.chunk_tokens_left = task.output_to_prefill = 0
