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
from tests.proxy.control.helpers import Pair, box, receiver, state

FORMS = pytest.mark.parametrize(
    ("delta", "proxy"), [(False, True), (False, False), (True, True), (True, False)]
)
TWO = (box(0), box(1))


@FORMS
def test_a_receiver_is_told_all_that_it_asks_for_and_routes_by_it(delta: bool, proxy: bool) -> None:
    pair, now = Pair(receiver(delta, proxy)), state({"web": TWO})
    pair.settle(now)
    assert pair.boxes("web") == {0, 1} and pair.stream.converged(now)
    way = pair.receiver.way("/read/x", "k")
    assert isinstance(way, Way) and (way.timeout, way.retries) == (2.0, 2)
    assert way == pair.receiver.way("/read/x", "k")  # a key leads to one box
    assert pair.settle(now) == 0  # nothing is told twice
    assert [push.kind for push in pair.said][:1] == [ResourceType.CLUSTER if proxy else ResourceType.LISTENER]


@FORMS
def test_a_change_is_told_alone_and_a_reconnect_tells_no_more_than_it_must(delta: bool, proxy: bool) -> None:
    pair, now = Pair(receiver(delta, proxy)), state({"web": TWO})
    pair.settle(now)
    later = state({"web": (box(0), box(3))}, number=2)
    assert pair.settle(later) == 1 and pair.said[-1].kind is ResourceType.ENDPOINTS
    assert pair.boxes("web") == {0, 3}
    pair.reconnect()
    told = pair.settle(later)
    assert pair.stream.known_list_version == 2  # it has heard of the second list: an older one must wait
    assert (told == 0) if delta and proxy else told <= 4
    assert pair.boxes("web") == {0, 3} and pair.stream.converged(later)


@FORMS
def test_what_takes_a_box_away_overtakes_an_answer_that_is_not_acknowledged(delta: bool, proxy: bool) -> None:
    pair = Pair(receiver(delta, proxy))
    pair.settle(state({"web": (*TWO, box(2))}))
    assert pair.push(state({"web": (*TWO, box(2), box(4))}, 2))
    pair.up()
    assert not pair.push(state({"web": (*TWO, box(2), box(5))}, 3))  # the last is not acknowledged yet
    drained = state({"web": (box(0), box(2))}, 4, urgent=1)
    assert pair.stream.is_urgent(drained) and pair.push(drained) and pair.said[-1].urgent
    assert not pair.stream.is_urgent(drained)
    pair.settle(drained)
    assert pair.boxes("web") == {0, 2} and pair.stream.converged(drained)


def test_a_receiver_that_acknowledges_nothing_is_given_up() -> None:
    pair = Pair(receiver())
    pair.settle(state({"web": TWO}))
    with pytest.raises(ReceiverLimitError):
        for n in range(MAX_UNACKNOWLEDGED + 2):
            pair.push(state({"web": (box(0), box(3 + n))}, 2 + n, urgent=1 + n))
    assert len(pair.stream.subscriptions[ResourceType.ENDPOINTS].unacknowledged) == MAX_UNACKNOWLEDGED


@pytest.mark.parametrize("delta", [False, True])
def test_what_is_refused_is_not_told_again_and_the_rest_is(delta: bool) -> None:
    def taste(url: str, message: Any) -> str:
        bad = url == ENDPOINTS and message.cluster_name == "bad" and message.endpoints
        return "no bad ones" if bad else ""

    now = state({"bad": TWO, "good": TWO, "web": TWO})
    pair = Pair(receiver(delta, taste=taste))
    told = pair.settle(now)
    watch = pair.stream.subscriptions[ResourceType.ENDPOINTS]
    assert set(watch.rejected) == {"bad"} and watch.nack_reason == "no bad ones"  # told apart, by each alone
    assert told < 12 and pair.settle(now) == 0  # and no loop
    assert pair.boxes("good") == pair.boxes("web") == {0, 1} and not pair.boxes("bad")
    later = state({"bad": TWO, "good": (box(0), box(2)), "web": TWO}, 2)
    assert pair.settle(later) == 1 and pair.boxes("good") == {0, 2}
    pair.receiver.taste = lambda url, message: ""
    pair.settle(state({"bad": (box(0), box(3)), "good": TWO, "web": TWO}, 3))
    assert pair.boxes("bad") == {0, 3} and not watch.rejected


