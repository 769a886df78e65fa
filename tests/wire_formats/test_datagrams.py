"""Datagrams between processes, as bytes that were recorded once: they are read and written the same for good.

`data/datagrams.json` holds, for each codec, messages as bytes and the values of their fields in the order of
declaration. They were made by the version before the renaming of types and fields; processes of both versions
talk to each other while a fleet is upgraded.
"""

from __future__ import annotations

import enum
import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from firvane.fleet.cluster.envelope import decode_envelope, encode_envelope
from firvane.fleet.dissemination import codec as dissemination
from firvane.fleet.membership import codec as membership
from firvane.fleet.placement.rows import decode_row, encode_row
from firvane.fleet.tenancy import messages as tenancy
from firvane.fleet.transport.frames import decode_datagram, encode_frame
from firvane.proxy.capacity import kind_counts
from firvane.proxy.quorum import messages as quorum
from firvane.proxy.recovery import messages as recovery
from firvane.proxy.routing import row_codec

RECORDED: dict[str, list[dict[str, Any]]] = json.loads(
    (Path(__file__).parent / "data" / "datagrams.json").read_text()
)
RECEIVED_AT = 5.0  # s, part of a decoded row


def encode_proxy_row(row: Any) -> bytes:
    """A decoded row as it was sent; its fields are taken by position, in the order of their declaration."""
    version, *head, _, in_flight, is_complete, short, long = row
    made = row_codec.RowHeader(*head, in_flight)
    if version == row_codec.VERSION_1:
        return row_codec.pack_v1(made, short)
    return row_codec.pack_v2(made, is_complete, short, long)


def encode_tenancy(record: Any) -> bytes:
    """A decoded record as it was sent; the encoder rounds the age of a proof up by a millisecond."""
    if isinstance(record, tenancy.FreshnessProof):
        nonce, version, age, redirect = record
        sent_age = None if age is None else age - 0.001
        return tenancy.encode(tenancy.FreshnessProof(nonce, version, sent_age, redirect))
    return tenancy.encode(record)


CODECS: dict[str, tuple[Callable[[bytes], Any], Callable[[Any], bytes]]] = {
    "proxy row 1": (lambda data: row_codec.unpack(data, RECEIVED_AT), encode_proxy_row),
    "proxy row 2": (lambda data: row_codec.unpack(data, RECEIVED_AT), encode_proxy_row),
    "class counts": (kind_counts.unpack, lambda read: kind_counts.pack(read[1], read[0] / 1000)),
    "recovery": (recovery.decode, lambda read: recovery.encode(read[1], read[0] / 1000)),
    "policy consensus": (quorum.decode, quorum.encode),
    "membership": (membership.decode_message, membership.encode_message),
    "dissemination": (dissemination.decode_message, dissemination.encode_message),
    "cluster envelope": (decode_envelope, encode_envelope),
    "transport frame": (decode_datagram, encode_frame),
    "tenancy": (tenancy.decode, encode_tenancy),
    "placement row": (decode_row, encode_row),
}
CASES = [(codec, message) for codec, messages in RECORDED.items() for message in messages]


def leaves(value: Any) -> list[Any]:
    """The values in a message, in the order of its fields, whatever these are called."""
    match value:
        case enum.Enum():
            return [value.value]
        case bytes():
            return [value.hex()]
        case msgspec.Struct():
            return leaves([getattr(value, name) for name in value.__struct_fields__])
        case dict():
            return [leaf for item in value.items() for leaf in leaves(item)]
        case list() | tuple():
            return [leaf for item in value for leaf in leaves(item)]
    return [value]


def test_every_codec_has_recorded_messages() -> None:
    assert RECORDED.keys() == CODECS.keys()
    assert len(CASES) == 51


@pytest.mark.parametrize(("codec", "message"), CASES)
def test_recorded_bytes_are_read_as_before(codec: str, message: dict[str, Any]) -> None:
    decode, _ = CODECS[codec]
    assert leaves(decode(bytes.fromhex(message["hex"]))) == message["fields"]


@pytest.mark.parametrize(("codec", "message"), CASES)
def test_what_was_read_is_written_with_the_same_bytes(codec: str, message: dict[str, Any]) -> None:
    decode, encode = CODECS[codec]
    data = bytes.fromhex(message["hex"])
    assert encode(decode(data)) == data
