"""Codec of xDS resources.

The version of a resource is a digest of its bytes, which are encoded deterministically, so that control
services with the same estimates send the same versions. The messages come from the package xds-protos,
which only the control service needs.
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
from firvane.proxy.control.types import (
    DROP_CATEGORY,
    Assignment,
    Health,
    Locality,
    Resource,
    ResourceType,
    WeightedEndpoint,
)

KEY_HEADER = "x-route-hash"
RETRY_BUDGET_PERCENT = 20.0  # of a receiver's open requests
MIN_RETRY_CONCURRENCY = 3
RETRY_BACKOFF_MIN_S = 0.025
RETRY_BACKOFF_MAX_S = 0.25
HOST_SELECTION_ATTEMPTS = 3
MAX_DROP_NUMERATOR = 10_000
MIN_RING_SIZE = 1024
MAX_RING_SIZE = 4096  # the largest size that gRPC clients accept
# gRPC clients support only the conditions without a dash.
RETRY_ON_UNPROCESSED = "connect-failure,refused-stream"
RETRY_ON_ANY = f"{RETRY_ON_UNPROCESSED},reset,gateway-error,unavailable"
HEALTH_STATUSES = {
    Health.HEALTHY: health_check_pb2.HealthStatus.HEALTHY,
    Health.UNHEALTHY: health_check_pb2.HealthStatus.UNHEALTHY,
}


def digest(*parts: bytes) -> str:
    """Return a digest of the parts, as hexadecimal digits."""
    hasher = blake2b(digest_size=8)
    for part in parts:
        hasher.update(b"%d " % len(part))
        hasher.update(part)
    return hasher.hexdigest()


def pack(message: Any) -> Any:
    """Wrap a message as google.protobuf.Any, encoded deterministically."""
    return any_pb2.Any(
        type_url=f"type.googleapis.com/{message.DESCRIPTOR.full_name}",
        value=message.SerializeToString(deterministic=True),
    )


def resource(name: str, message: Any, on_demand: bool = False, references: Sequence[str] = ()) -> Resource:
    """Encode a resource."""
    body = pack(message).SerializeToString(deterministic=True)
    return Resource(name, digest(body), body, on_demand, frozenset(references))


def _seconds(duration_s: float) -> Any:
    seconds = int(duration_s)
    return duration_pb2.Duration(seconds=seconds, nanos=round((duration_s - seconds) * 1e6) * 1000)


class EndpointsEncoder:
    """Encodes assignments; an endpoint's message is cached as long as the endpoint is assigned."""

    def __init__(self, zones: Sequence[str]) -> None:
        """Create the encoder; `zones` are zone names, indexed by zone number."""
        self.zones = zones
        self._cache: dict[WeightedEndpoint, Any] = {}

    def encode(self, name: str, assignment: Assignment) -> Resource:
        """Encode the assignment of a group as the endpoints of a cluster."""
        cached = self._cache
        self._cache = {}
        message = endpoint_pb2.ClusterLoadAssignment(cluster_name=name)
        for locality in assignment.localities:
            self._add_locality(message, locality, cached)
        if assignment.dropped:
            drop = message.policy.drop_overloads.add(category=DROP_CATEGORY)
            drop.drop_percentage.numerator = min(MAX_DROP_NUMERATOR, assignment.dropped)
            drop.drop_percentage.denominator = percent_pb2.FractionalPercent.TEN_THOUSAND
        return resource(name, message)

    def _add_locality(self, message: Any, locality: Locality, cached: dict[WeightedEndpoint, Any]) -> None:
        if not locality.weight:  # xDS has no weight 0: the locality is omitted
            return
        locality_message = message.endpoints.add()
        if 0 <= locality.zone < len(self.zones):
            locality_message.locality.zone = self.zones[locality.zone]
        locality_message.load_balancing_weight.value = locality.weight
        entries = []
        for endpoint in locality.endpoints:
            self._cache[endpoint] = entry = cached.get(endpoint) or _endpoint(endpoint)
            entries.append(entry)
        locality_message.lb_endpoints.extend(entries)


def _endpoint(endpoint: WeightedEndpoint) -> Any:
    host, port = endpoint.address
    return endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(
            address=address_pb2.Address(
                socket_address=address_pb2.SocketAddress(address=host, port_value=port)
            ),
            hostname=endpoint.backend,
        ),
        health_status=HEALTH_STATUSES[endpoint.health],
        load_balancing_weight=wrappers_pb2.UInt32Value(value=endpoint.weight),
    )


def _ads() -> Any:
    return config_source_pb2.ConfigSource(
        ads=config_source_pb2.AggregatedConfigSource(),
        resource_api_version=config_source_pb2.ApiVersion.V3,
    )