@FORMS
def test_clusters_come_before_what_refers_to_them_and_leave_after(delta: bool, proxy: bool) -> None:
    pair, dangling = Pair(receiver(delta, proxy)), []
    old, new = state({"web": TWO}), state({"other": TWO, "web": TWO}, 2)
    for now in (old, new, state({"other": TWO}, 3), old):
        for _ in range(60):
            pair.up()
            moved = pair.push(now) or pair.down()
            held = pair.receiver.resources[CLUSTER].keys()
            if proxy and not pair.receiver.routed() <= held:
                dangling.append((now.number, pair.receiver.routed(), set(held)))
            if not moved:
                break
    assert not dangling


@pytest.mark.parametrize("delta", [False, True])
def test_routes_move_to_another_cluster_without_a_gap(delta: bool) -> None:
    # The old cluster stays until the routes have left it; they leave once the new one is acknowledged.
    pair, seen = Pair(receiver(delta, routes=("way",))), list[tuple[set[str], set[str]]]()
    for n, name in enumerate(("web", "other", "web", "third")):
        now = state({name: TWO}, n + 1, way="way")
        for _ in range(40):
            pair.up()
            moved = pair.push(now)
            if moved and pair.said[-1].kind is ResourceType.ROUTES:
                assert not pair.stream.subscriptions[ResourceType.CLUSTER].unacknowledged
            moved = moved or pair.down()
            seen.append((pair.receiver.routed(), set(pair.receiver.resources[CLUSTER])))
            if not moved:
                break
        assert seen[-1] == ({name}, {name}) and pair.stream.converged(now)
    assert all(routed <= held for routed, held in seen)


def test_delta_tells_what_is_not_there_and_state_of_the_world_is_silent() -> None:
    now = state({"web": TWO})
    one = Stream(delta=True)
    one.on_delta_request(ResourceType.ENDPOINTS, ["nowhere"], (), {}, "", None)
    push = one.next_response(now)
    assert push and push.removed == ("nowhere",) and not push.resources
    one.on_delta_request(ResourceType.ENDPOINTS, (), (), {}, push.nonce, None)
    assert one.next_response(now) is None and one.converged(now)
    other = Stream()
    other.on_request(ResourceType.ENDPOINTS, ["nowhere"], "", "", None)
    assert other.next_response(now) is None


def test_an_old_nonce_and_a_strange_type_say_nothing_and_names_are_bounded() -> None:
    now, one = state({"web": TWO}), Stream()
    one.on_request(ResourceType.ENDPOINTS, ["web"], "", "", None)
    push = one.next_response(now)
    assert push and not one.on_request(ResourceType.ENDPOINTS, [], "", "77", "refused") and one.nacks == 0
    assert one.subscriptions[ResourceType.ENDPOINTS].names == {"web"}
    assert stream_codec.apply_request(one, discovery_pb2.DiscoveryRequest(type_url="of/nobody")) is None
    with pytest.raises(ReceiverLimitError):
        one.on_request(ResourceType.ENDPOINTS, map(str, range(20_000)), "", push.nonce, None)


def test_answers_are_made_once_for_all_receivers() -> None:
    now, writer, nonces = state({"web": TWO}), stream_codec.Writer("test"), set()
    for n in range(5):
        one = Stream()
        one.on_request(ResourceType.ENDPOINTS, ["other"] * n, "", "", None)  # their nonces differ
        one._nonce = n
        one.on_request(ResourceType.CLUSTER, [], "", "", None)
        push = one.next_response(now)
        assert push
        answer = discovery_pb2.DiscoveryResponse.FromString(writer.write(push, False))
        assert answer.type_url == CLUSTER and len(answer.resources) == 1 and answer.version_info[:2] == "1."
        nonces.add(answer.nonce)
    assert writer.encodings == 1 and len(nonces) == 5


