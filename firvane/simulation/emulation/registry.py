"""The late list: which boxes there are, as each proxy has been told.

Rules that hold here and nowhere else:

1. It knows of processes alone: one that runs, drains, or is gone. To it a silent machine's still runs.
2. There is one order of changes. Every proxy is told all of them in it, each late by a delay of its own.
3. A version is the number of changes up to it, so two proxies of one version know the same.
4. Whoever writes to a proxy asks `due` first; `snapshot` and `since` hold what `due` has handed out.
"""

from __future__ import annotations

from math import inf
from typing import NamedTuple

from firvane.simulation.emulation.scenario import Network
from firvane.simulation.emulation.seeded_random import mix, named, part


class Change(NamedTuple):
    """One change of the list; the last one of a box is its entry."""

    version: int  # from 1
    at: float  # when it came about, not when anybody was told
    box: str
    zone: str
    kind: str
    state: str  # "up", "draining" or "removed"
    start: int  # which start of the box, from 0
    since: float | None  # when that was, in s of the rehearsal; None for long ago


class Registry:
    """The list and its delays; `seed` draws those, for each change and proxy by name."""

    def __init__(self, seed: int, network: Network) -> None:
        self._seed = named(seed, "discovery")
        self._late = network.discovery_late_s
        self._changes: list[Change] = []
        self._of: dict[str, Change] = {}
        self._first = 0  # so many changes everybody knows from the start
        self._told: dict[str, int] = {}
        self._snapshots: dict[int, list[Change]] = {}

    @property
    def version(self) -> int:
        """Of the list as it truly is."""
        return len(self._changes)

    def change(
        self, now: float, box: str, state: str, zone: str = "", kind: str = "", start: int = 0,
        since: float | None = None,
    ) -> Change:  # fmt: skip
        """A box is "up" now, "draining" or "removed". Zone and kind are needed the first time alone (KeyError
        for a box that was never up), start and since whenever it is up."""
        if state != "up" or not zone:
            last = self._of[box]
            zone, kind = last.zone, last.kind
            if state != "up":
                start, since = last.start, last.since
        new = Change(len(self._changes) + 1, now, box, zone, kind, state, start, since)
        self._changes.append(new)
        self._of[box] = new
        return new

    def begin(self) -> None:
        """All changes up to here were told to everybody long ago."""
        self._first = len(self._changes)

    def due(self, proxy: str, now: float) -> list[Change]:
        """What this proxy is told now, in order; each change once."""
        told = begun = self._told.get(proxy, self._first)
        while self._told_at(proxy, told) <= now:
            told += 1
        self._told[proxy] = told
        return self._changes[begun:told]

    def next_at(self, proxy: str) -> float:
        """When this proxy is told something next; inf where all is told."""
        return self._told_at(proxy, self._told.get(proxy, self._first))

    def snapshot(self, proxy: str, now: float) -> tuple[int, list[Change]]:
        """The version that this proxy has been told, and an entry for each box that is not gone by it."""
        told = self._told.get(proxy, self._first)
        if told not in self._snapshots:
            last = {change.box: change for change in self._changes[:told]}
            # Proxies ask for few versions; keeping the latest serves a whole bank that starts at once.
            self._snapshots = {told: [change for change in last.values() if change.state != "removed"]}
        return told, self._snapshots[told]

    def since(self, proxy: str, version: int) -> list[Change] | None:
        """What this proxy was told after that version; None if it was never told so much, and needs the whole
        list."""
        told = self._told.get(proxy, self._first)
        return self._changes[version:told] if 0 < version <= told else None

    def _told_at(self, proxy: str, place: int) -> float:
        """When a proxy may be told the change at this place, by its draw. Order is for `due`: it asks of no
        change before it has told those ahead."""
        if place >= len(self._changes):
            return inf
        change = self._changes[place]
        low, high = self._late
        return change.at + low + (high - low) * part(mix(named(self._seed, proxy) ^ change.version))
