"""The table, compared with a plain dictionary."""

from __future__ import annotations

import random
import zlib

from firvane.fleet.membership.members import Member, Role, Status
from firvane.fleet.membership.table import Entry, Table
from tests.fleet.membership.strategies import make_member


def ring_key(member: Member) -> tuple[str, int, tuple[str, int]]:
    host, port = member.address
    return member.zone, zlib.crc32(f"{host}:{port}".encode()), member.address


def expected_neighbours(own: Member, live: list[Entry]) -> tuple[list[Entry], list[Entry]]:
    """Return the members before the owner in the ring, nearest first, and the members after it."""
    ordered = sorted(live, key=lambda entry: ring_key(entry.member))
    before = [entry for entry in ordered if ring_key(entry.member) < ring_key(own)]
    after = [entry for entry in ordered if ring_key(entry.member) > ring_key(own)]
    return (before[::-1] + after[::-1]), (after + before)


def test_random_changes_keep_ring_counts_and_checksums_correct() -> None:
    rng = random.Random(5)
    own = make_member(0)
    table, expected = Table(own), {}
    for step in range(2000):
        number = rng.randint(1, 25)
        role = rng.choice((Role.ROUTER, Role.CONTROLLER))
        member = make_member(number, incarnation=rng.randint(1, 3), role=role, zone=rng.choice("abc"))
        entry = Entry(member, rng.randint(0, 2), rng.choice(list(Status)), 0.0, 0.0)
        version, before = table.version, expected.get(member.address)
        if rng.random() < 0.2:
            table.remove(member.address)
            if before is not None and not before.is_live:
                del expected[member.address]
            continue
        table.put(entry)
        expected[member.address] = entry
        live = [e for e in expected.values() if e.is_live]
        predecessors, successors = expected_neighbours(own, live)
        assert list(table.predecessors()) == predecessors
        assert table.successor() == next((e for e in successors if e.status is Status.ALIVE), None)
        assert {e.member.address for e in table.live()} == {e.member.address for e in live}
        assert table.live_controllers == sum(e.member.role is Role.CONTROLLER for e in live)
        was_live = before is not None and before.is_live
        if was_live != entry.is_live or before is None or before.member != member:
            assert table.version > version
        if step % 50 == 0:
            check_checksums(own, table, expected)


def check_checksums(own: Member, table: Table, expected: dict[tuple[str, int], Entry]) -> None:
    """Check that checksums do not depend on the order of changes, and that one change alters one bucket."""
    other = Table(own)
    for entry in reversed(list(expected.values())):
        other.put(entry)
    assert other.summary() == table.summary()
    assert other.checksums() == table.checksums()
    other.put(Entry(make_member(99), 0, Status.ALIVE, 0.0, 0.0))
    differing = [
        i for i, (a, b) in enumerate(zip(table.checksums(), other.checksums(), strict=True)) if a != b
    ]
    assert len(differing) == 1
    assert make_member(99) in [entry.member for entry in other.entries_in_buckets(set(differing))]
    assert other.summary() != table.summary()


def test_a_suspicion_changes_the_checksums_and_a_tombstone_does_not() -> None:
    own = make_member(0)
    alive, suspected, dead, empty = (Table(own) for _ in range(4))
    alive.put(Entry(make_member(1), 0, Status.ALIVE, 0.0, 0.0))
    suspected.put(Entry(make_member(1), 0, Status.SUSPECT, 0.0, 0.0))
    dead.put(Entry(make_member(1), 0, Status.DEAD, 0.0, 0.0))
    assert alive.summary() != suspected.summary()
    assert dead.summary() == empty.summary()


def test_the_owners_stamp_changes_the_checksums() -> None:
    own = make_member(0)
    table = Table(own)
    before = table.summary()
    table.update_own(own, 1)
    assert table.summary() != before
