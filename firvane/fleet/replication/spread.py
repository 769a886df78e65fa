"""The spread of a group's voters over failure domains (zones or regions)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from firvane.core.address import Address
from firvane.fleet.replication.types import Member

DomainOf = Callable[[Address], str]

MIN_REBALANCE_DIFFERENCE = 2  # in voters of two domains, before a voter moves between them


class Spread:
    """The number of voters in each failure domain."""

    def __init__(self, domain_of: DomainOf, members: Iterable[Member]) -> None:
        self._domain_of = domain_of
        self._count = Counter(domain_of(member.address) for member in members)

    def add(self, member: Member) -> None:
        """Count one more voter."""
        self._count[self._domain_of(member.address)] += 1

    def count_beside(self, member: Member) -> int:
        """The number of voters in the failure domain of this member."""
        return self._count[self._domain_of(member.address)]

    def least_crowded(self, members: Sequence[Member]) -> Member | None:
        """The first of the members whose domain has the fewest voters; None if `members` is empty."""
        return min(members, key=self.count_beside, default=None)

    def improves(self, member: Member) -> bool:
        """Whether replacing a voter of the most crowded domain by this member balances the domains better."""
        most = max(self._count.values(), default=0)
        return most - self.count_beside(member) >= MIN_REBALANCE_DIFFERENCE


def one_domain_per_address(address: Address) -> str:
    """Make each address its own failure domain: the default if zones are not known."""
    return f"{address[0]}:{address[1]}"
