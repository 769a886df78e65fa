"""Changes of the settings file that no signal announces."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import pytest

from firvane.programs.settings_watch import SettingsWatch


class Loop:
    def __init__(self) -> None:
        self.timers: list[Callable[[], None]] = []

    def call_later(self, delay: float, callback: Callable[[], None]) -> Loop:
        self.timers.append(callback)
        return self

    def cancel(self) -> None:
        self.timers.clear()

    def turn(self) -> None:
        timers, self.timers = self.timers, []
        for callback in timers:
            callback()


def test_a_change_is_noticed_once(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "settings.yaml"
    monkeypatch.setenv("FIRVANE_BOOT", str(path))
    path.write_text("a: 1")
    loop, changes = Loop(), list[bool]()
    watch = SettingsWatch(loop, lambda: changes.append(True))  # type: ignore[arg-type]
    watch.start()
    loop.turn()
    assert not changes
    path.write_text("a: 12")
    os.utime(path, ns=(1, 1))
    loop.turn()
    loop.turn()
    assert len(changes) == 1
    path.unlink()
    loop.turn()
    assert len(changes) == 1
    path.write_text("a: 123")
    watch.on_signal()
    loop.turn()
    assert len(changes) == 2
    watch.stop()
    assert not loop.timers
