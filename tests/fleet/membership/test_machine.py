"""`Membership` machines connected in memory: failure detection, indirect probes, suspensions, leaving."""

from __future__ import annotations

import itertools
import random
from collections.abc import Iterable

import pytest

from firvane.core.address import Address
from firvane.fleet.membership.codec import Kind, Message, MessageError, decode_message, encode_message
from firvane.fleet.membership.machine import FREEZE_THRESHOLD_S, MAX_JOIN_BACKOFF_S, Membership
from firvane.fleet.membership.members import Member, Record, Role, Status
from firvane.fleet.membership.outbox import Send
from firvane.fleet.membership.probes import DIRECT_TIMEOUT_S, INDIRECT_TIMEOUT_S
from tests.fleet.membership.strategies import make_member

STEP = 0.01


class Group:
    """Machines whose messages are delivered immediately, on a clock that advances in steps."""

    def __init__(self, count: int, seeds: Iterable[int] = (1,)) -> None:
        self.now = 50.0
        self.down: set[Address] = set()
        self.blocked: set[tuple[Address, Address]] = set()
        self.sent: list[tuple[float, Address, Address, Message]] = []
        self.seeds = [make_member(number).address for number in seeds]
        self.machines: dict[Address, Membership] = {}
        for number in range(1, count + 1):
            self.start(make_member(number, role=Role.CONTROLLER if number == 1 else Role.ROUTER, zone="a"))

    def start(self, member: Member) -> Membership:
        rng = random.Random(hash(member.address[1]) + member.incarnation)
        machine = self.machines[member.address] = Membership(member, self.seeds, rng, self.now)
        return machine

    def run(self, seconds: float) -> None:
        end = self.now + seconds
        while self.now < end:
            for address in list(self.machines):
                machine = self.machines[address]
                if address not in self.down and machine.deadline() <= self.now:
                    self.deliver(address, machine.tick(self.now))
            self.now += STEP

    def deliver(self, source: Address, sends: list[Send]) -> None:
        for send in sends:
            self.sent.append((self.now, source, send.to, decode_message(send.payload)))
            machine = self.machines.get(send.to)
            if machine is None or send.to in self.down or (source, send.to) in self.blocked:
                continue
            self.deliver(send.to, machine.receive(source, send.payload, self.now))

    def members_known_to(self, number: int) -> set[int]:
        machine = self.machines[make_member(number).address]
        return {int(member.address[0].split(".")[-1]) for member in machine.members()}

    def sent_kinds(self, since: float) -> set[Kind]:
        return {message.kind for when, _, _, message in self.sent if when >= since}


def test_all_join_through_a_seed_and_then_send_only_heartbeats() -> None:
    group = Group(5)
    group.run(1.0)
    assert all(group.members_known_to(number) == {1, 2, 3, 4, 5} for number in range(1, 6))
    settled_at = group.now
    group.run(5.0)
    assert group.sent_kinds(settled_at) == {Kind.HEARTBEAT}
    assert sum(when >= settled_at for when, *_ in group.sent) <= 5 * 11


def test_all_members_remove_a_dead_member_within_the_bound() -> None:
    group = Group(6)
    group.run(2.0)
    group.down.add(make_member(4).address)
    group.run(0.85)
    assert group.members_known_to(1) == {1, 2, 3, 4, 5, 6}
    group.run(1.65)
    assert all(group.members_known_to(number) == {1, 2, 3, 5, 6} for number in (1, 2, 3, 5, 6))


def test_indirect_probes_keep_a_member_alive_that_its_successor_cannot_reach() -> None:
    group = Group(5)
    group.run(2.0)
    target = make_member(3).address
    successor = group.machines[target].successor()
    assert successor is not None
    group.blocked |= {(target, successor), (successor, target)}
    settled_at = group.now
    group.run(10.0)
    assert Kind.PROBE_REQUEST in group.sent_kinds(settled_at)
    assert all(group.members_known_to(number) == {1, 2, 3, 4, 5} for number in range(1, 6))


