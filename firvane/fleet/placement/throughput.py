"""Throughput of model servers, estimated from the times to the first event."""

from __future__ import annotations

import math

FIRST_STEP = 0.4  # maximum change of a median's logarithm at the first sample
MIN_STEP = 0.04
STEP_DECAY = 0.9  # factor of the step per sample
INITIAL_PREFILL_RATE = 20_000.0  # tokens per second
MIN_PREFILL_RATE = 500.0
MAX_PREFILL_RATE = 5e6
INITIAL_FIRST_EVENT_S = 0.1
MIN_FIRST_EVENT_S = 0.002
MAX_FIRST_EVENT_S = 5.0
SHORT_PREFILL_TOKENS = 500  # for shorter prompts the time to the first event does not depend on the length
LONG_PREFILL_TOKENS = 2000  # samples of longer prompts are used to estimate the prefill rate
MIN_PREFILL_TIME_RATIO = 0.25  # the prefill takes at least this part of the time to the first event
IDLE_BACKLOG_S = 0.01  # a server with at most this outstanding prefill counts as idle
MIN_SLOWDOWN = 0.25
MAX_SLOWDOWN = 8.0
SLOWDOWN_STEP = 0.04  # maximum change of the slowdown's logarithm at the first sample
SLOWDOWN_SAMPLES = 20  # with this many samples a server's measured slowdown has half of its full weight
INITIAL_DURATION_S = 1.0
DURATION_GAIN = 0.05  # weight of a sample in the moving average of durations


class RunningMedian:
    """A running median with logarithmic steps of limited size, so that outliers have little influence."""

    __slots__ = ("maximum", "minimum", "samples", "step", "value")

    def __init__(self, initial: float, minimum: float, maximum: float) -> None:
        self.value, self.minimum, self.maximum = initial, minimum, maximum
        self.step = FIRST_STEP
        self.samples = 0

    def add(self, sample: float) -> None:
        """Move the median toward a sample by at most one step."""
        distance = math.log(max(sample, self.minimum) / self.value)
        moved = max(-self.step, min(self.step, distance))
        self.value = min(self.maximum, max(self.minimum, self.value * math.exp(moved)))
        self.step = max(MIN_STEP, self.step * STEP_DECAY)
        self.samples += 1

    def adopt(self, value: float, samples: int) -> None:
        """Replace the median by a peer's median if that has more samples."""
        if samples > self.samples:
            self.value = min(self.maximum, max(self.minimum, value))
            self.samples = samples
            self.step = max(MIN_STEP, FIRST_STEP * STEP_DECAY**samples)


class ThroughputEstimates:
    """Throughput of one service's servers: medians over all servers, and the slowdown of each server.

    Attributes:
        prefill_rate: Prompt tokens per second.
        first_event: Seconds to the first event of a short prompt at an idle server.
        duration: Average seconds from sending a request to the end of its response.
    """

    def __init__(self) -> None:
        self.prefill_rate = RunningMedian(INITIAL_PREFILL_RATE, MIN_PREFILL_RATE, MAX_PREFILL_RATE)
        self.first_event = RunningMedian(INITIAL_FIRST_EVENT_S, MIN_FIRST_EVENT_S, MAX_FIRST_EVENT_S)
        self.duration = INITIAL_DURATION_S
        self._slowdowns: dict[str, RunningMedian] = {}  # by server

    def record_first_event(self, server: str, tokens: float, backlog: float, duration: float) -> None:
        """Update the estimates with the first event of an attempt.

        Args:
            server: Id of the server.
            tokens: Tokens that the server had to prefill.
            backlog: Seconds of outstanding prefill at sending; only samples of idle servers are used.
            duration: Seconds from sending the attempt to its first event.
        """
        if backlog > IDLE_BACKLOG_S:
            return
        duration = max(duration, MIN_FIRST_EVENT_S)
        expected = self.expected(tokens)
        if tokens <= SHORT_PREFILL_TOKENS:
            self.first_event.add(duration)
        elif tokens >= LONG_PREFILL_TOKENS:
            prefill_time = max(duration - self.first_event.value, duration * MIN_PREFILL_TIME_RATIO)
            self.prefill_rate.add(tokens / prefill_time)
        slowdown = self._slowdowns.get(server)
        if slowdown is None:
            slowdown = self._slowdowns[server] = RunningMedian(1.0, MIN_SLOWDOWN, MAX_SLOWDOWN)
            slowdown.step = SLOWDOWN_STEP
        slowdown.add(duration / expected)

    @property
    def samples(self) -> int:
        """The number of samples of the median that has fewer."""
        return min(self.prefill_rate.samples, self.first_event.samples)

    def adopt(self, prefill_rate: float, first_event: float, samples: int) -> None:
        """Replace each median by a peer's if the peer's has more samples."""
        if prefill_rate > 0.0 and first_event > 0.0:
            self.prefill_rate.adopt(prefill_rate, samples)
            self.first_event.adopt(first_event, samples)

    def record_duration(self, sample: float) -> None:
        """Update the average duration with that of a complete response, in seconds."""
        self.duration += DURATION_GAIN * (sample - self.duration)

    def expected(self, tokens: float) -> float:
        """Return the expected seconds to the first event at an idle server that prefills `tokens`."""
        return self.first_event.value + tokens / self.prefill_rate.value

    def slowdown(self, server: str) -> float:
        """Return a server's time to the first event relative to the median; 1 if there is no sample."""
        median = self._slowdowns.get(server)
        if median is None:
            return 1.0
        return float(median.value ** (median.samples / (median.samples + SLOWDOWN_SAMPLES)))

    def forget(self, server: str) -> None:
        """Remove the estimates of a server that is gone."""
        self._slowdowns.pop(server, None)
