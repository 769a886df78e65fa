"""Invariants of a small fleet over random faults, restored estimates and false messages of a third of it."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from firvane.core import interface as api
from firvane.proxy.recovery import messages
from firvane.proxy.recovery.messages import CapacityLoan, StateReply
from tests.proxy.recovery.small_fleet import WARM, SmallFleet

CORES = [4, 2, 4, 2, 2, 8]
APART = 0.25  # s between events
GONE = 1.5  # s: minimum downtime of a backend whose restart the list does not report
DRAINING = api.ServerState.DRAINING
SOME = st.sets(st.integers(0, 11), min_size=1, max_size=12)
BOXES = st.sampled_from([f"box-{number}" for number in range(len(CORES))])
PART = st.sampled_from([0.0, 0.1, 0.3])


def liars(count: int, seed: int, times: float) -> Callable[[int, bytes], bytes | None]:
    """Return a filter that makes the first `count` proxies send false scales, cold backends and loans."""
    draw = random.Random(seed)

    def lie(sender: int, payload: bytes) -> bytes | None:
        if sender >= count or payload[:1] != messages.MESSAGE_PREFIX:
            return payload
        at, said = messages.decode(payload)
        if isinstance(said, StateReply):
            scale, cold = min(9e8, (said.scale + 1) * times), {draw.randrange(65536): 0.0}
            said = StateReply(draw.randrange(99), scale, 0.0, True, cold)
        elif isinstance(said, CapacityLoan):
            said = CapacityLoan(draw.randrange(65536), 255)
        return messages.encode(said, at / 1000)

    return lie


class Histories(RuleBasedStateMachine):
    """Some proxies that remember what they like, a third of them liars, and boxes that come and go."""

    fleet: Any = None

    @initialize(
        proxies=st.sampled_from([1, 3, 6, 12]), scale=st.floats(0.0, 1e4), room=st.floats(0.0, 1e4),
        times=st.floats(1.0, 1e4), seed=st.integers(0, 99), back=st.sampled_from([0.0, 3.0]),
    )  # fmt: skip
    def power_returns_to_all(
        self, proxies: int, scale: float, room: float, times: float, seed: int, back: float
    ) -> None:
        rooms = {f"box-{n}": room for n in range(len(CORES))}
        self.wild = api.RestoredEstimates(9.0, scale, {"k": scale}, rooms, {})
        self.kept: dict[int, api.RestoredEstimates | None] = {}  # of stopped proxies
        self.away: dict[str, float] = {}  # stopped backends, and since when
        self.fleet = SmallFleet(
            proxies, CORES, seed, 600.0, self.wild, liars(proxies // 3, seed, times), back
        )

    @rule(seconds=st.sampled_from([0.3, 1.0, 3.0]))
    def time_passes(self, seconds: float) -> None:
        self.fleet.run(self.fleet.now + seconds)

    @rule(proxies=SOME)
    def power_goes_from_proxies(self, proxies: set[int]) -> None:
        for me in {number % len(self.fleet.lives) for number in proxies} - self.kept.keys():
            self.kept[me] = self.fleet.end(me)

    @precondition(lambda self: self.kept)
    @rule(memory=st.sampled_from(["kept", "lost", "wild"]))
    def proxies_return(self, memory: str) -> None:
        for me, kept in self.kept.items():
            self.fleet.start(me, {"kept": kept, "lost": None, "wild": self.wild}[memory])
        self.kept.clear()

    @rule(box=BOXES)
    def a_box_goes(self, box: str) -> None:
        if self.fleet.boxes[box].is_up:
            self.away[box] = self.fleet.now
            self.fleet.stop(box)

    @precondition(lambda self: self.away)
    @rule(told=st.booleans())
    def boxes_return_cold(self, told: bool) -> None:
        if not told:
            self.fleet.run(max(self.fleet.now, max(self.away.values()) + GONE))
        for box in self.away:
            self.fleet.boxes[box].restart(self.fleet.now)
            if told:
                self.fleet.tell(box, up_since=self.fleet.now)
        self.away.clear()

    @rule(box=BOXES)
    def a_box_drains(self, box: str) -> None:
        if sum(entry.state is not DRAINING for entry in self.fleet.entries.values()) > 2:
            self.fleet.tell(box, state=DRAINING)

    @rule(loss=PART, late=PART, twice=PART)
    def links_change(self, loss: float, late: float, twice: float) -> None:
        self.fleet.loss, self.fleet.late, self.fleet.twice = loss, late, twice

    @invariant()
    def cold_boxes_hold_and_what_drained_is_left_alone(self) -> None:
        """Cold boxes' budgets hold over all proxies: none is pushed over."""
        if self.fleet:
            self.fleet.run(self.fleet.now + APART)
            assert "fell" not in [box.state for box in self.fleet.boxes.values()]
            assert not self.fleet.after_drain

    def teardown(self) -> None:
        """Once answers can come, every proxy leaves its recovery and serves."""
        if not self.fleet:
            return
        self.links_change(0.0, 0.0, 0.0)
        self.proxies_return("lost")
        self.boxes_return_cold(True)
        fleet = self.fleet
        fleet.rate = 30.0  # the capacity of any two warm backends
        fleet.run(fleet.now + WARM.warm_s)
        # Each at some time, not all at once: a proxy that reconnects late to a restarted backend takes it for
        # cold.
        left = set[int]()
        for _ in range(20):
            fleet.run(fleet.now + 1.0)
            left |= {me for me, one in enumerate(fleet.balancers) if not one.recovery.on}
        served = fleet.served
        fleet.run(fleet.now + 2.0)
        self.cold_boxes_hold_and_what_drained_is_left_alone()
        assert left == set(range(len(fleet.lives)))
        assert fleet.served > served


FEW = settings(
    derandomize=True, max_examples=10, stateful_step_count=12, deadline=None, phases=(Phase.generate,)
)


def test_no_backend_is_overloaded_and_all_proxies_recover_in_any_history() -> None:
    run_state_machine_as_test(Histories, settings=FEW)


def many_histories() -> None:
    """Run a hundred histories, which must detect each mutant.

    Hypothesis draws constants from the loaded modules, so that ten histories differ with the modules that a
    run collects. It derives the seed from the source of `Histories`, names included.
    """
    run_state_machine_as_test(Histories, settings=settings(FEW, max_examples=100))