def test_a_resumed_process_suspects_no_member_and_refutes_its_death() -> None:
    group = Group(5)
    group.run(2.0)
    suspended = make_member(2).address
    group.down.add(suspended)
    group.run(6.0)
    assert group.members_known_to(1) == {1, 3, 4, 5}
    group.down.remove(suspended)
    resumed_at = group.now
    group.run(0.3)
    assert all(group.members_known_to(number) == {1, 2, 3, 4, 5} for number in range(1, 6))
    suspects = [
        record
        for when, source, _, message in group.sent
        for record in message.records
        if when >= resumed_at and source == suspended and record.status is Status.SUSPECT
    ]
    assert suspects == []


@pytest.mark.parametrize(
    ("silence", "is_suspended"), [(FREEZE_THRESHOLD_S, False), (FREEZE_THRESHOLD_S + 0.01, True)]
)
def test_only_a_long_gap_of_its_timer_counts_as_a_suspension(silence: float, is_suspended: bool) -> None:
    machine = machine_that_knows(make_member(2, zone="a"))
    kinds = [decode_message(send.payload).kind for send in machine.tick(silence)]
    assert (Kind.PROBE not in kinds) == is_suspended


def test_a_leaving_member_is_removed_at_once_and_sends_nothing_more() -> None:
    group = Group(5)
    group.run(2.0)
    leaving = make_member(3).address
    group.deliver(leaving, group.machines[leaving].leave(group.now))
    assert group.members_known_to(1) == {1, 2, 4, 5}
    settled_at = group.now
    group.run(5.0)
    assert all(source != leaving for when, source, *_ in group.sent if when > settled_at)
    assert all(group.members_known_to(number) == {1, 2, 4, 5} for number in (1, 2, 4, 5))


def test_announcements_are_repeated_with_backoff_while_no_controller_is_known() -> None:
    machine = Membership(make_member(2), [make_member(1).address], random.Random(1), 0.0)
    times = []
    now = 0.0
    while now < 10.0:
        if any(send.is_join for send in machine.tick(now)):
            times.append(now)
        now = max(machine.deadline(), now + 1e-6)
    intervals = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert intervals[0] < 0.2 < intervals[-1] <= 1.2 * MAX_JOIN_BACKOFF_S + 1e-6
    assert 10 <= len(times) <= 16


def test_a_process_restarted_at_a_known_address_rejoins_though_its_seeds_are_dead() -> None:
    group = Group(5)
    group.run(2.0)
    address = make_member(4).address
    group.down.add(address)
    group.run(10.0)
    group.down.remove(address)
    group.seeds = [make_member(77).address]
    group.start(make_member(4, incarnation=9, zone="a"))
    group.run(3.0)
    assert group.members_known_to(4) == {1, 2, 3, 4, 5}
    assert all(4 in group.members_known_to(number) for number in (1, 2, 3, 5))


def test_a_message_whose_first_record_is_not_the_senders_is_rejected() -> None:
    machine = Membership(make_member(1), [], random.Random(1), 0.0)
    payload = Membership(make_member(2), [make_member(1).address], random.Random(1), 0.0).tick(0.0)[0].payload
    with pytest.raises(MessageError):
        machine.receive(make_member(3).address, payload, 0.0)
    with pytest.raises(MessageError):
        machine.receive(make_member(3).address, encode_message(Message(Kind.UPDATE)), 0.0)
    assert machine.members() == [make_member(1)]


def test_own_messages_and_wrong_checksums_are_ignored() -> None:
    group = Group(3)
    group.run(1.0)
    first = group.machines[make_member(1).address]
    for send in group.machines[make_member(2).address].tick(group.now + 0.5):
        first.receive(make_member(2).address, send.payload, group.now + 0.5)
    own = make_member(1, role=Role.CONTROLLER, zone="a").address
    copy = Membership(make_member(1), [make_member(2).address], random.Random(1), 0.0).tick(0.0)[0]
    assert first.receive(own, copy.payload, group.now + 0.5) == []
    assert group.members_known_to(1) == {1, 2, 3}


def message_from(member: Member, kind: Kind, *others: Record, **fields: int) -> bytes:
    """Return a message with the member as its sender."""
    return encode_message(Message(kind, (Record(member, 0, Status.ALIVE), *others), **fields))


def machine_that_knows(*members: Member) -> Membership:
    """Return a machine that has just received a message from each of `members`."""
    machine = Membership(make_member(1, zone="a"), [], random.Random(1), 0.0)
    for member in members:
        machine.receive(member.address, message_from(member, Kind.CORRECTION), 0.0)
    return machine


