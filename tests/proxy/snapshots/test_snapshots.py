"""Snapshots: damaged data, the restoration of each field, and atomic writes."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.cli import main
from firvane.core import checksum
from firvane.core import interface as api
from firvane.core.balancing.records import Backend
from firvane.proxy.capacity.backend_estimates import BackendEstimates
from firvane.proxy.recovery.recovery import Recovery
from firvane.proxy.recovery.steps import MAX_FIRST_CAPACITY
from firvane.proxy.snapshots import format
from firvane.proxy.snapshots.file import SnapshotStore, read
from firvane.proxy.snapshots.types import (
    CAPACITY_HALF_LIFE_S,
    FORMAT_VERSION,
    MAX_AGE_S,
    RESTORE_RULES,
    SCALE_HALF_LIFE_S,
    Snapshot,
    StoredBackend,
    restore_estimates,
)
from tests.helpers import settings as made

NOW = 1.8e9
LISTED = {"index": 7, "snapshot": True, "endpoints": [{"name": "a", "status": "draining"}]}
SNAPSHOT = Snapshot(
    saved_at=NOW, proxy="edge", listed=LISTED, scale=20.0, kinds={"big": 30.0},
    boxes={"a": StoredBackend(room=12.0, start=NOW - 90.0), "b": StoredBackend(room=1.0)},
)  # fmt: skip
WRITER = """
import sys
from firvane.core.logs import QUIET
from firvane.proxy.snapshots.file import SnapshotStore
from firvane.core import interface as api
store = SnapshotStore(sys.argv[1], "p", QUIET, run_off_loop=lambda work: work())
print("up", flush=True)
n = 0
while True:
    n += 1
    rooms = {f"box-{i}": float(n) for i in range(300)}
    store.save(float(n), lambda: None, api.RestoredEstimates(0.0, 1.0, {}, rooms))
