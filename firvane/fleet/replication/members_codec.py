"""Codec of addresses and member lists."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from functools import lru_cache

from firvane.core.address import Address
from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.types import Member, Members

MAX_MEMBERS = 64
ADDRESS_SIZE = 6  # bytes
NO_ADDRESS = bytes(ADDRESS_SIZE)
_MEMBER = struct.Struct("<6sQ")  # address, incarnation
MEMBER_SIZE = _MEMBER.size  # bytes


@lru_cache(maxsize=256)
def encode_address(address: Address | None) -> bytes:
    """Encode an address as four bytes of IPv4 and two of the port; zeros for None."""
    if address is None:
        return NO_ADDRESS
    return bytes(map(int, address[0].split("."))) + address[1].to_bytes(2, "little")


@lru_cache(maxsize=256)
def decode_address(data: bytes) -> Address | None:
    """Decode an address of six bytes; returns None for zeros."""
    if data == NO_ADDRESS:
        return None
    return ".".join(map(str, data[:4])), int.from_bytes(data[4:6], "little")


def encode_members(members: Sequence[Member]) -> bytes:
    """Encode a count, then each member's address and incarnation."""
    packed = [_MEMBER.pack(encode_address(member.address), member.incarnation) for member in members]
    return bytes((len(packed),)) + b"".join(packed)


def decode_members(data: bytes) -> Members:
    """Decode a list of members; raises `DecodeError` if it is malformed."""
    if not data or data[0] > MAX_MEMBERS or len(data) != 1 + data[0] * _MEMBER.size:
        raise DecodeError("malformed member list")
    members = []
    for packed, incarnation in _MEMBER.iter_unpack(data[1:]):
        address = decode_address(packed)
        if address is None or incarnation == 0:
            raise DecodeError("member without an address or incarnation")
        members.append(Member(address, incarnation))
    return tuple(members)
