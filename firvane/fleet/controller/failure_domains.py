"""The failure domain of a controller: its zone, or its region if whole regions may be lost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from firvane.core.address import Address
from firvane.fleet.cluster.agent import Member
from firvane.fleet.replication.spread import one_domain_per_address


class FailureDomains:
    """Failure domains by internal address; those of departed controllers are retained."""

    def __init__(
        self, controllers: Callable[[], Iterable[Member]], region_of_zone: Mapping[str, str], by_region: bool
    ) -> None:
        """Create the map; `controllers` returns the live ones, `by_region` makes regions the domains."""
        self._controllers = controllers
        self._region_of_zone = region_of_zone if by_region else {}
        self._domain_by_address: dict[Address, str] = {}

    def domain_of(self, address: Address) -> str:
        """The failure domain of a controller; a separate one if its zone is not known."""
        if address not in self._domain_by_address:
            self._update_known_domains()
        return self._domain_by_address.get(address) or one_domain_per_address(address)

    def _update_known_domains(self) -> None:
        for member in self._controllers():
            self._domain_by_address[member.address] = self._region_of_zone.get(member.zone, member.zone)
