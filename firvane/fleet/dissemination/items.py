"""Items, and the store that keeps the newest version of each."""

from __future__ import annotations

import struct
import zlib
from collections.abc import Iterator

from msgspec import Struct

MAX_KEY_BYTES = 255
MAX_ITEMS = 4096
"""Maximum number of keys in a store; items with further keys are rejected."""
_VERSION = struct.Struct(">HQ")


class Item(Struct, frozen=True):
    """A versioned payload under a key; the highest version wins in every process."""

    key: bytes
    version: int
    """64 bits."""
    payload: bytes


class ItemStore:
    """The newest known item of each key."""

    def __init__(self) -> None:
        self._items: dict[bytes, Item] = {}
        self._summary: int | None = None

    def get(self, key: bytes) -> Item | None:
        """Return the newest known item of a key, or None."""
        return self._items.get(key)

    def version(self, key: bytes) -> int:
        """Return the newest known version of a key; -1 if there is none."""
        item = self._items.get(key)
        return -1 if item is None else item.version

    def put(self, item: Item) -> bool:
        """Store an item if it is newer than the stored one, and return whether it was stored."""
        if item.version <= self.version(item.key):
            return False
        if item.key not in self._items and len(self._items) >= MAX_ITEMS:
            return False
        self._items[item.key] = item
        self._summary = None
        return True

    def __iter__(self) -> Iterator[Item]:
        return iter(self._items.values())

    def __len__(self) -> int:
        return len(self._items)

    def versions(self) -> list[tuple[bytes, int]]:
        """Return key and version of all items, ordered by key."""
        return sorted((item.key, item.version) for item in self._items.values())

    def summary(self) -> int:
        """Return a 32-bit checksum over keys and versions."""
        if self._summary is None:
            parts = (_VERSION.pack(len(key), version) + key for key, version in self.versions())
            self._summary = zlib.crc32(b"".join(parts))
        return self._summary
