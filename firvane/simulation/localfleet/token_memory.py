"""The memory of one model server, counted in tokens: parts of prompts that it keeps, and what requests hold.

1. A part that a running request uses is locked and cannot give way. Others are kept until their room is
   needed; the least recently used gives way first.
2. A kept part saves its reading only where all parts before it in the prompt are kept as well.
3. What a request has read or written itself is private until a part is read whole; then the part is kept.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from firvane.simulation.localfleet.prompts import PromptPart


@dataclass(slots=True)
class _LockedPart:
    tokens: int
    users: int


class TokenMemory:
    """Room for `capacity` tokens."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._locked: dict[int, _LockedPart] = {}
        self._idle: OrderedDict[int, int] = OrderedDict()  # id to tokens, least recently used first
        self._idle_tokens = 0
        self._in_use = 0  # private tokens and those of locked parts

    @property
    def in_use(self) -> int:
        """Tokens that cannot give way now."""
        return self._in_use

    def keeps(self, part: PromptPart) -> bool:
        """Whether the part is kept, locked or not."""
        return part.id in self._locked or part.id in self._idle

    def lock_kept(self, parts: Sequence[PromptPart]) -> int:
        """Lock the parts at the beginning that are kept; how many there are."""
        count = 0
        for part in parts:
            if not self.keeps(part):
                break
            self._lock(part)
            count += 1
        return count

    def reserve(self, tokens: int) -> bool:
        """Take private room, for which idle parts give way; False, and no change, where there is none."""
        if self._in_use + tokens > self.capacity:
            return False
        self._in_use += tokens
        self._evict()
        return True

    def free(self, tokens: int) -> None:
        """Give private room back."""
        self._in_use -= tokens

    def keep(self, part: PromptPart) -> None:
        """A part was read whole into private room: it is kept now, locked by its reader."""
        self._in_use -= part.tokens
        if self.keeps(part):
            self._lock(part)  # somebody else was sooner
        else:
            self._in_use += part.tokens
            self._locked[part.id] = _LockedPart(part.tokens, 1)

    def unlock(self, parts: Sequence[PromptPart]) -> None:
        """A request that had locked these parts has ended. The first ones count as the most recently used."""
        for part in reversed(parts):
            locked = self._locked[part.id]
            locked.users -= 1
            if locked.users == 0:
                del self._locked[part.id]
                self._in_use -= locked.tokens
                self._idle[part.id] = locked.tokens
                self._idle_tokens += locked.tokens

    def _lock(self, part: PromptPart) -> None:
        locked = self._locked.get(part.id)
        if locked:
            locked.users += 1
            return
        tokens = self._idle.pop(part.id)
        self._idle_tokens -= tokens
        self._in_use += tokens
        self._locked[part.id] = _LockedPart(tokens, 1)

    def _evict(self) -> None:
        while self._in_use + self._idle_tokens > self.capacity:
            _, tokens = self._idle.popitem(last=False)
            self._idle_tokens -= tokens
