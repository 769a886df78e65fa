"""Histories of whole members, five voters and two proxies that learn: the promises hold in each of them."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from tests.quorum.world import FAULTS_S, Trouble, World

HISTORIES = int(os.environ.get("FIRVANE_POLICY_HISTORIES", "40"))
KINDS = ("kill", "lose", "power", "stall", "mute", "deaf", "cut", "full")
WHEN = st.floats(1.0, FAULTS_S, width=32)
TROUBLES = st.builds(
    Trouble, st.sampled_from(KINDS), st.integers(0, 6), WHEN, st.one_of(st.floats(0.1, 4.0), st.just(20.0))
)
PROPOSALS = st.tuples(WHEN, st.integers(0, 6), st.one_of(st.just(0.0), st.floats(0.1, 3.0)))


@settings(
    derandomize=True, max_examples=HISTORIES, deadline=None, phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
@given(st.integers(0, 1 << 30), st.lists(TROUBLES, max_size=5), st.lists(PROPOSALS, min_size=1, max_size=3))
def test_every_promise_holds(
    seed: int, troubles: list[Trouble], proposals: list[tuple[float, int, float]]
) -> None:
    assert World(seed, troubles, proposals).verdict() == []
