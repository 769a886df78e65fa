"""Input events of placement, beside those of `firvane.core.interface`. All times are in seconds."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from msgspec import Struct

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance


class RequestKind(enum.Enum):
    """How a request is answered, and what running it a second time does."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(slots=True)
class PromptRequest(api.Request):
    """A client's request with its prompt.

    Attributes:
        services: Names of services with their weights.
        chain: The prefix blocks of the prompt in order, each as (identity, tokens). The last block belongs to
            this request or its session alone.
        tokens_in: Tokens of the prompt.
        tokens_out: Tokens that the response may have.
        priority: 0 is the most urgent.
        latency_target: Seconds to the first event up to which the request has its full value.
        max_attempts: Most backends that may be reached.
        kind: How the request is answered.
        resumable: Whether another backend may continue a stream that was cut off.
        event_gap_target: Most seconds between two events of the stream.
    """

    services: tuple[tuple[str, float], ...] = ()
    chain: tuple[tuple[int, int], ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    priority: int = 5
    latency_target: float = 1.0
    max_attempts: int = 1
    kind: RequestKind = RequestKind.NON_IDEMPOTENT
    resumable: bool = False
    event_gap_target: float = 0.0

    @property
    def retryable(self) -> bool:
        """Whether the request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class InstancesChanged(Struct):
    """The complete list of a service's instances; those that are absent are gone."""

    service: str
    instances: tuple[Instance, ...]


class PeersChanged(Struct):
    """The live routers, this one included, in ascending order, and the zone of each."""

    numbers: tuple[int, ...]
    zones: tuple[int, ...]


class StreamProgress(Struct):
    """A server sent bytes of a response that had started. Reported at intervals, not for each event."""

    server: str


class ServiceInfo(Struct):
    """The configured properties of a service's backends; 0 where the configuration names none."""

    service: str
    slots: int
    cache_tokens: int
    tokens_per_event: int
    connection_limit: int  # per backend, over all callers


PlacementEvent = InstancesChanged | PeersChanged | StreamProgress | ServiceInfo
