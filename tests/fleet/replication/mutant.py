"""A deliberate fault of the code, and where the simulated worlds find it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from tests.fleet.replication.mutation import Edit


@dataclass(frozen=True, slots=True)
class Mutant:
    """A named change of the real code, and the histories that are played with it: a kind and its seeds.

    `revealing_seed` is one of the seeds, in whose history the change shows; None where it is not expected to.
    """

    name: str
    breaks: str
    kind: str
    seeds: tuple[int, ...]
    revealing_seed: int | None
    edits: tuple[Edit, ...]


def mutant(
    name: str,
    breaks: str,
    kind: str,
    seeds: Sequence[int],
    revealing_seed: int | None,
    *edits: tuple[str, str, str],
) -> Mutant:
    """A mutant; an edit is a module of `firvane`, the old text and the new one."""
    changes = tuple(Edit(f"firvane.fleet.{module}", old, new) for module, old, new in edits)
    return Mutant(name, breaks, kind, tuple(seeds), revealing_seed, changes)
