"""A place's table: what it never does, whatever dies when; each promise has a mutant that breaks it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from math import inf
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.proxy.admin_api.calls import InvalidCallError
from firvane.proxy.rollout import supervisor_calls
from firvane.proxy.rollout.errors import CallRejectedError
from firvane.proxy.rollout.slot import MAX_CONSECUTIVE_CRASHES, Slot
from firvane.proxy.rollout.slot_types import (
    TRANSITIONS,
    KillProcess,
    PersistSlot,
    ProcessTag,
    ProcessTimeouts,
    SlotAction,
    SlotEvent,
    SlotState,
    StartProcess,
    StoredSlot,
    TerminateProcess,
)
from firvane.proxy.rollout.supervisor_calls import Command, ParsedCall

TIMES = ProcessTimeouts(ready_s=2.0, proving_s=0.5, termination_s=1.0)
STEP = 0.1
# How a version behaves: s until it is ready, what becomes of a request, s after being ready when it dies.
KINDS = {
    "good": (0.3, True, inf),
    "fine": (0.5, True, inf),
    "late": (inf, None, inf),
    "mute": (0.2, None, inf),
    "breaks": (0.2, False, inf),
    "frail": (0.2, True, 0.3),
    "gone": None,
}


class World:
    """A place with processes that behave as their versions do; holds each action against the promises."""

    def __init__(self, kind: type[Slot], doors: int) -> None:
        self.now, self.doors = 0.0, doors
        self.alive: dict[int, tuple[ProcessTag, float]] = {}
        self.told: dict[int, float] = {}
        self.stored: StoredSlot | None = None
        self.proven: set[int] = set()
        self.slot = kind(StoredSlot("good"), TIMES, doors)
        self.do(self.slot.begin(0.0))

    def do(self, actions: Sequence[SlotAction]) -> None:
        for action in actions:
            match action:
                case PersistSlot(stored):
                    self.stored = stored
                case StartProcess(tag):
                    assert self.stored == self.slot.stored, "started before it was on disk"
                    assert tag.ops_index not in {one.ops_index for one, _ in self.alive.values()}, (
                        "two have one door"
                    )
                    if KINDS[tag.version] is None:
                        self.do(self.slot.on_start_failed(self.now, tag.number, "not there"))
                        continue
                    self.alive[tag.number] = tag, self.now
                    self.slot.on_started(tag.number, 1000 + tag.number)
                case TerminateProcess(number) | KillProcess(number):
                    self.look()
                    if number in self.proven and number in self.alive:
                        others = self.proven & self.alive.keys() - self.told.keys() - {number}
                        assert others or number in self.told, "the last that served was told to end"
                    if isinstance(action, TerminateProcess):
                        self.told[number] = self.now
                    else:
                        self.die(number, -9)

    def die(self, number: int, code: int) -> None:
        if self.alive.pop(number, None):
            self.do(self.slot.on_exited(self.now, number, code))

    def turn(self, steps: int = 1) -> None:
        for _ in range(steps):
            self.now += STEP
            for number, (tag, since) in list(self.alive.items()):
                ready_s, answers, dies_s = KINDS[tag.version] or (inf, None, inf)
                age = self.now - since
                if age >= ready_s + dies_s:
                    self.die(number, 1)
                elif age >= ready_s:
                    self.do(self.slot.on_ready(self.now, number))
                    if answers is not None:
                        self.do(self.slot.on_probed(self.now, number, answers))
            self.do(self.slot.tick(self.now))
            self.look()
            assert len(self.alive) <= self.doors
            late = [
                n
                for n, at in self.told.items()
                if n in self.alive and self.now > at + TIMES.termination_s + STEP
            ]
            assert not late, "it was told to end, and is there"

    def look(self) -> None:
        """Whoever serves is proven, and counts as that from now on."""
        serving = self.slot.serving
        if serving and serving.number not in self.proven and serving.number in self.alive:
            tag, since = self.alive[serving.number]
            _, answers, _ = KINDS[tag.version] or (inf, None, inf)
            assert answers and self.now - since >= TIMES.proving_s, "one that is not proven has the place"
            self.proven.add(serving.number)

    def call(self, what: str, version: str, roll: int) -> None:
        highest = self.slot.stored.roll
        before = self.slot.state, self.slot.stored, self.slot.candidate
        try:
            if what == "replace":
                self.do(self.slot.replace(self.now, version, roll))
            elif what == "back":
                self.do(self.slot.revert(self.now, roll))
            elif what == "abandon":
                self.do(self.slot.abandon(self.now, roll))
            else:
                self.do(self.slot.claim(roll, version))
            assert roll >= highest, "a roll that is over was obeyed"
        except CallRejectedError:
            assert before == (self.slot.state, self.slot.stored, self.slot.candidate), "refused, and changed"

    def kill(self, number: int) -> None:
        """From outside: whoever serves, or another that is there."""
        serving = self.slot.serving
        if number and self.alive:
            self.die(sorted(self.alive)[number % len(self.alive)], -9)
        elif serving:
            self.die(serving.number, -9)


CALLS = st.tuples(
    st.sampled_from(["replace", "replace", "replace", "back", "abandon", "claim"]),
    st.sampled_from(sorted(KINDS)),
    st.integers(0, 4),
)
STEPS = st.lists(
    st.one_of(st.integers(1, 30), CALLS, st.tuples(st.just("kill"), st.integers(0, 3))), max_size=25
)


def play(kind: type[Slot], doors: int, steps: Sequence[object]) -> World:
    world = World(kind, doors)
    for step in steps:
        match step:
            case int(turns):
                world.turn(turns)
            case ("kill", int(number)):
                world.kill(number)
            case (str(what), str(version), int(roll)):
                world.call(what, version, roll)
    return world


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(2, 3), STEPS)
def test_whatever_dies_when_a_place_is_never_emptied_and_always_filled(
    doors: int, steps: list[object]
) -> None:
    world = play(Slot, doors, steps)
    world.turn(round(60 / STEP))
    slot = world.slot
    # A version of no use ends with the one before, where any was of use: "good" always was.
    if slot.state is not SlotState.SERVING:
        known = {slot.stored.version, slot.stored.before}
        assert not known & {"good", "fine"}, f"{slot.state}, though {known} would serve"
    else:
        assert slot.serving and slot.serving.number in world.alive
        assert not slot.terminating and not slot.candidate


class ProvenWhenReady(Slot):
    def on_ready(self, now: float, number: int) -> list[SlotAction]:
        actions = super().on_ready(now, number)
        return actions + (self._promote(now) if actions else [])


class TerminatesTheOldFirst(Slot):
    def _start(self, now: float, version: str, event: SlotEvent) -> list[SlotAction]:
        actions = super()._start(now, version, event)
        return actions + ([TerminateProcess(self.serving.number)] if self.serving else [])


class AcceptsAnyToken(Slot):
    def _check_token(self, token: int) -> None:
        pass


class OneOpsAddress(Slot):
    def _free_ops_index(self) -> int | None:
        return 0


class PersistsLater(Slot):
    def _start(self, now: float, version: str, event: SlotEvent) -> list[SlotAction]:
        return sorted(super()._start(now, version, event), key=lambda one: isinstance(one, PersistSlot))


class WaitsForever(Slot):
    def _terminate(self, process: object, now: float) -> list[SlotAction]:
        actions = super()._terminate(process, now)  # type: ignore[arg-type]
        for one in self.terminating.values():
            one.kill_at = inf
        return actions


class ChangesBeforeItRejects(Slot):
    def replace(self, now: float, version: str, roll: int) -> list[SlotAction]:
        self.stored = replace(self.stored, failed="")
        return super().replace(now, version, roll)


MUTANTS = (
    ProvenWhenReady,
    TerminatesTheOldFirst,
    AcceptsAnyToken,
    OneOpsAddress,
    PersistsLater,
    ChangesBeforeItRejects,
)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_place_that_breaks_a_promise_is_caught(mutant: type[Slot]) -> None:
    chance = Random(7)

    def steps() -> list[object]:
        made: list[object] = [30]
        for _ in range(20):
            made.append(
                (chance.choice(["replace", "back"]), chance.choice(sorted(KINDS)), chance.randrange(3))
            )
            made.append(chance.randrange(1, 40))
        return made

    with pytest.raises(AssertionError):
        for _ in range(40):
            play(mutant, 2, steps())


def test_one_that_does_not_end_is_killed_and_one_that_waits_for_ever_is_caught() -> None:
    for kind in (Slot, WaitsForever):
        world = World(kind, 2)
        world.turn(20)
        world.call("replace", "fine", 1)
        if kind is Slot:
            world.turn(60)
            assert world.slot.stored.version == "fine" and len(world.alive) == 1
        else:
            with pytest.raises(AssertionError, match="told to end"):
                world.turn(60)


@pytest.mark.parametrize(
    ("version", "why"),
    [
        ("late", "is not ready after 2 s"),
        ("mute", "says that it is ready, and serves nothing"),
        ("breaks", "leaves requests without an answer"),
        ("frail", "ended with code 1 under its first requests"),
        ("gone", "cannot be started: not there"),
    ],
)
def test_what_went_wrong_is_its_status_and_costs_nobody_the_place(version: str, why: str) -> None:
    world = World(Slot, 2)
    world.turn(20)
    world.call("replace", version, 3)
    world.turn(60)
    status = world.slot.status()
    assert status["version"] == "good" and status["state"] == "serving" and status["deaths"] == 0
    assert str(status["failed"]).startswith(f"{version} 3 ") and why in str(status["failed"])


def test_a_version_that_dies_again_and_again_gives_way_to_the_one_before_and_is_not_begun_again() -> None:
    world = World(Slot, 3)
    world.turn(20)
    world.call("replace", "fine", 1)
    world.turn(30)
    for _ in range(MAX_CONSECUTIVE_CRASHES):
        assert world.slot.serving and world.slot.serving.tag.version == "fine"
        world.kill(0)
        world.turn(20)
    status = world.slot.status()
    assert status["version"] == "good" and str(status["failed"]).startswith("fine 1 ")
    with pytest.raises(CallRejectedError, match="died"):
        world.slot.replace(world.now, "fine", 1)
    world.slot.replace(world.now, "fine", 2)  # another roll may try again


def test_a_place_that_is_found_is_served_on_until_its_own_process_is_promote() -> None:
    world = World(Slot, 3)
    slot = world.slot = Slot(StoredSlot("good"), TIMES, 3)
    found = [(ProcessTag(4, "fine", 0), 44), (ProcessTag(7, "good", 1), 77)]
    world.alive = {tag.number: (tag, -10.0) for tag, _ in found}
    world.proven = {4, 7}
    world.do(slot.begin(0.0, found))
    assert slot.serving and slot.serving.number == 7 and set(slot.terminating) == {4}
    world.turn(40)
    assert slot.serving.number == 8 and set(world.alive) == {8} and not slot.is_adopted


def test_each_state_has_a_way_to_the_end_and_closed_is_one() -> None:
    assert set(TRANSITIONS) == set(SlotState)
    assert all(following[SlotEvent.CLOSE] is SlotState.CLOSED for following in TRANSITIONS.values())
    world = World(Slot, 2)
    world.turn(20)
    world.call("replace", "fine", 1)
    world.turn(3)
    world.proven.clear()  # closing ends also the last
    world.do(world.slot.close(world.now))
    world.turn(20)
    assert not world.alive
    with pytest.raises(CallRejectedError):
        world.slot.replace(world.now, "good", 9)


@pytest.mark.parametrize("order", Command)
def test_a_call_is_read_as_it_is_said(order: Command) -> None:
    word = "v2.1" if {"VERSION", "NAME"} & set(supervisor_calls.ARGUMENTS[order].split()) else ""
    roll = 7 if "ROLL" in supervisor_calls.ARGUMENTS[order] else 0
    said = supervisor_calls.format_call(order, word, roll)
    assert supervisor_calls.parse_call(said.encode()) == ParsedCall(order, word, roll)
    for wrong in (f"{said} more", said.replace("7", "-7"), "place-nothing", "", "x" * 300):
        if wrong != said:
            with pytest.raises(InvalidCallError):
                supervisor_calls.parse_call(wrong.encode())


def test_a_status_is_heard_as_it_is_told() -> None:
    told = World(Slot, 2).slot.status()
    assert supervisor_calls.parse_status(supervisor_calls.format_status(told) + "\n.\n") == {
        name: str(value) for name, value in told.items()
    }
    for wrong in ("-ERR busy\n", "", "state serving\n"):
        with pytest.raises(ValueError):
            supervisor_calls.parse_status(wrong)
