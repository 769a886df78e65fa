from __future__ import annotations

from typing import Any

import pytest
from envoy.service.discovery.v3 import discovery_pb2
from hypothesis import settings, strategies
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from firvane.proxy.control import stream_codec
from firvane.proxy.control.stream import MAX_UNACKNOWLEDGED, ReceiverLimitError, Stream
from firvane.proxy.control.types import ResourceType, Snapshot
from firvane.simulation.runner.receiver import CLUSTER, ENDPOINTS, Way
from tests.proxy.control.helpers import Pair, make_backend, make_snapshot, receiver

PROTOCOL_VARIANTS = pytest.mark.parametrize(
    ("delta", "proxy"), [(False, True), (False, False), (True, True), (True, False)]
)
TWO_BACKENDS = (make_backend(0), make_backend(1))


@PROTOCOL_VARIANTS
def test_a_receiver_gets_all_subscribed_resources_and_routes_by_them(delta: bool, proxy: bool) -> None:
    pair, snapshot = Pair(receiver(delta, proxy)), make_snapshot({"web": TWO_BACKENDS})
    pair.settle(snapshot)
    assert pair.backends("web") == {0, 1} and pair.stream.is_converged(snapshot)
    way = pair.receiver.way("/read/x", "k")
    assert isinstance(way, Way) and (way.timeout, way.retries) == (2.0, 2)
    assert way == pair.receiver.way("/read/x", "k")  # the same key is sent to the same backend
    assert pair.settle(snapshot) == 0  # nothing is sent twice
    assert [response.kind for response in pair.responses][:1] == [
        ResourceType.CLUSTER if proxy else ResourceType.LISTENER
    ]


@PROTOCOL_VARIANTS
def test_only_changed_resources_are_sent_also_after_a_reconnect(delta: bool, proxy: bool) -> None:
    pair, snapshot = Pair(receiver(delta, proxy)), make_snapshot({"web": TWO_BACKENDS})
    pair.settle(snapshot)
    later = make_snapshot({"web": (make_backend(0), make_backend(3))}, list_version=2)
    assert pair.settle(later) == 1 and pair.responses[-1].kind is ResourceType.ENDPOINTS
    assert pair.backends("web") == {0, 3}
    pair.reconnect()
    response_count = pair.settle(later)
    assert pair.stream.known_list_version == 2  # so that snapshots of an older list wait
    assert (response_count == 0) if delta and proxy else response_count <= 4
    assert pair.backends("web") == {0, 3} and pair.stream.is_converged(later)


@PROTOCOL_VARIANTS
def test_a_backend_removal_does_not_wait_for_an_acknowledgement(delta: bool, proxy: bool) -> None:
    pair = Pair(receiver(delta, proxy))
    pair.settle(make_snapshot({"web": (*TWO_BACKENDS, make_backend(2))}))
    assert pair.send_response(make_snapshot({"web": (*TWO_BACKENDS, make_backend(2), make_backend(4))}, 2))
    pair.deliver_requests()
    # The last response is not acknowledged yet.
    assert not pair.send_response(
        make_snapshot({"web": (*TWO_BACKENDS, make_backend(2), make_backend(5))}, 3)
    )
    drained = make_snapshot({"web": (make_backend(0), make_backend(2))}, 4, urgent=1)
    assert pair.stream.is_urgent(drained) and pair.send_response(drained) and pair.responses[-1].urgent
    assert not pair.stream.is_urgent(drained)
    pair.settle(drained)
    assert pair.backends("web") == {0, 2} and pair.stream.is_converged(drained)


def test_a_receiver_that_acknowledges_nothing_is_disconnected() -> None:
    pair = Pair(receiver())
    pair.settle(make_snapshot({"web": TWO_BACKENDS}))
    with pytest.raises(ReceiverLimitError):
        for n in range(MAX_UNACKNOWLEDGED + 2):
            pair.send_response(
                make_snapshot({"web": (make_backend(0), make_backend(3 + n))}, 2 + n, urgent=1 + n)
            )
    assert len(pair.stream.subscriptions[ResourceType.ENDPOINTS].unacknowledged) == MAX_UNACKNOWLEDGED