class Histories(RuleBasedStateMachine):
    """Lists that change, answers that are late, refused and lost with their stream: at rest all agree."""

    def __init__(self) -> None:
        super().__init__()
        self.clusters = {"web": set(range(3))}
        self.number, self.urgent = 1, 0
        self.drained: set[int] = set()
        self.picky = 0

    @initialize(delta=strategies.booleans(), proxy=strategies.booleans())
    def begin(self, delta: bool, proxy: bool) -> None:
        self.pair = Pair(receiver(delta, proxy, taste=self.taste))
        self.proxy = proxy
        self.now = self.made()

    def taste(self, url: str, message: Any) -> str:
        self.picky -= self.picky > 0
        return "not now" if self.picky else ""

    def made(self) -> Snapshot:
        boxes = {name: [box(n) for n in sorted(which)] for name, which in self.clusters.items()}
        return state(boxes, self.number, self.urgent)

    @rule(name=strategies.sampled_from(["web", "other"]), add=strategies.integers(0, 9))
    def list_more(self, name: str, add: int) -> None:
        if add not in self.drained:
            self.clusters.setdefault(name, set()).add(add)
            self.number += 1
            self.now = self.made()

    @rule(gone=strategies.integers(0, 9))
    def drain(self, gone: int) -> None:
        if all(len(which - {gone}) for which in self.clusters.values()):
            self.drained.add(gone)
            for which in self.clusters.values():
                which.discard(gone)
            self.number, self.urgent = self.number + 1, self.urgent + 1
            self.now = self.made()

    @precondition(lambda self: "other" in self.clusters)
    @rule()
    def drop_cluster(self) -> None:
        del self.clusters["other"]
        self.number, self.urgent = self.number + 1, self.urgent + 1
        self.now = self.made()

    @rule(steps=strategies.lists(strategies.sampled_from(["up", "push", "down"]), max_size=12))
    def move(self, steps: list[str]) -> None:
        try:
            for step in steps:
                {"up": self.pair.up, "push": lambda: self.pair.push(self.now), "down": self.pair.down}[step]()
        except ReceiverLimitError:
            self.pair.reconnect()

    @rule()
    def reconnect(self) -> None:
        self.pair.reconnect()

    @rule(times=strategies.integers(1, 3))
    def refuse(self, times: int) -> None:
        self.picky = times + 1

    @invariant()
    def nothing_drained_comes_back(self) -> None:
        if not hasattr(self, "pair") or self.pair.on_way:
            return
        # What it was told last is all that it may use, and none of that was drained when it was told.
        if (
            not any(watch.unacknowledged for watch in self.pair.stream.subscriptions.values())
            and not self.picky
        ):
            last = self.pair.stream.subscriptions.get(ResourceType.ENDPOINTS)
            if last and last.urgent == self.urgent and not last.rejected:
                for name in self.clusters:
                    assert not self.pair.boxes(name) & self.drained

    @rule()
    def rest(self) -> None:
        self.picky = 0
        try:
            self.pair.settle(self.now)
        except ReceiverLimitError:
            self.pair.reconnect()
            self.pair.settle(self.now)
        assert self.pair.stream.converged(self.now)
        refused = {name for watch in self.pair.stream.subscriptions.values() for name in watch.rejected}
        held = self.pair.receiver.resources[CLUSTER].keys()
        if self.proxy and not refused:
            assert held == self.clusters.keys()
        assert refused or self.pair.receiver.routed() <= held
        for name, which in self.clusters.items():
            if name in held and name not in refused:
                assert self.pair.boxes(name) == which


Histories.TestCase.settings = settings(
    max_examples=100, stateful_step_count=30, derandomize=True, deadline=None
)
TestHistories = Histories.TestCase
