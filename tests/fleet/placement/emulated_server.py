"""An emulated model server in simulated time, with batching, chunked prefill, a prefix cache and a queue.

It shares no code with the balancer under test. Times are in seconds.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Generator
from dataclasses import dataclass, field
from typing import Any

import simpy

Blocks = tuple[tuple[int, int], ...]


@dataclass(frozen=True)
class Profile:
    """Capacity and speed of a server."""

    slots: int = 64
    queue_size: int = 192
    memory_tokens: int = 440_000  # tokens of active requests and cached blocks
    step_time: float = 0.005  # duration of a batch step
    step_time_per_request: float = 0.00003  # added for each request that generates a token in the step
    prefill_rate: float = 51_000.0  # prompt tokens per second
    chunk_tokens: int = 1024  # prompt tokens prefilled in one step
    setup_time: float = 0.047  # time from acceptance to the queue
    tokens_per_event: int = 4
    urgent_first: bool = False  # prefill the most urgent prompt first, even before a partly prefilled one


@dataclass(eq=False)
class ServerRequest:
    """One request at one server; `on_event` is called per event, `on_end` with whether it is complete."""

    blocks: Blocks
    tokens_out: int
    priority: int
    on_event: Callable[[], None]
    on_end: Callable[[bool], None]
    arrival_order: int = 0
    remaining_prefill: int = -1  # tokens; -1 before the prefill starts
    generated_tokens: int = 0
    events_sent: int = 0
    ended: bool = False

    @property
    def size(self) -> int:
        return sum(tokens for _, tokens in self.blocks) + self.tokens_out


@dataclass
class PrefillLog:
    """Statistics of the prefills of all servers."""

    seen_blocks: set[int] = field(default_factory=set)  # shared blocks that were prefilled at any server
    repeated_tokens: int = 0  # tokens of shared blocks that were prefilled before
    wasted_tokens: int = 0  # tokens prefilled for requests that were cancelled
    total_tokens: int = 0  # all prefilled tokens


class EmulatedServer:
    """One server process."""

    def __init__(self, env: simpy.Environment, name: str, profile: Profile, log: PrefillLog) -> None:
        self.env, self.name, self.profile, self.log = env, name, profile, log
        self.waiting: list[ServerRequest] = []
        self.active: list[ServerRequest] = []
        self.arriving = 0
        self.cached: dict[int, int] = {}
        self.cached_tokens = 0
        self.unresponsive = False
        self.crashed = False
        self.wakeup = env.event()
        self.arrival_orders = itertools.count()
        self.process = env.process(self._run_batches())

    def submit(self, request: ServerRequest) -> bool:
        """Accept a request; return False if the queue is full or the request is too large."""
        count = len(self.waiting) + len(self.active) + self.arriving
        if count >= self.profile.slots + self.profile.queue_size or request.size > self.profile.memory_tokens:
            return False
        request.arrival_order = next(self.arrival_orders)
        self.arriving += 1
        self.env.process(self._enter(request))
        return True

    def cancel(self, request: ServerRequest) -> None:
        if not request.ended and request.remaining_prefill > 0:
            self.log.wasted_tokens += sum(tokens for _, tokens in request.blocks) - request.remaining_prefill
        request.ended = True

    def crash(self) -> None:
        """End all requests incomplete, and stop."""
        self.crashed = True
        for request in [*self.waiting, *self.active]:
            self._end(request, False)
        self.waiting, self.active = [], []

    def set_unresponsive(self, unresponsive: bool) -> None:
        """Stop or resume sending any output."""
        self.unresponsive = unresponsive
        self._wake_up()

    def _enter(self, request: ServerRequest) -> Generator[Any, Any, None]:
        yield self.env.timeout(self.profile.setup_time)
        self.arriving -= 1
        if self.crashed:
            self._end(request, False)
        elif not request.ended:
            self.waiting.append(request)
            self.waiting.sort(key=lambda each: (each.priority, each.arrival_order))
            self._wake_up()

    def _wake_up(self) -> None:
        if not self.wakeup.triggered:
            self.wakeup.succeed()

    def _run_batches(self) -> Generator[Any, Any, None]:
        while not self.crashed:
            self._start_waiting()
            if self.unresponsive or not self.active:
                self.wakeup = self.env.event()
                yield self.wakeup
                continue
            prefills = self._plan_prefills()
            generating = [request for request in self.active if request.remaining_prefill == 0]
            span = self.profile.step_time + self.profile.step_time_per_request * len(generating)
            yield self.env.timeout(span + sum(prefills.values()) / self.profile.prefill_rate)
            while self.unresponsive:
                self.wakeup = self.env.event()
                yield self.wakeup
            if not self.crashed:
                self._step(generating, prefills)

    def _start_waiting(self) -> None:
        self.waiting = [request for request in self.waiting if not request.ended]
        self.active = [request for request in self.active if not request.ended]
        used = sum(request.size for request in self.active)
        while self.waiting and len(self.active) < self.profile.slots:
            used += self.waiting[0].size
            if used > self.profile.memory_tokens:
                break
            self.active.append(self.waiting.pop(0))

    def _plan_prefills(self) -> dict[ServerRequest, int]:
        remaining, prefills = self.profile.chunk_tokens, dict[ServerRequest, int]()
        requests = self.active
        if self.profile.urgent_first:
            requests = sorted(requests, key=lambda request: (request.priority, request.arrival_order))
        for request in requests:
            if request.remaining_prefill < 0 and remaining > 0:
                request.remaining_prefill = max(1, self._uncached_tokens(request))
            if request.remaining_prefill > 0 and remaining > 0:
                prefills[request] = min(remaining, request.remaining_prefill)
                remaining -= prefills[request]
        return prefills

    def _uncached_tokens(self, request: ServerRequest) -> int:
        """Return the tokens to prefill; log those of shared blocks that a server has prefilled before."""
        prompt_tokens, cached = sum(tokens for _, tokens in request.blocks), 0
        for index, (block, tokens) in enumerate(request.blocks):
            if block not in self.cached:
                for uncached, uncached_tokens in request.blocks[index:-1]:
                    self.log.repeated_tokens += uncached_tokens if uncached in self.log.seen_blocks else 0
                break
            cached += tokens
        self.log.seen_blocks.update(block for block, _ in request.blocks[:-1])
        self.log.total_tokens += prompt_tokens - cached
        return prompt_tokens - cached

    def _step(self, generating: list[ServerRequest], prefills: dict[ServerRequest, int]) -> None:
        for request in generating:
            self._generate(request)
        for request, tokens in prefills.items():
            request.remaining_prefill -= tokens
            if request.remaining_prefill == 0 and not request.ended:
                self._cache_blocks(request.blocks)
                self._generate(request)

    def _generate(self, request: ServerRequest) -> None:
        if request.ended:
            return
        request.generated_tokens += 1
        complete = request.generated_tokens >= request.tokens_out
        if complete or request.generated_tokens % self.profile.tokens_per_event == 0:
            request.events_sent += 1
            request.on_event()
        if complete:
            self._end(request, True)

    def _cache_blocks(self, blocks: Blocks) -> None:
        for block, tokens in reversed(blocks):
            self.cached_tokens += tokens - self.cached.pop(block, 0)
            self.cached[block] = tokens
        capacity = self.profile.memory_tokens - sum(request.size for request in self.active)
        while self.cached_tokens > capacity and self.cached:
            self.cached_tokens -= self.cached.pop(next(iter(self.cached)))

    def _end(self, request: ServerRequest, complete: bool) -> None:
        if not request.ended:
            request.ended = True
            request.on_end(complete)
