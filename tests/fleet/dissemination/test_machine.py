"""`Dissemination` machines connected in memory."""

from __future__ import annotations

import random

import pytest

from firvane.core.address import Address
from firvane.fleet.dissemination.codec import (
    Kind,
    Message,
    MessageError,
    Version,
    decode_message,
    encode_message,
)
from firvane.fleet.dissemination.items import Item
from firvane.fleet.dissemination.machine import (
    BUSY_DIGEST_INTERVAL_S,
    BUSY_DURATION_S,
    DIGEST_INTERVAL_S,
    Dissemination,
    Output,
)
from firvane.fleet.dissemination.peers import FANOUT, Peer, PeerSet

SMALL, LARGE = Item(b"small", 3, b"x" * 30), Item(b"large", 5, b"y" * 30_000)


def address(number: int) -> Address:
    return f"10.0.0.{number}", 7300


class Group:
    """Machines in one zone, each with all others as peers.

    Messages are delivered immediately, except from and to the machines in `unreachable`.
    """

    def __init__(self, count: int) -> None:
        self.now = 10.0
        self.unreachable: set[Address] = set()
        self.sent: list[tuple[Address, Address, Message]] = []
        self.learned: dict[Address, list[Item]] = {}
        self.machines = {address(n): Dissemination(random.Random(n), self.now) for n in range(count)}
        for own, machine in self.machines.items():
            others = [Peer(other, "a") for other in self.machines if other != own]
            machine.set_peers(PeerSet("a", others, others[0].address if others else None))
            self.learned[own] = []

    def deliver(self, source: Address, output: Output) -> None:
        self.learned[source] += output.learned
        for send in output.sends:
            self.sent.append((source, send.to, decode_message(send.payload)))
            if send.to not in self.unreachable and source not in self.unreachable:
                self.deliver(send.to, self.machines[send.to].receive(source, send.payload, self.now))

    def tick(self, number: int) -> None:
        self.deliver(address(number), self.machines[address(number)].tick(self.now))

    def holder_count(self, item: Item) -> int:
        return sum(machine.item(item.key) == item for machine in self.machines.values())

    def payload_receivers(self, item: Item) -> list[Address]:
        return [to for _, to, message in self.sent if item in message.items]


@pytest.mark.parametrize("item", [SMALL, LARGE])
def test_an_item_reaches_a_small_group_at_once_and_its_publisher_does_not_learn_it(item: Item) -> None:
    group = Group(5)
    group.deliver(address(0), group.machines[address(0)].publish(item, group.now))
    assert group.holder_count(item) == 5
    assert all(group.learned[address(number)] == [item] for number in range(1, 5))
    assert group.learned[address(0)] == []


def test_a_large_payload_is_sent_once_to_each_process() -> None:
    group = Group(8)
    group.deliver(address(0), group.machines[address(0)].publish(LARGE, group.now))
    receivers = group.payload_receivers(LARGE)
    assert len(receivers) == len(set(receivers)) == group.holder_count(LARGE) - 1


def test_an_item_that_is_not_newer_is_not_published() -> None:
    group = Group(2)
    group.deliver(address(0), group.machines[address(0)].publish(SMALL, group.now))
    for version in (1, 3):
        output = group.machines[address(0)].publish(Item(b"small", version, b"other"), group.now)
        assert output.sends == []
    assert group.machines[address(0)].item(b"small") == SMALL
    assert group.machines[address(0)].item(b"none") is None


@pytest.mark.parametrize("requester", [0, 1])
def test_a_digest_repairs_in_both_directions(requester: int) -> None:
    group = Group(2)
    group.unreachable.add(address(1))
    group.deliver(address(0), group.machines[address(0)].publish(SMALL, group.now))
    group.deliver(address(0), group.machines[address(0)].publish(LARGE, group.now))
    group.deliver(address(1), group.machines[address(1)].publish(Item(b"third", 1, b""), group.now))
    group.unreachable.clear()
    group.now += DIGEST_INTERVAL_S
    group.tick(requester)
    for item in (SMALL, LARGE, Item(b"third", 1, b"")):
        assert group.holder_count(item) == 2
    group.sent.clear()
    group.now += DIGEST_INTERVAL_S
    group.tick(requester)
    assert [message.kind for _, _, message in group.sent] == [Kind.SUMMARY]


def test_an_older_payload_changes_nothing_and_is_not_forwarded() -> None:
    group = Group(4)
    machine = group.machines[address(0)]
    machine.publish(SMALL, group.now)
    older = encode_message(Message(Kind.PUSH, items=(Item(b"small", 2, b"old"), SMALL)))
    output = machine.receive(address(1), older, group.now)
    assert (output.learned, output.sends) == ([], [])
    assert machine.item(b"small") == SMALL


def test_a_repair_is_forwarded_only_with_an_older_version() -> None:
    group = Group(4)
    machine = group.machines[address(0)]
    repair = encode_message(Message(Kind.REPAIR, items=(SMALL,)))
    output = machine.receive(address(1), repair, group.now)
    assert output.learned == [SMALL] and output.sends == []
    newer = Item(b"small", 4, b"")
    output = machine.receive(address(1), encode_message(Message(Kind.REPAIR, items=(newer,))), group.now)
    assert output.learned == [newer] and output.sends != []


