"""Fixed bytes of the service partitions' records and snapshots, which every later version must read."""

from __future__ import annotations

from firvane.fleet.controller.service_partition import STORED, ServicePartition, ServiceRecord, unpack_record
from firvane.fleet.tenancy.floors import REMOVED, FloorsRecord, unpack_floors

RECORD_HEX = "010000000000000009000400000007636861747061796c6f6164"
NAMELESS_HEX = "010000000000000001000000000000"
FLOORS_HEX = (
    "02000000000000000500000002" + "0001020304050607fffffffffffffff9" + "ffffffffffffffff8000000000000000"
)
SNAPSHOT_1_HEX = "0100000002" + RECORD_HEX + NAMELESS_HEX
SNAPSHOT_2_HEX = (
    "0200000002"
    + RECORD_HEX
    + NAMELESS_HEX
    + "02000000000000000000000001"
    + "0001020304050607fffffffffffffff9"
)
RECORDS = [ServiceRecord("chat", 9, b"payload"), ServiceRecord("", 1, b"")]
TENANT = bytes(range(8))
OTHER_TENANT = b"\xff" * 8


def test_records_have_the_fixed_bytes() -> None:
    assert [record.pack().hex() for record in RECORDS] == [RECORD_HEX, NAMELESS_HEX]
    assert unpack_record(bytes.fromhex(RECORD_HEX)) == RECORDS[0]


def test_floors_of_tenants_have_the_fixed_bytes() -> None:
    record = FloorsRecord(5, {TENANT: -7, OTHER_TENANT: REMOVED})
    assert record.pack().hex() == FLOORS_HEX
    assert unpack_floors(bytes.fromhex(FLOORS_HEX)) == record


def test_the_fixed_log_leads_to_the_fixed_snapshot() -> None:
    partition = ServicePartition()
    for index, command in enumerate((RECORD_HEX, NAMELESS_HEX, FLOORS_HEX)):
        assert partition.apply(index, bytes.fromhex(command)) == STORED
    assert partition.save().hex() == SNAPSHOT_2_HEX


def test_a_snapshot_with_floors_is_read() -> None:
    partition = ServicePartition()
    partition.load(bytes.fromhex(SNAPSHOT_2_HEX))
    assert (list(partition), dict(partition.floors)) == (RECORDS, {TENANT: -7})


def test_a_snapshot_of_the_version_without_floors_is_read() -> None:
    partition = ServicePartition()
    partition.load(bytes.fromhex(SNAPSHOT_1_HEX))
    assert (list(partition), dict(partition.floors)) == (RECORDS, {})
