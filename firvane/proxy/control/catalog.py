"""The snapshots of all groups, with their history and the causes of each change.

1. A snapshot is made only once there is a server list, and never without a backend.
2. A snapshot that removes a backend is urgent: its `urgent` number is higher.
3. The last `HISTORY_LIMIT` assignments of a group are stored, so that operators can compare two of them.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from firvane.core import interface as api
from firvane.proxy.control import resource_codec, route_settings
from firvane.proxy.control.types import (
    UNKNOWN_ZONE,
    Assignment,
    BackendEstimate,
    Locality,
    Resource,
    ResourceType,
    Snapshot,
)
from firvane.proxy.control.weights import divide, is_significant_change

HISTORY_LIMIT = 64
SHRINK_FACTOR = 4


class Entry(NamedTuple):
    """One assignment of a group in its history."""

    serial: int
    at: float  # Unix time
    number: int  # version of the server list
    version: str  # of its endpoints
    assignment: Assignment
    causes: tuple[str, ...]


class Catalog:
    """The snapshots of all groups."""

    def __init__(self, service: str, zones: Sequence[str], settings: api.Settings) -> None:
        self.service = service
        self.zones = tuple(zones)
        self.settings = settings
        self.states: dict[int, Snapshot] = {}
        self.history: dict[int, deque[Entry]] = {}
        self.serial = 0
        self.urgent = 0
        self.causes: tuple[str, ...] = ()  # of the last change
        self._assignments: dict[int, Assignment] = {}
        self._due: dict[int, Entry] = {}  # computed, and not encoded yet
        self._endpoints = {
            zone: resource_codec.Endpoints(self.zones) for zone in (UNKNOWN_ZONE, *range(len(zones)))
        }
        self._backends: tuple[BackendEstimate, ...] = ()
        self._limits: dict[int, int] = {}
        self._fixed: dict[ResourceType, list[Resource]] = {}
        self._stale = True
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply other settings; what depends on them is sent with the next snapshot."""
        self.settings = settings
        name = self.service
        routes = route_settings.routes(settings)
        keyed = settings.key_affinity
        self._fixed = {
            ResourceType.LISTENER: [resource_codec.listener(name, name)],
            ResourceType.ROUTES: [resource_codec.route_configuration(name, name, routes, keyed)],
        }
        self._stale = True  # all groups get a new snapshot

    def zone_of(self, name: str) -> int:
        """The number of a zone by name; UNKNOWN_ZONE if it is not configured."""
        return self.zones.index(name) if name in self.zones else UNKNOWN_ZONE

    @property
    def has_assignments(self) -> bool:
        """Whether any assignment has been computed."""
        return bool(self._assignments)

    def localities(self, zone: int) -> tuple[Locality, ...]:
        """The localities of the last assignment of a group."""
        assignment = self._assignments.get(zone) or self._assignments.get(UNKNOWN_ZONE)
        return assignment.localities if assignment else ()

    def snapshot(self, zone: int) -> Snapshot | None:
        """The current snapshot of a group; None until there is a server list."""
        zone = zone if zone in self._assignments else UNKNOWN_ZONE
        if due := self._due.pop(zone, None):
            self._publish(zone, due)
        return self.states.get(zone)

    def make(
        self,
        backends: Sequence[BackendEstimate],
        demand: Mapping[int, float],
        largest: Mapping[int, float],
        number: int,
        at: float,
    ) -> list[int]:
        """Compute the assignments, and return the groups whose assignment changes; `at` is Unix time.

        An assignment is encoded when it is first needed: most groups may have no receiver.
        """
        if not backends:
            return []
        divided = divide(backends, demand)
        changed = {
            zone: assignment for zone, assignment in divided.items()
            if zone in self._endpoints and (
                self._stale or zone not in self._assignments
                or is_significant_change(self._assignments.get(zone), assignment)
                or self._limit(zone, backends, largest) != self._limits.get(zone)
            )
        }  # fmt: skip
        if not changed:
            return []
        causes = self.causes = reasons(self._backends, backends)
        self._backends = tuple(backends)
        self._stale = False
        self.serial += 1
        if any(
            old and old.backends() - changed[zone].backends()
            for zone in changed
            if (old := self._assignments.get(zone))
        ):
            self.urgent += 1
        for zone, assignment in changed.items():
            self._limits[zone] = self._limit(zone, backends, largest)
            self._assignments[zone] = assignment
            self._due[zone] = Entry(self.serial, at, number, "", assignment, causes)
        return list(changed)

    def _limit(self, zone: int, backends: Sequence[BackendEstimate], largest: Mapping[int, float]) -> int:
        """The limit of open requests; lowered only if it is far too high, as it changes the cluster."""
        wanted = route_settings.max_open_requests(backends, largest.get(zone, 0.0) or 1.0)
        old = self._limits.get(zone, 0)
        return wanted if wanted > old or old >= SHRINK_FACTOR * wanted else old

    def _publish(self, zone: int, due: Entry) -> None:
        settings = self.settings
        name = self.service
        found = resource_codec.by_kind(
            {
                **self._fixed,
                ResourceType.CLUSTER: [
                    resource_codec.cluster(
                        name,
                        settings.key_affinity,
                        self._limits[zone],
                        settings.limits.connect_timeout,
                    )
                ],
                ResourceType.ENDPOINTS: [self._endpoints[zone].make(name, due.assignment)],
            }
        )
        versions = {kind: resource_codec.set_version(found[kind]) for kind in ResourceType}
        self.states[zone] = Snapshot(found, versions, due.number, self.urgent, due.causes)
        history = self.history.setdefault(zone, deque(maxlen=HISTORY_LIMIT))
        version = found[ResourceType.ENDPOINTS][name].version
        history.append(due._replace(version=version))

    def entry(self, zone: int, version: str) -> Entry | None:
        """The entry of a group with a serial number or a version of its endpoints; None if there is none."""
        for entry in self.history.get(zone, ()):
            if version in (str(entry.serial), entry.version, f"{entry.number}.{entry.version}"):
                return entry
        return None


