"""The exact bytes of segments and snapshot files, which every later version must read and write."""

from __future__ import annotations

from pathlib import Path

from firvane.fleet.storage.filesystem import SystemFileSystem
from firvane.fleet.storage.frames import encode_frame, read_frames
from firvane.fleet.storage.journal import create_journal, open_journal
from firvane.fleet.storage.snapshot_file import decode_snapshot_file, encode_snapshot_file

IDENTITY = 101
GENERATION = 2
RECORDS = [b"first", b"", b"third"]
FRAME_HEX = "46764a0116000000c3f100d1010000000000000005000000666972737400000000050000007468697264"
SNAPSHOT_FILE_HEX = "4676530105000000fbd293a365000000000000007374617465"
SEGMENT_HEX = (
    "46764a011d000000b93cb59b0000000000000000110000000165000000000000000200000000000000040000007465726d"
    + FRAME_HEX
)


def test_a_frame_has_the_fixed_bytes() -> None:
    assert encode_frame(IDENTITY, GENERATION, 1, RECORDS).hex() == FRAME_HEX


def test_a_snapshot_file_has_the_fixed_bytes() -> None:
    assert encode_snapshot_file(IDENTITY, b"state").hex() == SNAPSHOT_FILE_HEX
    assert decode_snapshot_file(IDENTITY, bytes.fromhex(SNAPSHOT_FILE_HEX)) == b"state"


def test_a_journal_writes_the_fixed_segment_and_snapshot(tmp_path: Path) -> None:
    journal = create_journal(SystemFileSystem(), str(tmp_path), IDENTITY, [b"dropped"])
    journal.compact(b"state", [b"term"])
    journal.append(RECORDS)
    journal.sync()
    journal.close()
    assert {path.name: path.read_bytes().hex() for path in tmp_path.iterdir()} == {
        "segment-00000002": SEGMENT_HEX,
        "snapshot-00000002": SNAPSHOT_FILE_HEX,
    }


def test_the_fixed_segment_and_snapshot_are_read(tmp_path: Path) -> None:
    (tmp_path / "segment-00000002").write_bytes(bytes.fromhex(SEGMENT_HEX))
    (tmp_path / "snapshot-00000002").write_bytes(bytes.fromhex(SNAPSHOT_FILE_HEX))
    recovered = open_journal(SystemFileSystem(), str(tmp_path))
    assert recovered is not None
    contents = recovered.contents
    assert (contents.identity, contents.snapshot, contents.torn) == (IDENTITY, b"state", False)
    assert contents.records == [b"term", *RECORDS]
    assert read_frames(bytes.fromhex(SEGMENT_HEX), IDENTITY, GENERATION).records[1] == RECORDS
