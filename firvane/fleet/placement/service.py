"""A service as seen by this router: its servers, the retry budget, and the accounting of attempts."""

from __future__ import annotations

from collections.abc import Mapping
from zlib import crc32

from firvane.fleet.placement import health
from firvane.fleet.placement.events import RequestKind
from firvane.fleet.placement.pending_request import Attempt, PendingRequest
from firvane.fleet.placement.prompt_homes import LARGE_SHARED_TOKENS
from firvane.fleet.placement.retry_budget import RetryBudget
from firvane.fleet.placement.rows import CachedBlock, Section
from firvane.fleet.placement.server_view import STREAM_TOKENS, ServerView
from firvane.fleet.placement.service_view import ServiceView

RATE_HISTORY_WINDOWS = 6
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 1.0
EXPIRY_MARGIN_S = 2.0  # time after the deadline in which the end of an attempt may still be reported


class Service(ServiceView):
    """The view of a service's servers, and the accounting of this router's attempts.

    Attributes:
        name_hash: CRC-32 of the name, which identifies the service in rows.
        retry_budget: This router's quota of the service's retries.
        unannounced_blocks: Large shared blocks sent to servers since the last row.
        unexpected_offloads: Number of rows that showed more load on this router's slice than expected.
        arrived: Work that arrived in each of the last windows, in prompt tokens, the current window last.
        served: Work that ended in each of the last windows, in prompt tokens, the current window last.
    """

    def __init__(self, name: str, own_number: int, retry_budget: RetryBudget, zone: str) -> None:
        super().__init__(name, own_number, zone)
        self.name_hash = crc32(name.encode())
        self.retry_budget = retry_budget
        self.unannounced_blocks: list[CachedBlock] = []
        self.unexpected_offloads = 0
        self.arrived = [0.0]
        self.served = [0.0]

    def start_attempt(
        self, pending: PendingRequest, server: ServerView, sequence: int, now: float
    ) -> Attempt:
        """Account for an attempt that is sent now, and return it; a retry takes a token from the budget."""
        prefill_rate = self.throughput.prefill_rate.value
        tokens = self.prefill_tokens(pending.prompt, server)
        backlog = server.prefill_backlog(prefill_rate, now)
        expected = self.expected_first_event(server, tokens, now)
        if health.is_ejected(server):
            health.start_trial(server, now)
        server.start_attempt(sequence, tokens, expected, prefill_rate, now)
        server.prefix_cache.insert(pending.prompt)
        if pending.prompt.shared_tokens >= LARGE_SHARED_TOKENS:
            blocks = pending.prompt.shared_blocks
            self.unannounced_blocks += [CachedBlock(server.id_hash, *block) for block in blocks]
        self.arrived[-1] += tokens + STREAM_TOKENS
        is_retry = pending.attempts_reached > 0
        if is_retry:
            self.retry_budget.spend()
        if pending.request.kind is not RequestKind.STREAM:
            expected += self.throughput.duration  # the first event is the complete response
        return Attempt(
            number=pending.attempts_made,
            service=self.name,
            server=server,
            sequence=sequence,
            prefill_tokens=tokens,
            backlog=backlog,
            sent_at=now,
            expected=expected,
            expires_at=pending.deadline + EXPIRY_MARGIN_S,
            is_retry=is_retry,
        )

    def record_first_event(self, attempt: Attempt, duration: float, now: float) -> None:
        """Account for the first event of an attempt, `duration` seconds after it was sent."""
        attempt.started = True
        server, throughput = attempt.server, self.throughput
        server.end_prefill(attempt.sequence, throughput.prefill_rate.value, now)
        health.record_first_event(server, now)
        throughput.record_first_event(server.id, attempt.prefill_tokens, attempt.backlog, duration)
        server.record_lag(duration - throughput.expected(attempt.prefill_tokens), now)
        server.slowdown = throughput.slowdown(server.id)

    def record_completion(self, attempt: Attempt, now: float) -> None:
        """Account for a complete response."""
        self.throughput.record_duration(now - attempt.sent_at)

    def end_attempt(self, attempt: Attempt, now: float) -> None:
        """Account for the end of an attempt with any result."""
        attempt.server.end_attempt(attempt.sequence, self.throughput.prefill_rate.value, now)
        self.served[-1] += attempt.prefill_tokens + STREAM_TOKENS

    def retry_after(self, now: float) -> float:
        """Return the seconds after which a server is expected to have capacity."""
        soonest = min((server.saturated_until - now for server in self.ready), default=MIN_RETRY_AFTER_S)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, soonest))

    def step(self, sections: Mapping[int, tuple[Section, float]], zones: Mapping[int, int]) -> None:
        """End a window: compute the moves between slices, and start counting the next window.

        Args:
            sections: Each router's section for this service with its age in seconds, by router number.
            zones: The zone of each router by router number.
        """
        load = {server.id: server.announced_load() for server in self.ready}
        self.slices.step(load, sections, zones)
        self.arrived = [*self.arrived, 0.0][-RATE_HISTORY_WINDOWS:]
        self.served = [*self.served, 0.0][-RATE_HISTORY_WINDOWS:]