"""


def test_a_snapshot_is_decoded_as_encoded() -> None:
    assert format.decode(format.encode(SNAPSHOT)) == SNAPSHOT


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.data())
def test_truncated_changed_or_extended_data_is_rejected_with_one_line(data: st.DataObject) -> None:
    encoded = bytearray(format.encode(SNAPSHOT))
    place = data.draw(st.integers(0, len(encoded) - 1))
    match data.draw(st.sampled_from(["cut", "flip", "more", "noise"])):
        case "cut":
            del encoded[place:]
        case "flip":
            if place in (10, 11):  # padding of the header
                return
            encoded[place] ^= 1 << data.draw(st.integers(0, 7))
        case "more":
            encoded += data.draw(st.binary(min_size=1, max_size=50))
        case _:
            encoded = bytearray(data.draw(st.binary(max_size=300)))
    with pytest.raises(checksum.DamagedDataError) as raised:
        format.decode(bytes(encoded))
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize(
    ("version", "change", "reason"),
    [
        (FORMAT_VERSION + 1, {}, "reads up to"),
        (0, {}, "of format 0"),
        (FORMAT_VERSION, {"scale": float("nan")}, "negative or not finite"),
        (FORMAT_VERSION, {"kinds": {"big": -1.0}}, "negative or not finite"),
        (FORMAT_VERSION, {"boxes": 3}, "fields are invalid"),
        (FORMAT_VERSION, {"saved_at": None}, "fields are invalid"),
        (1, {"rooms": {"a": "x"}, "starts": {}}, "fields are invalid"),
        (1, {}, "fields are invalid"),
    ],
)
def test_invalid_fields_are_rejected(version: int, change: dict[str, Any], reason: str) -> None:
    import google_crc32c
    import msgspec

    body = msgspec.msgpack.encode({**msgspec.to_builtins(SNAPSHOT), **change})
    head = checksum.HEADER.pack(format.MAGIC, version, len(body), google_crc32c.value(body))
    with pytest.raises(checksum.DamagedDataError, match=reason):
        format.decode(head + body)


@pytest.mark.parametrize(
    ("age", "scale", "room"),
    [
        (0.0, 20.0, 12.0),
        (CAPACITY_HALF_LIFE_S, None, 8.0),
        (SCALE_HALF_LIFE_S, 10.0, 4.0),
        (MAX_AGE_S, 0.0, None),
        (-3600.0, 0.0, None),
    ],
)
def test_each_field_is_restored_as_the_rules_say(age: float, scale: float | None, room: float | None) -> None:
    memory = restore_estimates(SNAPSHOT, NOW + age)
    assert scale is None or memory.scale == pytest.approx(scale)
    assert memory.capacities.get("a") == (None if room is None else pytest.approx(room, abs=0.01))
    assert dict(memory.start_times) == ({} if room is None else {"a": NOW - 90.0})
    kept = {row.field for row in RESTORE_RULES}
    assert kept == {"listed", "scale", "kinds", "rooms", "starts"}
    assert not {"fails", "doubts", "up", "slow"} & set(Snapshot.__struct_fields__)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.floats(0, 1e9), st.floats(0, 1e9), st.booleans(), st.integers(0, 5), st.sampled_from("ab"))
def test_a_first_capacity_is_within_its_bound_whatever_was_restored(
    scale: float, room: float, same: bool, fails: int, name: str
) -> None:
    config = made(proxies=1, recovery=api.RecoveryOptions())
    own = Recovery(
        api.RecoveryOptions(), config, BackendEstimates(config, random.Random(1), 0.0), random.Random(1), 0.0
    )
    own.restore(api.RestoredEstimates(0.0, scale, {}, {"a": room}, {"a": 5.0 if same else 1.0}), {})
    box = Backend(api.Server(name, up_since=5.0), 1, 1.0, None)
    box.failures = fails
    own.handle_list([box], api.ServerList(api.ListKind.CACHED, 1), 0.0)
    own.end_window({box}, {}, 0.1)
    assert 1.0 <= box.capacity <= MAX_FIRST_CAPACITY
    if name != "a":  # a new id inherits no capacity
        assert box.capacity == 1.0
    if not same or fails:
        assert box.capacity <= max(1.0, config.rules.start_capacity * room)


def make_store(path: Path, events: list[str]) -> SnapshotStore:
    class Log:
        def info(self, event: str, **fields: Any) -> None:
            events.append(event)

        warning = info

    return SnapshotStore(path, "edge", Log(), run_off_loop=lambda work: work())  # type: ignore[arg-type]


ESTIMATES = api.RestoredEstimates(0.0, 20.0, {"big": 30.0}, {"a": 12.0}, {"a": NOW - 90.0})


def test_a_store_saves_and_loads(tmp_path: Path) -> None:
    events: list[str] = []
    one = make_store(tmp_path / "s", events)
    assert one.load(NOW) is None and events == ["snapshot_none"]
    one.save(NOW, lambda: LISTED, ESTIMATES)
    memory, listed = one.load(NOW + 1.0) or (None, None)
    assert listed == LISTED and memory and memory.scale == pytest.approx(20.0, rel=1e-3)
    assert os.listdir(tmp_path) == ["s"] and events == ["snapshot_none"]
    # Temporary files of a process that was killed long ago, and of a running one.
    abandoned, recent = tmp_path / ".s.killed", tmp_path / ".s.other"
    for file, age in ((abandoned, 3600.0), (recent, 0.0)):
        file.touch()
        os.utime(file, (time.time() - age, time.time() - age))
    one.load(NOW)
    assert not abandoned.exists() and recent.exists()


@pytest.mark.parametrize("fault", ["no folder", "a folder in its place", "full", "read-only"])
def test_a_failed_write_logs_one_event_and_leaves_the_file(
    fault: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    events: list[str] = []
    place = tmp_path / "d" / "s"
    place.parent.mkdir()
    one = make_store(place, events)
    one.save(NOW, lambda: LISTED, ESTIMATES)
    before = place.read_bytes()
    calls = {"full": ("fsync", 28), "read-only": ("replace", 30)}
    if fault in calls:
        name, number = calls[fault]

        def fails(*args: Any, **more: Any) -> None:
            raise OSError(number, os.strerror(number))

        monkeypatch.setattr(os, name, fails)
    elif fault == "no folder":
        place.unlink()
        place.parent.rmdir()
    else:
        place.unlink()
        place.mkdir()
    for _ in range(3):
        one.save(NOW, lambda: LISTED, ESTIMATES)
    assert events == ["snapshot_save_failed"]
    if fault in calls:
        assert place.read_bytes() == before and os.listdir(place.parent) == ["s"]
        monkeypatch.undo()
        one.save(NOW, lambda: LISTED, ESTIMATES)
        assert one.written == 2 and not one.failed


def test_a_process_killed_while_writing_leaves_a_complete_snapshot(tmp_path: Path) -> None:
    place, draw = tmp_path / "s", random.Random(3)
    last = 0.0
    for _ in range(12):
        child = subprocess.Popen([sys.executable, "-c", WRITER, str(place)], stdout=subprocess.PIPE)
        assert child.stdout and child.stdout.readline() == b"up\n"
        with contextlib.suppress(subprocess.TimeoutExpired):
            child.wait(draw.uniform(0.0, 0.05))
        child.send_signal(signal.SIGKILL)
        child.wait()
        child.stdout.close()
        if place.exists():
            snapshot = read(place)
            assert {box.room for box in snapshot.boxes.values()} == {snapshot.saved_at}
            last = max(last, snapshot.saved_at)
    assert last > 1.0


def test_two_processes_on_one_file_write_complete_snapshots(tmp_path: Path) -> None:
    place = tmp_path / "s"
    run = [sys.executable, "-c", WRITER, str(place)]
    children = [subprocess.Popen(run, stdout=subprocess.DEVNULL) for _ in range(2)]
    try:
        seen = 0
        while seen < 50:
            assert all(child.poll() is None for child in children)
            if place.exists():
                read(place)
                seen += 1
    finally:
        for child in children:
            child.kill()
            child.wait()


def test_the_command_shows_and_checks_snapshots(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    good, bad = tmp_path / "good", tmp_path / "bad"
    good.write_bytes(format.encode(SNAPSHOT))
    bad.write_bytes(format.encode(SNAPSHOT)[:-1])
    assert main(["snapshot", "show", str(good)]) == 0
    out = capsys.readouterr().out
    assert "scale         20.0" in out and all(row.field in out for row in RESTORE_RULES)
    assert main(["snapshot", "show", "--json", str(good)]) == 0
    assert '"list_version": 7' in capsys.readouterr().out
    assert main(["snapshot", "check", str(good), str(bad), str(tmp_path / "none")]) == 2
    output = capsys.readouterr()
    assert "a snapshot of edge, 1 boxes listed" in output.out
    assert [line.partition(": ")[2] for line in output.err.splitlines()] == [
        f"it has {len(good.read_bytes()) - checksum.HEADER.size - 1} bytes of "
        f"{len(good.read_bytes()) - checksum.HEADER.size}",
        "cannot be read: No such file or directory",
    ]
