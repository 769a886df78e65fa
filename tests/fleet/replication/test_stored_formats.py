"""The encoding of journal records and snapshots: fixed bytes that every version must read and write."""

from __future__ import annotations

import pytest

from firvane.fleet.replication.core import Recovered, Write
from firvane.fleet.replication.entry_codec import decode_snapshot, encode_snapshot
from firvane.fleet.replication.members_codec import encode_members
from firvane.fleet.replication.records import decode_journal, encode_origin, encode_write
from firvane.fleet.replication.types import Entry, EntryKind, HardState, Member, Snapshot

MEMBERS = (Member(("127.0.0.1", 7300), 101), Member(("10.0.0.2", 7301), 2**63 + 5))
MEMBERS_HEX = "027f000001841c65000000000000000a000002851c0500000000000080"
ENTRIES = (
    Entry(1, 0, EntryKind.MEMBERS, bytes.fromhex(MEMBERS_HEX)),
    Entry(2, 7, EntryKind.NOOP),
    Entry(3, 7, EntryKind.COMMAND, b"order"),
)
WRITE_HEX = (
    "010207000000000000006500000000000000",
    "010301000000000000000000000000000000021d000000" + MEMBERS_HEX,
    "0103020000000000000007000000000000000000000000",
    "01030300000000000000070000000000000001050000006f72646572",
)
SNAPSHOT = Snapshot(3, 7, 1, MEMBERS, b"state")
SNAPSHOT_HEX = (
    "030000000000000007000000000000000100000000000000" + "0205000000" + MEMBERS_HEX[2:] + "7374617465"
)


def test_write_encoding_is_fixed() -> None:
    write = Write(1, HardState(7, 101), ENTRIES)
    assert tuple(record.hex() for record in encode_write(write)) == WRITE_HEX
    assert encode_members(MEMBERS).hex() == MEMBERS_HEX


@pytest.mark.parametrize(("may_bootstrap", "origin_hex"), [(True, "010101"), (False, "010100")])
def test_journal_is_recovered_from_fixed_records(may_bootstrap: bool, origin_hex: str) -> None:
    assert encode_origin(may_bootstrap).hex() == origin_hex
    records = [bytes.fromhex(text) for text in (origin_hex, *WRITE_HEX)]
    assert decode_journal(None, records) == Recovered(may_bootstrap, HardState(7, 101), None, ENTRIES)


def test_snapshot_encoding_is_fixed() -> None:
    assert encode_snapshot(SNAPSHOT).hex() == SNAPSHOT_HEX
    assert decode_snapshot(bytes.fromhex(SNAPSHOT_HEX)) == SNAPSHOT
    following = bytes.fromhex("01030400000000000000080000000000000000000000" + "00")
    recovered = decode_journal(bytes.fromhex(SNAPSHOT_HEX), [following])
    assert recovered == Recovered(False, HardState(), SNAPSHOT, (Entry(4, 8, EntryKind.NOOP),))
