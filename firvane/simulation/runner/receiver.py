"""A stand-in for other people's proxies: an xDS client that routes as it was told, on no socket of its own.

Rules that hold here and nowhere else:

1. It speaks bytes: requests come out of `requests`, answers go into `hear`. Whoever drives it carries them.
2. It takes an answer or refuses it as a whole, and keeps what it had of what it refuses. `taste` says what it
   refuses: by default what it cannot read, an assignment of a cluster it was not told of, or routes to one.
3. A request goes by route, drops, zone by weight, then box by weight or by a ring of its key.
4. As a proxy it asks for all clusters, then for what they name; as a client without a proxy for one listener,
   and from there on by name.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable
from hashlib import blake2b
from itertools import accumulate
from random import Random
from typing import Any, NamedTuple

from envoy.config.cluster.v3 import cluster_pb2
from envoy.config.endpoint.v3 import endpoint_pb2, load_report_pb2
from envoy.config.listener.v3 import listener_pb2
from envoy.config.route.v3 import route_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.service.discovery.v3 import discovery_pb2
from envoy.service.load_stats.v3 import lrs_pb2

PREFIX = "type.googleapis.com/"
CLUSTER = f"{PREFIX}envoy.config.cluster.v3.Cluster"
ENDPOINTS = f"{PREFIX}envoy.config.endpoint.v3.ClusterLoadAssignment"
LISTENER = f"{PREFIX}envoy.config.listener.v3.Listener"
ROUTES = f"{PREFIX}envoy.config.route.v3.RouteConfiguration"
MESSAGES = {
    CLUSTER: cluster_pb2.Cluster,
    ENDPOINTS: endpoint_pb2.ClusterLoadAssignment,
    LISTENER: listener_pb2.Listener,
    ROUTES: route_pb2.RouteConfiguration,
}
OF = 100, 10_000, 1_000_000  # what parts are told in
RING = 1024  # entries of a ring of keys, if a cluster asks for none
UNHEALTHY = 2, 3, 4  # health values that get nothing: unhealthy, draining, time-out


class Way(NamedTuple):
    """Where a request is to go."""

    cluster: str
    address: tuple[str, int]
    zone: str
    timeout: float
    retries: int
    retry_on: str


class Gone(NamedTuple):
    """Why a request goes nowhere."""

    why: str  # "no route", "dropped", "no box"


class Table:
    """One cluster's boxes, ready to be picked from."""

    def __init__(self, assignment: Any, ring: int) -> None:
        self.drops = [
            (drop.category, drop.drop_percentage.numerator / OF[drop.drop_percentage.denominator])
            for drop in assignment.policy.drop_overloads
        ]
        self.zones: list[str] = []
        self.boxes: list[list[tuple[str, int]]] = []
        self.upto: list[list[int]] = []
        weights, every = [], []
        for locality in assignment.endpoints:
            well = [one for one in locality.lb_endpoints if one.health_status not in UNHEALTHY]
            if not well or not locality.load_balancing_weight.value:
                continue
            own = [one.load_balancing_weight.value or 1 for one in well]
            at = [(a.address, a.port_value) for a in (one.endpoint.address.socket_address for one in well)]
            self.zones.append(locality.locality.zone)
            self.boxes.append(at)
            self.upto.append(list(accumulate(own)))
            weights.append(locality.load_balancing_weight.value)
            whole, zone = weights[-1] / sum(own), locality.locality.zone
            every += [(where, whole * weight, zone) for where, weight in zip(at, own, strict=True)]
        self.weights = list(accumulate(weights))
        self.ring: list[tuple[int, tuple[str, int], str]] = []
        sum_of_all = sum(weight for _, weight, _ in every)
        for where, weight, zone in every if ring else ():
            for i in range(max(1, round(ring * weight / sum_of_all))):
                self.ring.append((_hash(f"{where[0]}:{where[1]}_{i}"), where, zone))
        self.ring.sort()
        self.points = [point for point, _, _ in self.ring]

    def all(self) -> set[tuple[str, int]]:
        return {at for boxes in self.boxes for at in boxes}

    def pick(self, key: str, dice: Random) -> tuple[tuple[str, int], str] | None:
        if not self.weights:
            return None
        if self.ring and key:
            _, where, zone = self.ring[bisect(self.points, _hash(key)) % len(self.ring)]
            return where, zone
        n = bisect(self.weights, dice.random() * self.weights[-1])
        upto = self.upto[n]
        return self.boxes[n][bisect(upto, dice.random() * upto[-1])], self.zones[n]


def _hash(text: str) -> int:
    return int.from_bytes(blake2b(text.encode(), digest_size=8).digest(), "big")


class Counts:
    """What was done at one box since the last report."""

    __slots__ = ("failed", "issued", "out", "served")

    def __init__(self) -> None:
        self.served = self.failed = self.issued = self.out = 0


