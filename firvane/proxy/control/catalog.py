"""The current snapshots of all groups, their history and the causes of each change.

1. No snapshot is made before the first server list, nor without a backend.
2. A snapshot that removes a backend is urgent: its `urgent` number is higher than the previous one.
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
from firvane.proxy.control.weights import compute_assignments, is_significant_change

HISTORY_LIMIT = 64
SHRINK_FACTOR = 4


class Entry(NamedTuple):
    """One assignment in the history of a group."""

    serial: int
    at: float  # Unix time
    list_version: int
    version: str  # of the endpoints resource
    assignment: Assignment
    causes: tuple[str, ...]


class Catalog:
    """Computes and stores the snapshots of all groups; a group is identified by its zone number."""

    def __init__(self, service: str, zones: Sequence[str], settings: api.Settings) -> None:
        self.service = service
        self.zones = tuple(zones)
        self.settings = settings
        self.snapshots: dict[int, Snapshot] = {}
        self.history: dict[int, deque[Entry]] = {}
        self.serial = 0
        self.urgent = 0
        self.causes: tuple[str, ...] = ()  # of the last change
        self._assignments: dict[int, Assignment] = {}
        self._unencoded: dict[int, Entry] = {}  # assignments that are computed but not encoded yet
        self._endpoint_encoders = {
            zone: resource_codec.EndpointsEncoder(self.zones) for zone in (UNKNOWN_ZONE, *range(len(zones)))
        }
        self._backends: tuple[BackendEstimate, ...] = ()
        self._request_limits: dict[int, int] = {}
        self._static_resources: dict[ResourceType, list[Resource]] = {}
        self._settings_changed = True
        self.apply_settings(settings)

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply reloaded settings; all groups get a new snapshot with the next `recompute`."""
        self.settings = settings
        name = self.service
        routes = route_settings.routes(settings)
        keyed = settings.key_affinity
        self._static_resources = {
            ResourceType.LISTENER: [resource_codec.listener(name, name)],
            ResourceType.ROUTES: [resource_codec.route_configuration(name, name, routes, keyed)],
        }
        self._settings_changed = True

    def zone_of(self, name: str) -> int:
        """Return the number of a zone by name; UNKNOWN_ZONE if it is not configured."""
        return self.zones.index(name) if name in self.zones else UNKNOWN_ZONE

    @property
    def has_assignments(self) -> bool:
        """Whether any assignment has been computed."""
        return bool(self._assignments)

    def localities(self, zone: int) -> tuple[Locality, ...]:
        """Return the localities of the last assignment of a group."""
        assignment = self._assignments.get(zone) or self._assignments.get(UNKNOWN_ZONE)
        return assignment.localities if assignment else ()

    def snapshot(self, zone: int) -> Snapshot | None:
        """Return the current snapshot of a group; None until there is a server list."""
        zone = zone if zone in self._assignments else UNKNOWN_ZONE
        if entry := self._unencoded.pop(zone, None):
            self._publish(zone, entry)
        return self.snapshots.get(zone)

    def recompute(
        self,
        backends: Sequence[BackendEstimate],
        demand: Mapping[int, float],
        largest: Mapping[int, float],
        list_version: int,
        at: float,
    ) -> list[int]:
        """Compute the assignments, and return the groups whose assignment changes; `at` is Unix time.

        An assignment is encoded when it is first requested: most groups may have no receiver.
        """
        if not backends:
            return []
        assignments = compute_assignments(backends, demand)
        changed = {
            zone: assignment for zone, assignment in assignments.items()
            if zone in self._endpoint_encoders and (
                self._settings_changed or zone not in self._assignments
                or is_significant_change(self._assignments.get(zone), assignment)
                or self._request_limit(zone, backends, largest) != self._request_limits.get(zone)
            )
        }  # fmt: skip
        if not changed:
            return []
        causes = self.causes = change_causes(self._backends, backends)
        self._backends = tuple(backends)
        self._settings_changed = False
        self.serial += 1
        if any(
            old and old.backends() - changed[zone].backends()
            for zone in changed
            if (old := self._assignments.get(zone))
        ):
            self.urgent += 1
        for zone, assignment in changed.items():
            self._request_limits[zone] = self._request_limit(zone, backends, largest)
            self._assignments[zone] = assignment
            self._unencoded[zone] = Entry(self.serial, at, list_version, "", assignment, causes)
        return list(changed)

    def _request_limit(
        self, zone: int, backends: Sequence[BackendEstimate], largest: Mapping[int, float]
    ) -> int:
        """Return the limit of open requests; lowered only by `SHRINK_FACTOR`, as it changes the cluster."""
        wanted = route_settings.max_open_requests(backends, largest.get(zone, 0.0) or 1.0)
        current = self._request_limits.get(zone, 0)
        return wanted if wanted > current or current >= SHRINK_FACTOR * wanted else current

    def _publish(self, zone: int, entry: Entry) -> None:
        settings = self.settings
        name = self.service
        resources = resource_codec.index_by_type(
            {
                **self._static_resources,
                ResourceType.CLUSTER: [
                    resource_codec.cluster(
                        name,
                        settings.key_affinity,
                        self._request_limits[zone],
                        settings.limits.connect_timeout,
                    )
                ],
                ResourceType.ENDPOINTS: [self._endpoint_encoders[zone].encode(name, entry.assignment)],
            }
        )
        versions = {kind: resource_codec.collection_version(resources[kind]) for kind in ResourceType}
        self.snapshots[zone] = Snapshot(resources, versions, entry.list_version, self.urgent, entry.causes)
        history = self.history.setdefault(zone, deque(maxlen=HISTORY_LIMIT))
        version = resources[ResourceType.ENDPOINTS][name].version
        history.append(entry._replace(version=version))

    def entry(self, zone: int, version: str) -> Entry | None:
        """Return the entry of a group with a serial number or an endpoints version; None if there is none."""
        for entry in self.history.get(zone, ()):
            if version in (str(entry.serial), entry.version, f"{entry.list_version}.{entry.version}"):
                return entry
        return None


