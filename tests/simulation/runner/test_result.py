"""A result's hash, and its file: the old one or the new one, and never anything between."""

from __future__ import annotations

import os
import struct
from pathlib import Path

import msgspec
import pytest

from firvane.simulation.runner.result import (
    FORMAT,
    ResultError,
    Witness,
    read,
    replay_command,
    result_hash,
    write,
)
from tests.simulation.runner.samples import DAY, history, sample


def test_the_hash_is_that_of_the_records_to_the_bit_and_in_their_order() -> None:
    records = history()
    first = result_hash(records)
    assert first == result_hash(history()) == sample().result_hash
    for n in (0, 7, len(records) - 1):
        up = struct.unpack(
            "<d", struct.pack("<q", struct.unpack("<q", struct.pack("<d", records[n].at))[0] + 1)
        )
        changed = [*records[:n], records[n]._replace(at=up[0]), *records[n + 1 :]]
        assert result_hash(changed) != first
    assert result_hash([*records[1:2], *records[:1], *records[2:]]) != first
    assert result_hash(records[:-1]) != first
    # A hash that is written down: a change of the encoding must not pass unseen.
    assert result_hash(records[:50])[:16] == "3d6891b0ff8e9b45"


def test_a_result_is_read_back_as_it_was_written(tmp_path: Path) -> None:
    result = sample(lost=True)
    write(tmp_path / "a.json", result)
    assert read(tmp_path / "a.json") == result
    assert os.listdir(tmp_path) == ["a.json"]
    told = msgspec.json.decode((tmp_path / "a.json").read_bytes())
    named = {
        "scenario",
        "seed",
        "clock",
        "result_hash",
        "service",
        "worst_10_s",
        "worst_community",
        "communities",
    }
    named |= {"broken_rules", "latency_ms", "attempts", "waste", "boxes", "proxies", "over_time", "troubles"}
    assert named <= told.keys() and told["format"] == FORMAT
    assert told["broken_rules"][0]["replay"] == "firvane rehearse sample --virtual --seed 1"


def test_a_write_that_fails_leaves_the_old_file_and_nothing_else(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write(tmp_path / "a.json", sample())
    before = (tmp_path / "a.json").read_bytes()
    for step in ("fsync", "replace"):
        with monkeypatch.context() as patch:

            def fails(*_: object) -> None:
                raise OSError("no space left on device")

            patch.setattr(os, step, fails)
            with pytest.raises(OSError, match="no space"):
                write(tmp_path / "a.json", sample(seed=2))
        assert (tmp_path / "a.json").read_bytes() == before and os.listdir(tmp_path) == ["a.json"]


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"{}", b'{"format": 99}', b'{"format": 1, "seed": "x"}'])
def test_what_is_no_result_is_refused_by_name(tmp_path: Path, data: bytes) -> None:
    (tmp_path / "b.json").write_bytes(data)
    with pytest.raises(ResultError, match=r"b\.json"):
        read(tmp_path / "b.json")


def test_a_name_is_quoted_in_the_command_that_replays() -> None:
    assert replay_command("my day.toml", 7, "live") == "firvane rehearse 'my day.toml' --live --seed 7"


def test_live_runs_are_judged_leniently_unless_one_asks() -> None:
    def broken(**how: object) -> int:
        witness = Witness(DAY, 1, **how)  # type: ignore[arg-type]
        for record in history(lost=True):
            witness.see(record)
        return len(witness.result().broken_rules)

    assert broken(clock="virtual") == 1 and broken(clock="live") == 0
    assert broken(clock="live", strict=True) == 1 and broken(clock="virtual", strict=False) == 0
