"""Histories of whole members, five voters and two proxies that learn: the promises hold in each of them."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import Any

from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.proposals import Proposals
from firvane.proxy.quorum.types import ProposalOutcome, Timing
from tests.proxy.quorum.world import FAULTS_S, SHORT, Fault, World


@dataclass(frozen=True)
class Hasty(Timing):
    """The swap may come before leases have run out."""

    @property
    def min_notice_s(self) -> float:
        return 0.0


class LiarsProposals(Proposals):
    """It says that a change has failed as soon as it is aborted."""

    def abort(self, digest: bytes, now: float) -> None:
        if digest in self.by_digest:
            self.by_digest[digest].outcome = ProposalOutcome.FAILED


class Liar(Member):
    """A member whose proposals are those."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self.proposals = LiarsProposals(self.state, self.outbox)


HISTORIES = int(os.environ.get("FIRVANE_POLICY_HISTORIES", "40"))
KINDS = ("kill", "lose", "power", "stall", "mute", "deaf", "cut", "full")
WHEN = st.floats(1.0, FAULTS_S, width=32)
FAULTS = st.builds(
    Fault, st.sampled_from(KINDS), st.integers(0, 6), WHEN, st.one_of(st.floats(0.1, 4.0), st.just(20.0))
)
PROPOSALS = st.tuples(WHEN, st.integers(0, 6), st.one_of(st.just(0.0), st.floats(0.1, 3.0)))


@settings(
    derandomize=True, max_examples=HISTORIES, deadline=None, phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)  # fmt: skip
@given(st.integers(0, 1 << 30), st.lists(FAULTS, max_size=5), st.lists(PROPOSALS, min_size=1, max_size=3))
def test_every_promise_holds(
    seed: int, injected_faults: list[Fault], proposals: list[tuple[float, int, float]]
) -> None:
    assert World(seed, injected_faults, proposals).verdict() == []


def test_a_swap_without_notice_is_seen() -> None:
    hasty = Hasty(SHORT.lease_s, SHORT.clock_skew, SHORT.round_trip_s, SHORT.readiness_timeout_s)
    cuts = [[Fault("deaf", 5, 3.0 + at / 20, 4.0)] for at in range(6, 15)]
    worlds = (World(3, cut, [(3.0, 6, 0.0)], times=hasty) for cut in cuts)
    assert any("by epoch 1" in line for world in worlds for line in world.verdict())


def test_a_change_said_to_have_failed_is_seen_in_force() -> None:
    worlds = (World(3, (), [(3.0, 6, at / 10)], Liar) for at in range(1, 12))
    assert any("(c)" in line for world in worlds for line in world.verdict())
