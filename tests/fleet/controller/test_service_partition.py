"""A part of the services: the highest version of each service wins, in whatever order records come."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from firvane.fleet.controller import service_partition
from firvane.fleet.controller.service_partition import (
    STORED,
    SUPERSEDED,
    PartitionError,
    ServicePartition,
    ServiceRecord,
)

on_any_machine = settings(suppress_health_check=[HealthCheck.too_slow], deadline=None)
RECORDS = st.builds(
    ServiceRecord,
    service=st.sampled_from(["", "a", "b", "d\u00e9j\u00e0"]),
    version=st.integers(0, 2**64 - 1) | st.integers(0, 5),
    payload=st.binary(max_size=20),
)


@on_any_machine
@given(st.lists(RECORDS))
def test_the_highest_version_of_each_service_is_kept(records: list[ServiceRecord]) -> None:
    partition = ServicePartition()
    oracle: dict[str, ServiceRecord] = {}
    for index, record in enumerate(records):
        expected = record.version > (oracle[record.service].version if record.service in oracle else 0)
        if expected:
            oracle[record.service] = record
        assert partition.apply(index, record.pack()) == (STORED if expected else SUPERSEDED)
    assert {record.service: record for record in partition} == oracle
    copy = ServicePartition()
    copy.load(partition.save())
    assert list(copy) == list(partition)


@on_any_machine
@given(st.binary(max_size=60))
def test_any_bytes_are_a_record_or_refused(data: bytes) -> None:
    partition = ServicePartition()
    assert partition.apply(1, data) in (STORED, SUPERSEDED)
    for decode in (service_partition.unpack_record, partition.load):
        with contextlib.suppress(PartitionError):
            decode(data)


@on_any_machine
@given(st.lists(RECORDS, max_size=3), st.data())
def test_a_damaged_snapshot_changes_nothing(records: list[ServiceRecord], data: st.DataObject) -> None:
    partition = ServicePartition()
    for index, record in enumerate(records):
        partition.apply(index, record.pack())
    whole = partition.save()
    cut = data.draw(st.integers(0, len(whole) - 1))
    with pytest.raises(PartitionError):
        partition.load(whole[:cut])
    assert partition.save() == whole


def test_changes_are_told() -> None:
    told: list[ServiceRecord] = []
    partition = ServicePartition(told.append)
    record = ServiceRecord("a", 1, b"x")
    partition.apply(1, record.pack())
    partition.apply(2, record.pack())
    assert told == [record]
    copy = ServicePartition(told.append)
    copy.load(partition.save())
    assert told == [record, record]


def test_a_record_out_of_bounds_is_refused() -> None:
    with pytest.raises(PartitionError):
        ServiceRecord("a" * 300, 1, b"").pack()
    with pytest.raises(PartitionError):
        ServiceRecord("a", -1, b"").pack()
