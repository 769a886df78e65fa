"""Codec of the payloads between two controllers: a version byte, then any number of envelopes.

An envelope is the group, the type of the message, both incarnations, the length of the body and the body.
Malformed bytes raise `DecodeError`.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple

from firvane.fleet.replication.entry_codec import (
    decode_entries,
    decode_snapshot,
    encode_entry,
    encode_snapshot,
)
from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.members_codec import decode_address, encode_address
from firvane.fleet.replication.messages import (
    Append,
    AppendReply,
    Beacon,
    BeaconReply,
    DrainNotice,
    Envelope,
    InstallSnapshot,
    Introduction,
    Message,
    PreVote,
    PreVoteReply,
    ReadReply,
    ReadRequest,
    TimeoutNow,
    Vote,
    VoteReply,
)

VERSION = 1
MAX_BODY_BYTES = 64_000_000
_ENVELOPE_BYTES = 64  # estimate for a message without entries
_SNAPSHOT_ENVELOPE_BYTES = 256  # estimate, without the state
_ENTRY_HEADER_BYTES = 24  # estimate, without the payload
_VERSION_BYTE = bytes((VERSION,))
_HEADER = struct.Struct("<HBQQI")  # group, type, incarnations of receiver and sender, length of the body
_TERM = struct.Struct("<Q")
_PRE_VOTE = struct.Struct("<QQQ")
_PRE_VOTE_REPLY = struct.Struct("<QQ?6s")
_VOTE = struct.Struct("<QQQ?")
_VOTE_REPLY = struct.Struct("<Q?")
_APPEND = struct.Struct("<QdQQQ")
_APPEND_REPLY = struct.Struct("<Qd?QQ?")
_TERM_AND_TIME = struct.Struct("<Qd")
_READ_REQUEST = struct.Struct("<QQ")
_READ_REPLY = struct.Struct("<QQQ")


def encode_payload(envelopes: Sequence[Envelope]) -> bytes:
    """Encode all the envelopes into one payload."""
    parts = [_VERSION_BYTE]
    for envelope in envelopes:
        number, encode = _ENCODERS[type(envelope.message)]
        body = encode(envelope.message)
        parts.append(
            _HEADER.pack(
                envelope.group, number, envelope.to_incarnation, envelope.from_incarnation, len(body)
            )
        )
        parts.append(body)
    return b"".join(parts)


def encoded_size(envelope: Envelope) -> int:
    """Estimate the encoded size of an envelope in bytes."""
    message = envelope.message
    if isinstance(message, Append):
        return _ENVELOPE_BYTES + sum(len(entry.payload) + _ENTRY_HEADER_BYTES for entry in message.entries)
    if isinstance(message, InstallSnapshot):
        return _SNAPSHOT_ENVELOPE_BYTES + len(message.snapshot.state)
    return _ENVELOPE_BYTES


def decode_payload(payload: bytes) -> list[Envelope]:
    """Decode all envelopes of a payload; raises `DecodeError` if it is malformed."""
    if not payload or payload[0] != VERSION:
        raise DecodeError("empty payload or unsupported payload version")
    envelopes = []
    position = 1
    while position < len(payload):
        if len(payload) - position < _HEADER.size:
            raise DecodeError("truncated envelope header")
        group, number, to_incarnation, from_incarnation, length = _HEADER.unpack_from(payload, position)
        position += _HEADER.size
        decode = _DECODERS.get(number)
        if decode is None or length > MAX_BODY_BYTES or length > len(payload) - position:
            raise DecodeError("unknown message type, or body truncated or too long")
        body = payload[position : position + length]
        position += length
        envelopes.append(Envelope(group, to_incarnation, from_incarnation, _decode_body(decode, body)))
    return envelopes


def _decode_body(decode: Callable[[bytes], Message], body: bytes) -> Message:
    try:
        return decode(body)
    except DecodeError:
        raise
    except (struct.error, ValueError, IndexError) as error:
        raise DecodeError(f"unreadable message body: {error}") from error


def _encode_append(m: Append) -> bytes:
    header = _APPEND.pack(m.term, m.sent_at, m.previous_index, m.previous_term, m.commit_index)
    return header + b"".join(map(encode_entry, m.entries)) if m.entries else header


def _decode_append(body: bytes) -> Append:
    term, sent_at, previous, previous_term, commit = _APPEND.unpack_from(body)
    entries = decode_entries(body, _APPEND.size) if len(body) > _APPEND.size else ()
    for position, entry in enumerate(entries):
        if entry.index != previous + 1 + position:
            raise DecodeError("entry indexes are not consecutive")
    return Append(term, sent_at, previous, previous_term, commit, entries)


def _encode_pre_vote_reply(m: PreVoteReply) -> bytes:
    return _PRE_VOTE_REPLY.pack(m.term, m.proposed, m.granted, encode_address(m.leader))


def _decode_pre_vote_reply(body: bytes) -> PreVoteReply:
    term, proposed, granted, leader = _PRE_VOTE_REPLY.unpack(body)
    return PreVoteReply(term, proposed, granted, decode_address(leader))


def _encode_install(m: InstallSnapshot) -> bytes:
    return _TERM_AND_TIME.pack(m.term, m.sent_at) + encode_snapshot(m.snapshot)


def _decode_install(body: bytes) -> InstallSnapshot:
    term, sent_at = _TERM_AND_TIME.unpack_from(body)
    return InstallSnapshot(term, sent_at, decode_snapshot(body[_TERM_AND_TIME.size :]))


class _MessageCodec(NamedTuple):
    """The wire type of a message with its encoder and decoder."""

    message_type: type
    number: int
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes], Message]


_CODECS = (
    _MessageCodec(
        PreVote,
        1,
        lambda m: _PRE_VOTE.pack(m.term, m.last_index, m.last_term),
        lambda b: PreVote(*_PRE_VOTE.unpack(b)),
    ),
    _MessageCodec(PreVoteReply, 2, _encode_pre_vote_reply, _decode_pre_vote_reply),
    _MessageCodec(
        Vote,
        3,
        lambda m: _VOTE.pack(m.term, m.last_index, m.last_term, m.transfer),
        lambda b: Vote(*_VOTE.unpack(b)),
    ),
    _MessageCodec(
        VoteReply,
        4,
        lambda m: _VOTE_REPLY.pack(m.term, m.granted),
        lambda b: VoteReply(*_VOTE_REPLY.unpack(b)),
    ),
    _MessageCodec(Append, 5, _encode_append, _decode_append),
    _MessageCodec(
        AppendReply,
        6,
        lambda m: _APPEND_REPLY.pack(
            m.term, m.echo, m.accepted, m.received_index, m.synced_index, m.disk_fault
        ),
        lambda b: AppendReply(*_APPEND_REPLY.unpack(b)),
    ),
    _MessageCodec(InstallSnapshot, 7, _encode_install, _decode_install),
    _MessageCodec(TimeoutNow, 8, lambda m: _TERM.pack(m.term), lambda b: TimeoutNow(*_TERM.unpack(b))),
    _MessageCodec(
        Beacon,
        9,
        lambda m: _TERM_AND_TIME.pack(m.term, m.sent_at),
        lambda b: Beacon(*_TERM_AND_TIME.unpack(b)),
    ),
    _MessageCodec(
        BeaconReply,
        10,
        lambda m: _TERM_AND_TIME.pack(m.term, m.echo),
        lambda b: BeaconReply(*_TERM_AND_TIME.unpack(b)),
    ),
    _MessageCodec(
        ReadRequest,
        11,
        lambda m: _READ_REQUEST.pack(m.term, m.token),
        lambda b: ReadRequest(*_READ_REQUEST.unpack(b)),
    ),
    _MessageCodec(
        ReadReply,
        12,
        lambda m: _READ_REPLY.pack(m.term, m.token, m.index),
        lambda b: ReadReply(*_READ_REPLY.unpack(b)),
    ),
    _MessageCodec(DrainNotice, 13, lambda m: _TERM.pack(m.term), lambda b: DrainNotice(*_TERM.unpack(b))),
    _MessageCodec(Introduction, 14, lambda m: _TERM.pack(m.term), lambda b: Introduction(*_TERM.unpack(b))),
)
_ENCODERS = {codec.message_type: (codec.number, codec.encode) for codec in _CODECS}
_DECODERS = {codec.number: codec.decode for codec in _CODECS}
