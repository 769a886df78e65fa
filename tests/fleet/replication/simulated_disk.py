"""A disk that forgets as a real one may: unsynced writes are there, torn or missing after a loss of power."""

from __future__ import annotations

import errno
import os
import random
import struct
from dataclasses import dataclass, field

FRAME_HEAD = struct.Struct("<4sIIQ")  # of a journal's frame: magic, length of the body, checksum, number


class PowerCut(BaseException):
    """The process ends in the middle of a call to its disk."""


@dataclass
class Inode:
    content: bytearray = field(default_factory=bytearray)
    durable: bytes | None = None  # as of the last sync; None if it was never synced
    pending: list[tuple[int, bytes] | int] = field(default_factory=list)  # writes, or a length to cut to


@dataclass
class NameChange:
    kind: str  # create, rename, remove
    name: str
    target: str
    inode: Inode


class SimulatedDisk:
    """Implements `firvane.fleet.storage.filesystem.FileSystem`. `budget`: changing calls until `PowerCut`."""

    def __init__(self, chance: random.Random) -> None:
        self.chance = chance
        self.names_now: dict[str, Inode] = {}
        self.names_durable: dict[str, Inode] = {}
        self.name_changes: list[NameChange] = []
        self.full = False
        self.budget: int | None = None
        self.syncs = 0

    # Faults

    def wipe(self) -> None:
        self.names_now, self.names_durable, self.name_changes = {}, {}, []

    def newest_segment_is_durable(self) -> bool:
        """Whether the newest segment and its snapshot would be there, and whole, after a loss of power."""
        newest = max(name for name in self.names_now if os.path.basename(name).startswith("segment-"))
        names = [newest, newest.replace("segment-", "snapshot-")]
        return all(
            not self.names_now[name].pending and self.names_durable.get(name) is self.names_now[name]
            for name in names
            if name in self.names_now
        )

    def damage_segment(self) -> bool:
        """Spoil a byte of a synced frame that is not the last of the newest segment; whether there is one."""
        segments = sorted(name for name in self.names_now if os.path.basename(name).startswith("segment-"))
        if not segments or self.names_now[segments[-1]].pending:
            return False
        inode = self.names_now[segments[-1]]
        end = _start_of_last_frame(inode.content)
        return end > 0 and self._spoil(inode, 0, end)

    def damage_snapshot(self) -> bool:
        """Spoil a byte of a synced snapshot that the only segment needs; whether there is one."""
        names = sorted(os.path.basename(name) for name in self.names_now)
        kinds = [name.split("-")[0] for name in names]
        generations = {name.split("-")[1] for name in names}
        if kinds != ["segment", "snapshot"] or len(generations) > 1:
            return False
        inode = next(inode for name, inode in self.names_now.items() if "snapshot-" in name)
        return not inode.pending and self._spoil(inode, 0, len(inode.content))

    def _spoil(self, inode: Inode, start: int, end: int) -> bool:
        position = self.chance.randrange(start, end)
        inode.content[position] ^= self.chance.randrange(1, 256)
        inode.durable = bytes(inode.content)
        return True

    def lose_power(self) -> None:
        """Keep what was synced; of what came later, decide by lot."""
        all_gone = self.chance.random() < 0.3
        inodes = [*self.names_now.values(), *self.names_durable.values()]
        for inode in {id(inode): inode for inode in inodes}.values():
            self._lose_content(inode, all_gone)
        names = dict(self.names_durable)
        for change in self.name_changes:
            if all_gone or self.chance.random() < 0.5:
                continue
            self._apply(names, change)
        self.names_now, self.names_durable, self.name_changes = names, dict(names), []

    def _lose_content(self, inode: Inode, all_gone: bool) -> None:
        content = bytearray(inode.durable or b"")
        for change in inode.pending:
            fate = "missing" if all_gone else self.chance.choice(("there", "torn", "missing"))
            if isinstance(change, int):
                if fate != "missing":
                    _cut(content, change)
                continue
            offset, data = change
            if fate == "torn":
                start = self.chance.choice((0, 0, self.chance.randrange(len(data) + 1)))
                end = self.chance.randrange(start, len(data) + 1)
                _put(content, offset + start, data[start:end])
            elif fate == "there":
                _put(content, offset, data)
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

    def _spend(self, writes: bool = False) -> None:
        if self.budget is not None:
            if self.budget <= 0:
                raise PowerCut
            self.budget -= 1
        if writes and self.full:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")

    # The protocol

    def make_directory(self, path: str) -> None:
        self._spend(writes=True)

    def names(self, path: str) -> list[str]:
        return [os.path.basename(name) for name in self.names_now if os.path.dirname(name) == path]

    def read(self, path: str) -> bytes:
        if path not in self.names_now:
            raise FileNotFoundError(path)
        return bytes(self.names_now[path].content)

    def open(self, path: str, create: bool) -> SimulatedFile:
        if create:
            self._spend(writes=True)
            if path not in self.names_now:
                inode = self.names_now[path] = Inode()
                self.name_changes.append(NameChange("create", path, "", inode))
            else:
                SimulatedFile(self, path, self.names_now[path]).truncate(0)
        elif path not in self.names_now:
            raise FileNotFoundError(path)
        return SimulatedFile(self, path, self.names_now[path])

    def rename(self, source: str, target: str) -> None:
        self._spend(writes=True)
        inode = self.names_now.pop(source)
        self.names_now[target] = inode
        self.name_changes.append(NameChange("rename", source, target, inode))

    def remove(self, path: str) -> None:
        self._spend()
        inode = self.names_now.pop(path)
        self.name_changes.append(NameChange("remove", path, "", inode))

    def sync_directory(self, path: str) -> None:
        self._spend()
        self.syncs += 1
        self.names_durable = dict(self.names_now)
        self.name_changes = []

    def size(self) -> int:
        return sum(len(inode.content) for inode in self.names_now.values())


