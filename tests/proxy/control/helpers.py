"""States made by hand, and a receiver at the end of a stream without a socket between them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from envoy.service.discovery.v3 import discovery_pb2

from firvane.proxy.control import resource_codec, stream_codec
from firvane.proxy.control.route_settings import Route
from firvane.proxy.control.stream import Response, Stream
from firvane.proxy.control.types import BackendEstimate, Resource, ResourceType, Snapshot
from firvane.proxy.control.weights import divide
from firvane.simulation.runner.receiver import Receiver

ZONES = ("a", "b")


def box(number: int, **more: Any) -> BackendEstimate:
    given = {"zone": number % 2, "power": 4.0, "capacity": 4.0, **more}
    return BackendEstimate(f"b{number}", ("127.0.0.1", 9000 + number), **given)


def state(
    clusters: dict[str, Sequence[BackendEstimate]], number: int = 1, urgent: int = 0, way: str = ""
) -> Snapshot:
    """One cluster for each name, with routes and a listener of that name; or routes `way` to the first."""
    made: dict[ResourceType, list[Resource]] = {kind: [] for kind in ResourceType}
    endpoints = resource_codec.Endpoints(ZONES)
    for name, boxes in clusters.items():
        made[ResourceType.CLUSTER].append(resource_codec.cluster(name, True, 64, 0.25))
        made[ResourceType.ENDPOINTS].append(endpoints.make(name, divide(boxes, {0: 10.0})[0]))
        routes = [Route("read", 2.0, 2, True)]
        if not way or not made[ResourceType.ROUTES]:
            made[ResourceType.ROUTES].append(
                resource_codec.route_configuration(way or name, name, routes, True)
            )
        made[ResourceType.LISTENER].append(resource_codec.listener(name, name))
    found = resource_codec.by_kind(made)
    return Snapshot(
        found, {kind: resource_codec.set_version(found[kind]) for kind in ResourceType}, number, urgent
    )


class Pair:
    """A receiver and its stream; bytes go between them when told to."""

    def __init__(self, receiver: Receiver) -> None:
        self.receiver, self.writer = receiver, stream_codec.Writer("test")
        self.stream = Stream(receiver.delta)
        self.on_way: list[bytes] = []  # to the receiver
        self.said: list[Response] = []

    def reconnect(self) -> None:
        self.receiver.connect()
        self.stream, self.on_way = Stream(self.receiver.delta), []

    def up(self) -> None:
        """What the receiver has written arrives."""
        form: Any = discovery_pb2.DeltaDiscoveryRequest
        if not self.receiver.delta:
            form = discovery_pb2.DiscoveryRequest
        for data in self.receiver.requests():
            stream_codec.apply_request(self.stream, form.FromString(data))

    def push(self, now: Snapshot) -> bool:
        """One answer, if one is due."""
        push = self.stream.next_response(now)
        if push is not None:
            self.said.append(push)
            self.on_way.append(self.writer.write(push, self.stream.delta))
        return push is not None

    def down(self) -> bool:
        """The next answer arrives, if there is one."""
        if self.on_way:
            self.receiver.hear(self.on_way.pop(0))
            return True
        return False

    def settle(self, now: Snapshot) -> int:
        """Until nothing moves; the number of answers that took."""
        before = len(self.said)
        for _ in range(200):
            self.up()
            if not (self.push(now) or self.down()):
                return len(self.said) - before
        raise AssertionError("it never comes to rest")

    def boxes(self, cluster: str) -> set[int]:
        """The numbers of the boxes that the receiver may send to."""
        table = self.receiver.table(cluster)
        return {port - 9000 for _, port in table.all()} if table else set()


def receiver(delta: bool = False, proxy: bool = True, **more: Any) -> Receiver:
    return Receiver("r1", "a", target="" if proxy else "web", delta=delta, **more)
