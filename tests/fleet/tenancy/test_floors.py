"""Records of floors, and what a part keeps of them."""

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


def test_a_record_comes_back() -> None:
    record = FloorsRecord(2**63, {ONE: -5, TWO: REMOVED})
    assert unpack_floors(record.pack()) == record


def test_whatever_is_no_record_is_refused() -> None:
    whole, drawn = FloorsRecord(7, {ONE: 5, TWO: 6}).pack(), random.Random(1)
    for _ in range(300):
        data = bytearray(whole)
        if drawn.random() < 0.5:
            del data[drawn.randrange(len(data)) :]
        else:
            data += drawn.randbytes(drawn.randrange(1, 40))
        with pytest.raises(FloorsError):
            unpack_floors(bytes(data))
    with pytest.raises(FloorsError):
        unpack_floors(b"\x01" + whole[1:])


def test_a_part_keeps_floors_beside_instances_and_over_a_snapshot() -> None:
    applied: list[FloorsRecord] = []
    partition = ServicePartition(on_floors=applied.append)
    partition.apply(1, ServiceRecord("s", 3, b"x").pack())
    record = FloorsRecord(1, {ONE: 5, TWO: 6})
    assert partition.apply(2, record.pack()) == STORED
    assert partition.apply(3, FloorsRecord(2, {TWO: REMOVED, ONE: 4}).pack()) == STORED
    assert partition.floors == {ONE: 4} and len(applied) == 2
    again = ServicePartition()
    kept = again.floors
    again.floors[TWO] = 9
    again.load(partition.save())
    assert again.floors == {ONE: 4} and again.floors is kept
    assert again.version_of("s") == 3


def test_a_snapshot_of_the_version_before_has_no_floors() -> None:
    partition = ServicePartition()
    partition.apply(1, ServiceRecord("s", 3, b"x").pack())
    whole = partition.save()
    without = b"\x01" + whole[1 : len(whole) - len(FloorsRecord(0, {}).pack())]
    again = ServicePartition()
    again.load(without)
    assert again.version_of("s") == 3 and not again.floors
    with pytest.raises(PartitionError):
        again.load(without + b"\0")


def test_a_record_that_is_cut_changes_nothing() -> None:
    partition = ServicePartition()
    assert partition.apply(1, FloorsRecord(1, {ONE: 5}).pack()[:-1]) == SUPERSEDED
    assert not partition.floors