class SimulatedFile:
    """An open file of a simulated disk."""

    def __init__(self, disk: SimulatedDisk, path: str, inode: Inode) -> None:
        self.disk = disk
        self.path = path
        self.inode = inode

    def write_at(self, offset: int, data: bytes) -> None:
        self.disk._spend()
        if self.disk.full:
            data = data[: self.disk.chance.choice((0, 0, self.disk.chance.randrange(len(data) + 1)))]
        _put(self.inode.content, offset, data)
        if data:
            self.inode.pending.append((offset, data))
        if self.disk.full:
            raise OSError(errno.ENOSPC, "no space left on the simulated disk")

    def truncate(self, size: int) -> None:
        self.disk._spend(writes=True)
        _cut(self.inode.content, size)
        self.inode.pending.append(size)

    def sync(self) -> None:
        self.disk._spend()
        self.disk.syncs += 1
        self.inode.durable = bytes(self.inode.content)
        self.inode.pending = []
        self._let_name_last()

    def close(self) -> None: ...

    def _let_name_last(self) -> None:
        """A new file lasts once it is synced itself."""
        disk = self.disk
        for change in disk.name_changes:
            if change.kind == "create" and change.inode is self.inode:
                disk.names_durable[change.name] = self.inode
                disk.name_changes.remove(change)
                return


def _start_of_last_frame(content: bytearray) -> int:
    """Where the last whole frame of a segment begins; 0 where there is no other."""
    start = position = 0
    while position + FRAME_HEAD.size <= len(content):
        length = FRAME_HEAD.unpack_from(content, position)[1]
        start, position = position, position + FRAME_HEAD.size + length
    return start if position == len(content) else 0


def _put(content: bytearray, offset: int, data: bytes) -> None:
    if len(content) < offset:
        content.extend(bytes(offset - len(content)))
    content[offset : offset + len(data)] = data


def _cut(content: bytearray, size: int) -> None:
    if len(content) < size:
        content.extend(bytes(size - len(content)))
    del content[size:]
