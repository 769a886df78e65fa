"""Instance records: round trips, and errors for malformed records."""

from __future__ import annotations

import contextlib
import struct
import zlib

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from firvane.fleet.discovery import codec
from firvane.fleet.discovery.codec import (
    MAX_RECORD_BYTES,
    InstanceRecordError,
    decode_instances,
    encode_instances,
)
from firvane.fleet.discovery.instances import Instance, InstanceState, ModelVersion

texts = st.text(max_size=60).filter(lambda text: len(text.encode("utf-8", "replace")) <= 255)
plain_texts = texts.filter(lambda text: not any("\ud800" <= letter <= "\udfff" for letter in text))
addresses = st.tuples(st.ip_addresses(v=4).map(str), st.integers(0, 65535))
models = st.builds(
    ModelVersion, plain_texts, st.integers(0, 2**64 - 1), st.lists(plain_texts, max_size=2).map(tuple)
)
instances = st.builds(
    Instance,
    id=plain_texts,
    service=plain_texts,
    address=addresses,
    zone=plain_texts,
    slots=st.integers(0, 2**32 - 1),
    state=st.sampled_from(InstanceState),
    software=plain_texts,
    cold_remaining_ms=st.integers(0, 2**32 - 1),
    models=st.lists(models, max_size=2).map(tuple),
    stage=plain_texts,
)
lists = st.lists(instances, max_size=4)

ONE = Instance("i-1", "writer", ("10.0.0.1", 80), "north", 64, InstanceState.READY)


@given(lists)
def test_instances_survive_a_round_trip(several: list[Instance]) -> None:
    assert decode_instances(encode_instances(several)) == tuple(several)


@settings(max_examples=200)
@given(several=lists, data=st.data())
def test_a_corrupt_record_is_decoded_or_rejected(several: list[Instance], data: st.DataObject) -> None:
    record = bytearray(encode_instances(several))
    for _ in range(data.draw(st.integers(0, 3))):
        record[data.draw(st.integers(0, len(record) - 1))] = data.draw(st.integers(0, 255))
    cut = bytes(record[: data.draw(st.integers(0, len(record)))]) + data.draw(st.binary(max_size=2))
    with contextlib.suppress(InstanceRecordError):
        decode_instances(cut)


@settings(max_examples=200)
@given(count=st.integers(0, 3), body=st.binary(max_size=120))
def test_any_body_is_decoded_or_rejected(count: int, body: bytes) -> None:
    record = struct.pack("!BHI", 1, count, len(body)) + zlib.compress(body)
    with contextlib.suppress(InstanceRecordError):
        assert len(decode_instances(record)) == count


def test_a_record_truncated_anywhere_is_rejected() -> None:
    record = encode_instances([ONE, replace(ONE, models=(ModelVersion("m", 1, ("a",)),))])
    for end in range(len(record)):
        with pytest.raises(InstanceRecordError):
            decode_instances(record[:end])


@pytest.mark.parametrize(
    "record",
    [
        b"\x02" + encode_instances([ONE])[1:],
        encode_instances([ONE]) + b"x",
        struct.pack("!BHI", 1, 0, 1) + zlib.compress(b"x"),
        struct.pack("!BHI", 1, 0, MAX_RECORD_BYTES + 1) + zlib.compress(b""),
        struct.pack("!BHI", 1, 0, 10) + zlib.compress(bytes(1_000_000)),
    ],
)
def test_malformed_records_are_rejected(record: bytes) -> None:
    with pytest.raises(InstanceRecordError):
        decode_instances(record)


@pytest.mark.parametrize(
    "instance",
    [
        replace(ONE, id="x" * 256),
        replace(ONE, id="\ud800"),
        replace(ONE, slots=-1),
        replace(ONE, slots=2**32),
        replace(ONE, cold_remaining_ms=2**32),
        replace(ONE, address=("host", 80)),
        replace(ONE, address=("10.0.0.256", 80)),
        replace(ONE, address=("10.0.0.1.2", 80)),
        replace(ONE, address=("10.0.0.1", 65536)),
        replace(ONE, models=(ModelVersion("m", -1),)),
        replace(ONE, models=(ModelVersion("m", 1),) * 256),
        replace(ONE, models=(ModelVersion("m", 1, ("a",) * 256),)),
    ],
)
def test_an_instance_out_of_bounds_is_not_encoded(instance: Instance) -> None:
    with pytest.raises(InstanceRecordError):
        encode_instances([instance])


def test_the_number_of_models_and_instances_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    full = replace(ONE, models=(ModelVersion("m", 1),) * 255)
    assert decode_instances(encode_instances([full])) == (full,)
    monkeypatch.setattr(codec, "MAX_INSTANCES", 2)
    assert len(decode_instances(encode_instances([ONE, ONE]))) == 2
    with pytest.raises(InstanceRecordError):
        encode_instances([ONE, ONE, ONE])
    monkeypatch.setattr(codec, "MAX_RECORD_BYTES", 10)
    with pytest.raises(InstanceRecordError):
        encode_instances([ONE])


def test_instances_of_a_large_service_fit_a_small_record() -> None:
    several = [
        replace(ONE, id=f"i-{number * 2654435761 % 2**32:08x}", address=("10.0.1.2", number), software="v17")
        for number in range(1000)
    ]
    assert len(encode_instances(several)) < 12_000
