"""How the voters of a group are spread over failure domains: zones, or regions that may be lost whole."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from firvane.core.address import Address
from firvane.fleet.replication.types import Member

DomainOf = Callable[[Address], str]

WORTH_MOVING = 2  # one domain must hold so many voters more than another before a voter is moved between them


class Spread:
    """The failure domains of some voters, by how many of them each holds."""

    def __init__(self, domain_of: DomainOf, members: Iterable[Member]) -> None:
        self._domain_of = domain_of
        self._count = Counter(domain_of(member.address) for member in members)

    def add(self, member: Member) -> None:
        """Count one more voter."""
        self._count[self._domain_of(member.address)] += 1

    def count_beside(self, member: Member) -> int:
        """How many of the voters stand in the domain of this member."""
        return self._count[self._domain_of(member.address)]

    def least_crowded(self, members: Sequence[Member]) -> Member | None:
        """The first of the members whose domain holds the fewest voters; None where there is none."""
        return min(members, key=self.count_beside, default=None)

    def improves(self, member: Member) -> bool:
        """Whether this member, in the place of a voter of the most crowded domain, spreads them better."""
        most = max(self._count.values(), default=0)
        return most - self.count_beside(member) >= WORTH_MOVING


def each_alone(address: Address) -> str:
    """Every machine is a failure domain of its own: the rule where nothing is known of zones."""
    return f"{address[0]}:{address[1]}"
