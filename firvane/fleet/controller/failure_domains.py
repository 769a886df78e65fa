"""Which failure domain a controller stands in: its zone, or its region where whole regions may be lost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from firvane.core.address import Address
from firvane.fleet.cluster.agent import Member
from firvane.fleet.replication.spread import one_domain_per_address


class FailureDomains:
    """Failure domains by internal address; those of controllers that have gone are remembered."""

    def __init__(
        self, controllers: Callable[[], Iterable[Member]], region_of_zone: Mapping[str, str], by_region: bool
    ) -> None:
        """`controllers` gives those that are live now; `by_region`: whole regions may be lost."""
        self._controllers = controllers
        self._region_of_zone = region_of_zone if by_region else {}
        self._known: dict[Address, str] = {}

    def domain_of(self, address: Address) -> str:
        """The failure domain of a controller; one of its own where nothing is known of it."""
        if address not in self._known:
            self._learn()
        return self._known.get(address) or one_domain_per_address(address)

    def _learn(self) -> None:
        for member in self._controllers():
            self._known[member.address] = self._region_of_zone.get(member.zone, member.zone)
