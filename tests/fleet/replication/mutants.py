"""Mutation testing of the replication code: `python -m tests.fleet.replication.mutants` runs all mutants.

A mutant is caught if the unchanged code passes all its simulation runs, and the changed code violates an
invariant in at least one of them. A crash of the changed code or of the simulation does not count.
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
    """The result of a mutant's runs: violations by invariant, crashes, and failures of the unchanged code."""

    mutant: Mutant
    violations: Counter[str]
    caught_by: tuple[int, ...]  # seeds
    crashes: tuple[str, ...]
    baseline_failures: tuple[str, ...]  # failures of the unchanged code in the same runs

    @property
    def caught(self) -> bool:
        """Whether the simulation has revealed the fault."""
        return bool(self.violations) and not self.baseline_failures


class MutantRunner:
    """Runs mutants; each run of the unchanged code is done once and reused."""

    def __init__(self) -> None:
        self._baseline: dict[tuple[str, int], str] = {}

    def run(self, mutant: Mutant, seeds: Sequence[int] = ()) -> MutantResult:
        """Run a mutant with all its seeds, or with some of them."""
        chosen_seeds = tuple(seeds) or mutant.seeds
        self._run_baseline(mutant.kind, chosen_seeds)
        outcomes = _run_edited(mutant.edits, mutant.kind, chosen_seeds)
        violations = Counter(invariant for ending, invariant, _ in outcomes if ending == "violated")
        caught_by = tuple(
            seed for seed, outcome in zip(chosen_seeds, outcomes, strict=True) if outcome[0] == "violated"
        )
        crashes = tuple(reason for ending, _, reason in outcomes if ending == "crashed")
        failures = [self._baseline[mutant.kind, seed] for seed in chosen_seeds]
        return MutantResult(
            mutant, violations, caught_by, crashes, tuple(reason for reason in failures if reason)
        )

    def _run_baseline(self, kind: str, seeds: Sequence[int]) -> None:
        missing = [seed for seed in seeds if (kind, seed) not in self._baseline]
        if missing:
            for seed, outcome in zip(missing, _run_edited((), kind, missing), strict=True):
                self._baseline[kind, seed] = "" if outcome[0] == "passed" else f"{outcome[0]}: {outcome[2]}"


def _run_edited(edits: Sequence[Edit], kind: str, seeds: Sequence[int]) -> list[tuple[str, str, str]]:
    """Run the edited code; returns for each seed the ending, the violated invariant and the reason."""
    with loaded_histories(edits) as histories:
        outcomes = histories.run_histories(kind, seeds)
    return [(outcome.ending.value, outcome.invariant, outcome.reason) for outcome in outcomes]


def table_row(result: MutantResult) -> str:
    """Format one row of the result table."""
    mutant = result.mutant
    if result.baseline_failures:
        found = f"nothing: the unchanged code fails ({result.baseline_failures[0]})"
    else:
        found = ", ".join(f"{name} ({count})" for name, count in result.violations.most_common()) or "nothing"
    share = f"{len(result.caught_by)} of {len(mutant.seeds)}"
    return f"| {mutant.name} | {mutant.breaks} | {mutant.kind} | {found} | {share} |"


def main(arguments: Sequence[str]) -> int:
    """Run all mutants, or those whose names contain an argument; returns 1 if one is not caught."""
    started = time.monotonic()
    runner = MutantRunner()
    print("| mutant | changed behaviour | runs | caught by | in |\n| --- | --- | --- | --- | --- |")
    survivors = _run_and_print(runner, MUTANTS, arguments)
    print("Mutants that the simulation is expected not to reveal:")
    _run_and_print(runner, UNDETECTED, arguments)
    print(f"{time.monotonic() - started:.1f} s; survivors: {survivors}")
    return 1 if survivors else 0


def _run_and_print(runner: MutantRunner, mutants: Sequence[Mutant], parts: Sequence[str]) -> list[str]:
    """Run mutants and print their results; returns the names of those that are not caught."""
    survivors = []
    for mutant in mutants:
        if parts and not any(part in mutant.name for part in parts):
            continue
        result = runner.run(mutant)
        print(table_row(result), flush=True)
        for crash in result.crashes[:1]:
            print(f"  crashed in {len(result.crashes)}: {crash}")
        if not result.caught:
            survivors.append(mutant.name)
    return survivors


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
