"""The rules by which a view merges records."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from firvane.fleet.membership.codec import MAX_COUNTER, MAX_INCARNATION
from firvane.fleet.membership.failed_members import INITIAL_BACKOFF_S
from firvane.fleet.membership.members import Record, Status
from firvane.fleet.membership.view import MAX_MEMBERS, SUSPICION_TIMEOUT_S, TOMBSTONE_LIFETIME_S, MemberView
from tests.fleet.membership.strategies import make_member

OWN, OTHER = make_member(0, incarnation=10), make_member(1, incarnation=10)
NOW = 100.0


def make_view() -> MemberView:
    return MemberView(OWN, random.Random(1))


def report(
    status: Status, counter: int = 0, incarnation: int = 10, number: int = 1, age: float = 0
) -> Record:
    return Record(make_member(number, incarnation), counter, status, age)


def status_of(view: MemberView, number: int = 1) -> Status | None:
    entry = view.table.get(make_member(number).address)
    return None if entry is None else entry.status


small_reports = st.builds(
    report,
    st.sampled_from((Status.ALIVE, Status.SUSPECT, Status.LEFT)),
    st.integers(0, 2),
    st.integers(10, 11),
    st.integers(1, 3),
)


@settings(derandomize=True, deadline=None)
@given(st.lists(small_reports, max_size=12), st.randoms(use_true_random=False))
def test_the_order_of_reports_does_not_matter(reports: list[Record], rng: random.Random) -> None:
    first, second = make_view(), make_view()
    shuffled = [*reports, *reports]
    rng.shuffle(shuffled)
    for record in reports:
        first.merge(record, NOW)
    for record in shuffled:
        second.merge(record, NOW)
    for number in (1, 2, 3):
        address = make_member(number).address
        first_entry, second_entry = first.table.get(address), second.table.get(address)
        assert (first_entry is None) == (second_entry is None)
        if first_entry is not None and second_entry is not None:
            assert (first_entry.stamp, first_entry.status) == (second_entry.stamp, second_entry.status)
    assert first.table.summary() == second.table.summary()


@settings(derandomize=True, deadline=None)
@given(st.lists(small_reports, max_size=12))
def test_stamps_never_decrease(reports: list[Record]) -> None:
    view = make_view()
    for record in reports:
        entry = view.table.get(record.member.address)
        before = (entry.stamp, entry.status) if entry is not None else ((0, 0), Status.ALIVE)
        view.merge(record, NOW)
        after = view.table.get(record.member.address)
        assert after is not None
        assert (after.stamp, after.status) >= before


def test_a_suspicion_ends_by_its_age_and_leaves_a_tombstone() -> None:
    view = make_view()
    view.merge(report(Status.SUSPECT, age=0.6), NOW)
    due = NOW - 0.6 + SUSPICION_TIMEOUT_S
    assert view.deadline() == pytest.approx(due)
    view.table.live()[0].last_received_at = 0.0
    assert view.confirm_deaths(due - 0.01) == []
    assert status_of(view) is Status.SUSPECT
    view.confirm_deaths(due)
    assert status_of(view) is Status.DEAD
    view.merge(report(Status.ALIVE), due + 1)
    assert status_of(view) is Status.DEAD
    assert view.failed_members.next_probe_target(due + INITIAL_BACKOFF_S) == OTHER.address
    view.remove_expired_tombstones(due + TOMBSTONE_LIFETIME_S - 0.1)
    assert status_of(view) is Status.DEAD
    view.remove_expired_tombstones(due + TOMBSTONE_LIFETIME_S)
    assert status_of(view) is None


def test_the_suspicion_of_a_member_that_sent_a_message_restarts() -> None:
    view = make_view()
    view.merge(report(Status.ALIVE), NOW)
    view.suspect(OTHER.address, NOW)
    view.table.live()[0].last_received_at = NOW + 0.5
    assert view.confirm_deaths(NOW + SUSPICION_TIMEOUT_S) == [OTHER.address]
    assert status_of(view) is Status.SUSPECT
    assert view.confirm_deaths(NOW + 2 * SUSPICION_TIMEOUT_S) == []
    assert status_of(view) is Status.DEAD


def test_a_higher_counter_refutes_a_suspicion_and_a_death() -> None:
    view = make_view()
    view.merge(report(Status.SUSPECT), NOW)
    view.merge(report(Status.ALIVE, counter=1), NOW)
    assert status_of(view) is Status.ALIVE
    assert view.deadline() == float("inf")
    view.mark_dead(OTHER.address, NOW)
    assert status_of(view) is Status.DEAD
    view.merge(report(Status.ALIVE, counter=2), NOW)
    assert status_of(view) is Status.ALIVE
    assert view.failed_members.deadline() == float("inf")


def test_a_reported_death_of_a_live_member_requires_a_probe() -> None:
    view = make_view()
    view.merge(report(Status.ALIVE, counter=1), NOW)
    assert view.merge(report(Status.DEAD, counter=1), NOW)
    assert view.merge(report(Status.DEAD, counter=2), NOW)
    assert not view.merge(report(Status.DEAD, counter=0), NOW)
    assert status_of(view) is Status.ALIVE


def test_a_member_that_leaves_is_removed_at_once_and_not_probed() -> None:
    view = make_view()
    view.merge(report(Status.ALIVE), NOW)
    version = view.table.version
    view.merge(report(Status.LEFT), NOW)
    assert status_of(view) is Status.LEFT
    assert view.table.live() == []
    assert view.table.version > version
    assert view.failed_members.deadline() == float("inf")
    view.merge(report(Status.ALIVE, incarnation=11), NOW)
    assert status_of(view) is Status.ALIVE


@pytest.mark.parametrize("status", [Status.SUSPECT, Status.DEAD, Status.LEFT])
def test_a_report_about_this_process_is_refuted_by_the_counter(status: Status) -> None:
    view = make_view()
    view.merge(Record(OWN, 4, status), NOW)
    assert view.own == OWN
    view.merge(Record(OWN, 4, status), NOW)
    other = MemberView(OTHER, random.Random(1))
    other.merge(Record(OWN, 4, status), NOW)
    other.merge(_own_record(view), NOW)
    assert other.table.live()[0].stamp == (10, 5)


def test_a_restart_with_a_lower_incarnation_raises_it_above_the_known_one() -> None:
    view = make_view()
    view.merge(Record(replace(OWN, incarnation=50), 3, Status.ALIVE), NOW)
    assert view.own.incarnation == 51
    assert OWN.address in view.pending_updates
    view.merge(Record(replace(OWN, incarnation=20), 9, Status.DEAD), NOW)
    assert view.own.incarnation == 51


def test_stamps_at_their_limits_are_handled() -> None:
    view = make_view()
    view.merge(Record(OWN, MAX_COUNTER, Status.DEAD), NOW)
    assert view.own.incarnation == 11
    view.merge(Record(replace(OWN, incarnation=MAX_INCARNATION), 0, Status.DEAD), NOW)
    assert view.own.incarnation == 11


def test_the_number_of_members_is_bounded() -> None:
    view = make_view()
    for number in range(MAX_MEMBERS + 10):
        member = replace(OTHER, address=(f"10.{number // 250}.{number % 250}.1", 7300))
        view.merge(Record(member, 0, Status.ALIVE), NOW)
    assert len(view.table) == MAX_MEMBERS


def test_only_mutual_deaths_of_current_incarnations_are_a_partition() -> None:
    view = make_view()
    view.merge(report(Status.DEAD), NOW)
    sender, claim = report(Status.ALIVE), Record(OWN, 0, Status.DEAD)
    assert view.was_partitioned(sender, (sender, claim))
    assert not view.was_partitioned(sender, (sender,))
    assert not view.was_partitioned(report(Status.ALIVE, counter=1), (sender, claim))
    assert not view.was_partitioned(sender, (sender, Record(OWN, 1, Status.DEAD)))
    view.remove_dead_members()
    assert status_of(view) is None


def test_a_record_from_anti_entropy_is_not_forwarded() -> None:
    view = make_view()
    view.merge(report(Status.ALIVE), NOW, is_update=False)
    view.merge(report(Status.ALIVE, number=2), NOW)
    assert list(view.pending_updates) == [make_member(2).address]
    view.merge(report(Status.ALIVE, counter=1), NOW, is_update=False)
    assert OTHER.address in view.pending_updates


def _own_record(view: MemberView) -> Record:
    from firvane.fleet.membership.codec import Kind, Message, decode_message, encode_message

    return decode_message(encode_message(Message(Kind.CORRECTION), [view.own_record()])).records[0]