def change_causes(before: Sequence[BackendEstimate], after: Sequence[BackendEstimate]) -> tuple[str, ...]:
    """Return the causes of a change, by backend; `weights` if only weights differ."""
    old = {backend.name: backend for backend in before}
    new = {backend.name: backend for backend in after}
    causes = [f"{name} gone or draining" for name in old if name not in new]
    for name, backend in new.items():
        old_backend = old.get(name)
        if old_backend is None:
            causes.append(f"{name} listed, cold" if before and backend.warming_up else f"{name} listed")
        elif backend.address != old_backend.address:
            causes.append(f"{name} moved")
        elif backend.ejected != old_backend.ejected:
            causes.append(f"{name} doubted" if backend.ejected else f"{name} trusted again")
        elif backend.warming_up != old_backend.warming_up:
            causes.append(f"{name} restarted" if backend.warming_up else f"{name} warm")
    return tuple(causes) or ("weights",)


def differences(before: Assignment, after: Assignment, zones: Sequence[str]) -> list[str]:
    """Return the differences between two assignments, one line each, with names of backends and zones."""
    lines = []

    def zone_name(number: int) -> str:
        return zones[number] if 0 <= number < len(zones) else "no zone"

    for number in sorted({locality.zone for locality in (*before.localities, *after.localities)}):
        old = next((locality for locality in before.localities if locality.zone == number), None)
        new = next((locality for locality in after.localities if locality.zone == number), None)
        zone_weights = old.weight if old else 0, new.weight if new else 0
        if zone_weights[0] != zone_weights[1]:
            lines.append(f"zone {zone_name(number)}: weight {zone_weights[0]} to {zone_weights[1]}")
        old_endpoints = {endpoint.backend: endpoint for endpoint in old.endpoints} if old else {}
        new_endpoints = {endpoint.backend: endpoint for endpoint in new.endpoints} if new else {}
        for backend in sorted(old_endpoints.keys() | new_endpoints.keys()):
            prior, current = old_endpoints.get(backend), new_endpoints.get(backend)
            if prior is None and current is not None:
                lines.append(f"{backend}: added, weight {current.weight}, {current.health.value}")
            elif prior is not None and current is None:
                lines.append(f"{backend}: taken away, weight was {prior.weight}")
            elif prior is not None and current is not None and prior != current:
                parts = (
                    [f"weight {prior.weight} to {current.weight}"] if prior.weight != current.weight else []
                )
                parts += (
                    [f"{prior.health.value} to {current.health.value}"]
                    if prior.health != current.health
                    else []
                )
                parts += (
                    [f"moved to {current.address[0]}:{current.address[1]}"]
                    if prior.address != current.address
                    else []
                )
                lines.append(f"{backend}: {', '.join(parts)}")
    if before.dropped != after.dropped:
        lines.append(f"dropped: {before.dropped / 100:g} to {after.dropped / 100:g} in 100")
    return lines
