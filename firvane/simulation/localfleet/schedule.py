"""The schedule of requests, drawn before the run, so that slow responses do not delay later requests."""

from __future__ import annotations

import random
import zlib
from collections.abc import Sequence
from dataclasses import dataclass

from firvane.simulation.localfleet.profiles import RequestClass
from firvane.simulation.localfleet.prompts import Prompt, PromptChunk

SIZE_SPREAD = 0.7  # standard deviation of the logarithm of sizes
MAX_SIZE_FACTOR = 4.0  # times the mean of a size


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to be sent at `at` seconds from the start of the load."""

    number: int
    at: float
    client: int
    kind: RequestClass
    prompt: Prompt

    def body(self) -> bytes:
        """The unique body of the request."""
        head = b"%s %d\n" % (self.kind.name.encode(), self.number)
        return head.ljust(self.kind.body_bytes, b"x")


def draw_schedule(
    kinds: Sequence[RequestClass], seconds: float, clients: int, seed: int
) -> list[PlannedRequest]:
    """Draw all requests of a run, sorted by time; arrivals of each class are a Poisson process."""
    rng = random.Random(seed)
    arrivals = [(at, kind) for kind in kinds for at in _draw_times(kind.per_second, seconds, rng)]
    arrivals.sort(key=lambda arrival: arrival[0])
    return [
        PlannedRequest(number, at, rng.randrange(clients), kind, _draw_prompt(kind, number, rng, seed))
        for number, (at, kind) in enumerate(arrivals)
    ]


def _draw_times(per_second: float, seconds: float, rng: random.Random) -> list[float]:
    times: list[float] = []
    at = rng.expovariate(per_second) if per_second > 0 else seconds
    while at < seconds:
        times.append(at)
        at += rng.expovariate(per_second)
    return times


def _draw_prompt(kind: RequestClass, number: int, rng: random.Random, seed: int) -> Prompt:
    subject = rng.randrange(kind.subjects)
    shared = _shared_chunk(f"{seed}/{kind.name}/subject/{subject}", kind.shared_tokens)
    own = PromptChunk(
        zlib.crc32(f"{seed}/{kind.name}/own/{number}".encode()), _draw_size(kind.own_tokens, rng)
    )
    return Prompt((shared, own), _draw_size(kind.output_tokens, rng))


def _shared_chunk(name: str, mean: float) -> PromptChunk:
    """A shared chunk; its size is determined by its name."""
    number = zlib.crc32(name.encode())
    return PromptChunk(number, _draw_size(mean, random.Random(number)))


def _draw_size(mean: float, rng: random.Random) -> int:
    factor = rng.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)
    return max(1, round(mean * min(factor, MAX_SIZE_FACTOR)))
