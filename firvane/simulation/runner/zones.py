"""How long what goes from host to host is on its way. A host is an address without its port."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol


class Network(Protocol):
    """What the links in memory ask."""

    def delay(self, now: float, source: str, target: str) -> float | None:
        """Seconds for what is sent now on a connection; None while the way is cut."""

    def datagram(self, now: float, source: str, target: str) -> float | None:
        """Seconds for a datagram sent now; None where it is lost."""


class Same:
    """A network in which all hosts are as far from one another, in seconds."""

    def __init__(self, seconds: float = 0.0) -> None:
        self.seconds = seconds

    def delay(self, now: float, source: str, target: str) -> float | None:
        return self.seconds

    def datagram(self, now: float, source: str, target: str) -> float | None:
        return self.seconds


class ZoneLinks(Protocol):
    """Ways between zones, as the model of the network gives them, in seconds."""

    def delay(self, now: float, a: str, b: str) -> float | None: ...

    def datagram(self, now: float, a: str, b: str) -> float | None: ...


class Zones:
    """The network of a model that knows zones, for hosts that stand in one each.

    A host of no zone stands where the other one does. Hosts that are `silent` hear and say nothing. Where
    datagrams are `relayed`, the relay makes them late, and here they only take as long as bytes do.
    """

    def __init__(self, links: ZoneLinks, zones: Mapping[str, str], relayed: bool = False) -> None:
        self.links, self.zones, self.relayed = links, zones, relayed
        self.silent: dict[str, None] = {}

    def delay(self, now: float, source: str, target: str) -> float | None:
        if self.silent and (source in self.silent or target in self.silent):
            return None
        a, b = self.zones.get(source), self.zones.get(target)
        if source == target or not (a or b):
            return 0.0
        return self.links.delay(now, a or b or "", b or a or "")

    def datagram(self, now: float, source: str, target: str) -> float | None:
        delay = self.delay(now, source, target)
        a, b = self.zones.get(source), self.zones.get(target)
        if delay is None or self.relayed or not (a and b):
            return delay
        return self.links.datagram(now, a, b)
