"""Model of the network: delays between zones, partitions, and late or lost datagrams between proxies."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from firvane.simulation.emulation.scenario import Network, Proxies


class Seat(NamedTuple):
    """A proxy's name and zone."""

    name: str
    zone: str


def seats(network: Network, proxies: Proxies) -> tuple[Seat, ...]:
    """Return the proxies' names and zones in order of their numbers; zones are assigned in turn."""
    zones = network.zones
    return tuple(Seat(f"proxy-{n}", zones[n % len(zones)]) for n in range(proxies.count))


class Links:
    """The links between zones. A zone that is cut off twice must be healed twice."""

    def __init__(self, network: Network, seed: int) -> None:
        draw = Random(f"links/{seed}")
        self._network = network
        self._datagrams = Random(f"datagrams/{seed}")
        self._cuts = dict.fromkeys(network.zones, 0)
        self._delays: dict[tuple[str, str], float] = {}
        for place, a in enumerate(network.zones):
            self._delays[a, a] = network.within_ms / 1e3
            for b in network.zones[place + 1 :]:
                self._delays[a, b] = self._delays[b, a] = draw.uniform(*network.delay_ms) / 1e3

    def delay(self, now: float, a: str, b: str) -> float | None:
        """Return the one-way delay (s) from zone `a` to zone `b`; None while one of them is cut off.

        Raises KeyError for a zone that is not in the scenario."""
        delay = self._delays[a, b]
        return None if a != b and (self._cuts[a] or self._cuts[b]) else delay

    def datagram(self, now: float, a: str, b: str) -> float | None:
        """Return the delay (s) of a datagram between proxies of these zones; None if it is lost."""
        network = self._network
        # Both are drawn in any case, so that a datagram's fate does not change the draws of the next.
        lost = self._datagrams.random() < network.peer_loss
        late = self._datagrams.uniform(*network.peer_delay_ms) / 1e3
        return None if lost or not network.peers or self.delay(now, a, b) is None else late

    def cut(self, now: float, zone: str) -> None:
        """Cut a zone off from the others; traffic within the zone continues."""
        self._cuts[zone] += 1

    def heal(self, now: float, zone: str) -> None:
        """End one cut of this zone."""
        self._cuts[zone] = max(0, self._cuts[zone] - 1)