@pytest.mark.parametrize("delta", [False, True])
def test_a_rejected_resource_is_not_resent_and_the_others_are_sent(delta: bool) -> None:
    def taste(url: str, message: Any) -> str:
        bad = url == ENDPOINTS and message.cluster_name == "bad" and message.endpoints
        return "no bad ones" if bad else ""

    snapshot = make_snapshot({"bad": TWO_BACKENDS, "good": TWO_BACKENDS, "web": TWO_BACKENDS})
    pair = Pair(receiver(delta, taste=taste))
    response_count = pair.settle(snapshot)
    subscription = pair.stream.subscriptions[ResourceType.ENDPOINTS]
    # Identified by resending each resource alone.
    assert set(subscription.rejected) == {"bad"} and subscription.nack_reason == "no bad ones"
    assert response_count < 12 and pair.settle(snapshot) == 0  # no endless resending
    assert pair.backends("good") == pair.backends("web") == {0, 1} and not pair.backends("bad")
    later = make_snapshot(
        {"bad": TWO_BACKENDS, "good": (make_backend(0), make_backend(2)), "web": TWO_BACKENDS}, 2
    )
    assert pair.settle(later) == 1 and pair.backends("good") == {0, 2}
    pair.receiver.taste = lambda url, message: ""
    pair.settle(
        make_snapshot(
            {"bad": (make_backend(0), make_backend(3)), "good": TWO_BACKENDS, "web": TWO_BACKENDS}, 3
        )
    )
    assert pair.backends("bad") == {0, 3} and not subscription.rejected


@PROTOCOL_VARIANTS
def test_clusters_are_added_before_their_routes_and_removed_after_them(delta: bool, proxy: bool) -> None:
    pair, dangling_routes = Pair(receiver(delta, proxy)), []
    old, new = (
        make_snapshot({"web": TWO_BACKENDS}),
        make_snapshot({"other": TWO_BACKENDS, "web": TWO_BACKENDS}, 2),
    )
    for snapshot in (old, new, make_snapshot({"other": TWO_BACKENDS}, 3), old):
        for _ in range(60):
            pair.deliver_requests()
            moved = pair.send_response(snapshot) or pair.deliver_response()
            known_clusters = pair.receiver.resources[CLUSTER].keys()
            if proxy and not pair.receiver.routed() <= known_clusters:
                dangling_routes.append((snapshot.list_version, pair.receiver.routed(), set(known_clusters)))
            if not moved:
                break
    assert not dangling_routes


@pytest.mark.parametrize("delta", [False, True])
def test_routes_move_to_another_cluster_without_a_gap(delta: bool) -> None:
    # The old cluster stays until the routes are changed, which waits until the new cluster is acknowledged.
    pair, seen = Pair(receiver(delta, routes=("way",))), list[tuple[set[str], set[str]]]()
    for n, name in enumerate(("web", "other", "web", "third")):
        snapshot = make_snapshot({name: TWO_BACKENDS}, n + 1, route_name="way")
        for _ in range(40):
            pair.deliver_requests()
            moved = pair.send_response(snapshot)
            if moved and pair.responses[-1].kind is ResourceType.ROUTES:
                assert not pair.stream.subscriptions[ResourceType.CLUSTER].unacknowledged
            moved = moved or pair.deliver_response()
            seen.append((pair.receiver.routed(), set(pair.receiver.resources[CLUSTER])))
            if not moved:
                break
        assert seen[-1] == ({name}, {name}) and pair.stream.is_converged(snapshot)
    assert all(routed <= known_clusters for routed, known_clusters in seen)


def test_only_the_delta_protocol_reports_missing_resources() -> None:
    snapshot = make_snapshot({"web": TWO_BACKENDS})
    delta_stream = Stream(delta=True)
    delta_stream.on_delta_request(ResourceType.ENDPOINTS, ["nowhere"], (), {}, "", None)
    response = delta_stream.next_response(snapshot)
    assert response and response.removed == ("nowhere",) and not response.resources
    delta_stream.on_delta_request(ResourceType.ENDPOINTS, (), (), {}, response.nonce, None)
    assert delta_stream.next_response(snapshot) is None and delta_stream.is_converged(snapshot)
    full_state_stream = Stream()
    full_state_stream.on_request(ResourceType.ENDPOINTS, ["nowhere"], "", "", None)
    assert full_state_stream.next_response(snapshot) is None


def test_unknown_nonces_and_types_have_no_effect_and_names_are_limited() -> None:
    snapshot, stream = make_snapshot({"web": TWO_BACKENDS}), Stream()
    stream.on_request(ResourceType.ENDPOINTS, ["web"], "", "", None)
    response = stream.next_response(snapshot)
    assert (
        response
        and not stream.on_request(ResourceType.ENDPOINTS, [], "", "77", "refused")
        and stream.nacks == 0
    )
    assert stream.subscriptions[ResourceType.ENDPOINTS].names == {"web"}
    assert stream_codec.apply_request(stream, discovery_pb2.DiscoveryRequest(type_url="of/nobody")) is None
    with pytest.raises(ReceiverLimitError):
        stream.on_request(ResourceType.ENDPOINTS, map(str, range(20_000)), "", response.nonce, None)


