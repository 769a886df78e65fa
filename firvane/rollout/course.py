"""The course of a roll (signatures; the body follows)."""

from __future__ import annotations

from firvane.rollout.plan import Plan
from firvane.rollout.words import Action, Event, Kept


class Course:
    """A roll from its plan; `kept` is what an earlier controller left. `begin` comes first, then `hear`."""

    def __init__(self, plan: Plan, digest: str, now: float, kept: Kept | None = None) -> None:
        raise NotImplementedError

    def begin(self, now: float) -> list[Action]:
        """What is to be done at the start or at a take-over."""
        raise NotImplementedError

    def hear(self, event: Event, now: float) -> list[Action]:
        """What follows from an event: done in that order."""
        raise NotImplementedError

    def kept(self, now: float) -> Kept:
        """Where it is."""
        raise NotImplementedError
