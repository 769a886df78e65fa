"""The choice of the peers to which items are sent, by zones. Does no I/O."""

from __future__ import annotations

import random
from collections.abc import Iterable

from msgspec import Struct

from firvane.core.address import Address

FANOUT = 3
"""Number of members to which an update is forwarded."""
MAX_SOURCES = 8
"""Maximum number of peers with fast links to which a publisher pushes first."""
OWN_ZONE_RATIO = 0.6
"""Ratio of the digests that are sent within the same zone, where traffic is cheap."""
OTHER_ZONE_RATIO = 0.25
"""Ratio of the forwarded updates of which one message goes to another zone, which may lack the update."""


class Peer(Struct, frozen=True):
    """A live member to which items may be sent."""

    address: Address
    zone: str
    is_source: bool = False
    """Whether the peer has a fast link, so that large payloads are preferably fetched from it."""


class PeerSet:
    """The live members at one moment, by zone."""

    def __init__(
        self, own_zone: str, peers: Iterable[Peer], successor: Address | None, is_source: bool = False
    ) -> None:
        """`is_source`: this process has a fast link: it fetches from announcers, and pushes to sources."""
        self._is_source = is_source
        self._near: list[Address] = []
        self._far: dict[str, list[Address]] = {}
        self._successor = successor
        self._sources: dict[str, list[Address]] = {}
        for peer in peers:
            if peer.is_source:
                self._sources.setdefault(peer.zone, []).append(peer.address)
            if peer.zone == own_zone:
                self._near.append(peer.address)
            else:
                self._far.setdefault(peer.zone, []).append(peer.address)
        self._own_sources = [] if is_source else self._sources.get(own_zone, [])
        self._near_set = frozenset(self._near)
        self._far_all = [address for zone in self._far.values() for address in zone]
        self._all_sources = sorted(address for zone in self._sources.values() for address in zone)

    def publish_targets(self, rng: random.Random) -> list[Address]:
        """Return sources, peers in up to `FANOUT` zones without a source, and peers in the same zone."""
        targets = self._random_sources(rng)
        zones = [zone for zone in self._far if zone not in self._sources]
        rng.shuffle(zones)
        targets += [rng.choice(self._far[zone]) for zone in zones[:FANOUT]]
        return targets + self._nearby_peers(rng, max(1, FANOUT - len(targets)), targets)

    def forward_targets(self, rng: random.Random, source: Address, is_early: bool = False) -> list[Address]:
        """Return the peers to which an update from `source` is forwarded, mostly in the same zone.

        If it `is_early`, its payload has not arrived yet: the peers are in the same zone only, since they
        must fetch the payload from a source there.
        """
        targets = self._nearby_peers(rng, FANOUT, [source])
        if is_early:
            return [target for target in targets if target in self._near_set]
        if self._is_source:
            return [to for to in dict.fromkeys([*self._random_sources(rng), *targets]) if to != source]
        if self._far_all and (len(targets) < FANOUT or rng.random() < OTHER_ZONE_RATIO):
            far = rng.sample(self._far_all, min(len(self._far_all), 2))
            targets = targets[: FANOUT - 1] + [target for target in far if target != source][:1]
        return targets

    @property
    def has_source(self) -> bool:
        """Whether there is a source in the same zone from which large payloads are fetched."""
        return bool(self._own_sources)

    def fetch_source(self, rng: random.Random) -> Address | None:
        """Return a random source in the same zone, preferred for fetching large payloads, or None."""
        return rng.choice(self._own_sources) if self._own_sources else None

    def digest_target(self, rng: random.Random) -> Address | None:
        """Return a random peer with which to compare versions, or None."""
        is_near = self._near and (not self._far_all or rng.random() < OWN_ZONE_RATIO)
        candidates = self._near if is_near else self._far_all
        return rng.choice(candidates) if candidates else None

    def report_target(self, turn: int) -> Address | None:
        """Return the peer with a fast link to which the report number `turn` goes, or None."""
        return self._all_sources[turn % len(self._all_sources)] if self._all_sources else None

    def _random_sources(self, rng: random.Random) -> list[Address]:
        sources = [address for zone in self._sources.values() for address in zone]
        return rng.sample(sources, min(len(sources), MAX_SOURCES))

    def _nearby_peers(self, rng: random.Random, count: int, exclude: list[Address]) -> list[Address]:
        """Return the successor in the ring first, then random peers in the same zone."""
        targets = []
        if self._successor is not None and self._successor not in exclude:
            targets.append(self._successor)
        for address in rng.sample(self._near, min(len(self._near), count + 2)):
            if len(targets) < count and address not in exclude and address not in targets:
                targets.append(address)
        return targets[:count]
