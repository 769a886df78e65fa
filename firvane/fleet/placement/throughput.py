"""Speeds of model servers as learnt from the times to the first event. Nothing is known beforehand."""

from __future__ import annotations

import math

FIRST_STEP, LAST_STEP, STEP_DECAY = 0.4, 0.04, 0.9  # of a median's logarithm at one sample
START_SPEED = 20_000.0  # prompt tokens a second
START_FIRST_EVENT = 0.1  # s
SHORT_PROMPT = 500  # tokens up to which the time to the first event is that of any prompt
LONG_READ = 2000  # tokens to read from which on a sample tells of the speed
IDLE_BACKLOG = 0.01  # s of work ahead up to which a server counts as idle
LEAST_SPEED, MOST_SPEED = 500.0, 5e6  # tokens a second that are believed
LEAST_FIRST_EVENT, MOST_FIRST_EVENT = 0.002, 5.0  # s that are believed
LEAST_FACTOR, MOST_FACTOR = 0.25, 8.0  # of one server beside the others
FACTOR_STEP = 0.04  # of its logarithm at one sample
SAMPLES_TO_TRUST = 20  # that make half of a server's factor count
START_DURATION = 1.0  # s of a whole answer
DURATION_GAIN = 0.05


class RunningMedian:
    """A median that follows its samples by small factors; outliers move it no further than others."""

    __slots__ = ("least", "most", "samples", "step", "value")

    def __init__(self, start: float, least: float, most: float) -> None:
        self.value, self.least, self.most = start, least, most
        self.step = FIRST_STEP
        self.samples = 0

    def add(self, sample: float) -> None:
        distance = math.log(max(sample, self.least) / self.value)
        moved = max(-self.step, min(self.step, distance))
        self.value = min(self.most, max(self.least, self.value * math.exp(moved)))
        self.step = max(LAST_STEP, self.step * STEP_DECAY)
        self.samples += 1

    def adopt(self, value: float, samples: int) -> None:
        """A peer has learnt this from more samples than were seen here."""
        if samples > self.samples:
            self.value = min(self.most, max(self.least, value))
            self.samples = samples
            self.step = max(LAST_STEP, FIRST_STEP * STEP_DECAY**samples)


class Speeds:
    """The speeds of one service: of all its servers together, and of each beside them."""

    def __init__(self) -> None:
        self.reading = RunningMedian(START_SPEED, LEAST_SPEED, MOST_SPEED)  # tokens a second
        self.first_event = RunningMedian(START_FIRST_EVENT, LEAST_FIRST_EVENT, MOST_FIRST_EVENT)  # s
        self.duration = START_DURATION  # s of a whole answer
        self._factors: dict[str, RunningMedian] = {}  # time of a server beside what was expected

    def learn_first(self, server: str, tokens: float, backlog: float, took: float) -> None:
        """An attempt with so many tokens to read, behind `backlog` s of work, had its first event."""
        if backlog > IDLE_BACKLOG:
            return
        took = max(took, LEAST_FIRST_EVENT)
        expected = self.expected(tokens)
        if tokens <= SHORT_PROMPT:
            self.first_event.add(took)
        elif tokens >= LONG_READ:
            reading = max(took - self.first_event.value, took / 4)
            self.reading.add(tokens / reading)
        factor = self._factors.get(server)
        if factor is None:
            factor = self._factors[server] = RunningMedian(1.0, LEAST_FACTOR, MOST_FACTOR)
            factor.step = FACTOR_STEP
        factor.add(took / expected)

    @property
    def samples(self) -> int:
        """How many samples both the speed and the time to the first event were learnt from."""
        return min(self.reading.samples, self.first_event.samples)

    def adopt(self, reading: float, first_event: float, samples: int) -> None:
        """What a peer has learnt, where it has seen more."""
        if reading > 0.0 and first_event > 0.0:
            self.reading.adopt(reading, samples)
            self.first_event.adopt(first_event, samples)

    def learn_duration(self, took: float) -> None:
        """A whole answer took so many seconds."""
        self.duration += DURATION_GAIN * (took - self.duration)

    def expected(self, tokens: float) -> float:
        """Seconds to the first event at an idle server with so many tokens to read."""
        return self.first_event.value + tokens / self.reading.value

    def factor(self, server: str) -> float:
        """How much longer than the others a server takes; 1 where nothing is known."""
        found = self._factors.get(server)
        if found is None:
            return 1.0
        return float(found.value ** (found.samples / (found.samples + SAMPLES_TO_TRUST)))

    def forget(self, server: str) -> None:
        """A server is gone."""
        self._factors.pop(server, None)
