"""Journals written by other program versions are opened, or left unchanged with an error."""

from __future__ import annotations

import shutil
from pathlib import Path

import pytest

from firvane.core import logs
from firvane.core.logs import QUIET
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.state import ConfigurationState
from firvane.fleet.controller.journal_opener import OpenedJournal, open_or_create
from firvane.fleet.controller.replicated_configuration import ReplicatedConfiguration
from firvane.fleet.replication.group import ReplicatedGroup
from firvane.fleet.replication.records import encode_origin
from firvane.fleet.replication.replica import Replica, ReplicaOptions
from firvane.fleet.replication.types import HardState, Member
from firvane.fleet.storage import journal as journals
from firvane.fleet.storage.errors import UnsupportedFormatError
from firvane.fleet.storage.filesystem import SystemFileSystem
from firvane.fleet.storage.journal import create_journal
from tests.fleet.controller.test_configuration_publisher import order

FORMAT_1 = Path(__file__).parent / "data" / "journal_format_1" / "group-0"
"""Written before the history recorded the bases of orders: versions 3, 4 in the snapshot, then 9 and 10 as
entries."""
SEED = ("127.0.0.1", 7300)


def opened(folder: Path) -> OpenedJournal:
    return open_or_create(SystemFileSystem(), str(folder), False, 999, QUIET)


def test_a_journal_of_format_1_is_opened_with_its_state(tmp_path: Path) -> None:
    folder = tmp_path / "group-0"
    shutil.copytree(FORMAT_1, folder)
    found = opened(folder)
    assert not found.is_new
    assert found.journal.identity == 101
    assert found.recovered.hard_state == HardState(3, 101)
    state = ConfigurationState()
    identity = Member(SEED, found.journal.identity)
    replica = Replica(identity, found.recovered, ReplicaOptions((SEED,), 3), lambda low, _: low, 0.0)
    group = ReplicatedGroup(replica, ReplicatedConfiguration(state, lambda: None, QUIET), 1)
    assert (state.version, group.applied_index) == (4, 4)
    for payload in group.unapplied():
        state.apply(0, payload)
    assert state.version == 10
    for base, version in ((0, 3), (3, 4), (4, 9), (9, 10)):
        assert state.check(order(base, version)).code is ResultCode.REPEATED
        assert state.check(order(base, 11)).code is ResultCode.CONFLICT
    found.journal.close()


def test_a_segment_of_another_version_is_left_unchanged(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder = tmp_path / "group-0"
    with monkeypatch.context() as patched:
        patched.setattr(journals, "VERSION", 9)
        create_journal(SystemFileSystem(), str(folder), 7, [encode_origin(True)]).close()
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    with pytest.raises(UnsupportedFormatError, match="a segment of version 9"):
        opened(folder)
    assert {path.name: path.read_bytes() for path in folder.iterdir()} == before


def test_a_record_of_another_version_is_left_unchanged(tmp_path: Path) -> None:
    folder = tmp_path / "group-0"
    create_journal(SystemFileSystem(), str(folder), 7, [b"\x09\x01\x01"]).close()
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    with pytest.raises(UnsupportedFormatError, match="a record of version 9"):
        opened(folder)
    assert {path.name: path.read_bytes() for path in folder.iterdir()} == before


def test_a_corrupt_journal_is_replaced_and_not_taken_for_another_version(tmp_path: Path) -> None:
    folder = tmp_path / "group-0"
    shutil.copytree(FORMAT_1, folder)
    snapshot = folder / "snapshot-00000002"
    snapshot.write_bytes(snapshot.read_bytes()[:-1] + b"?")
    lines: list[str] = []
    found = open_or_create(SystemFileSystem(), str(folder), True, 999, logs.make(write=lines.append))
    assert found.is_new
    assert found.journal.identity == 999
    assert any("journal_corrupt" in line for line in lines)
    found.journal.close()
