"""The identity of a member, and the record of its state that members exchange.

Records of one member are ordered by their stamp, (incarnation, counter), and at equal stamps by their status.
Only the member itself raises its stamp: it takes a new incarnation at each start of its process, and a higher
counter to refute a report of its failure.
"""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.address import Address


class Role(enum.IntEnum):
    """The role of a process in the cluster."""

    ROUTER = 1
    CONTROLLER = 2


class Member(Struct, frozen=True):
    """The identity of one process."""

    address: Address
    """Internal address."""
    role: Role
    zone: str
    control: Address | None
    """Address of the operators' API, controllers only."""
    incarnation: int
    """64 bits; rises with each start of the process."""


class Status(enum.IntEnum):
    """The status of a member; of two records with equal stamps the one with the higher status wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


Stamp = tuple[int, int]
"""Incarnation and counter."""


class Record(Struct, frozen=True):
    """The status of a member, as members report it to each other."""

    member: Member
    counter: int
    status: Status
    age: float = 0.0
    """Seconds since the suspicion began; 0 for members that are not suspected."""

    @property
    def stamp(self) -> Stamp:
        """Incarnation and counter, by which records of one address are ordered."""
        return self.member.incarnation, self.counter

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live, as a suspected member still does."""
        return self.status <= Status.SUSPECT


class MemberState(Struct, frozen=True):
    """The status of a member in the view of one process."""

    member: Member
    status: Status
    age: float
    """Seconds for which the member has had this status in that view."""
