"""Records of a replica's journal: what a write hands to the disk, and what is read back from it."""

from __future__ import annotations

import struct
from collections.abc import Iterable

from firvane.fleet.replication.core import Recovered, Write
from firvane.fleet.replication.entry_codec import decode_entries, decode_snapshot, encode_entry
from firvane.fleet.replication.errors import DecodeError, UnknownRecordError
from firvane.fleet.replication.types import Entry, HardState, Snapshot

VERSION = 1
_BIRTH = struct.Struct("<BBB")  # version, type, founder
_HARD_STATE = struct.Struct("<BBQQ")  # version, type, term, vote
_HEAD = struct.Struct("<BB")  # version, type; an entry follows
_TYPE_BIRTH = 1
_TYPE_HARD_STATE = 2
_TYPE_ENTRY = 3


def encode_birth(founder: bool) -> bytes:
    """The first record of a journal: whether its folder was new at the first start of the whole system."""
    return _BIRTH.pack(VERSION, _TYPE_BIRTH, founder)


def encode_write(write: Write) -> list[bytes]:
    """The records of a write, without its snapshot."""
    records = []
    if write.hard_state is not None:
        state = write.hard_state
        records.append(_HARD_STATE.pack(VERSION, _TYPE_HARD_STATE, state.term, state.vote))
    head = _HEAD.pack(VERSION, _TYPE_ENTRY)
    records += [head + encode_entry(entry) for entry in write.entries]
    return records


def decode_journal(snapshot: bytes | None, records: Iterable[bytes]) -> Recovered:
    """What a replica goes on with; `DecodeError` where the records make no sense."""
    try:
        return _replay(decode_snapshot(snapshot) if snapshot is not None else None, records)
    except DecodeError:
        raise
    except (struct.error, ValueError, IndexError) as error:
        raise DecodeError(f"a record that cannot be read: {error}") from error


def _replay(snapshot: Snapshot | None, records: Iterable[bytes]) -> Recovered:
    founder = False
    hard_state = HardState()
    base = snapshot.index if snapshot else 0
    entries: list[Entry] = []
    for record in records:
        version, kind = _HEAD.unpack_from(record)
        if version != VERSION:
            raise UnknownRecordError(f"a record of version {version}")
        if kind == _TYPE_BIRTH:
            founder = _BIRTH.unpack(record)[2] == 1
        elif kind == _TYPE_HARD_STATE:
            _, _, term, vote = _HARD_STATE.unpack(record)
            hard_state = HardState(term, vote)
        elif kind == _TYPE_ENTRY:
            _put(entries, base, decode_entries(record, _HEAD.size)[0])
        else:
            raise DecodeError(f"a record of unknown type {kind}")
    return Recovered(founder, hard_state, snapshot, tuple(entries))


def _put(entries: list[Entry], base: int, entry: Entry) -> None:
    """An entry replaces the one of its index and all that follow."""
    position = entry.index - base - 1
    if position < 0 or position > len(entries):
        raise DecodeError(f"entry {entry.index} leaves a gap")
    del entries[position:]
    entries.append(entry)
