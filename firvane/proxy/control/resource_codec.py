"""The codec of resources: words into the messages of xDS, as bytes.

Pure: nothing is opened. A resource's version is a digest of its bytes, which are made in one way only, so
that two services which believe the same hand out the same. The messages come from xds-protos; they are not
needed by anything but the control service.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from hashlib import blake2b
from typing import Any

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from envoy.extensions.retry.host.previous_hosts.v3 import previous_hosts_pb2
from envoy.type.v3 import percent_pb2
from google.protobuf import any_pb2, duration_pb2, wrappers_pb2

from firvane.proxy.control.route_settings import Route
from firvane.proxy.control.types import DROP_CATEGORY, Assignment, Health, Kind, Locality, Place, Resource

KEY_HEADER = "x-route-hash"
RETRIES = 20.0  # in 100 requests that are open at a receiver: further tries beyond that are not made
RING = 1024, 4096  # of entries on a receiver's ring of keys; gRPC's clients take no more
# gRPC's clients know only the words without a dash of these, others all of them.
NEVER_RAN = "connect-failure,refused-stream"
ANYTHING = f"{NEVER_RAN},reset,gateway-error,unavailable"
HEALTHS = {
    Health.HEALTHY: health_check_pb2.HealthStatus.HEALTHY,
    Health.UNHEALTHY: health_check_pb2.HealthStatus.UNHEALTHY,
}


def digest(*parts: bytes) -> str:
    """What names these bytes."""
    known = blake2b(digest_size=8)
    for part in parts:
        known.update(b"%d " % len(part))
        known.update(part)
    return known.hexdigest()


def pack(message: Any) -> Any:
    """As google.protobuf.Any, the same bytes each time."""
    return any_pb2.Any(
        type_url=f"type.googleapis.com/{message.DESCRIPTOR.full_name}",
        value=message.SerializeToString(deterministic=True),
    )


def resource(name: str, message: Any, named: bool = False, refers: Sequence[str] = ()) -> Resource:
    body = pack(message).SerializeToString(deterministic=True)
    return Resource(name, digest(body), body, named, frozenset(refers))


def _seconds(span: float) -> Any:
    whole = int(span)
    return duration_pb2.Duration(seconds=whole, nanos=round((span - whole) * 1e6) * 1000)


class Endpoints:
    """Assignments into resources. What has been made of a place is kept for as long as it is listed."""

    def __init__(self, zones: Sequence[str]) -> None:
        """`zones` by number; boxes of any further number stand in no zone."""
        self.zones = zones
        self._made: dict[Place, Any] = {}

    def make(self, name: str, assignment: Assignment) -> Resource:
        kept = self._made
        self._made = {}
        message = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
        for locality in assignment.localities:
            self._locality(message, locality, kept)
        if assignment.dropped:
            drop = message.policy.drop_overloads.add(category=DROP_CATEGORY)
            drop.drop_percentage.numerator = min(10_000, assignment.dropped)
            drop.drop_percentage.denominator = percent_pb2.FractionalPercent.TEN_THOUSAND
        return resource(name, message)

    def _locality(self, message: Any, locality: Locality, kept: dict[Place, Any]) -> None:
        if not locality.weight:  # xDS has no weight 0: who is sent nothing is not told
            return
        made = message.endpoints.add()
        if 0 <= locality.zone < len(self.zones):
            made.locality.zone = self.zones[locality.zone]
        made.load_balancing_weight.value = locality.weight
        entries = []
        for place in locality.places:
            self._made[place] = entry = kept.get(place) or _endpoint(place)
            entries.append(entry)
        made.lb_endpoints.extend(entries)


def _endpoint(place: Place) -> Any:
    host, port = place.address
    return endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(
            address=address_pb2.Address(
                socket_address=address_pb2.SocketAddress(address=host, port_value=port)
            ),
            hostname=place.box,
        ),
        health_status=HEALTHS[place.health],
        load_balancing_weight=wrappers_pb2.UInt32Value(value=place.weight),
    )


def _ads() -> Any:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(),
        resource_api_version=config_source_pb2.ApiVersion.V3,
    )


def cluster(name: str, keyed: bool, open_at_once: int, connect: float) -> Resource:
    """The target group; `keyed`: a request's key leads to the same box. `connect` is seconds."""
    thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds(
        max_requests=wrappers_pb2.UInt32Value(value=open_at_once),
        max_pending_requests=wrappers_pb2.UInt32Value(value=open_at_once),
        max_connections=wrappers_pb2.UInt32Value(value=open_at_once),
        retry_budget=circuit_breaker_pb2.CircuitBreakers.Thresholds.RetryBudget(
            budget_percent=percent_pb2.Percent(value=RETRIES),
            min_retry_concurrency=wrappers_pb2.UInt32Value(value=3),
        ),
    )
    message = cluster_pb2.Cluster(
        name=name,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads(), service_name=name),
        connect_timeout=_seconds(connect),
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[thresholds]),
        lrs_server=config_source_pb2.ConfigSource(
            self=config_source_pb2.SelfConfigSource(transport_api_version=config_source_pb2.ApiVersion.V3)
        ),
        common_lb_config=cluster_pb2.Cluster.CommonLbConfig(
            # It is this service that says where to send: nobody is to fall back on all of them.
            healthy_panic_threshold=percent_pb2.Percent(value=0.0),
            locality_weighted_lb_config=cluster_pb2.Cluster.CommonLbConfig.LocalityWeightedLbConfig(),
        ),
        ignore_health_on_host_removal=True,
    )
    if keyed:
        message.lb_policy = cluster_pb2.Cluster.RING_HASH
        message.ring_hash_lb_config.minimum_ring_size.value = RING[0]
        message.ring_hash_lb_config.maximum_ring_size.value = RING[1]
    return resource(name, message)


