"""A service partition keeps the highest version of each service, in whatever order records are applied."""

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

no_deadline = settings(suppress_health_check=[HealthCheck.too_slow], deadline=None)
RECORDS = st.builds(
    ServiceRecord,
    service=st.sampled_from(["", "a", "b", "d\u00e9j\u00e0"]),
    version=st.integers(0, 2**64 - 1) | st.integers(0, 5),
    payload=st.binary(max_size=20),
)


@no_deadline
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


@no_deadline
@given(st.binary(max_size=60))
def test_any_bytes_are_a_record_or_rejected(data: bytes) -> None:
    partition = ServicePartition()
    assert partition.apply(1, data) in (STORED, SUPERSEDED)
    for decode in (service_partition.unpack_record, partition.load):
        with contextlib.suppress(PartitionError):
            decode(data)


@no_deadline
@given(st.lists(RECORDS, max_size=3), st.data())
def test_a_truncated_snapshot_changes_nothing(records: list[ServiceRecord], data: st.DataObject) -> None:
    partition = ServicePartition()
    for index, record in enumerate(records):
        partition.apply(index, record.pack())
    snapshot = partition.save()
    cut = data.draw(st.integers(0, len(snapshot) - 1))
    with pytest.raises(PartitionError):
        partition.load(snapshot[:cut])
    assert partition.save() == snapshot


def test_changes_call_the_callback() -> None:
    changes: list[ServiceRecord] = []
    partition = ServicePartition(changes.append)
    record = ServiceRecord("a", 1, b"x")
    partition.apply(1, record.pack())
    partition.apply(2, record.pack())
    assert changes == [record]
    copy = ServicePartition(changes.append)
    copy.load(partition.save())
    assert changes == [record, record]


def test_a_record_out_of_bounds_is_rejected() -> None:
    with pytest.raises(PartitionError):
        ServiceRecord("a" * 300, 1, b"").pack()
    with pytest.raises(PartitionError):
        ServiceRecord("a", -1, b"").pack()
