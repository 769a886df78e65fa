"""Codec of addresses and of lists of members."""

from __future__ import annotations

import struct
from collections.abc import Sequence
from functools import lru_cache

from firvane.core.address import Address
from firvane.fleet.replication.errors import DecodeError
from firvane.fleet.replication.types import Member, Members

MAXIMUM_MEMBERS = 64
ADDRESS_SIZE = 6
NO_ADDRESS = bytes(ADDRESS_SIZE)
_MEMBER = struct.Struct("<6sQ")


@lru_cache(maxsize=256)
def encode_address(address: Address | None) -> bytes:
    """Four bytes of IPv4 and two of the port, zeros for None."""
    if address is None:
        return NO_ADDRESS
    return bytes(map(int, address[0].split("."))) + address[1].to_bytes(2, "little")


@lru_cache(maxsize=256)
def decode_address(data: bytes) -> Address | None:
    """The address in six bytes, None for zeros."""
    if data == NO_ADDRESS:
        return None
    return ".".join(map(str, data[:4])), int.from_bytes(data[4:6], "little")


def encode_members(members: Sequence[Member]) -> bytes:
    """A count and then each member with its incarnation."""
    packed = [_MEMBER.pack(encode_address(member.address), member.incarnation) for member in members]
    return bytes((len(packed),)) + b"".join(packed)


def decode_members(data: bytes) -> Members:
    """The members in `data`; `DecodeError` where it is no such list."""
    if not data or data[0] > MAXIMUM_MEMBERS or len(data) != 1 + data[0] * _MEMBER.size:
        raise DecodeError("not a list of members")
    members = []
    for packed, incarnation in _MEMBER.iter_unpack(data[1:]):
        address = decode_address(packed)
        if address is None or incarnation == 0:
            raise DecodeError("a member without address or incarnation")
        members.append(Member(address, incarnation))
    return tuple(members)
