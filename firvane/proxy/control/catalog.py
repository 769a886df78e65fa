"""What each group is told: made from the module's beliefs, kept with its history and the reasons.

Rules that hold here and nowhere else:

1. A state is made only once there is a list, and never without a box: until then nothing is told.
2. A state that takes a box away is urgent, and says so by its number.
3. The last `HISTORY` states of a group are kept as words, so that two of them can be compared later.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from firvane.core import interface as api
from firvane.proxy.control import resource_codec, route_settings
from firvane.proxy.control.types import NOWHERE, Assignment, Box, Kind, Locality, Resource, State
from firvane.proxy.control.weights import divide, is_news

HISTORY = 64


class Entry(NamedTuple):
    """One state of a group, in words."""

    serial: int
    at: float  # Unix time
    number: int  # of the list
    version: str  # of its endpoints
    assignment: Assignment
    causes: tuple[str, ...]


class Catalog:
    """The states of all groups."""

    def __init__(self, service: str, zones: Sequence[str], settings: api.Settings) -> None:
        self.service, self.zones, self.settings = service, tuple(zones), settings
        self.states: dict[int, State] = {}
        self.history: dict[int, deque[Entry]] = {}
        self.serial = 0
        self.urgent = 0
        self.causes: tuple[str, ...] = ()  # of the last change
        self._told: dict[int, Assignment] = {}
        self._due: dict[int, Entry] = {}  # worked out, and not made into resources yet
        self._endpoints = {
            zone: resource_codec.Endpoints(self.zones) for zone in (NOWHERE, *range(len(zones)))
        }
        self._boxes: tuple[Box, ...] = ()
        self._bounds: dict[int, int] = {}
        self._fixed: dict[Kind, list[Resource]] = {}
        self._stale = True
        self.retune(settings)

    def retune(self, settings: api.Settings) -> None:
        """Other settings: what depends on them alone is made anew, and told with the next state."""
        self.settings, name = settings, self.service
        routes, keyed = route_settings.routes(settings), settings.key_affinity
        self._fixed = {
            Kind.LISTENER: [resource_codec.listener(name, name)],
            Kind.ROUTES: [resource_codec.route_configuration(name, name, routes, keyed)],
        }
        self._stale = True  # all groups are to hear of it

    def zone_of(self, name: str) -> int:
        """The group of a receiver that says it stands there."""
        return self.zones.index(name) if name in self.zones else NOWHERE

    @property
    def has_list(self) -> bool:
        """Whether anything has been worked out to be told."""
        return bool(self._told)

    def told(self, zone: int) -> tuple[Locality, ...]:
        """What a group was told last of its boxes."""
        assignment = self._told.get(zone) or self._told.get(NOWHERE)
        return assignment.localities if assignment else ()

    def state(self, zone: int) -> State | None:
        """What a group is told now; None while there is no list."""
        zone = zone if zone in self._told else NOWHERE
        if due := self._due.pop(zone, None):
            self._publish(zone, due)
        return self.states.get(zone)

    def make(
        self,
        boxes: Sequence[Box],
        demand: Mapping[int, float],
        largest: Mapping[int, float],
        number: int,
        at: float,
    ) -> list[int]:
        """Work out what each group is to be told; those that are to hear of it. `at` is Unix time.

        What is worked out becomes resources when somebody asks for it: most groups may have no receiver.
        """
        if not boxes:
            return []
        divided = divide(boxes, demand)
        news = {
            zone: assignment for zone, assignment in divided.items()
            if zone in self._endpoints and (
                self._stale or zone not in self._told or is_news(self._told.get(zone), assignment)
                or self._bound(zone, boxes, largest) != self._bounds.get(zone)
            )
        }  # fmt: skip
        if not news:
            return []
        causes = self.causes = reasons(self._boxes, boxes)
        self._boxes, self._stale = tuple(boxes), False
        self.serial += 1
        if any(old and old.boxes() - news[zone].boxes() for zone in news if (old := self._told.get(zone))):
            self.urgent += 1
        for zone, assignment in news.items():
            self._bounds[zone] = self._bound(zone, boxes, largest)
            self._told[zone] = assignment
            self._due[zone] = Entry(self.serial, at, number, "", assignment, causes)
        return list(news)

    def _bound(self, zone: int, boxes: Sequence[Box], largest: Mapping[int, float]) -> int:
        """Grown at once, shrunk only when four times too large: each change makes a cluster anew."""
        wanted, old = route_settings.bound(boxes, largest.get(zone, 0.0) or 1.0), self._bounds.get(zone, 0)
        return wanted if wanted > old or old >= 4 * wanted else old

    def _publish(self, zone: int, due: Entry) -> None:
        settings, name = self.settings, self.service
        found = resource_codec.by_kind(
            {
                **self._fixed,
                Kind.CLUSTER: [
                    resource_codec.cluster(
                        name,
                        settings.key_affinity,
                        self._bounds[zone],
                        settings.limits.connect_timeout,
                    )
                ],
                Kind.ENDPOINTS: [self._endpoints[zone].make(name, due.assignment)],
            }
        )
        versions = {kind: resource_codec.set_version(found[kind]) for kind in Kind}
        self.states[zone] = State(found, versions, due.number, self.urgent, due.causes)
        kept = self.history.setdefault(zone, deque(maxlen=HISTORY))
        version = found[Kind.ENDPOINTS][name].version
        kept.append(due._replace(version=version))

    def entry(self, zone: int, version: str) -> Entry | None:
        """The state of a group by its serial number or the version of its endpoints."""
        for entry in self.history.get(zone, ()):
            if version in (str(entry.serial), entry.version, f"{entry.number}.{entry.version}"):
                return entry
        return None


def reasons(before: Sequence[Box], after: Sequence[Box]) -> tuple[str, ...]:
    """Why one differs from the other, box by box; `weights` where only those differ."""
    old, new = {box.name: box for box in before}, {box.name: box for box in after}
    found = [f"{name} gone or draining" for name in old if name not in new]
    for name, box in new.items():
        was = old.get(name)
        if was is None:
            found.append(f"{name} listed, cold" if before and box.cold else f"{name} listed")
        elif box.address != was.address:
            found.append(f"{name} moved")
        elif box.doubted != was.doubted:
            found.append(f"{name} doubted" if box.doubted else f"{name} trusted again")
        elif box.cold != was.cold:
            found.append(f"{name} restarted" if box.cold else f"{name} warm")
    return tuple(found) or ("weights",)


def differences(before: Assignment, after: Assignment, zones: Sequence[str]) -> list[str]:
    """What is another, a line each: boxes by name, zones by theirs."""
    found = []

    def zone_name(number: int) -> str:
        return zones[number] if 0 <= number < len(zones) else "no zone"

    for number in sorted({one.zone for one in (*before.localities, *after.localities)}):
        old = next((one for one in before.localities if one.zone == number), None)
        new = next((one for one in after.localities if one.zone == number), None)
        weights = old.weight if old else 0, new.weight if new else 0
        if weights[0] != weights[1]:
            found.append(f"zone {zone_name(number)}: weight {weights[0]} to {weights[1]}")
        was = {place.box: place for place in old.places} if old else {}
        now = {place.box: place for place in new.places} if new else {}
        for box in sorted(was.keys() | now.keys()):
            a, b = was.get(box), now.get(box)
            if a is None and b is not None:
                found.append(f"{box}: added, weight {b.weight}, {b.health.value}")
            elif a is not None and b is None:
                found.append(f"{box}: taken away, weight was {a.weight}")
            elif a is not None and b is not None and a != b:
                parts = [f"weight {a.weight} to {b.weight}"] if a.weight != b.weight else []
                parts += [f"{a.health.value} to {b.health.value}"] if a.health != b.health else []
                parts += [f"moved to {b.address[0]}:{b.address[1]}"] if a.address != b.address else []
                found.append(f"{box}: {', '.join(parts)}")
    if before.dropped != after.dropped:
        found.append(f"dropped: {before.dropped / 100:g} to {after.dropped / 100:g} in 100")
    return found
