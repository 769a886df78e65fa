"""An estimate of the prefix blocks that a model server caches."""

from __future__ import annotations

from firvane.fleet.placement.prompt_homes import Prompt


class PrefixCacheView:
    """A model of one server's prefix cache with least-recently-used eviction.

    Peers announce the large shared blocks that they send. Only this router sends the own (unshared) block of
    a request, but the traffic of all routers evicts it: the more routers there are, the sooner.

    Attributes:
        capacity_tokens: Estimated capacity of the server's cache.
        max_blocks: Maximum number of shared blocks, and of own blocks, in the model.
        used_tokens: Tokens of all blocks in the model.
        prefilled_tokens: Tokens of all own blocks ever inserted.
    """

    def __init__(self, capacity_tokens: float, max_blocks: int) -> None:
        self.capacity_tokens, self.max_blocks = capacity_tokens, max_blocks
        self.used_tokens = 0.0
        self.prefilled_tokens = 0.0
        self._shared: dict[int, int] = {}  # tokens by key, least recently used first
        self._own: dict[int, tuple[int, float]] = {}  # by key: tokens, and `prefilled_tokens` at insertion

    def cached_tokens(self, prompt: Prompt, routers: int) -> int:
        """Return the tokens of the prompt's longest cached prefix.

        Args:
            prompt: The prompt; its small blocks are taken as not cached.
            routers: The number of live routers.
        """
        shared, cached = self._shared, 0
        for key, tokens in prompt.shared_blocks:
            if key not in shared:
                return cached
            cached += tokens
        own = self._own.get(prompt.own_block[0])
        if own is not None and (self.prefilled_tokens - own[1]) * routers <= self.capacity_tokens:
            return prompt.total_tokens
        return cached

    def insert(self, prompt: Prompt) -> None:
        """Insert the blocks of a prompt that this router sends to the server."""
        key, tokens = prompt.own_block
        old = self._own.pop(key, None)
        self.used_tokens += tokens - (old[0] if old else 0)
        self.prefilled_tokens += tokens
        self._own[key] = (tokens, self.prefilled_tokens)
        # in reverse, so that the first block, which most prompts share, is evicted last
        for key, tokens in reversed(prompt.shared_blocks):
            self._put_shared(key, tokens)
        self._evict()

    def insert_shared(self, key: int, tokens: int) -> None:
        """Insert a shared block that a peer has sent to the server."""
        self._put_shared(key, tokens)
        self._evict()

    def recent_shared(self, limit: int) -> list[tuple[int, int]]:
        """Return (key, tokens) of at most `limit` most recently used shared blocks, the latest last."""
        return list(self._shared.items())[-limit:]

    def _put_shared(self, key: int, tokens: int) -> None:
        self.used_tokens += tokens - self._shared.pop(key, 0)
        self._shared[key] = tokens

    def _evict(self) -> None:
        """Evict blocks beyond the capacity: own blocks first, since they are rarely reused."""
        while self._own and (self.used_tokens > self.capacity_tokens or len(self._own) > self.max_blocks):
            self.used_tokens -= self._own.pop(next(iter(self._own)))[0]
        while self._shared and (
            self.used_tokens > self.capacity_tokens or len(self._shared) > self.max_blocks
        ):
            self.used_tokens -= self._shared.pop(next(iter(self._shared)))