def test_a_request_for_a_missing_payload_is_rejected_and_then_sent_to_the_announcer() -> None:
    group = Group(3)
    requester, source, announcer = address(0), address(1), address(2)
    peers = [Peer(source, "a", is_source=True), Peer(announcer, "a")]
    group.machines[requester].set_peers(PeerSet("a", peers, None))
    group.unreachable |= {requester, source}
    group.deliver(announcer, group.machines[announcer].publish(LARGE, group.now))
    group.unreachable.clear()
    group.sent.clear()
    digest = group.machines[announcer].digest_message()
    group.deliver(requester, group.machines[requester].receive(announcer, digest, group.now))
    assert group.machines[requester].item(b"large") == LARGE
    kinds = [(sender, message.kind) for sender, to, message in group.sent if to in (requester, source)]
    assert kinds[:2] == [(requester, Kind.REQUEST), (source, Kind.REJECT)]


def test_an_announcement_is_forwarded_once_before_its_payload_arrives() -> None:
    machine = Dissemination(random.Random(1), 0.0)
    peers = [Peer(address(number), "a", is_source=number == 1) for number in range(1, 9)]
    machine.set_peers(PeerSet("a", peers, address(5)))
    updates = encode_message(Message(Kind.ANNOUNCE, (Version(LARGE.key, LARGE.version, len(LARGE.payload)),)))
    first = [decode_message(send.payload).kind for send in machine.receive(address(8), updates, 0.0).sends]
    assert first == [Kind.REQUEST] + [Kind.ANNOUNCE] * FANOUT
    assert machine.receive(address(7), updates, 0.0).sends == []
    payload = encode_message(Message(Kind.PUSH, items=(LARGE,)))
    output = machine.receive(address(1), payload, 0.1)
    assert (output.learned, output.sends) == ([LARGE], [])


def test_digests_are_more_frequent_after_a_change() -> None:
    machine = Dissemination(random.Random(1), 0.0)
    machine.set_peers(PeerSet("a", [Peer(address(1), "a")], None))
    machine.tick(0.0)
    assert machine.deadline() == DIGEST_INTERVAL_S
    machine.publish(SMALL, 0.2)
    assert machine.deadline() == 0.2 + BUSY_DIGEST_INTERVAL_S
    now, times = 0.2, []
    while now < 12:
        now = machine.deadline()
        times.append(now)
        assert machine.tick(now).sends != []
    busy = [when for when in times if when <= 0.2 + BUSY_DURATION_S]
    assert len(busy) == round(BUSY_DURATION_S / BUSY_DIGEST_INTERVAL_S)
    assert times[-1] - times[-2] == DIGEST_INTERVAL_S


def test_invalid_bytes_raise_a_message_error() -> None:
    with pytest.raises(MessageError):
        Dissemination(random.Random(1), 0.0).receive(address(1), b"nonsense", 0.0)


class Pair:
    """A machine that withholds the items in `withheld`, and a joining machine without items."""

    def __init__(self) -> None:
        self.withheld: set[bytes] = set()
        self.holder = Dissemination(random.Random(1), 10.0, lambda key: key in self.withheld)
        self.joiner = Dissemination(random.Random(2), 10.0)
        for machine, other in ((self.holder, 1), (self.joiner, 0)):
            machine.set_peers(PeerSet("a", [Peer(address(other), "a")], address(other)))

    def exchange(self) -> None:
        """Deliver the messages that the machines exchange on a join, until there are no more."""
        pending = [(0, self.holder.digest_message()), (1, self.joiner.digest_message())]
        pending.append((1, self.joiner.summary_message()))
        while pending:
            source, payload = pending.pop(0)
            receiver = self.joiner if source == 0 else self.holder
            output = receiver.receive(address(source), payload, 10.0)
            pending += [(1 - source, send.payload) for send in output.sends]


@pytest.mark.parametrize("item", [SMALL, LARGE])
def test_a_withheld_item_is_not_offered(item: Item) -> None:
    pair = Pair()
    pair.holder.publish(item, 10.0)
    pair.withheld.add(item.key)
    assert decode_message(pair.holder.digest_message()).versions == ()
    pair.exchange()
    request = encode_message(Message(Kind.REQUEST, (Version(item.key, item.version, len(item.payload)),)))
    answer = pair.holder.receive(address(1), request, 10.0)
    assert [decode_message(send.payload).kind for send in answer.sends] == [Kind.REJECT]
    assert pair.joiner.item(item.key) is None
    pair.withheld.clear()
    pair.exchange()
    assert pair.joiner.item(item.key) == item


def test_only_withheld_items_are_omitted() -> None:
    pair = Pair()
    pair.holder.publish(SMALL, 10.0)
    pair.holder.publish(LARGE, 10.0)
    pair.withheld.add(SMALL.key)
    pair.exchange()
    assert pair.joiner.item(SMALL.key) is None
    assert pair.joiner.item(LARGE.key) == LARGE


def test_updates_are_stored_and_forwarded_even_if_withheld() -> None:
    pair = Pair()
    pair.withheld.add(SMALL.key)
    push = encode_message(Message(Kind.PUSH, items=(SMALL,)))
    output = pair.holder.receive(address(9), push, 10.0)
    assert output.learned == [SMALL]
    assert [send.to for send in output.sends] == [address(1)]
