"""Input events of the prompt balancer besides those of `firvane.core.interface`. Times are in seconds."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from msgspec import Struct

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance


class RequestKind(enum.Enum):
    """Type of a request: whether its response is a stream, and whether running it twice does harm."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(slots=True)
class PromptRequest(api.Request):
    """A client's request with its prompt.

    Attributes:
        services: Names of the services that may serve the request, with their weights.
        chain: The prefix blocks of the prompt in order, each as (identity, tokens). The last block is used by
            this request or its session only.
        tokens_in: Number of tokens of the prompt.
        tokens_out: Maximum number of tokens of the response.
        priority: 0 is the most urgent.
        latency_target: Target for the seconds to the first event; a later response has a lower value.
        max_attempts: Maximum number of backends that the request may reach.
        kind: Type of the request.
        resumable: Whether another backend may continue an interrupted stream.
        event_gap_target: Target for the maximum seconds between two events of the stream.
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
    """The complete list of a service's instances; instances that are not in it are gone."""

    service: str
    instances: tuple[Instance, ...]


class PeersChanged(Struct):
    """The numbers of the live routers, including this one, in ascending order, and the zone of each."""

    numbers: tuple[int, ...]
    zones: tuple[int, ...]


class StreamProgress(Struct):
    """A server sent bytes of a started response. Reported at intervals, not for each event."""

    server: str


class ServiceInfo(Struct):
    """The configured properties of a service's backends; 0 if a property is not configured."""

    service: str
    slots: int
    cache_tokens: int
    tokens_per_event: int
    connection_limit: int  # connections per backend, over all its clients


PlacementEvent = InstancesChanged | PeersChanged | StreamProgress | ServiceInfo
