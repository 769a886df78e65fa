"""Records of a replica's journal: the encoding of writes, and the recovery from stored records."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from firvane.fleet.replication.core import Recovered, Write
from firvane.fleet.replication.entry_codec import decode_entries, decode_snapshot, encode_entry
from firvane.fleet.replication.errors import DecodeError, UnsupportedRecordError
from firvane.fleet.replication.types import Entry, HardState, Snapshot

VERSION = 1
_ORIGIN = struct.Struct("<BBB")  # version, type, may bootstrap
_HARD_STATE = struct.Struct("<BBQQ")  # version, type, term, vote
_HEADER = struct.Struct("<BB")  # version, type; an entry follows
_TYPE_ORIGIN = 1
_TYPE_HARD_STATE = 2
_TYPE_ENTRY = 3


def encode_origin(may_bootstrap: bool) -> bytes:
    """Encode a journal's first record: whether its folder was created at the system's first start."""
    return _ORIGIN.pack(VERSION, _TYPE_ORIGIN, may_bootstrap)


def encode_write(write: Write) -> list[bytes]:
    """Encode a write as journal records, without its snapshot."""
    records = []
    if write.hard_state is not None:
        state = write.hard_state
        records.append(_HARD_STATE.pack(VERSION, _TYPE_HARD_STATE, state.term, state.vote))
    header = _HEADER.pack(VERSION, _TYPE_ENTRY)
    records += [header + encode_entry(entry) for entry in write.entries]
    return records


def decode_journal(snapshot: bytes | None, records: Iterable[bytes]) -> Recovered:
    """Decode the state that a replica recovers from its journal.

    Args:
        snapshot: The encoded snapshot of the journal, if it has one.
        records: The records after the snapshot, in order.

    Raises:
        UnsupportedRecordError: If a record has an unknown version.
        DecodeError: If a record is malformed or an entry is missing.
    """
    try:
        return _replay(decode_snapshot(snapshot) if snapshot is not None else None, records)
    except DecodeError:
        raise
    except (struct.error, ValueError, IndexError) as error:
        raise DecodeError(f"unreadable journal record: {error}") from error


def _replay(snapshot: Snapshot | None, records: Iterable[bytes]) -> Recovered:
    may_bootstrap = False
    hard_state = HardState()
    base_index = snapshot.index if snapshot else 0
    entries: list[Entry] = []
    for record in records:
        version, record_type = _HEADER.unpack_from(record)
        if version != VERSION:
            raise UnsupportedRecordError(f"a record of version {version}")
        if record_type == _TYPE_ORIGIN:
            may_bootstrap = _ORIGIN.unpack(record)[2] == 1
        elif record_type == _TYPE_HARD_STATE:
            _, _, term, vote = _HARD_STATE.unpack(record)
            hard_state = HardState(term, vote)
        elif record_type == _TYPE_ENTRY:
            _replace_tail(entries, base_index, decode_entries(record, _HEADER.size)[0])
        else:
            raise DecodeError(f"unknown journal record type {record_type}")
    return Recovered(may_bootstrap, hard_state, snapshot, tuple(entries))


def _replace_tail(entries: list[Entry], base_index: int, entry: Entry) -> None:
    """Replace the entry at this entry's index and all that follow."""
    position = entry.index - base_index - 1
    if position < 0 or position > len(entries):
        raise DecodeError(f"entries before entry {entry.index} are missing")
    del entries[position:]
    entries.append(entry)
