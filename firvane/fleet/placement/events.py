"""Events of the prompt decisions beside those of `firvane.core.interface`. Times and spans are in seconds."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from msgspec import Struct

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance


class RequestKind(enum.Enum):
    """What a second run of a request does, and how it is answered."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(slots=True)
class PromptRequest(api.Request):
    """A client's request with its prompt.

    `services` are names with weights; `chain` holds the parts of the prompt in order, as identity and tokens,
    the last of them the request's own or its session's; `priority` 0 is the most urgent.
    """

    services: tuple[tuple[str, float], ...] = ()
    chain: tuple[tuple[int, int], ...] = ()
    tokens_in: int = 0
    tokens_out: int = 0
    priority: int = 5
    aim: float = 1.0  # s until the first event for the full worth
    max_attempts: int = 1  # backends that may be reached
    kind: RequestKind = RequestKind.NON_IDEMPOTENT
    resumable: bool = False  # a stream that another backend may take up
    gap_aim: float = 0.0  # s between events at the most

    @property
    def repeatable(self) -> bool:
        """Whether the request may run more than once."""
        if self.kind is RequestKind.STREAM:
            return self.resumable
        return self.kind is RequestKind.IDEMPOTENT


class InstancesChanged(Struct):
    """All instances of a service as they are known now; those that are absent are gone."""

    service: str
    instances: tuple[Instance, ...]


class PeersChanged(Struct):
    """The live routers, this one included, as sorted numbers, and the zone of each."""

    numbers: tuple[int, ...]
    zones: tuple[int, ...]


class Progress(Struct):
    """Bytes of an answer that has begun have come from a server: it lives. Told now and then only."""

    server: str


class ServiceInfo(Struct):
    """What the configuration says of a service's backends; 0 where it does not."""

    service: str
    slots: int
    cache_tokens: int
    stride: int  # tokens that one event of a stream holds
    connection_limit: int  # of one backend, for all callers together


PlacementEvent = InstancesChanged | PeersChanged | Progress | ServiceInfo
