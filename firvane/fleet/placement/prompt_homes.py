"""Prefix keys of prompts, and the home of a key: the server chosen by rendezvous hashing to cache it.

Invariants:

1. All routers compute the same home of a key from the same set of ready servers, without communication.
2. If a server joins or leaves, only the keys that it gains or loses get another home.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from firvane.core.balancing.records import mix

IDENTITY_MASK = (1 << 62) - 1  # keeps identities within a machine word
LARGE_SHARED_TOKENS = 1000  # shared blocks of this size determine the home, however large the own block is
MIN_CACHEABLE_TOKENS = 128  # smaller blocks are prefilled as quickly as looked up
MIN_SHARED_RATIO = 0.25  # smaller shared blocks, by the prompt beyond that size, don't determine the home
BUCKETS = 8192  # keys of a bucket share one rendezvous order, so that few orders are computed
BUCKET_SALT = 0xB0C


class Prompt(NamedTuple):
    """A prompt as a sequence of prefix blocks.

    The key of a block covers all blocks before it, since a block is cached only together with its prefix.

    Attributes:
        shared_blocks: (key, tokens) of the blocks shared with other requests, in order, without small ones.
        own_block: (key, tokens) of the last block, which only this request or its session uses.
        total_tokens: Tokens of the complete prompt.
        shared_tokens: Tokens of all shared blocks, including small ones.
        cacheable_tokens: Tokens of `shared_blocks`.
        home_key: The key that determines the home.
    """

    shared_blocks: tuple[tuple[int, int], ...]
    own_block: tuple[int, int]
    total_tokens: int
    shared_tokens: int
    cacheable_tokens: int
    home_key: int


def make_prompt(chain: Sequence[tuple[int, int]], tokens_in: int, fallback_key: int) -> Prompt:
    """Return the prompt of a request.

    Args:
        chain: (identity, tokens) of each block in order.
        tokens_in: Tokens of the prompt as stated by the client.
        fallback_key: The home key if the chain is empty.
    """
    key, keyed = 0, list[tuple[int, int]]()
    for identity, tokens in chain:
        key = mix(key + 1, identity & IDENTITY_MASK)
        keyed.append((key, tokens))
    total = max(tokens_in, sum([tokens for _, tokens in keyed]))
    if not keyed:
        return Prompt((), (fallback_key, 0), total, 0, 0, fallback_key)
    own_block = keyed.pop()
    shared = sum([tokens for _, tokens in keyed])
    min_shared = min(LARGE_SHARED_TOKENS, MIN_SHARED_RATIO * max(0, total - LARGE_SHARED_TOKENS))
    home_key = keyed[-1][0] if keyed and shared >= min_shared else own_block[0]
    cacheable = tuple([block for block in keyed if block[1] >= MIN_CACHEABLE_TOKENS])
    return Prompt(cacheable, own_block, total, shared, sum([tokens for _, tokens in cacheable]), home_key)


def rank_servers(key: int, hashed_ids: Iterable[tuple[int, str]], limit: int) -> list[str]:
    """Return the first `limit` server ids in a key's rendezvous order; `hashed_ids` are (id hash, id)."""
    ranked = sorted([(mix(id_hash, key), name) for id_hash, name in hashed_ids], reverse=True)
    return [name for _, name in ranked[:limit]]


class HomeOrder:
    """The rendezvous orders of keys over one set of servers, computed on first use."""

    def __init__(self, limit: int) -> None:
        """Create the orders of an empty set of servers; an order contains at most `limit` servers."""
        self.limit = limit
        self._hashed_ids: list[tuple[int, str]] = []
        self._orders: dict[int, list[str]] = {}  # by bucket

    def assign(self, hashed_ids: Sequence[tuple[int, str]]) -> None:
        """Replace the set of servers, given as (id hash, id)."""
        self._hashed_ids = sorted(hashed_ids)
        self._orders = {}

    def ranked(self, key: int) -> list[str]:
        """Return server ids in the rendezvous order of a key, its home first."""
        bucket = key % BUCKETS
        order = self._orders.get(bucket)
        if order is None:
            order = self._orders[bucket] = rank_servers(
                mix(bucket, BUCKET_SALT), self._hashed_ids, self.limit
            )
        return order
