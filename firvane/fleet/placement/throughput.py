"""Throughput of model servers, estimated from the times to the first event."""

from __future__ import annotations

import math

FIRST_STEP = 0.4  # of a median's logarithm at one sample
MIN_STEP = 0.04
STEP_DECAY = 0.9  # per sample
INITIAL_PREFILL_RATE = 20_000.0  # tokens per second
MIN_PREFILL_RATE = 500.0
MAX_PREFILL_RATE = 5e6
INITIAL_FIRST_EVENT_S = 0.1
MIN_FIRST_EVENT_S = 0.002
MAX_FIRST_EVENT_S = 5.0
SHORT_PREFILL_TOKENS = 500  # up to here the time to the first event does not depend on the prompt
LONG_PREFILL_TOKENS = 2000  # from here on a sample tells the prefill rate
MIN_PREFILL_TIME_RATIO = 0.25  # of the time to the first event
IDLE_BACKLOG_S = 0.01  # of prefill up to which a server counts as idle
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 8.0
SLOWDOWN_STEP = 0.04  # of its logarithm at the first sample
SLOWDOWN_SAMPLES = 20  # give a server's own slowdown half of its weight
INITIAL_DURATION_S = 1.0
DURATION_GAIN = 0.05


class RunningMedian:
    """A running median in the logarithm; an outlier moves it no further than any other sample."""

    __slots__ = ("maximum", "minimum", "samples", "step", "value")

    def __init__(self, initial: float, minimum: float, maximum: float) -> None:
        self.value, self.minimum, self.maximum = initial, minimum, maximum
        self.step = FIRST_STEP
        self.samples = 0

    def add(self, sample: float) -> None:
        """Move toward a sample by at most one step."""
        distance = math.log(max(sample, self.minimum) / self.value)
        moved = max(-self.step, min(self.step, distance))
        self.value = min(self.maximum, max(self.minimum, self.value * math.exp(moved)))
        self.step = max(MIN_STEP, self.step * STEP_DECAY)
        self.samples += 1

    def adopt(self, value: float, samples: int) -> None:
        """Take over a peer's median where it rests on more samples."""
        if samples > self.samples:
            self.value = min(self.maximum, max(self.minimum, value))
            self.samples = samples
            self.step = max(MIN_STEP, FIRST_STEP * STEP_DECAY**samples)


class ThroughputEstimates:
    """Throughput of one service's servers: common medians, and the slowdown of each server.

    Attributes:
        prefill_rate: Prompt tokens per second.
        first_event: Seconds to the first event of a short prompt at an idle server.
        duration: Seconds of a complete response.
    """

    def __init__(self) -> None:
        self.prefill_rate = RunningMedian(INITIAL_PREFILL_RATE, MIN_PREFILL_RATE, MAX_PREFILL_RATE)
        self.first_event = RunningMedian(INITIAL_FIRST_EVENT_S, MIN_FIRST_EVENT_S, MAX_FIRST_EVENT_S)
        self.duration = INITIAL_DURATION_S
        self._slowdowns: dict[str, RunningMedian] = {}  # by server

    def record_first_event(self, server: str, tokens: float, backlog: float, took: float) -> None:
        """Learn from the first event of an attempt.

        Args:
            server: Id of the server.
            tokens: Tokens that it had to prefill.
            backlog: Seconds of prefill that were ahead; only samples of idle servers count.
            took: Seconds from the send to the first event.
        """
        if backlog > IDLE_BACKLOG_S:
            return
        took = max(took, MIN_FIRST_EVENT_S)
        expected = self.expected(tokens)
        if tokens <= SHORT_PREFILL_TOKENS:
            self.first_event.add(took)
        elif tokens >= LONG_PREFILL_TOKENS:
            prefill_time = max(took - self.first_event.value, took * MIN_PREFILL_TIME_RATIO)
            self.prefill_rate.add(tokens / prefill_time)
        slowdown = self._slowdowns.get(server)
        if slowdown is None:
            slowdown = self._slowdowns[server] = RunningMedian(1.0, MIN_SLOWDOWN, MAX_SLOWDOWN)
            slowdown.step = SLOWDOWN_STEP
        slowdown.add(took / expected)

    @property
    def samples(self) -> int:
        """The number of samples behind both common medians."""
        return min(self.prefill_rate.samples, self.first_event.samples)

    def adopt(self, prefill_rate: float, first_event: float, samples: int) -> None:
        """Take over a peer's medians where they rest on more samples."""
        if prefill_rate > 0.0 and first_event > 0.0:
            self.prefill_rate.adopt(prefill_rate, samples)
            self.first_event.adopt(first_event, samples)

    def record_duration(self, took: float) -> None:
        """Learn from a complete response that took so many seconds."""
        self.duration += DURATION_GAIN * (took - self.duration)

    def expected(self, tokens: float) -> float:
        """Return the expected seconds to the first event at an idle server that prefills so many tokens."""
        return self.first_event.value + tokens / self.prefill_rate.value

    def slowdown(self, server: str) -> float:
        """Return how many times longer than the others a server takes; 1 where nothing is known."""
        found = self._slowdowns.get(server)
        if found is None:
            return 1.0
        return float(found.value ** (found.samples / (found.samples + SLOWDOWN_SAMPLES)))

    def forget(self, server: str) -> None:
        """Drop what is known of a server that is gone."""
        self._slowdowns.pop(server, None)
