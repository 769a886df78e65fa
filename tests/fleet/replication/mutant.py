"""A mutant: a deliberate fault of the code, and the simulation runs that reveal it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from tests.fleet.replication.mutation import Edit


@dataclass(frozen=True, slots=True)
class Mutant:
    """A named change of the real code, and the simulation runs for it: a kind and its seeds.

    `breaks` describes the changed behaviour. `revealing_seed` is one of the seeds whose run violates an
    invariant; None if no violation is expected.
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
    """Make a mutant; an edit is a module below `firvane.fleet`, the old text and the new text."""
    changes = tuple(Edit(f"firvane.fleet.{module}", old, new) for module, old, new in edits)
    return Mutant(name, breaks, kind, tuple(seeds), revealing_seed, changes)
