"""The identity of a member, and the record of its state that members exchange.

A record is ordered by its stamp, (incarnation, counter), and at equal stamps by its status. Only the member
itself raises its stamp: a new incarnation at each start of its process, a higher counter to refute a report
of its failure.
"""

from __future__ import annotations

import enum

from msgspec import Struct

from firvane.core.address import Address


class Role(enum.IntEnum):
    """What a process of the cluster does."""

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
    """The state of a member; at equal stamps the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


Stamp = tuple[int, int]
"""Incarnation and counter."""


class Record(Struct, frozen=True):
    """A report of a member's state."""

    member: Member
    counter: int
    status: Status
    age: float = 0.0
    """Seconds for which a suspected member has been suspected."""

    @property
    def stamp(self) -> Stamp:
        """What orders two records of one address."""
        return self.member.incarnation, self.counter

    @property
    def is_live(self) -> bool:
        """Whether the member counts as live; a suspected one still does."""
        return self.status <= Status.SUSPECT


class MemberState(Struct, frozen=True):
    """A member as one process sees it now."""

    member: Member
    status: Status
    age: float
    """Seconds since it is seen in this state."""
