"""The other routers, identified by numbers that are the same on all routers."""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence

from firvane.core.address import Address
from firvane.fleet.cluster.agent import Member
from firvane.fleet.placement.events import PeersChanged


def peer_number(address: Address) -> int:
    """Return the number of a router: its IPv4 address as an integer."""
    return int.from_bytes(socket.inet_aton(address[0]), "big")


class RouterPeers:
    """Sends rows of load data to the other routers."""

    def __init__(
        self, own_address: Address, zones: Sequence[str], send: Callable[[Address, bytes], None]
    ) -> None:
        """Start without peers.

        Args:
            own_address: This router's internal address.
            zones: Names of all zones, which are numbered in sorted order.
            send: Sends a row to an address.
        """
        self.own_address, self.send = own_address, send
        self.zones = {zone: number for number, zone in enumerate(sorted(zones))}
        self.addresses: dict[int, Address] = {}

    def update(self, routers: Sequence[Member]) -> PeersChanged:
        """Replace the live routers, including this one, and return the event for placement."""
        self.addresses = {peer_number(router.address): router.address for router in routers}
        zones = {peer_number(router.address): self.zones.get(router.zone, 0) for router in routers}
        return PeersChanged(tuple(sorted(zones)), tuple(zones[number] for number in sorted(zones)))

    def send_datagram(self, peer: int | None, payload: bytes) -> None:
        """Send a row to one router, or to all others if `peer` is None."""
        if peer is not None:
            if address := self.addresses.get(peer):
                self.send(address, payload)
            return
        for address in self.addresses.values():
            if address != self.own_address:
                self.send(address, payload)
