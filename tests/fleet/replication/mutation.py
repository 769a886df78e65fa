"""Reloads the replication code with small edits of its source in this process, and restores it afterwards."""

from __future__ import annotations

import contextlib
import importlib
import importlib.abc
import importlib.machinery
import importlib.util
import sys
import types
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[3]
RELOADED = (
    "firvane.fleet.replication",
    "firvane.fleet.storage",
    "firvane.fleet.controller.journal_opener",
    "tests.fleet.replication.faults",
    "tests.fleet.replication.histories",
    "tests.fleet.replication.oracle",
    "tests.fleet.replication.process",
    "tests.fleet.replication.scenarios",
    "tests.fleet.replication.settings",
    "tests.fleet.replication.simulated_disk",
    "tests.fleet.replication.synced_log",
    "tests.fleet.replication.simulated_cluster",
)
HISTORIES = "tests.fleet.replication.histories"


class SourceMismatchError(Exception):
    """The text that an edit replaces does not occur exactly once in the source."""


@dataclass(frozen=True, slots=True)
class Edit:
    """An edit of one module's source; `old` must occur in it exactly once."""

    module: str
    old: str
    new: str


def path_of(module: str) -> Path:
    """The source file of a module."""
    return ROOT.joinpath(*module.split(".")).with_suffix(".py")


def edited_source(module: str, edits: Sequence[Edit]) -> str:
    """The source of a module with the edits applied."""
    source = path_of(module).read_text()
    for edit in edits:
        count = source.count(edit.old)
        if count != 1:
            raise SourceMismatchError(f"{module}: {count} places instead of one for {edit.old!r}")
        source = source.replace(edit.old, edit.new)
    return source


class _EditedLoader(importlib.machinery.SourceFileLoader):
    """Compiles the edited source; neither reads nor writes bytecode files."""

    def __init__(self, module: str, edits: Sequence[Edit]) -> None:
        super().__init__(module, str(path_of(module)))
        self._edits = edits

    def get_code(self, fullname: str) -> types.CodeType:
        return compile(edited_source(fullname, self._edits), self.path, "exec")


class _EditedFinder(importlib.abc.MetaPathFinder):
    def __init__(self, edits: Sequence[Edit]) -> None:
        self._edits = edits

    def find_spec(
        self, fullname: str, path: object = None, target: object = None
    ) -> importlib.machinery.ModuleSpec | None:
        edits = [edit for edit in self._edits if edit.module == fullname]
        if not edits:
            return None
        return importlib.util.spec_from_loader(fullname, _EditedLoader(fullname, edits))


def _is_reloaded(name: str) -> bool:
    return any(name == reloaded or name.startswith(reloaded + ".") for reloaded in RELOADED)


@contextlib.contextmanager
def loaded_histories(edits: Sequence[Edit]) -> Iterator[types.ModuleType]:
    """Import `tests.fleet.replication.histories` over freshly loaded, edited code; undone afterwards."""
    unknown = [edit.module for edit in edits if not _is_reloaded(edit.module)]
    if unknown:
        raise SourceMismatchError(f"edited modules are not reloaded: {unknown}")
    before = {name: module for name, module in sys.modules.items() if _is_reloaded(name)}
    finder = _EditedFinder(edits)
    _unload(before)
    sys.meta_path.insert(0, finder)
    try:
        yield importlib.import_module(HISTORIES)
    finally:
        sys.meta_path.remove(finder)
        _unload([name for name in sys.modules if _is_reloaded(name)])
        _restore(before)


def _unload(names: Sequence[str] | dict[str, types.ModuleType]) -> None:
    for name in list(names):
        module = sys.modules.pop(name)
        parent, _, child = name.rpartition(".")
        if getattr(sys.modules.get(parent), child, None) is module:
            delattr(sys.modules[parent], child)


def _restore(modules: dict[str, types.ModuleType]) -> None:
    sys.modules.update(modules)
    for name, module in modules.items():
        parent, _, child = name.rpartition(".")
        if parent in sys.modules:
            setattr(sys.modules[parent], child, module)
