"""The memory of one model server, counted in tokens: its prefix cache and the private memory of requests.

1. A chunk that a running request uses is locked and cannot be evicted. Others stay cached until their space
   is needed; the least recently used is evicted first.
2. A cached chunk saves its prefill only if all chunks before it in the prompt are cached as well.
3. Tokens that a request has prefilled or written are private until a chunk is prefilled completely; then the
   chunk is cached.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass

from firvane.simulation.localfleet.prompts import PromptChunk


@dataclass(slots=True)
class _LockedChunk:
    tokens: int
    users: int


class TokenMemory:
    """Memory for `capacity` tokens."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._locked: dict[int, _LockedChunk] = {}
        self._idle: OrderedDict[int, int] = OrderedDict()  # id to tokens, least recently used first
        self._idle_tokens = 0
        self._in_use = 0  # private tokens and those of locked chunks

    @property
    def in_use(self) -> int:
        """Number of tokens that cannot be evicted now."""
        return self._in_use

    def keeps(self, part: PromptChunk) -> bool:
        """Whether the chunk is cached, locked or not."""
        return part.id in self._locked or part.id in self._idle

    def lock_cached(self, parts: Sequence[PromptChunk]) -> int:
        """Lock the leading chunks that are cached; return how many."""
        count = 0
        for part in parts:
            if not self.keeps(part):
                break
            self._lock(part)
            count += 1
        return count

    def reserve(self, tokens: int) -> bool:
        """Reserve private memory, evicting idle chunks; False, without a change, if there is not enough."""
        if self._in_use + tokens > self.capacity:
            return False
        self._in_use += tokens
        self._evict()
        return True

    def free(self, tokens: int) -> None:
        """Release private memory."""
        self._in_use -= tokens

    def keep(self, part: PromptChunk) -> None:
        """Cache a chunk that was prefilled into private memory, locked by its request."""
        self._in_use -= part.tokens
        if self.keeps(part):
            self._lock(part)  # another request has cached it meanwhile
        else:
            self._in_use += part.tokens
            self._locked[part.id] = _LockedChunk(part.tokens, 1)

    def unlock(self, parts: Sequence[PromptChunk]) -> None:
        """Unlock the chunks of a request that has ended; the first ones become the most recently used."""
        for part in reversed(parts):
            locked = self._locked[part.id]
            locked.users -= 1
            if locked.users == 0:
                del self._locked[part.id]
                self._in_use -= locked.tokens
                self._idle[part.id] = locked.tokens
                self._idle_tokens += locked.tokens

    def _lock(self, part: PromptChunk) -> None:
        locked = self._locked.get(part.id)
        if locked:
            locked.users += 1
            return
        tokens = self._idle.pop(part.id)
        self._idle_tokens -= tokens
        self._in_use += tokens
        self._locked[part.id] = _LockedChunk(tokens, 1)

    def _evict(self) -> None:
        while self._in_use + self._idle_tokens > self.capacity:
            _, tokens = self._idle.popitem(last=False)
            self._idle_tokens -= tokens