def cluster(name: str, keyed: bool, max_open_requests: int, connect_timeout_s: float) -> Resource:
    """Encode the cluster; with `keyed`, requests with the same key go to the same backend."""
    thresholds = circuit_breaker_pb2.CircuitBreakers.Thresholds(
        max_requests=wrappers_pb2.UInt32Value(value=max_open_requests),
        max_pending_requests=wrappers_pb2.UInt32Value(value=max_open_requests),
        max_connections=wrappers_pb2.UInt32Value(value=max_open_requests),
        retry_budget=circuit_breaker_pb2.CircuitBreakers.Thresholds.RetryBudget(
            budget_percent=percent_pb2.Percent(value=RETRY_BUDGET_PERCENT),
            min_retry_concurrency=wrappers_pb2.UInt32Value(value=MIN_RETRY_CONCURRENCY),
        ),
    )
    message = cluster_pb2.Cluster(
        name=name,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=_ads(), service_name=name),
        connect_timeout=_seconds(connect_timeout_s),
        circuit_breakers=circuit_breaker_pb2.CircuitBreakers(thresholds=[thresholds]),
        lrs_server=config_source_pb2.ConfigSource(
            self=config_source_pb2.SelfConfigSource(transport_api_version=config_source_pb2.ApiVersion.V3)
        ),
        common_lb_config=cluster_pb2.Cluster.CommonLbConfig(
            # The control service has its own panic threshold: receivers must not fall back to all endpoints.
            healthy_panic_threshold=percent_pb2.Percent(value=0.0),
            locality_weighted_lb_config=cluster_pb2.Cluster.CommonLbConfig.LocalityWeightedLbConfig(),
        ),
        ignore_health_on_host_removal=True,
    )
    if keyed:
        message.lb_policy = cluster_pb2.Cluster.RING_HASH
        message.ring_hash_lb_config.minimum_ring_size.value = MIN_RING_SIZE
        message.ring_hash_lb_config.maximum_ring_size.value = MAX_RING_SIZE
    return resource(name, message)


def route_configuration(name: str, cluster_name: str, routes: Sequence[Route], keyed: bool) -> Resource:
    """Encode the routes of the request classes to the cluster `cluster_name`."""
    encoded_routes = []
    for route in routes:
        for match in ({"path": f"/{route.name}"}, {"prefix": f"/{route.name}/"}):
            action = route_components_pb2.RouteAction(cluster=cluster_name, timeout=_seconds(route.deadline))
            if keyed:
                policy = action.hash_policy.add()
                policy.header.header_name = KEY_HEADER
            if route.retries:
                retry = action.retry_policy
                retry.retry_on = RETRY_ON_ANY if route.retry_any else RETRY_ON_UNPROCESSED
                retry.num_retries.value = route.retries
                retry.retry_back_off.base_interval.CopyFrom(_seconds(RETRY_BACKOFF_MIN_S))
                retry.retry_back_off.max_interval.CopyFrom(_seconds(RETRY_BACKOFF_MAX_S))
                retry.host_selection_retry_max_attempts = HOST_SELECTION_ATTEMPTS
                retry.retry_host_predicate.add(
                    name="envoy.retry_host_predicates.previous_hosts",
                    typed_config=pack(previous_hosts_pb2.PreviousHostsPredicate()),
                )
            encoded_routes.append(
                route_components_pb2.Route(
                    name=route.name, match=route_components_pb2.RouteMatch(**match), route=action
                )
            )
    message = route_pb2.RouteConfiguration(
        name=name,
        virtual_hosts=[route_components_pb2.VirtualHost(name=name, domains=["*"], routes=encoded_routes)],
    )
    return resource(name, message, references=[cluster_name])


def listener(name: str, route_name: str) -> Resource:
    """Encode the API listener for proxyless clients, which subscribe to it by the name of their target."""
    manager = http_connection_manager_pb2.HttpConnectionManager(
        stat_prefix=name,
        rds=http_connection_manager_pb2.Rds(config_source=_ads(), route_config_name=route_name),
        http_filters=[
            http_connection_manager_pb2.HttpFilter(
                name="envoy.filters.http.router", typed_config=pack(router_pb2.Router())
            )
        ],
    )
    message = listener_pb2.Listener(
        name=name, api_listener=api_listener_pb2.ApiListener(api_listener=pack(manager))
    )
    return resource(name, message, on_demand=True)


def index_by_type(
    resources: Mapping[ResourceType, Sequence[Resource]],
) -> dict[ResourceType, dict[str, Resource]]:
    """Index resources by type and name."""
    return {kind: {encoded.name: encoded for encoded in resources.get(kind, ())} for kind in ResourceType}


def collection_version(resources: Mapping[str, Resource]) -> str:
    """Return the digest of all resources of a type."""
    return digest(*(f"{name}={encoded.version}".encode() for name, encoded in sorted(resources.items())))
