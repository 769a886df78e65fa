"""Policy files: durable before the callback, complete or rejected, written in order, used by one process."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.core.checksum import DamagedDataError, add_header, verify
from firvane.proxy.policy_text import MAX_TEXT_BYTES, digest_of
from firvane.proxy.quorum import store as module
from firvane.proxy.quorum.store import (
    FORMAT_VERSION,
    HISTORY_LIMIT,
    STATE_MAGIC,
    HistoryEntry,
    Store,
    bootstrap,
)
from firvane.proxy.quorum.types import ProposalNumber, Value, VoterState

TEXT = b"retry_after = true\n"
NEXT = Value(2, digest_of(b"next"), (0, 1, 2))
HIGH = ProposalNumber(4, 1, 9)
VOTED = VoterState(3, Value(1, digest_of(TEXT), (0, 1, 2)), True, HIGH, (HIGH, NEXT), ((1, 2),))


class Lines:
    """A log that records events."""

    def __init__(self) -> None:
        self.events: list[str] = []

    def info(self, event: str, **fields: Any) -> None:
        self.events.append(event)
        assert "\n" not in f"{fields}"

    warning = error = info


class Folder:
    """A store whose writes and callbacks run only when the test runs them."""

    def __init__(self, path: Path) -> None:
        self.log, self.writes, self.callbacks = (
            Lines(),
            list[Callable[[], None]](),
            list[Callable[[], None]](),
        )
        self.store = Store(path, self.log, self.callbacks.append, run_off_loop=self.writes.append)  # type: ignore

    def run(self, max_steps: int = 100) -> None:
        for _ in range(max_steps):
            if not (self.writes or self.callbacks):
                return
            (self.writes or self.callbacks).pop(0)()


def test_bootstrapped_files_are_loaded_by_each_start(tmp_path: Path) -> None:
    value = bootstrap(tmp_path / "f", TEXT, (2, 0, 1))
    assert value == Value(1, digest_of(TEXT), (0, 1, 2))
    for _ in range(2):
        state, texts, history = Folder(tmp_path / "f").store.load()
        assert state and (state.decided, state.activated, state.accepted) == (value, True, None)
        assert texts == {value.digest: TEXT} and history == ()
    with pytest.raises(FileExistsError):
        bootstrap(tmp_path / "f", b"other", (0,))
    for text, voters in ((b"x" * (MAX_TEXT_BYTES + 1), (0,)), (TEXT, ()), (TEXT, (1, 1)), (TEXT, range(6))):
        with pytest.raises(ValueError, match=r"at the most|each once"):
            bootstrap(tmp_path / "g", text, voters)
    assert not (tmp_path / "g" / "votes").exists()


def test_state_is_reported_once_on_disk_and_waiting_states_are_written_as_one(tmp_path: Path) -> None:
    folder, saved = Folder(tmp_path), list[int]()
    for n in range(4):
        folder.store.save_state(VOTED._replace(incarnation=n), lambda n=n: saved.append(n), pytest.fail)
    assert not saved and not (tmp_path / "votes").exists()
    folder.writes.pop(0)()
    assert not saved and Folder(tmp_path).store.load().state == VOTED._replace(incarnation=0)
    folder.run()
    assert saved == [0, 1, 2, 3] and folder.store.written == 2
    assert Folder(tmp_path).store.load().state == VOTED._replace(incarnation=3)


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_full_disk_is_logged_once_and_its_states_are_not_reported(
    call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    folder, saved, failed = Folder(tmp_path), list[str](), list[str]()
    folder.store.save_state(VOTED, lambda: saved.append("first"), failed.append)
    folder.run()

    def full(*args: Any, **more: Any) -> None:
        raise OSError(28, os.strerror(28))

    with monkeypatch.context() as patch:
        patch.setattr(os, call, full)
        for n in (7, 8):
            folder.store.save_state(
                VOTED._replace(incarnation=n), lambda: saved.append("lost"), failed.append
            )
        folder.run()
        folder.store.save_text(TEXT, lambda: saved.append("lost"), failed.append)
        folder.run()
    assert (
        saved == ["first"]
        and failed == [os.strerror(28)] * 3
        and folder.log.events == ["policy_file_save_failed"]
    )
    assert Folder(tmp_path).store.load() == (VOTED, {}, ()) and os.listdir(tmp_path) == ["votes"]
    folder.store.save_state(VOTED._replace(incarnation=9), lambda: saved.append("again"), failed.append)
    folder.run()
    assert saved == ["first", "again"]


BODY = msgspec.msgpack.encode(VOTED)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.data())
def test_whatever_is_cut_flipped_or_added_is_refused_in_one_line(data: st.DataObject) -> None:
    whole = bytearray(add_header(STATE_MAGIC, FORMAT_VERSION, BODY))
    place = data.draw(st.integers(0, len(whole) - 1))
    match data.draw(st.sampled_from(["cut", "flip", "more", "noise"])):
        case "cut":
            del whole[place:]
        case "flip":
            if place in (10, 11):  # of the head, and without a meaning
                return
            whole[place] ^= 1 << data.draw(st.integers(0, 7))
        case "more":
            whole += data.draw(st.binary(min_size=1, max_size=50))
        case _:
            whole = bytearray(data.draw(st.binary(max_size=300)))
    with pytest.raises(DamagedDataError) as refused:
        verify(bytes(whole), STATE_MAGIC, FORMAT_VERSION, "votes")
    assert "\n" not in str(refused.value)


@pytest.mark.parametrize(
    "data",
    [
        add_header(STATE_MAGIC, FORMAT_VERSION, BODY)[:-1],
        add_header(STATE_MAGIC, FORMAT_VERSION + 1, BODY),
        add_header(b"FVSN", FORMAT_VERSION, BODY),
        add_header(STATE_MAGIC, FORMAT_VERSION, msgspec.msgpack.encode([1, 2])),
        add_header(
            STATE_MAGIC,
            FORMAT_VERSION,
            msgspec.msgpack.encode(VOTED._replace(decided=NEXT._replace(voters=()))),
        ),
        b"x" * (module.MAX_FILE_BYTES + 1),
        None,
    ],
    ids=["torn", "newer", "a snapshot", "other fields", "no voters", "too long", "a folder"],
)
def test_invalid_state_is_logged_once_and_counts_as_lost_while_texts_remain(
    data: bytes | None, tmp_path: Path
) -> None:
    bootstrap(tmp_path, TEXT, (0, 1, 2))
    (tmp_path / "votes").unlink()
    (tmp_path / "votes").mkdir() if data is None else (tmp_path / "votes").write_bytes(data)
    (tmp_path / f"text-{'0' * 32}").write_bytes(b"of another digest")
    (tmp_path / ".votes.killed").touch()
    folder = Folder(tmp_path)
    assert folder.store.load() == (None, {digest_of(TEXT): TEXT}, ())
    assert folder.log.events == ["policy_file_rejected"] * 2 and not (tmp_path / ".votes.killed").exists()


def test_history_is_truncated_and_deleted_text_is_not_loaded(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    entries = [HistoryEntry(NEXT._replace(epoch=n), 1e9 + n) for n in range(1, HISTORY_LIMIT + 11)]
    folder.store.save_history(entries)
    folder.store.save_text(TEXT, lambda: None, lambda reason: None)
    folder.run()
    assert Folder(tmp_path).store.load() == (None, {digest_of(TEXT): TEXT}, tuple(entries[-HISTORY_LIMIT:]))
    folder.store.delete_text(digest_of(TEXT))
    folder.run()
    assert Folder(tmp_path).store.load().texts == {}


def test_folder_is_locked_by_one_process_and_close_waits_for_writes(tmp_path: Path) -> None:
    callbacks: list[Callable[[], None]] = []
    first, second = (Store(tmp_path, Lines(), callbacks.append) for _ in range(2))  # type: ignore[arg-type]
    first.load()
    with pytest.raises(OSError, match="another process's"):
        second.load()
    for n in range(20):
        first.save_text(b"%d" % n, lambda: pytest.fail("called after close"), pytest.fail)
    first.close()
    for callback in callbacks:
        callback()
    assert len(second.load().texts) == 20
    second.close()
