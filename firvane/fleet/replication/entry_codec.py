"""Codec of log entries and snapshots, shared by messages and the journal."""

from __future__ import annotations

import struct

from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.members_codec import MEMBER_SIZE, decode_members, encode_members
from firvane.fleet.replication.types import Entry, EntryKind, Snapshot

_ENTRY = struct.Struct("<QQBI")  # index, term, kind, length of the payload
_SNAPSHOT = struct.Struct("<QQQBI")  # index, term, members index, number of members, length of the state
_KINDS = {int(kind): kind for kind in EntryKind}


def encode_entry(entry: Entry) -> bytes:
    """Encode one entry."""
    return _ENTRY.pack(entry.index, entry.term, entry.kind, len(entry.payload)) + entry.payload


def decode_entries(data: bytes, position: int = 0) -> tuple[Entry, ...]:
    """Decode all entries from `position` on; raises `DecodeError` if one is malformed or truncated."""
    entries = []
    while position < len(data):
        if len(data) - position < _ENTRY.size:
            raise DecodeError("truncated entry header")
        index, term, kind_number, length = _ENTRY.unpack_from(data, position)
        position += _ENTRY.size
        kind = _KINDS.get(kind_number)
        if kind is None or length > len(data) - position:
            raise DecodeError("unknown entry kind or truncated entry")
        payload = data[position : position + length]
        if kind is EntryKind.MEMBERS:
            decode_members(payload)
        entries.append(Entry(index, term, kind, payload))
        position += length
    return tuple(entries)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot with its voters and its state."""
    members = encode_members(snapshot.members)
    header = _SNAPSHOT.pack(
        snapshot.index, snapshot.term, snapshot.members_index, members[0], len(snapshot.state)
    )
    return header + members[1:] + snapshot.state


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raises `DecodeError` if it is malformed."""
    if len(data) < _SNAPSHOT.size:
        raise DecodeError("truncated snapshot header")
    index, term, members_index, count, length = _SNAPSHOT.unpack_from(data)
    start = _SNAPSHOT.size + MEMBER_SIZE * count
    if len(data) != start + length:
        raise DecodeError("snapshot length does not match its header")
    members = decode_members(bytes((count,)) + data[_SNAPSHOT.size : start])
    return Snapshot(index, term, members_index, members, data[start:])