def test_a_probe_delayed_by_a_process_suspension_causes_no_suspicion() -> None:
    target = make_member(2, zone="a")
    machine = machine_that_knows(target)
    now = 0.0
    while not any(decode_message(send.payload).kind is Kind.PROBE for send in machine.tick(now)):
        now = machine.deadline()
    later = now + 60.0
    for _ in range(3):
        machine.tick(later)
        later = min(machine.deadline(), later + 0.2)
    assert [member.address for member in machine.members()] == [make_member(1).address, target.address]
    assert machine.summary() == machine_that_knows(target).summary()


def test_a_suspicion_interrupted_by_a_process_suspension_restarts() -> None:
    target = make_member(2, zone="a")
    machine = machine_that_knows(target)
    report = Record(target, 0, Status.SUSPECT, 0.5)
    other = make_member(3, zone="a")
    machine.receive(other.address, message_from(other, Kind.UPDATE, report), 0.1)
    machine.tick(60.0)
    assert target in machine.members()


def test_a_member_believed_dead_is_sent_a_correction_for_any_message() -> None:
    member, other = make_member(2, zone="a"), make_member(3, zone="a")
    machine = machine_that_knows(member, other)
    left = Record(member, 0, Status.LEFT)
    machine.receive(other.address, message_from(other, Kind.UPDATE, left), 0.1)
    sends = machine.receive(member.address, message_from(member, Kind.ACK), 0.2)
    corrections = [decode_message(send.payload) for send in sends if send.to == member.address]
    assert [correction.kind for correction in corrections] == [Kind.CORRECTION]
    assert Record(member, 0, Status.LEFT) in corrections[0].records


def test_one_comparison_repairs_both_tables() -> None:
    first, second = make_member(1, zone="a"), make_member(2, zone="a")
    only_first, only_second = make_member(3, zone="a"), make_member(4, zone="a")
    machines = {
        first.address: Membership(first, [], random.Random(1), 0.0),
        second.address: Membership(second, [first.address], random.Random(2), 0.0),
    }
    for machine, member in ((machines[first.address], only_first), (machines[second.address], only_second)):
        machine.receive(member.address, message_from(member, Kind.CORRECTION), 0.0)
    pending = [(second.address, send) for send in machines[second.address].tick(0.0)]
    while pending:
        source, send = pending.pop(0)
        if send.to in machines:
            answers = machines[send.to].receive(source, send.payload, 0.0)
            pending += [(send.to, answer) for answer in answers]
    all_members = {first, second, only_first, only_second}
    assert all(set(machine.members()) == all_members for machine in machines.values())


def test_a_reported_death_is_accepted_after_one_unanswered_probe() -> None:
    dead, other = make_member(2, zone="a"), make_member(3, zone="a")
    machine = machine_that_knows(dead, other)
    machine.tick(0.0)
    report = Record(dead, 0, Status.DEAD)
    sends = machine.receive(other.address, message_from(other, Kind.RECORDS, report), 0.3)
    [probe] = [decode_message(send.payload) for send in sends if send.to == dead.address]
    assert probe.kind is Kind.PROBE and report in probe.records
    now = 0.3
    while now < 0.3 + DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S:
        assert dead in machine.members()
        now = min(machine.deadline(), 0.3 + DIRECT_TIMEOUT_S + INDIRECT_TIMEOUT_S)
        machine.receive(other.address, message_from(other, Kind.CORRECTION), now)
        machine.tick(now)
    machine.tick(now + 0.01)
    assert dead not in machine.members()


def test_a_process_without_members_requests_the_table_of_the_first_sender() -> None:
    seed, first_sender = make_member(9, zone="a"), make_member(2, zone="a")
    machine = Membership(make_member(1, zone="a"), [seed.address], random.Random(1), 0.0)
    sends = machine.receive(first_sender.address, message_from(first_sender, Kind.PROBE), 0.5)
    assert [(send.to, send.is_join) for send in sends] == [
        (first_sender.address, True),
        (first_sender.address, False),
    ]
    assert decode_message(sends[0].payload).kind is Kind.COMPARE
    second_sends = machine.receive(first_sender.address, message_from(first_sender, Kind.PROBE), 0.6)
    assert [decode_message(send.payload).kind for send in second_sends] == [Kind.ACK]
