"""A simulated disk: after a power loss, unsynced writes are present, torn or missing, as on a real disk."""

from __future__ import annotations

import errno
import os
import random
import struct
from dataclasses import dataclass, field

FRAME_HEADER = struct.Struct("<4sIIQ")  # of a journal frame: magic, length of the body, checksum, number


class ProcessKilledError(BaseException):
    """The process is killed during a call to its disk."""


@dataclass
class Inode:
    content: bytearray = field(default_factory=bytearray)
    durable: bytes | None = None  # as of the last sync; None if it was never synced
    pending: list[tuple[int, bytes] | int] = field(default_factory=list)  # unsynced writes, or new lengths


@dataclass
class NameChange:
    kind: str  # create, rename, remove
    name: str
    target: str
    inode: Inode


class SimulatedDisk:
    """Implements `firvane.fleet.storage.filesystem.FileSystem`.

    `remaining_calls`: the number of changing calls until `ProcessKilledError` is raised; None for no limit.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.current_names: dict[str, Inode] = {}
        self.durable_names: dict[str, Inode] = {}
        self.name_changes: list[NameChange] = []
        self.full = False
        self.remaining_calls: int | None = None
        self.syncs = 0

    # Faults

    def wipe(self) -> None:
        self.current_names, self.durable_names, self.name_changes = {}, {}, []

    def newest_segment_is_durable(self) -> bool:
        """Whether the newest segment and its snapshot would survive a power loss completely."""
        newest = max(name for name in self.current_names if os.path.basename(name).startswith("segment-"))
        names = [newest, newest.replace("segment-", "snapshot-")]
        return all(
            not self.current_names[name].pending and self.durable_names.get(name) is self.current_names[name]
            for name in names
            if name in self.current_names
        )

    def damage_segment(self) -> bool:
        """Corrupt a byte of a synced frame before the last one of the newest segment.

        Returns False if there is no such frame.
        """
        segments = sorted(
            name for name in self.current_names if os.path.basename(name).startswith("segment-")
        )
        if not segments or self.current_names[segments[-1]].pending:
            return False
        inode = self.current_names[segments[-1]]
        end = _start_of_last_frame(inode.content)
        return end > 0 and self._corrupt(inode, 0, end)

    def damage_snapshot(self) -> bool:
        """Corrupt a byte of a synced snapshot that the only segment needs; returns False if there is none."""
        names = sorted(os.path.basename(name) for name in self.current_names)
        kinds = [name.split("-")[0] for name in names]
        generations = {name.split("-")[1] for name in names}
        if kinds != ["segment", "snapshot"] or len(generations) > 1:
            return False
        inode = next(inode for name, inode in self.current_names.items() if "snapshot-" in name)
        return not inode.pending and self._corrupt(inode, 0, len(inode.content))

    def _corrupt(self, inode: Inode, start: int, end: int) -> bool:
        position = self.rng.randrange(start, end)
        inode.content[position] ^= self.rng.randrange(1, 256)
        inode.durable = bytes(inode.content)
        return True

    def lose_power(self) -> None:
        """Keep all synced changes; each unsynced change is kept, torn or lost at random."""
        lose_unsynced = self.rng.random() < 0.3
        inodes = [*self.current_names.values(), *self.durable_names.values()]
        for inode in {id(inode): inode for inode in inodes}.values():
            self._lose_content(inode, lose_unsynced)
        names = dict(self.durable_names)
        for change in self.name_changes:
            if lose_unsynced or self.rng.random() < 0.5:
                continue
            self._apply(names, change)
        self.current_names, self.durable_names, self.name_changes = names, dict(names), []

    def _lose_content(self, inode: Inode, lose_unsynced: bool) -> None:
        content = bytearray(inode.durable or b"")
        for change in inode.pending:
            outcome = "missing" if lose_unsynced else self.rng.choice(("there", "torn", "missing"))
            if isinstance(change, int):
                if outcome != "missing":
                    _resize(content, change)
                continue
            offset, data = change
            if outcome == "torn":
                start = self.rng.choice((0, 0, self.rng.randrange(len(data) + 1)))
                end = self.rng.randrange(start, len(data) + 1)
                _overwrite(content, offset + start, data[start:end])
            elif outcome == "there":
                _overwrite(content, offset, data)
        inode.content, inode.durable, inode.pending = content, bytes(content), []

    @staticmethod
    def _apply(names: dict[str, Inode], change: NameChange) -> None:
        if change.kind == "create":
            names.setdefault(change.name, change.inode)
        elif change.kind == "remove":
            if names.get(change.name) is change.inode:
                del names[change.name]
        elif names.get(change.name) is change.inode:
            names[change.target] = names.pop(change.name)

    def _use_call(self, writes: bool = False) -> None:
        if self.remaining_calls is not None:
            if self.remaining_calls <= 0:
                raise ProcessKilledError
            self.remaining_calls -= 1
        if writes and self.full:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")

    # The methods of `FileSystem`

    def make_directory(self, path: str) -> None:
        self._use_call(writes=True)

    def names(self, path: str) -> list[str]:
        return [os.path.basename(name) for name in self.current_names if os.path.dirname(name) == path]

    def read(self, path: str) -> bytes:
        if path not in self.current_names:
            raise FileNotFoundError(path)
        return bytes(self.current_names[path].content)

    def open(self, path: str, create: bool) -> SimulatedFile:
        if create:
            self._use_call(writes=True)
            if path not in self.current_names:
                inode = self.current_names[path] = Inode()
                self.name_changes.append(NameChange("create", path, "", inode))
            else:
                SimulatedFile(self, path, self.current_names[path]).truncate(0)
        elif path not in self.current_names:
            raise FileNotFoundError(path)
        return SimulatedFile(self, path, self.current_names[path])

    def rename(self, source: str, target: str) -> None:
        self._use_call(writes=True)
        inode = self.current_names.pop(source)
        self.current_names[target] = inode
        self.name_changes.append(NameChange("rename", source, target, inode))

    def remove(self, path: str) -> None:
        self._use_call()
        inode = self.current_names.pop(path)
        self.name_changes.append(NameChange("remove", path, "", inode))

    def sync_directory(self, path: str) -> None:
        self._use_call()
        self.syncs += 1
        self.durable_names = dict(self.current_names)
        self.name_changes = []

    def size(self) -> int:
        return sum(len(inode.content) for inode in self.current_names.values())


class SimulatedFile:
    """An open file of a simulated disk."""

    def __init__(self, disk: SimulatedDisk, path: str, inode: Inode) -> None:
        self.disk = disk
        self.path = path
        self.inode = inode

    def write_at(self, offset: int, data: bytes) -> None:
        self.disk._use_call()
        if self.disk.full:
            data = data[: self.disk.rng.choice((0, 0, self.disk.rng.randrange(len(data) + 1)))]
        _overwrite(self.inode.content, offset, data)
        if data:
            self.inode.pending.append((offset, data))
        if self.disk.full:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")

    def truncate(self, size: int) -> None:
        self.disk._use_call(writes=True)
        _resize(self.inode.content, size)
        self.inode.pending.append(size)

    def sync(self) -> None:
        self.disk._use_call()
        self.disk.syncs += 1
        self.inode.durable = bytes(self.inode.content)
        self.inode.pending = []
        self._make_name_durable()

    def close(self) -> None: ...

    def _make_name_durable(self) -> None:
        """Make the name of a new file durable, as a sync of the file itself does."""
        disk = self.disk
        for change in disk.name_changes:
            if change.kind == "create" and change.inode is self.inode:
                disk.durable_names[change.name] = self.inode
                disk.name_changes.remove(change)
                return


def _start_of_last_frame(content: bytearray) -> int:
    """The position of a segment's last complete frame; 0 if it is the only one or a tail is torn."""
    start = position = 0
    while position + FRAME_HEADER.size <= len(content):
        length = FRAME_HEADER.unpack_from(content, position)[1]
        start, position = position, position + FRAME_HEADER.size + length
    return start if position == len(content) else 0


def _overwrite(content: bytearray, offset: int, data: bytes) -> None:
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


def _resize(content: bytearray, size: int) -> None:
    if len(content) < size:
        content.extend(bytes(size - len(content)))
    del content[size:]
