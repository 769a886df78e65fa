"""The types of the control service. Times are in seconds, rates in requests a second.

A *receiver* is another proxy, or a client without a proxy, that gets its endpoints by xDS. A *group* consists
of the receivers of one zone, which get the same resources.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from firvane.core.address import Address

UNKNOWN_ZONE = -1  # of receivers in no configured zone
DROP_CATEGORY = "no-room"  # of requests that receivers must drop


class ResourceType(Enum):
    """The xDS resource types; the values are type URLs without `type.googleapis.com/envoy.config.`.

    The members are in the order in which a change is sent (make before break): a resource type comes after
    the types that it refers to.
    """

    __hash__ = object.__hash__  # by identity: the hash of `Enum` is slow Python code

    CLUSTER = "cluster.v3.Cluster"
    ENDPOINTS = "endpoint.v3.ClusterLoadAssignment"
    LISTENER = "listener.v3.Listener"
    ROUTES = "route.v3.RouteConfiguration"

    @property
    def url(self) -> str:
        """The type URL."""
        return f"type.googleapis.com/envoy.config.{self.value}"

    @property
    def is_full_state(self) -> bool:
        """Whether a state-of-the-world response holds all resources of the type: a missing one is removed."""
        return self in (ResourceType.CLUSTER, ResourceType.LISTENER)


RESOURCE_TYPES = {kind.url: kind for kind in ResourceType}


class Health(Enum):
    """The health status of an endpoint."""

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"  # listed, but gets no requests


@dataclass(frozen=True, slots=True)
class BackendEstimate:
    """The decision module's estimate of one backend that may get requests."""

    name: str
    address: Address
    zone: int
    power: float  # relative throughput
    capacity: float  # concurrent attempts of all receivers together
    budget_rps: float | None = None  # maximum requests a second of all receivers together; None: no limit
    warming_up: bool = False  # slow start
    ejected: bool = False  # outlier: gets no requests now


class WeightedEndpoint(NamedTuple):
    """An endpoint of a group's assignment, with its weight within its zone."""

    backend: str
    address: Address
    weight: int
    health: Health = Health.HEALTHY


class Locality(NamedTuple):
    """The endpoints of a zone in a group's assignment, with the zone's share of the group's requests."""

    zone: int
    weight: int
    endpoints: tuple[WeightedEndpoint, ...]


class Assignment(NamedTuple):
    """The distribution of a group's requests; the receivers drop `dropped` of 10,000 requests."""

    localities: tuple[Locality, ...] = ()
    dropped: int = 0

    def backends(self) -> set[str]:
        """Return the names of the backends that get requests."""
        return {
            endpoint.backend for locality in self.localities for endpoint in locality.endpoints
            if endpoint.health is Health.HEALTHY
        }  # fmt: skip


class Resource(NamedTuple):
    """An encoded resource."""

    name: str
    version: str  # a digest of the body, the same on all control services
    body: bytes  # as google.protobuf.Any
    on_demand: bool = False  # sent only if subscribed by name, not by wildcard
    references: frozenset[str] = frozenset()  # names of clusters


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources of one group at one time."""

    resources: Mapping[ResourceType, Mapping[str, Resource]]
    versions: Mapping[ResourceType, str]  # digests of all resources of a type
    list_version: int = 0  # of the server list from which it was computed
    urgent: int = 0  # increases with each snapshot that removes a backend
    causes: tuple[str, ...] = field(default=(), compare=False)  # of the changes since the previous snapshot


class Report(NamedTuple):
    """One receiver's request counts at one backend since its last report."""

    served: int = 0
    failed: int = 0
    issued: int = 0
    in_progress: int = 0
