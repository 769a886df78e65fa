"""Membership and dissemination of one process together: shared payloads, and invalid payloads."""

from __future__ import annotations

import contextlib
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.core.address import Address
from firvane.fleet.cluster.core import MAX_PAYLOAD_BYTES, ClusterCore, PayloadError
from firvane.fleet.cluster.envelope import Plane, Section, decode_envelope, encode_envelope
from firvane.fleet.dissemination.items import Item
from firvane.fleet.membership.members import Member, Role

ONE, TWO = ("10.0.0.1", 7300), ("10.0.0.2", 7300)


def make_core(address: Address, seeds: list[Address], role: Role = Role.ROUTER) -> ClusterCore:
    return ClusterCore(Member(address, role, "a", None, 1), seeds, random.Random(1), 0.0)


def make_pair() -> tuple[ClusterCore, ClusterCore]:
    """Return two cores that have joined each other."""
    first, second = make_core(ONE, [], Role.CONTROLLER), make_core(TWO, [ONE])
    pending = [(TWO, to, payload) for to, payload in second.tick(0.0).sends]
    while pending:
        source, to, payload = pending.pop(0)
        core = {ONE: first, TWO: second}[to]
        pending += [(to, *send) for send in core.receive(source, payload, 0.0).sends]
    return first, second


def test_a_join_carries_the_digest_and_its_answer_members_and_items() -> None:
    first, second = make_core(ONE, [], Role.CONTROLLER), make_core(TWO, [ONE])
    first.publish(Item(b"configuration", 1, b"x"), 0.0)
    [(to, payload)] = second.tick(0.0).sends
    assert to == ONE
    assert [section.plane for section in decode_envelope(payload)] == [Plane.MEMBERSHIP, Plane.DISSEMINATION]
    effects = first.receive(TWO, payload, 0.0)
    assert effects.members_changed
    assert len(effects.sends) == 1 and len(effects.sends[0][1]) <= MAX_PAYLOAD_BYTES
    answer = second.receive(ONE, effects.sends[0][1], 0.0)
    assert [item.key for item in answer.learned] == [b"configuration"]
    assert answer.members_changed
    assert len(second.members()) == 2
    assert [member.address for member in second.members(Role.CONTROLLER)] == [ONE]


def test_the_heartbeat_and_the_digest_to_one_peer_share_a_datagram() -> None:
    first, _ = make_pair()
    now = first.deadline()
    sends = []
    while not any(to == TWO and len(decode_envelope(payload)) > 2 for to, payload in sends):
        now = max(now, first.deadline())
        sends = first.tick(now).sends
        assert now < 5.0
    assert len(sends) == 1


def test_sections_before_an_invalid_one_take_effect() -> None:
    first, second = make_pair()
    first.publish(Item(b"a", 1, b"x"), 1.0)
    push = next(payload for to, payload in first.publish(Item(b"b", 1, b"x"), 1.0).sends if to == TWO)
    damaged = encode_envelope([*decode_envelope(push), Section(Plane.SUMMARY, b"?")])
    with pytest.raises(PayloadError):
        second.receive(ONE, damaged, 1.0)
    assert [item.key for item in second.tick(1.1).learned] == [b"b"]


@settings(derandomize=True, deadline=None)
@given(st.sampled_from(Plane), st.binary(max_size=80))
def test_invalid_payloads_raise_only_payload_errors(plane: Plane, content: bytes) -> None:
    _, second = make_pair()
    for payload in (content, encode_envelope([Section(plane, content)])):
        with contextlib.suppress(PayloadError):
            second.receive(ONE, payload, 1.0)
    assert {member.address for member in second.members()} >= {ONE, TWO}


def test_the_seeds_can_be_replaced() -> None:
    core = make_core(TWO, [ONE])
    core.set_seeds([("10.0.0.9", 7300), TWO])
    assert [to for to, _ in core.tick(0.0).sends] == [("10.0.0.9", 7300)]


def test_a_leaving_core_notifies_its_peers() -> None:
    first, second = make_pair()
    for to, payload in second.leave(1.0).sends:
        assert to == ONE
        assert first.receive(TWO, payload, 1.0).members_changed
    assert [member.address for member in first.members()] == [ONE]
