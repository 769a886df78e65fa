"""Builders of backends and snapshots, and a receiver connected to its stream without a socket."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from firvane.proxy.control import resource_codec, stream_codec
from firvane.proxy.control.route_settings import Route
from firvane.proxy.control.stream import Response, Stream
from firvane.proxy.control.types import BackendEstimate, Resource, ResourceType, Snapshot
from firvane.proxy.control.weights import compute_assignments
from firvane.simulation.runner.receiver import Receiver

ZONES = ("a", "b")


def make_backend(number: int, **overrides: Any) -> BackendEstimate:
    fields = {"zone": number % 2, "power": 4.0, "capacity": 4.0, **overrides}
    return BackendEstimate(f"b{number}", ("127.0.0.1", 9000 + number), **fields)


def make_snapshot(
    clusters: dict[str, Sequence[BackendEstimate]],
    list_version: int = 1,
    urgent: int = 0,
    route_name: str = "",
) -> Snapshot:
    """Build a snapshot with a cluster, routes and a listener for each name.

    With `route_name` there is one route configuration of that name, to the first cluster.
    """
    by_type: dict[ResourceType, list[Resource]] = {kind: [] for kind in ResourceType}
    endpoints = resource_codec.EndpointsEncoder(ZONES)
    for name, cluster_backends in clusters.items():
        by_type[ResourceType.CLUSTER].append(resource_codec.cluster(name, True, 64, 0.25))
        by_type[ResourceType.ENDPOINTS].append(
            endpoints.encode(name, compute_assignments(cluster_backends, {0: 10.0})[0])
        )
        routes = [Route("read", 2.0, 2, True)]
        if not route_name or not by_type[ResourceType.ROUTES]:
            by_type[ResourceType.ROUTES].append(
                resource_codec.route_configuration(route_name or name, name, routes, True)
            )
        by_type[ResourceType.LISTENER].append(resource_codec.listener(name, name))
    resources = resource_codec.index_by_type(by_type)
    return Snapshot(
        resources,
        {kind: resource_codec.collection_version(resources[kind]) for kind in ResourceType},
        list_version,
        urgent,
    )


class Pair:
    """A receiver and its stream; messages are delivered step by step, as the test calls the methods."""

    def __init__(self, receiver: Receiver) -> None:
        self.receiver, self.writer = receiver, stream_codec.Writer("test")
        self.stream = Stream(receiver.delta)
        self.in_transit: list[bytes] = []  # to the receiver
        self.responses: list[Response] = []

    def reconnect(self) -> None:
        self.receiver.connect()
        self.stream, self.in_transit = Stream(self.receiver.delta), []

    def deliver_requests(self) -> None:
        """Deliver the receiver's pending requests to the stream."""
        form: Any = discovery_pb2.DeltaDiscoveryRequest
        if not self.receiver.delta:
            form = discovery_pb2.DiscoveryRequest
        for data in self.receiver.requests():
            stream_codec.apply_request(self.stream, form.FromString(data))

    def send_response(self, snapshot: Snapshot) -> bool:
        """Encode the next response and put it in transit; returns whether one was due."""
        response = self.stream.next_response(snapshot)
        if response is not None:
            self.responses.append(response)
            self.in_transit.append(self.writer.write(response, self.stream.delta))
        return response is not None

    def deliver_response(self) -> bool:
        """Deliver the next response in transit; returns whether there was one."""
        if self.in_transit:
            self.receiver.hear(self.in_transit.pop(0))
            return True
        return False

    def settle(self, snapshot: Snapshot) -> int:
        """Exchange messages until no more are due; returns the number of responses."""
        before = len(self.responses)
        for _ in range(200):
            self.deliver_requests()
            if not (self.send_response(snapshot) or self.deliver_response()):
                return len(self.responses) - before
        raise AssertionError("requests and responses do not end after 200 steps")

    def backends(self, cluster: str) -> set[int]:
        """Return the numbers of the backends that the receiver may use."""
        routing_table = self.receiver.table(cluster)
        return {port - 9000 for _, port in routing_table.all()} if routing_table else set()


def receiver(delta: bool = False, proxy: bool = True, **more: Any) -> Receiver:
    return Receiver("r1", "a", target="" if proxy else "web", delta=delta, **more)