def test_responses_are_encoded_once_for_all_receivers() -> None:
    snapshot, writer, nonces = make_snapshot({"web": TWO_BACKENDS}), stream_codec.Writer("test"), set()
    for n in range(5):
        stream = Stream()
        stream.on_request(ResourceType.ENDPOINTS, ["other"] * n, "", "", None)  # so that their nonces differ
        stream._nonce = n
        stream.on_request(ResourceType.CLUSTER, [], "", "", None)
        response = stream.next_response(snapshot)
        assert response
        decoded = discovery_pb2.DiscoveryResponse.FromString(writer.write(response, False))
        assert (
            decoded.type_url == CLUSTER and len(decoded.resources) == 1 and decoded.version_info[:2] == "1."
        )
        nonces.add(decoded.nonce)
    assert writer.encodings == 1 and len(nonces) == 5


class Histories(RuleBasedStateMachine):
    """Random list changes, delays, NACKs and reconnects: once settled, the receiver has the last snapshot."""

    def __init__(self) -> None:
        super().__init__()
        self.clusters = {"web": set(range(3))}
        self.list_version, self.urgent = 1, 0
        self.drained: set[int] = set()
        self.rejections_left = 0

    @initialize(delta=strategies.booleans(), proxy=strategies.booleans())
    def begin(self, delta: bool, proxy: bool) -> None:
        self.pair = Pair(receiver(delta, proxy, taste=self.taste))
        self.proxy = proxy
        self.snapshot = self.make_current_snapshot()

    def taste(self, url: str, message: Any) -> str:
        self.rejections_left -= self.rejections_left > 0
        return "not now" if self.rejections_left else ""

    def make_current_snapshot(self) -> Snapshot:
        backends = {
            name: [make_backend(n) for n in sorted(numbers)] for name, numbers in self.clusters.items()
        }
        return make_snapshot(backends, self.list_version, self.urgent)

    @rule(name=strategies.sampled_from(["web", "other"]), add=strategies.integers(0, 9))
    def list_more(self, name: str, add: int) -> None:
        if add not in self.drained:
            self.clusters.setdefault(name, set()).add(add)
            self.list_version += 1
            self.snapshot = self.make_current_snapshot()

    @rule(drained_number=strategies.integers(0, 9))
    def drain(self, drained_number: int) -> None:
        if all(len(numbers - {drained_number}) for numbers in self.clusters.values()):
            self.drained.add(drained_number)
            for numbers in self.clusters.values():
                numbers.discard(drained_number)
            self.list_version, self.urgent = self.list_version + 1, self.urgent + 1
            self.snapshot = self.make_current_snapshot()

    @precondition(lambda self: "other" in self.clusters)
    @rule()
    def drop_cluster(self) -> None:
        del self.clusters["other"]
        self.list_version, self.urgent = self.list_version + 1, self.urgent + 1
        self.snapshot = self.make_current_snapshot()

    @rule(steps=strategies.lists(strategies.sampled_from(["up", "push", "down"]), max_size=12))
    def move(self, steps: list[str]) -> None:
        try:
            for step in steps:
                {
                    "up": self.pair.deliver_requests,
                    "push": lambda: self.pair.send_response(self.snapshot),
                    "down": self.pair.deliver_response,
                }[step]()
        except ReceiverLimitError:
            self.pair.reconnect()

    @rule()
    def reconnect(self) -> None:
        self.pair.reconnect()

    @rule(times=strategies.integers(1, 3))
    def refuse(self, times: int) -> None:
        self.rejections_left = times + 1

    @invariant()
    def nothing_drained_comes_back(self) -> None:
        if not hasattr(self, "pair") or self.pair.in_transit:
            return
        # The receiver uses only the endpoints of its last response, which has no drained backend.
        if (
            not any(subscription.unacknowledged for subscription in self.pair.stream.subscriptions.values())
            and not self.rejections_left
        ):
            last = self.pair.stream.subscriptions.get(ResourceType.ENDPOINTS)
            if last and last.urgent == self.urgent and not last.rejected:
                for name in self.clusters:
                    assert not self.pair.backends(name) & self.drained

    @rule()
    def settle_and_compare(self) -> None:
        self.rejections_left = 0
        try:
            self.pair.settle(self.snapshot)
        except ReceiverLimitError:
            self.pair.reconnect()
            self.pair.settle(self.snapshot)
        assert self.pair.stream.is_converged(self.snapshot)
        refused = {
            name for subscription in self.pair.stream.subscriptions.values() for name in subscription.rejected
        }
        known_clusters = self.pair.receiver.resources[CLUSTER].keys()
        if self.proxy and not refused:
            assert known_clusters == self.clusters.keys()
        assert refused or self.pair.receiver.routed() <= known_clusters
        for name, numbers in self.clusters.items():
            if name in known_clusters and name not in refused:
                assert self.pair.backends(name) == numbers


Histories.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, derandomize=True, deadline=None
)
TestHistories = Histories.TestCase