def reasons(before: Sequence[BackendEstimate], after: Sequence[BackendEstimate]) -> tuple[str, ...]:
    """The causes of a change, by backend; `weights` if only those differ."""
    old = {backend.name: backend for backend in before}
    new = {backend.name: backend for backend in after}
    found = [f"{name} gone or draining" for name in old if name not in new]
    for name, backend in new.items():
        was = old.get(name)
        if was is None:
            found.append(f"{name} listed, cold" if before and backend.warming_up else f"{name} listed")
        elif backend.address != was.address:
            found.append(f"{name} moved")
        elif backend.ejected != was.ejected:
            found.append(f"{name} doubted" if backend.ejected else f"{name} trusted again")
        elif backend.warming_up != was.warming_up:
            found.append(f"{name} restarted" if backend.warming_up else f"{name} warm")
    return tuple(found) or ("weights",)


def differences(before: Assignment, after: Assignment, zones: Sequence[str]) -> list[str]:
    """The differences of two assignments, one line each, with names of backends and zones."""
    found = []

    def zone_name(number: int) -> str:
        return zones[number] if 0 <= number < len(zones) else "no zone"

    for number in sorted({one.zone for one in (*before.localities, *after.localities)}):
        old = next((one for one in before.localities if one.zone == number), None)
        new = next((one for one in after.localities if one.zone == number), None)
        weights = old.weight if old else 0, new.weight if new else 0
        if weights[0] != weights[1]:
            found.append(f"zone {zone_name(number)}: weight {weights[0]} to {weights[1]}")
        was = {endpoint.backend: endpoint for endpoint in old.endpoints} if old else {}
        now = {endpoint.backend: endpoint for endpoint in new.endpoints} if new else {}
        for backend in sorted(was.keys() | now.keys()):
            a, b = was.get(backend), now.get(backend)
            if a is None and b is not None:
                found.append(f"{backend}: added, weight {b.weight}, {b.health.value}")
            elif a is not None and b is None:
                found.append(f"{backend}: taken away, weight was {a.weight}")
            elif a is not None and b is not None and a != b:
                parts = [f"weight {a.weight} to {b.weight}"] if a.weight != b.weight else []
                parts += [f"{a.health.value} to {b.health.value}"] if a.health != b.health else []
                parts += [f"moved to {b.address[0]}:{b.address[1]}"] if a.address != b.address else []
                found.append(f"{backend}: {', '.join(parts)}")
    if before.dropped != after.dropped:
        found.append(f"dropped: {before.dropped / 100:g} to {after.dropped / 100:g} in 100")
    return found
