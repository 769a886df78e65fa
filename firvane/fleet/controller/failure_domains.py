"""The failure domain of a controller: its zone, or its region if whole regions may be lost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from firvane.core.address import Address
from firvane.fleet.cluster.agent import Member
from firvane.fleet.replication.spread import one_domain_per_address


class FailureDomains:
    """Failure domains by internal address; those of departed controllers are remembered."""

    def __init__(
        self, controllers: Callable[[], Iterable[Member]], region_of_zone: Mapping[str, str], by_region: bool
    ) -> None:
        """Create the map; `controllers` returns the live ones, `by_region`: whole regions may be lost."""
        self._controllers = controllers
        self._region_of_zone = region_of_zone if by_region else {}
        self._known: dict[Address, str] = {}

    def domain_of(self, address: Address) -> str:
        """The failure domain of a controller; one of its own if its zone is not known."""
        if address not in self._known:
            self._learn()
        return self._known.get(address) or one_domain_per_address(address)

    def _learn(self) -> None:
        for member in self._controllers():
            self._known[member.address] = self._region_of_zone.get(member.zone, member.zone)
