"""Deliberate faults against the simulated worlds: `python -m tests.fleet.replication.mutants` plays all.

A mutant is caught where the unchanged code passes all its histories, and one of them at least ends with a
broken promise. A crash of the changed code, or of the worlds, catches nothing.
"""

from __future__ import annotations

import sys
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from tests.fleet.replication.mutant import Mutant
from tests.fleet.replication.mutants_elections import ELECTIONS, LEASES
from tests.fleet.replication.mutants_freshness import FRESHNESS
from tests.fleet.replication.mutants_log import REPLICATION, SNAPSHOTS
from tests.fleet.replication.mutants_storage import RESPONSES, STORAGE, UNDETECTED
from tests.fleet.replication.mutation import Edit, loaded_histories

MUTANTS = (*FRESHNESS, *ELECTIONS, *LEASES, *REPLICATION, *SNAPSHOTS, *RESPONSES, *STORAGE)


@dataclass(frozen=True, slots=True)
class MutantResult:
    """How a mutant fared: its histories, those with a broken promise by promise, and those that crashed."""

    mutant: Mutant
    violations: Counter[str]
    caught_by: tuple[int, ...]  # seeds
    crashes: tuple[str, ...]
    baseline_failures: tuple[str, ...]  # what the unchanged code does in the same histories, where it fails

    @property
    def caught(self) -> bool:
        """Whether the worlds have found the fault."""
        return bool(self.violations) and not self.baseline_failures


class MutantRunner:
    """Plays mutants; each history of the unchanged code is played once."""

    def __init__(self) -> None:
        self._baseline: dict[tuple[str, int], str] = {}

    def run(self, mutant: Mutant, seeds: Sequence[int] = ()) -> MutantResult:
        """Play a mutant's histories, or those of some of its seeds."""
        played = tuple(seeds) or mutant.seeds
        self._run_baseline(mutant.kind, played)
        ends = _ends(mutant.edits, mutant.kind, played)
        violations = Counter(invariant for ending, invariant, _ in ends if ending == "violated")
        caught_by = tuple(seed for seed, end in zip(played, ends, strict=True) if end[0] == "violated")
        crashes = tuple(reason for ending, _, reason in ends if ending == "crashed")
        fails = [self._baseline[mutant.kind, seed] for seed in played]
        return MutantResult(
            mutant, violations, caught_by, crashes, tuple(reason for reason in fails if reason)
        )

    def _run_baseline(self, kind: str, seeds: Sequence[int]) -> None:
        missing = [seed for seed in seeds if (kind, seed) not in self._baseline]
        if missing:
            for seed, end in zip(missing, _ends((), kind, missing), strict=True):
                self._baseline[kind, seed] = "" if end[0] == "passed" else f"{end[0]}: {end[2]}"


def _ends(edits: Sequence[Edit], kind: str, seeds: Sequence[int]) -> list[tuple[str, str, str]]:
    """Of each history how it ended, the broken promise and the reason."""
    with loaded_histories(edits) as histories:
        outcomes = histories.outcomes(kind, seeds)
    return [(outcome.ending.value, outcome.invariant, outcome.reason) for outcome in outcomes]


def row(result: MutantResult) -> str:
    """One row of the table."""
    mutant = result.mutant
    if result.baseline_failures:
        found = f"nothing: the unchanged code fails ({result.baseline_failures[0]})"
    else:
        found = ", ".join(f"{name} ({count})" for name, count in result.violations.most_common()) or "nothing"
    share = f"{len(result.caught_by)} of {len(mutant.seeds)}"
    return f"| {mutant.name} | {mutant.breaks} | {mutant.kind} | {found} | {share} |"


def main(arguments: Sequence[str]) -> int:
    """Play all mutants, or those whose names hold one of the arguments; 1 where one is not caught."""
    started = time.monotonic()
    trial = MutantRunner()
    print("| mutant | what it breaks | histories | caught by | in |\n| --- | --- | --- | --- | --- |")
    survivors = _play(trial, MUTANTS, arguments)
    print("Superfluous lines, whose loss the worlds are expected to bear:")
    _play(trial, UNDETECTED, arguments)
    print(f"{time.monotonic() - started:.1f} s; survivors: {survivors}")
    return 1 if survivors else 0


def _play(trial: MutantRunner, mutants: Sequence[Mutant], parts: Sequence[str]) -> list[str]:
    """Play and print mutants; the names of those that are not caught."""
    survivors = []
    for mutant in mutants:
        if parts and not any(part in mutant.name for part in parts):
            continue
        result = trial.run(mutant)
        print(row(result), flush=True)
        for crash in result.crashes[:1]:
            print(f"  crashed in {len(result.crashes)}: {crash}")
        if not result.caught:
            survivors.append(mutant.name)
    return survivors


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