class Receiver:
    """One of them. `seed` draws where requests without a key go, and drops."""

    def __init__(
        self,
        name: str,
        zone: str = "",
        *,
        target: str = "",
        routes: tuple[str, ...] = (),
        delta: bool = False,
        seed: int = 0,
        taste: Callable[[str, Any], str] | None = None,
    ) -> None:
        """With a `target` it is a client without a proxy that wants that listener; else a proxy, which asks
        for these `routes`, or for those named as its clusters.

        `taste` says why a resource, by its type's URL and its message, is refused; empty where it is not.
        """
        self.name, self.zone, self.target, self.delta = name, zone, target, delta
        self.routes = routes
        self.taste = taste or (lambda url, message: "")
        self.dice = Random(f"receiver/{seed}/{name}")
        self.resources: dict[str, dict[str, Any]] = {url: {} for url in MESSAGES}
        self.versions: dict[str, dict[str, str]] = {url: {} for url in MESSAGES}
        self.tables: dict[str, Table] = {}
        self.counts: dict[tuple[str, int], Counts] = {}
        self.dropped: dict[str, int] = {}  # by category
        self.again = 0  # further tries that are out
        self.zone_of: dict[tuple[str, int], str] = {}
        self.refused: list[str] = []
        self.heard = 0
        self._set: dict[str, str] = {}  # versions of whole sets
        self.connect()

    # The stream

    def connect(self) -> None:
        """A new stream: everything is asked for again, with the versions that it has."""
        self._nonce: dict[str, str] = {}
        self._asked: dict[str, set[str] | None] = {}
        self._out: list[bytes] = []
        if self.target:
            self._want(LISTENER, {self.target})
        else:
            self._want(CLUSTER, None)
        self._follow()

    def requests(self) -> list[bytes]:
        """What it wants to write, in order."""
        out, self._out = self._out, []
        return out

    def _node(self, request: Any) -> Any:
        if not self._asked:
            request.node.id = self.name
            request.node.user_agent_name = "stand-in"
            request.node.locality.zone = self.zone
        return request

    def _want(self, url: str, names: set[str] | None) -> None:
        """All that it wants of a type from now on; None is everything."""
        before = self._asked.get(url)
        if url in self._asked and before == names:
            return
        if self.delta:
            request = self._node(discovery_pb2.DeltaDiscoveryRequest(type_url=url))
            if url not in self._asked:
                kept = self.versions[url]
                request.initial_resource_versions.update(
                    {name: kept[name] for name in kept if names is None or name in names}
                )
            request.resource_names_subscribe.extend(sorted((names or set()) - (before or set())))
            request.resource_names_unsubscribe.extend(sorted((before or set()) - (names or set())))
        else:
            request = self._node(discovery_pb2.DiscoveryRequest(type_url=url))
            request.version_info = self._set.get(url, "")
            request.response_nonce = self._nonce.get(url, "")
            request.resource_names.extend(sorted(names or ()))
        for name in (before or set()) - (names or set()):
            self._drop(url, name)
        self._asked[url] = names
        self._out.append(request.SerializeToString())

    def hear(self, data: bytes) -> bool:
        """An answer; whether it was taken. What is to be said to it is in `requests`."""
        form = discovery_pb2.DeltaDiscoveryResponse if self.delta else discovery_pb2.DiscoveryResponse
        answer = form.FromString(data)
        url, why = answer.type_url, ""
        found: dict[str, tuple[Any, str]] = {}
        for one in answer.resources:
            body, version = (one.resource, one.version) if self.delta else (one, answer.version_info)
            message = MESSAGES[url].FromString(body.value)
            name = message.cluster_name if url == ENDPOINTS else message.name
            found[name] = message, version
            why = why or self.taste(url, message)
        self.heard += 1
        self._nonce[url] = answer.nonce
        if not why:
            self._take(url, found, answer)
        else:
            self.refused.append(why)
        self._answer(url, answer, why)
        if not why:
            self._follow()
        return not why

    def _take(self, url: str, found: dict[str, tuple[Any, str]], answer: Any) -> None:
        if self.delta:
            for name in answer.removed_resources:
                self._drop(url, name)
        else:
            self._set[url] = answer.version_info
            if url in (CLUSTER, LISTENER):
                for name in self.resources[url].keys() - found.keys():
                    self._drop(url, name)
        for name, (message, version) in found.items():
            self.resources[url][name], self.versions[url][name] = message, version
            if url in (ENDPOINTS, CLUSTER):
                self.tables.pop(name, None)

    def table(self, name: str) -> Table | None:
        """A cluster's boxes; made ready at the first request that needs them."""
        if name not in self.tables:
            cluster, assignment = self.resources[CLUSTER].get(name), self.resources[ENDPOINTS].get(name)
            if assignment is None:
                return None
            ring = 0
            if cluster is not None and cluster.lb_policy == cluster_pb2.Cluster.RING_HASH:
                ring = cluster.ring_hash_lb_config.minimum_ring_size.value or RING
            self.tables[name] = Table(assignment, ring)
            for zone, boxes in zip(self.tables[name].zones, self.tables[name].boxes, strict=True):
                self.zone_of.update(dict.fromkeys(boxes, zone))
        return self.tables[name]

    def _drop(self, url: str, name: str) -> None:
        self.resources[url].pop(name, None)
        self.versions[url].pop(name, None)
        if url == ENDPOINTS:
            self.tables.pop(name, None)

    def _answer(self, url: str, answer: Any, why: str) -> None:
        if self.delta:
            request = discovery_pb2.DeltaDiscoveryRequest(type_url=url, response_nonce=answer.nonce)
        else:
            request = discovery_pb2.DiscoveryRequest(
                type_url=url, response_nonce=answer.nonce, version_info=self._set.get(url, "")
            )
            request.resource_names.extend(sorted(self._asked.get(url) or ()))
        if why:
            request.error_detail.code, request.error_detail.message = 3, why
        self._out.append(request.SerializeToString())

    def _follow(self) -> None:
        """Ask for what that which it has refers to."""
        if self.target:
            held = self.resources[LISTENER].get(self.target)
            if held is not None:
                manager = http_connection_manager_pb2.HttpConnectionManager.FromString(
                    held.api_listener.api_listener.value
                )
                self._want(ROUTES, {manager.rds.route_config_name})
            used = self.routed()
            if used:
                self._want(CLUSTER, used)
        clusters = self.resources[CLUSTER]
        if clusters:
            names = {one.eds_cluster_config.service_name or name for name, one in clusters.items()}
            self._want(ENDPOINTS, names)
            if not self.target:
                self._want(ROUTES, set(self.routes or names))

    def routed(self) -> set[str]:
        """The clusters that its routes refer to."""
        return {
            route.route.cluster
            for one in self.resources[ROUTES].values()
            for host in one.virtual_hosts
            for route in host.routes
        }

    # Requests

    def way(self, path: str, key: str = "") -> Way | Gone:
        """Where a request goes; None of its doing is counted yet."""
        for one in self.resources[ROUTES].values():
            for host in one.virtual_hosts:
                for route in host.routes:
                    match = route.match
                    if match.path != path and not (match.prefix and path.startswith(match.prefix)):
                        continue
                    return self._to(route.route, key)
        return Gone("no route")

    def _to(self, action: Any, key: str) -> Way | Gone:
        table = self.table(action.cluster)
        if table is None:
            return Gone("no box")
        for category, part in table.drops:
            if self.dice.random() < part:
                self.dropped[category] = self.dropped.get(category, 0) + 1
                return Gone(category)
        picked = table.pick(key if action.hash_policy else "", self.dice)
        if picked is None:
            return Gone("no box")
        timeout = action.timeout.ToNanoseconds() / 1e9
        again = action.retry_policy
        return Way(action.cluster, *picked, timeout, again.num_retries.value, again.retry_on)

    def may_retry(self, cluster: str) -> bool:
        """Whether the cluster's budget of retries allows another; whoever makes it counts it in `again`."""
        held = self.resources[CLUSTER].get(cluster)
        if held is None or not held.circuit_breakers.thresholds:
            return True
        budget = held.circuit_breakers.thresholds[0].retry_budget
        out = sum(counts.out for counts in self.counts.values())
        most = max(budget.min_retry_concurrency.value, budget.budget_percent.value / 100 * out)
        return bool(self.again < most)

    def sent(self, address: tuple[str, int]) -> None:
        counts = self.counts.setdefault(address, Counts())
        counts.issued += 1
        counts.out += 1

    def ended(self, address: tuple[str, int], well: bool) -> None:
        counts = self.counts.setdefault(address, Counts())
        counts.out -= 1
        counts.served += well
        counts.failed += not well

    def report(self, cluster: str, span: float) -> bytes:
        """What was done in so many seconds, as a load report; counted anew from here on."""
        request = lrs_pb2.LoadStatsRequest()
        request.node.id = self.name
        request.node.locality.zone = self.zone
        stats = request.cluster_stats.add(cluster_name=cluster)
        stats.load_report_interval.FromNanoseconds(round(span * 1e9))
        for category, count in self.dropped.items():
            stats.dropped_requests.add(category=category, dropped_count=count)
        stats.total_dropped_requests = sum(self.dropped.values())
        self.dropped.clear()
        by_zone: dict[str, Any] = {}
        for at, counts in list(self.counts.items()):
            zone = self.zone_of.get(at, "")
            if zone not in by_zone:
                by_zone[zone] = stats.upstream_locality_stats.add()
                by_zone[zone].locality.zone = zone
            one = load_report_pb2.UpstreamEndpointStats(
                total_successful_requests=counts.served,
                total_error_requests=counts.failed,
                total_issued_requests=counts.issued,
                total_requests_in_progress=max(0, counts.out),
            )
            one.address.socket_address.address, one.address.socket_address.port_value = at
            by_zone[zone].upstream_endpoint_stats.append(one)
            if counts.out:
                counts.served = counts.failed = counts.issued = 0
            else:
                del self.counts[at]
        return bytes(request.SerializeToString())
