"""Codec of xDS streams: decodes requests and load reports, encodes responses.

A response is the same for all receivers except its nonce, which is encoded last: the bytes before it are
encoded once and shared. (The concatenation of two encoded messages is the encoding of their merge.)
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
MAX_TEXT_CHARACTERS = 200  # of a name or a reason

Request = discovery_pb2.DiscoveryRequest
DeltaRequest = discovery_pb2.DeltaDiscoveryRequest


class Node(NamedTuple):
    """The node that a receiver identifies itself as."""

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
    """Apply a request of either protocol to a stream; returns its type, None if it is not served."""
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

    def write(self, push: Response, delta: bool) -> bytes:
        """Encode a response in the delta or the state-of-the-world protocol."""
        key = (
            delta, push.kind, push.number, push.version,
            tuple((one.name, one.version) for one in push.resources), push.removed,
        )  # fmt: skip
        data = self._cache.get(key)
        if data is None:
            data = self._cache[key] = self._encode(push, delta)
            self.encodings += 1
            if len(self._cache) > MAX_CACHED_RESPONSES:
                self._cache.popitem(last=False)
        else:
            self._cache.move_to_end(key)
        tail = discovery_pb2.DiscoveryResponse(nonce=push.nonce)  # the field has this number in both forms
        return data + bytes(tail.SerializeToString())

    def _encode(self, push: Response, delta: bool) -> bytes:
        version = write_version(push.number, push.version)
        if not delta:
            made = discovery_pb2.DiscoveryResponse(
                version_info=version,
                type_url=push.kind.url,
                resources=[any_pb2.Any.FromString(one.body) for one in push.resources],
            )
        else:
            made = discovery_pb2.DeltaDiscoveryResponse(
                system_version_info=version,
                type_url=push.kind.url,
                resources=[
                    discovery_pb2.Resource(
                        name=one.name,
                        version=write_version(push.number, one.version),
                        resource=any_pb2.Any.FromString(one.body),
                    )
                    for one in push.resources
                ],
                removed_resources=push.removed,
            )
        made.control_plane.identifier = self.name
        return bytes(made.SerializeToString(deterministic=True))


class LoadReport(NamedTuple):
    """A decoded load report: counts by backend, its interval in seconds, and the dropped requests."""

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
        weights: Returns the shares of a zone's requests, by zone and backend. Receivers that report by
            locality alone are assumed to have followed them.
    """
    found: dict[str, Report] = {}
    span, dropped = 0.0, 0
    for stats in request.cluster_stats:
        if stats.cluster_name != cluster:
            continue
        span = max(span, stats.load_report_interval.ToNanoseconds() / 1e9)
        dropped += sum(one.dropped_count for one in stats.dropped_requests if one.category == DROP_CATEGORY)
        for locality in stats.upstream_locality_stats:
            if locality.upstream_endpoint_stats:
                for one in locality.upstream_endpoint_stats:
                    at = one.address.socket_address
                    if (name := backends.get((at.address, at.port_value))) is not None:
                        found[name] = _merge(found.get(name), _counts(one), 1.0)
                continue
            zone = locality.locality.zone
            for (where, backend), part in weights().items():
                if where == zone:
                    found[backend] = _merge(found.get(backend), _counts(locality), part)
    return LoadReport(found, span, dropped)


def _counts(stats: Any) -> tuple[int, int, int, int]:
    return (
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_issued_requests,
        stats.total_requests_in_progress,
    )


def _merge(old: Report | None, counts: tuple[int, int, int, int], part: float) -> Report:
    more = (n if part == 1.0 else round(n * part) for n in counts)
    return Report(*(before + n for before, n in zip(old or Report(), more, strict=True)))
