"""Service discovery with delays: the list of backends as each proxy has received it.

Invariants of this module:

1. The list covers processes only: running, draining or removed. A silent machine's process counts as running.
2. All changes have one order. Every proxy receives all of them in that order, each after a delay of its own.
3. A version is the number of changes up to it, so two proxies at one version know the same list.
4. Callers call `due` before they write to a proxy; `snapshot` and `since` cover only what `due` returned.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from firvane.simulation.emulation.scenario import Network
from firvane.simulation.emulation.seeded_random import mix, named, part


class Change(NamedTuple):
    """One change of the list; a backend's last change is its entry."""

    version: int  # from 1
    at: float  # when it happened, not when proxies received it
    box: str
    zone: str
    kind: str
    state: str  # "up", "draining" or "removed"
    start: int  # number of the backend's start, from 0
    since: float | None  # time of that start, in s of the rehearsal; None for long ago


class Registry:
    """The list and its delays, which are drawn from `seed` by change and proxy name."""

    def __init__(self, seed: int, network: Network) -> None:
        self._seed = named(seed, "discovery")
        self._delay_s = network.discovery_late_s
        self._changes: list[Change] = []
        self._entries: dict[str, Change] = {}
        self._known_from_start = 0  # number of changes that all proxies know from the start
        self._received: dict[str, int] = {}
        self._snapshots: dict[int, list[Change]] = {}

    @property
    def version(self) -> int:
        """The current version of the list, without delays."""
        return len(self._changes)

    def change(
        self, now: float, box: str, state: str, zone: str = "", kind: str = "", start: int = 0,
        since: float | None = None,
    ) -> Change:  # fmt: skip
        """Record that a backend is now "up", "draining" or "removed".

        `zone` and `kind` are needed only the first time (KeyError for a backend that was never up), `start`
        and `since` whenever it is up."""
        if state != "up" or not zone:
            last = self._entries[box]
            zone, kind = last.zone, last.kind
            if state != "up":
                start, since = last.start, last.since
        new = Change(len(self._changes) + 1, now, box, zone, kind, state, start, since)
        self._changes.append(new)
        self._entries[box] = new
        return new

    def begin(self) -> None:
        """Mark all changes so far as known to all proxies long ago."""
        self._known_from_start = len(self._changes)

    def due(self, proxy: str, now: float) -> list[Change]:
        """Return the changes that this proxy receives now, in order; each change once."""
        received = before = self._received.get(proxy, self._known_from_start)
        while self._received_at(proxy, received) <= now:
            received += 1
        self._received[proxy] = received
        return self._changes[before:received]

    def next_at(self, proxy: str) -> float:
        """Return when this proxy receives its next change; inf if there is none."""
        return self._received_at(proxy, self._received.get(proxy, self._known_from_start))

    def snapshot(self, proxy: str, now: float) -> tuple[int, list[Change]]:
        """Return the version that this proxy has received, and the entries of backends that remain in it."""
        received = self._received.get(proxy, self._known_from_start)
        if received not in self._snapshots:
            last = {change.box: change for change in self._changes[:received]}
            # Proxies request few versions; keeping the latest serves all proxies that start together.
            self._snapshots = {received: [change for change in last.values() if change.state != "removed"]}
        return received, self._snapshots[received]

    def since(self, proxy: str, version: int) -> list[Change] | None:
        """Return the changes this proxy received after `version`; None if it needs a full list because it
        never received that version."""
        received = self._received.get(proxy, self._known_from_start)
        return self._changes[version:received] if 0 < version <= received else None

    def _received_at(self, proxy: str, place: int) -> float:
        """Return when a proxy may receive the change at this place, by its drawn delay. `due` keeps order."""
        if place >= len(self._changes):
            return inf
        change = self._changes[place]
        low, high = self._delay_s
        return change.at + low + (high - low) * part(mix(named(self._seed, proxy) ^ change.version))
