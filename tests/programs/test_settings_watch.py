"""Detection of changes of the settings file without a signal."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from firvane.programs.settings_watch import SettingsWatch


class FakeLoop:
    def __init__(self) -> None:
        self.timers: list[Callable[[], None]] = []

    def call_later(self, delay: float, callback: Callable[[], None]) -> FakeLoop:
        self.timers.append(callback)
        return self

    def cancel(self) -> None:
        self.timers.clear()

    def run_timers(self) -> None:
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


def test_each_change_is_detected_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv("FIRVANE_BOOT", str(path))
    path.write_text("a: 1")
    loop, changes = FakeLoop(), list[bool]()
    watch = SettingsWatch(loop, lambda: changes.append(True))  # type: ignore[arg-type]
    watch.start()
    loop.run_timers()
    assert not changes
    path.write_text("a: 12")
    os.utime(path, ns=(1, 1))
    loop.run_timers()
    loop.run_timers()
    assert len(changes) == 1
    path.unlink()
    loop.run_timers()
    assert len(changes) == 1
    path.write_text("a: 123")
    watch.on_signal()
    loop.run_timers()
    assert len(changes) == 2
    watch.stop()
    assert not loop.timers
