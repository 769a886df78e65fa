"""The operating system's files, as far as journals count on them."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.fleet.storage.filesystem import SystemFileSystem


@pytest.mark.parametrize("exists", [False, True])
def test_a_folder_lasts_once_it_is_made_whoever_made_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, exists: bool
) -> None:
    """A process that is killed between making a folder and its sync leaves a name that may be lost."""
    files, synced = SystemFileSystem(), list[str]()
    monkeypatch.setattr(files, "sync_directory", synced.append)
    folder = tmp_path / "group-0"
    if exists:
        folder.mkdir()
    files.make_directory(str(folder))
    assert folder.is_dir()
    assert synced == [str(tmp_path)]
