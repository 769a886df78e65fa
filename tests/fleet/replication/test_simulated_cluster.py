"""Groups of replicas through drawn troubles: no promise is broken in any of a fixed set of histories.

Thousands more are played by `python -m tests.fleet.replication.simulated_cluster COUNT FIRST`.
"""

from __future__ import annotations

import pytest

from tests.fleet.replication.histories import KINDS
from tests.fleet.replication.simulated_cluster import run_seed

HISTORIES = 30
LATE_ELECTION = 9001294  # a leader elected 2 s before the end has yet to wait for a voter that is no more
DAMAGED_SNAPSHOT = 104685  # damaged, with an older segment that a loss of power has brought back
LONG_LOG = 5001067  # one replica that never compacts and takes 730 entries


@pytest.mark.parametrize("seed", [*range(HISTORIES), LONG_LOG, LATE_ELECTION, DAMAGED_SNAPSHOT])
def test_no_promise_is_broken_in_a_drawn_history(seed: int) -> None:
    run_seed(seed)


def test_a_leader_with_entries_yet_to_apply_does_not_take_its_state_for_current() -> None:
    """It did, from the answers of its followers alone, once entries were applied in turns."""
    run_seed(32, KINDS["frequent snapshots"](32))


def test_a_departure_is_over_when_its_process_is_back() -> None:
    """Two voters that had announced their ends, and were back, took each other's place 25 times a second."""
    cluster = run_seed(17, KINDS["planned stops"](17))
    owner = cluster.owner()
    assert owner is not None
    before = owner.group.replica.core.log.members_index
    cluster.run(cluster.now + 2.0)
    assert owner.group.replica.core.log.members_index == before
