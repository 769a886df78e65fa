"""Keys of prompts and the order of backends for a key.

1. Every router computes the same home of a key from the same set of ready backends, without asking.
2. Rendezvous hashing: where a backend joins or leaves, only the keys that it wins or held move.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from firvane.core.balancing.records import mix

IDENTITY_MASK = (1 << 62) - 1  # a part's identity may be longer than a machine word
LARGE_PART = 1000  # tokens: shared parts of as many decide the home whatever the own part is
SMALL_PART = 128  # tokens up to which a shared part is as quickly read as looked up
BUCKET_SALT = 0xB0C
SMALL_SHARED_SHARE = 0.25  # of what is beyond that: smaller shared parts leave the home to the own part


class Prompt(NamedTuple):
    """A prompt as the decisions see it.

    The key of a part covers all parts before it, as a part is only kept together with them.
    """

    shared_parts: tuple[tuple[int, int], ...]  # key and tokens, in order, without small ones
    own_part: tuple[int, int]  # the same of the last part, which is the request's own or its session's
    total: int  # tokens of the whole prompt
    shared: int  # of these, tokens of the parts that others share
    keepable: int  # of these, tokens of `shared_parts`
    home_key: int  # decides the home


def make_prompt(chain: Sequence[tuple[int, int]], tokens_in: int, spare_key: int) -> Prompt:
    """Read the chain of a request; `spare_key` is the home key where there is no chain."""
    key, keyed = 0, list[tuple[int, int]]()
    for identity, tokens in chain:
        key = mix(key + 1, identity & IDENTITY_MASK)
        keyed.append((key, tokens))
    total = max(tokens_in, sum([tokens for _, tokens in keyed]))
    if not keyed:
        return Prompt((), (spare_key, 0), total, 0, 0, spare_key)
    own_part = keyed.pop()
    shared = sum([tokens for _, tokens in keyed])
    by_shared = keyed and shared >= min(LARGE_PART, SMALL_SHARED_SHARE * max(0, total - LARGE_PART))
    home_key = keyed[-1][0] if by_shared else own_part[0]
    large = tuple([part for part in keyed if part[1] >= SMALL_PART])
    return Prompt(large, own_part, total, shared, sum([tokens for _, tokens in large]), home_key)


def rendezvous(key: int, salts: Iterable[tuple[int, str]], most: int) -> list[str]:
    """The first `most` backend ids in the order of a key; `salts` are pairs of salt and id."""
    ranked = sorted([(mix(salt, key), name) for salt, name in salts], reverse=True)
    return [name for _, name in ranked[:most]]


class HomeOrder:
    """The orders of keys for one set of backends; keys share an order by bucket, so that few are made."""

    BUCKETS = 8192

    def __init__(self, most: int) -> None:
        """`most`: how many backends an order names."""
        self.most = most
        self._salts: list[tuple[int, str]] = []
        self._orders: dict[int, list[str]] = {}  # by bucket, as they are asked for

    def assign(self, salts: Sequence[tuple[int, str]]) -> None:
        """The backends are these now."""
        self._salts = sorted(salts)
        self._orders = {}

    def of(self, key: int) -> list[str]:
        """Backend ids in the order of a key, its home first; empty where there is no backend."""
        bucket = key % self.BUCKETS
        found = self._orders.get(bucket)
        if found is None:
            found = self._orders[bucket] = rendezvous(mix(bucket, BUCKET_SALT), self._salts, self.most)
        return found
