"""Codec of log entries and snapshots, the same in messages and on the disk."""

from __future__ import annotations

import struct

from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.members_codec import MEMBER_SIZE, decode_members, encode_members
from firvane.fleet.replication.types import Entry, EntryKind, Snapshot

_ENTRY = struct.Struct("<QQBI")  # index, term, kind, length of the payload
_SNAPSHOT = struct.Struct("<QQQBI")  # index, term, index of the members, length of the members, of the state
_KINDS = {int(kind): kind for kind in EntryKind}


def encode_entry(entry: Entry) -> bytes:
    """Encode one entry."""
    return _ENTRY.pack(entry.index, entry.term, entry.kind, len(entry.payload)) + entry.payload


def decode_entries(data: bytes, position: int = 0) -> tuple[Entry, ...]:
    """Decode all entries from `position` on; `DecodeError` if one is malformed or cut off."""
    entries = []
    while position < len(data):
        if len(data) - position < _ENTRY.size:
            raise DecodeError("the head of an entry is cut off")
        index, term, number, length = _ENTRY.unpack_from(data, position)
        position += _ENTRY.size
        kind = _KINDS.get(number)
        if kind is None or length > len(data) - position:
            raise DecodeError("an entry of an unknown kind or cut off")
        payload = data[position : position + length]
        if kind is EntryKind.MEMBERS:
            decode_members(payload)
        entries.append(Entry(index, term, kind, payload))
        position += length
    return tuple(entries)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot with its voters and its state."""
    members = encode_members(snapshot.members)
    head = _SNAPSHOT.pack(
        snapshot.index, snapshot.term, snapshot.members_index, members[0], len(snapshot.state)
    )
    return head + members[1:] + snapshot.state


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; `DecodeError` if it is malformed."""
    if len(data) < _SNAPSHOT.size:
        raise DecodeError("a snapshot is cut off")
    index, term, members_index, count, length = _SNAPSHOT.unpack_from(data)
    start = _SNAPSHOT.size + MEMBER_SIZE * count
    if len(data) != start + length:
        raise DecodeError("a snapshot of another length than it says")
    members = decode_members(bytes((count,)) + data[_SNAPSHOT.size : start])
    return Snapshot(index, term, members_index, members, data[start:])
