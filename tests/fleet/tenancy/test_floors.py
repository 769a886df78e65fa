"""Records of floors, and the floors in the state of a partition."""

from __future__ import annotations

import random

import pytest

from firvane.fleet.controller.service_partition import (
    STORED,
    SUPERSEDED,
    PartitionError,
    ServicePartition,
    ServiceRecord,
)
from firvane.fleet.tenancy.floors import REMOVED, FloorsError, FloorsRecord, unpack_floors
from firvane.fleet.tenancy.messages import tenant_id

ONE, TWO = tenant_id("one"), tenant_id("two")


def test_a_record_is_unpacked_as_it_was_packed() -> None:
    record = FloorsRecord(2**63, {ONE: -5, TWO: REMOVED})
    assert unpack_floors(record.pack()) == record


def test_malformed_records_are_rejected() -> None:
    valid, rng = FloorsRecord(7, {ONE: 5, TWO: 6}).pack(), random.Random(1)
    for _ in range(300):
        data = bytearray(valid)
        if rng.random() < 0.5:
            del data[rng.randrange(len(data)) :]
        else:
            data += rng.randbytes(rng.randrange(1, 40))
        with pytest.raises(FloorsError):
            unpack_floors(bytes(data))
    with pytest.raises(FloorsError):
        unpack_floors(b"\x01" + valid[1:])


def test_a_partition_stores_floors_and_instances_and_restores_them_from_a_snapshot() -> None:
    applied: list[FloorsRecord] = []
    partition = ServicePartition(on_floors=applied.append)
    partition.apply(1, ServiceRecord("s", 3, b"x").pack())
    record = FloorsRecord(1, {ONE: 5, TWO: 6})
    assert partition.apply(2, record.pack()) == STORED
    assert partition.apply(3, FloorsRecord(2, {TWO: REMOVED, ONE: 4}).pack()) == STORED
    assert partition.floors == {ONE: 4} and len(applied) == 2
    restored = ServicePartition()
    floors = restored.floors
    restored.floors[TWO] = 9
    restored.load(partition.save())
    assert restored.floors == {ONE: 4} and restored.floors is floors
    assert restored.version_of("s") == 3


def test_a_snapshot_of_the_previous_version_has_no_floors() -> None:
    partition = ServicePartition()
    partition.apply(1, ServiceRecord("s", 3, b"x").pack())
    snapshot = partition.save()
    snapshot_without_floors = b"\x01" + snapshot[1 : len(snapshot) - len(FloorsRecord(0, {}).pack())]
    restored = ServicePartition()
    restored.load(snapshot_without_floors)
    assert restored.version_of("s") == 3 and not restored.floors
    with pytest.raises(PartitionError):
        restored.load(snapshot_without_floors + b"\0")


def test_a_truncated_record_changes_nothing() -> None:
    partition = ServicePartition()
    assert partition.apply(1, FloorsRecord(1, {ONE: 5}).pack()[:-1]) == SUPERSEDED
    assert not partition.floors