def route_configuration(name: str, to: str, routes: Sequence[Route], keyed: bool) -> Resource:
    """Every class as a route to the cluster `to`."""
    made = []
    for route in routes:
        for match in ({"path": f"/{route.name}"}, {"prefix": f"/{route.name}/"}):
            action = route_components_pb2.RouteAction(cluster=to, timeout=_seconds(route.deadline))
            if keyed:
                policy = action.hash_policy.add()
                policy.header.header_name = KEY_HEADER
            if route.retries:
                again = action.retry_policy
                again.retry_on = ANYTHING if route.anything else NEVER_RAN
                again.num_retries.value = route.retries
                again.retry_back_off.base_interval.CopyFrom(_seconds(0.025))
                again.retry_back_off.max_interval.CopyFrom(_seconds(0.25))
                again.host_selection_retry_max_attempts = 3
                again.retry_host_predicate.add(
                    name="envoy.retry_host_predicates.previous_hosts",
                    typed_config=pack(previous_hosts_pb2.PreviousHostsPredicate()),
                )
            made.append(
                route_components_pb2.Route(
                    name=route.name, match=route_components_pb2.RouteMatch(**match), route=action
                )
            )
    message = route_pb2.RouteConfiguration(
        name=name,
        virtual_hosts=[route_components_pb2.VirtualHost(name=name, domains=["*"], routes=made)],
    )
    return resource(name, message, refers=[to])


def listener(name: str, routes: str) -> Resource:
    """What a client without a proxy asks for: its target's name. Told only to who names it."""
    manager = http_connection_manager_pb2.HttpConnectionManager(
        stat_prefix=name,
        rds=http_connection_manager_pb2.Rds(config_source=_ads(), route_config_name=routes),
        http_filters=[
            http_connection_manager_pb2.HttpFilter(
                name="envoy.filters.http.router", typed_config=pack(router_pb2.Router())
            )
        ],
    )
    message = listener_pb2.Listener(
        name=name, api_listener=api_listener_pb2.ApiListener(api_listener=pack(manager))
    )
    return resource(name, message, named=True)


def by_kind(resources: Mapping[Kind, Sequence[Resource]]) -> dict[Kind, dict[str, Resource]]:
    return {kind: {one.name: one for one in resources.get(kind, ())} for kind in Kind}


def set_version(resources: Mapping[str, Resource]) -> str:
    """Of a whole set, by content."""
    return digest(*(f"{name}={one.version}".encode() for name, one in sorted(resources.items())))
