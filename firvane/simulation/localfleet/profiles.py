"""Default profiles of model servers and of request classes."""

from __future__ import annotations

from dataclasses import dataclass

MODEL = "m"
SERVICE = "writer"
HEALTH_PATH = "/health"


@dataclass(frozen=True, slots=True)
class ServerProfile:
    """The speed and the limits of one model server."""

    slots: int = 64  # concurrently running requests
    queue: int = 192  # waiting requests
    cache_tokens: int = 446_417
    connection_limit: int = 360
    step_ms: float = 5.09  # one step gives each running request one token
    step_ms_per_request: float = 0.0303
    prefill_tokens_per_ms: float = 51.1
    chunk_tokens: int = 1024  # prompt tokens prefilled in one step
    stride: int = 4  # tokens per event, except the first event, which has one
    keep_alive_s: int = 8  # idle connections are closed after this time
    report_lag_s: float = 0.2
    drain_s: float = 3.0  # a draining server still serves for this long
    linger_s: float = 1.5  # and then rejects requests for this long before its address is closed


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request; sizes are means, times are seconds."""

    name: str
    host: str
    path_prefix: str
    per_second: float
    subjects: int  # number of distinct shared prompt parts
    shared_tokens: float
    own_tokens: float
    output_tokens: float
    body_bytes: int
    latency_target: float  # from the intended time of sending to the first event
    gap_target: float  # between two events
    deadline: float
    priority: int
    max_attempts: int
    resumable: bool
    retries: int = 3

    @property
    def silence(self) -> float:
        """The time without data after which a client abandons its attempt."""
        return max(2.0, 4 * self.latency_target, 8 * self.gap_target)


LONG_PROMPTS = RequestClass(
    name="long-prompt",
    host="letters.example",
    path_prefix="/draft/",
    per_second=3.0,
    subjects=44,
    shared_tokens=13_300,
    own_tokens=3_720,
    output_tokens=120,
    body_bytes=34_000,
    latency_target=0.8,
    gap_target=0.2,
    deadline=10.0,
    priority=1,
    max_attempts=1,
    resumable=False,
)
SHORT_PROMPTS = RequestClass(
    name="short-prompt",
    host="chips.example",
    path_prefix="/reply/",
    per_second=30.0,
    subjects=40,
    shared_tokens=92,
    own_tokens=291,
    output_tokens=45,
    body_bytes=770,
    latency_target=0.4,
    gap_target=0.2,
    deadline=5.0,
    priority=0,
    max_attempts=2,
    resumable=True,
)
