"""The spread of a group's voters over failure domains (zones or regions)."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Sequence

from firvane.core.address import Address
from firvane.fleet.replication.types import Member

DomainOf = Callable[[Address], str]

MIN_REBALANCE_DIFFERENCE = 2  # in the voters of two domains, for a voter to be moved between them


class Spread:
    """The number of voters in each failure domain."""

    def __init__(self, domain_of: DomainOf, members: Iterable[Member]) -> None:
        self._domain_of = domain_of
        self._voters_by_domain = Counter(domain_of(member.address) for member in members)

    def add(self, member: Member) -> None:
        """Count one more voter in this member's failure domain."""
        self._voters_by_domain[self._domain_of(member.address)] += 1

    def voters_in_domain_of(self, member: Member) -> int:
        """The number of voters in the failure domain of this member."""
        return self._voters_by_domain[self._domain_of(member.address)]

    def least_crowded(self, members: Sequence[Member]) -> Member | None:
        """The first member whose domain has the fewest voters; None if `members` is empty."""
        return min(members, key=self.voters_in_domain_of, default=None)

    def improves(self, member: Member) -> bool:
        """Whether replacing a voter of the most crowded domain with this member evens the spread."""
        max_voters = max(self._voters_by_domain.values(), default=0)
        return max_voters - self.voters_in_domain_of(member) >= MIN_REBALANCE_DIFFERENCE


def one_domain_per_address(address: Address) -> str:
    """Make each address its own failure domain, the default if zones are not known."""
    return f"{address[0]}:{address[1]}"
