"""The guarantees of the operating system's files on which journals rely."""

from __future__ import annotations

from pathlib import Path

import pytest

from firvane.fleet.storage.filesystem import SystemFileSystem


@pytest.mark.parametrize("exists", [False, True])
def test_a_folder_is_durable_once_made_even_if_another_process_created_it(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, exists: bool
) -> None:
    """A process killed between creating a folder and syncing the parent leaves an entry that may be lost."""
    files, synced = SystemFileSystem(), list[str]()
    monkeypatch.setattr(files, "sync_directory", synced.append)
    folder = tmp_path / "group-0"
    if exists:
        folder.mkdir()
    files.make_directory(str(folder))
    assert folder.is_dir()
    assert synced == [str(tmp_path)]
