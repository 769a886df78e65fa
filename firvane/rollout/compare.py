"""Old against new (signatures; the body follows)."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from firvane.rollout.plan import Limits
from firvane.rollout.words import Block, Finding


def in_time_share(blocks: Iterable[Block], least: int = 1) -> float | None:
    """The part of all requests of these blocks that was answered in time; None under `least` requests."""
    raise NotImplementedError


class Comparison:
    """One comparison, from `Compare` to the next one or `Stop`. `before`: `in_time_share` before the roll."""

    def __init__(
        self, limits: Limits, alpha: float, soak_s: float, before: float | None = None, alone: bool = False
    ) -> None:
        raise NotImplementedError

    def add(self, moment: Sequence[Block]) -> None:
        """All proxies' blocks that ended at one moment, `block_s` after the last."""
        raise NotImplementedError

    def verdict(self) -> Finding:
        """What can be said by now."""
        raise NotImplementedError
