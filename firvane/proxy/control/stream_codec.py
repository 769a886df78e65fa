"""Codec of xDS streams: decodes requests and load reports, encodes responses.

A response is the same for all receivers except its nonce, which is encoded last: the bytes before the nonce
are encoded once and shared. (Concatenated protobuf encodings are the encoding of the merged messages.)
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from firvane.core.printable import plain
from firvane.proxy.control.stream import Response, Stream, write_version
from firvane.proxy.control.types import DROP_CATEGORY, RESOURCE_TYPES, Report, ResourceType

MAX_CACHED_RESPONSES = 64
MAX_TEXT_CHARACTERS = 200  # of a node's name or the reason of a NACK

Request = discovery_pb2.DiscoveryRequest
DeltaRequest = discovery_pb2.DeltaDiscoveryRequest


class Node(NamedTuple):
    """The xDS node by which a receiver identifies itself."""

    id: str
    zone: str
    agent: str


def read_node(node: Any) -> Node:
    """Decode the node of a request."""
    return Node(
        plain(node.id)[:MAX_TEXT_CHARACTERS],
        node.locality.zone[:MAX_TEXT_CHARACTERS],
        plain(node.user_agent_name)[:MAX_TEXT_CHARACTERS],
    )


def apply_request(stream: Stream, request: Any) -> ResourceType | None:
    """Apply a request of either protocol to a stream; returns its type, None if the type is not served."""
    kind = RESOURCE_TYPES.get(request.type_url)
    if kind is None:
        return None
    error = None
    if request.HasField("error_detail"):
        error = (
            plain(request.error_detail.message)[:MAX_TEXT_CHARACTERS] or f"code {request.error_detail.code}"
        )
    if stream.delta:
        stream.on_delta_request(
            kind,
            request.resource_names_subscribe,
            request.resource_names_unsubscribe,
            request.initial_resource_versions,
            request.response_nonce,
            error,
        )
    else:
        stream.on_request(kind, request.resource_names, request.version_info, request.response_nonce, error)
    return kind


class Writer:
    """Encodes responses, with a cache shared by all receivers."""

    def __init__(self, name: str) -> None:
        """Create the writer; `name` of the service identifies the control plane in responses."""
        self.name = name
        self.encodings = 0
        self._cache: OrderedDict[Any, bytes] = OrderedDict()

    def write(self, response: Response, delta: bool) -> bytes:
        """Encode a response in the delta or the state-of-the-world protocol."""
        key = (
            delta, response.kind, response.list_version, response.version,
            tuple((resource.name, resource.version) for resource in response.resources), response.removed,
        )  # fmt: skip
        data = self._cache.get(key)
        if data is None:
            data = self._cache[key] = self._encode(response, delta)
            self.encodings += 1
            if len(self._cache) > MAX_CACHED_RESPONSES:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(key)
        # The number of this field is the same in both protocols.
        nonce_field = discovery_pb2.DiscoveryResponse(nonce=response.nonce)
        return data + bytes(nonce_field.SerializeToString())

    def _encode(self, response: Response, delta: bool) -> bytes:
        version = write_version(response.list_version, response.version)
        if not delta:
            message = discovery_pb2.DiscoveryResponse(
                version_info=version,
                type_url=response.kind.url,
                resources=[any_pb2.Any.FromString(item.body) for item in response.resources],
            )
        else:
            message = discovery_pb2.DeltaDiscoveryResponse(
                system_version_info=version,
                type_url=response.kind.url,
                resources=[
                    discovery_pb2.Resource(
                        name=item.name,
                        version=write_version(response.list_version, item.version),
                        resource=any_pb2.Any.FromString(item.body),
                    )
                    for item in response.resources
                ],
                removed_resources=response.removed,
            )
        message.control_plane.identifier = self.name
        return bytes(message.SerializeToString(deterministic=True))


class LoadReport(NamedTuple):
    """A decoded load report: counts by backend, the report interval, and the number of dropped requests."""

    backends: dict[str, Report]
    span_s: float
    dropped: int


def read_reports(
    request: Any,
    cluster: str,
    backends: Mapping[tuple[str, int], str],
    weights: Callable[[], Mapping[tuple[str, str], float]],
) -> LoadReport:
    """Decode a load report.

    Args:
        request: The `LoadStatsRequest`.
        cluster: The name of the cluster whose counts are read.
        backends: Names of backends by address.
        weights: Returns the shares of a zone's requests, by zone and backend. Receivers that report
            only by locality are assumed to have distributed their requests by these shares.
    """
    reports: dict[str, Report] = {}
    span_s, dropped = 0.0, 0
    for stats in request.cluster_stats:
        if stats.cluster_name != cluster:
            continue
        span_s = max(span_s, stats.load_report_interval.ToNanoseconds() / 1e9)
        dropped += sum(
            stats_entry.dropped_count
            for stats_entry in stats.dropped_requests
            if stats_entry.category == DROP_CATEGORY
        )
        for locality in stats.upstream_locality_stats:
            if locality.upstream_endpoint_stats:
                for stats_entry in locality.upstream_endpoint_stats:
                    endpoint_address = stats_entry.address.socket_address
                    if (
                        name := backends.get((endpoint_address.address, endpoint_address.port_value))
                    ) is not None:
                        reports[name] = _merge(reports.get(name), _counts(stats_entry), 1.0)
                continue
            zone = locality.locality.zone
            for (zone_name, backend), share in weights().items():
                if zone_name == zone:
                    reports[backend] = _merge(reports.get(backend), _counts(locality), share)
    return LoadReport(reports, span_s, dropped)


def _counts(stats: Any) -> tuple[int, int, int, int]:
    return (
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_issued_requests,
        stats.total_requests_in_progress,
    )


def _merge(old: Report | None, counts: tuple[int, int, int, int], share: float) -> Report:
    increments = (n if share == 1.0 else round(n * share) for n in counts)
    return Report(*(count + n for count, n in zip(old or Report(), increments, strict=True)))
