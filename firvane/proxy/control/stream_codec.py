"""The codec of streams: requests into what `Stream` is told, and its answers into bytes.

An answer is the same for all receivers but for its nonce, which comes last in its bytes: what stands before
it is made once and shared. (Two encoded parts of a message, one after the other, are the message of both.)
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from envoy.service.discovery.v3 import discovery_pb2
from google.protobuf import any_pb2

from firvane.core.printable import plain
from firvane.proxy.control.stream import Push, Stream, write_version
from firvane.proxy.control.types import DROP_CATEGORY, KINDS, Kind, Report

KEPT = 64  # encodings that are kept: far more than differ at one time
LONGEST = 200  # characters that are kept of a name or a reason

Request = discovery_pb2.DiscoveryRequest
DeltaRequest = discovery_pb2.DeltaDiscoveryRequest


class Node(NamedTuple):
    """Who a receiver says it is."""

    id: str
    zone: str
    agent: str


def read_node(node: Any) -> Node:
    return Node(plain(node.id)[:LONGEST], node.locality.zone[:LONGEST], plain(node.user_agent_name)[:LONGEST])


def read(stream: Stream, request: Any) -> Kind | None:
    """Tell a stream of a request in either form; the kind that it is about, None for one that is not kept."""
    kind = KINDS.get(request.type_url)
    if kind is None:
        return None
    error = None
    if request.HasField("error_detail"):
        error = plain(request.error_detail.message)[:LONGEST] or f"code {request.error_detail.code}"
    if stream.delta:
        stream.change(
            kind,
            request.resource_names_subscribe,
            request.resource_names_unsubscribe,
            request.initial_resource_versions,
            request.response_nonce,
            error,
        )
    else:
        stream.ask(kind, request.resource_names, request.version_info, request.response_nonce, error)
    return kind


class Writer:
    """Answers into bytes, each made once for all who are told the same."""

    def __init__(self, name: str) -> None:
        """`name` of the service, which answers carry."""
        self.name = name
        self.made = 0
        self._kept: OrderedDict[Any, bytes] = OrderedDict()

    def write(self, push: Push, delta: bool) -> bytes:
        key = (
            delta, push.kind, push.number, push.version,
            tuple((one.name, one.version) for one in push.resources), push.removed,
        )  # fmt: skip
        data = self._kept.get(key)
        if data is None:
            data = self._kept[key] = self._encode(push, delta)
            self.made += 1
            if len(self._kept) > KEPT:
                self._kept.popitem(last=False)
        else:
            self._kept.move_to_end(key)
        tail = discovery_pb2.DiscoveryResponse(nonce=push.nonce)  # the field has this number in both forms
        return data + bytes(tail.SerializeToString())

    def _encode(self, push: Push, delta: bool) -> bytes:
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


def read_reports(
    request: Any,
    cluster: str,
    boxes: Mapping[tuple[str, int], str],
    weights: Callable[[], Mapping[tuple[str, str], float]],
) -> tuple[dict[str, Report], float, int]:
    """What a load report says by box, of how many seconds, and how many requests were dropped as told.

    `boxes` are names by address. Receivers that count by locality alone are taken to have sent to each box
    of it as they were told: `weights` tells the parts of a zone's requests, by zone and box.
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
                    if (name := boxes.get((at.address, at.port_value))) is not None:
                        found[name] = _more(found.get(name), _counts(one), 1.0)
                continue
            zone = locality.locality.zone
            for (where, box), part in weights().items():
                if where == zone:
                    found[box] = _more(found.get(box), _counts(locality), part)
    return found, span, dropped


def _counts(stats: Any) -> tuple[int, int, int, int]:
    return (
        stats.total_successful_requests,
        stats.total_error_requests,
        stats.total_issued_requests,
        stats.total_requests_in_progress,
    )


def _more(old: Report | None, counts: tuple[int, int, int, int], part: float) -> Report:
    more = (n if part == 1.0 else round(n * part) for n in counts)
    return Report(*(before + n for before, n in zip(old or Report(), more, strict=True)))
