"""Replication groups under random faults: no invariant is violated for a fixed set of seeds.

`python -m tests.fleet.replication.simulated_cluster COUNT FIRST` runs more seeds.
"""

from __future__ import annotations

import pytest

from tests.fleet.replication.histories import KINDS
from tests.fleet.replication.simulated_cluster import run_seed

HISTORIES = 30
LATE_ELECTION = 9001294  # a leader elected 2 s before the end must still wait to replace a lost voter
DAMAGED_SNAPSHOT = 104685  # corrupted, while a power loss has restored an older segment
LONG_LOG = 5001067  # a single replica that never compacts and appends 730 entries


@pytest.mark.parametrize("seed", [*range(HISTORIES), LONG_LOG, LATE_ELECTION, DAMAGED_SNAPSHOT])
def test_random_faults_violate_no_invariant(seed: int) -> None:
    run_seed(seed)


def test_a_leader_with_unapplied_committed_entries_is_not_current() -> None:
    """Entries are applied in batches, so acknowledgements by followers do not prove the state current."""
    run_seed(32, KINDS["frequent snapshots"](32))


def test_a_restarted_voter_is_no_longer_draining() -> None:
    """Guards against two restarted voters that still count as draining and replace each other endlessly.

    They did so 25 times a second.
    """
    cluster = run_seed(17, KINDS["planned stops"](17))
    owner = cluster.owner()
    assert owner is not None
    before = owner.group.replica.core.log.members_index
    cluster.run(cluster.now + 2.0)
    assert owner.group.replica.core.log.members_index == before
