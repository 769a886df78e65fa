"""The types of the control service. Times and spans are seconds, rates requests a second.

A *receiver* is a proxy of somebody else's, or a client without one, that is told by xDS where to send. A
*group* is the receivers of one zone: they are told the same. What is told is a set of named *resources*.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from firvane.core.address import Address

NOWHERE = -1  # the zone of receivers that stand in none of ours
DROP_CATEGORY = "no-room"  # of what receivers are told to give up at once


class Kind(Enum):
    """The types of resource, by what follows `type.googleapis.com/envoy.config.` in their URL.

    In the order in which a change is told: what is referred to comes before what refers to it.
    """

    __hash__ = object.__hash__  # by identity: that of enums is written in Python, and asked for at each step

    CLUSTER = "cluster.v3.Cluster"
    ENDPOINTS = "endpoint.v3.ClusterLoadAssignment"
    LISTENER = "listener.v3.Listener"
    ROUTES = "route.v3.RouteConfiguration"

    @property
    def url(self) -> str:
        return f"type.googleapis.com/envoy.config.{self.value}"

    @property
    def whole(self) -> bool:
        """Whether a state-of-the-world answer holds all of them: what it leaves out is gone."""
        return self in (Kind.CLUSTER, Kind.LISTENER)


KINDS = {kind.url: kind for kind in Kind}


class Health(Enum):
    """What receivers are told of a box that they are told of."""

    HEALTHY = "healthy"
    UNHEALTHY = "unhealthy"  # listed, and nothing is sent there


@dataclass(frozen=True, slots=True)
class Box:
    """What the module believes of one box that may be sent to, in what a receiver can be told."""

    name: str
    address: Address
    zone: int
    power: float  # what it can do beside the others
    room: float  # attempts of all receivers together that it takes
    budget: float | None = None  # requests a second of all receivers together that it may get at the most
    cold: bool = False
    doubted: bool = False  # nothing is sent there now


class Place(NamedTuple):
    """A box in what a group is told: its weight within its zone."""

    box: str
    address: Address
    weight: int
    health: Health = Health.HEALTHY


class Locality(NamedTuple):
    """The boxes of a zone in what a group is told, and the part of the group's requests that goes there."""

    zone: int
    weight: int
    places: tuple[Place, ...]


class Assignment(NamedTuple):
    """Where a group's requests go; `dropped` of them (a part in 10,000) go nowhere."""

    localities: tuple[Locality, ...] = ()
    dropped: int = 0

    def boxes(self) -> set[str]:
        """The boxes that get something."""
        return {
            place.box for locality in self.localities for place in locality.places
            if place.health is Health.HEALTHY
        }  # fmt: skip


class Resource(NamedTuple):
    """A resource as it goes over the wire."""

    name: str
    version: str  # a digest: the same bytes have the same version, whoever made them
    body: bytes  # as google.protobuf.Any
    named: bool = False  # told only to who asks for it by name
    refers: frozenset[str] = frozenset()  # to clusters


@dataclass(frozen=True, slots=True)
class State:
    """All that one group is told, at one time."""

    resources: Mapping[Kind, Mapping[str, Resource]]
    versions: Mapping[Kind, str]  # digests of the whole sets
    number: int = 0  # of the list that it is made from
    urgent: int = 0  # grows with each state that takes something away
    causes: tuple[str, ...] = field(default=(), compare=False)  # why it differs from the one before


class Report(NamedTuple):
    """What one receiver has done at one box since its last report."""

    served: int = 0
    failed: int = 0
    issued: int = 0
    out: int = 0  # in progress now
