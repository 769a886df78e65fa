"""The state machine of a slot: invariants under random crashes and calls, and a mutant for each of them."""

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
# By version: seconds until it is ready, whether it answers a probe (None: no result), and seconds after being
# ready at which it exits; None if it cannot be started.
BEHAVIORS = {
    "good": (0.3, True, inf),
    "fine": (0.5, True, inf),
    "late": (inf, None, inf),
    "mute": (0.2, None, inf),
    "breaks": (0.2, False, inf),
    "frail": (0.2, True, 0.3),
    "gone": None,
}


class World:
    """A slot with simulated processes that behave as `BEHAVIORS` says; each action is checked."""

    def __init__(self, slot_type: type[Slot], ops_count: int) -> None:
        self.now, self.ops_count = 0.0, ops_count
        self.running: dict[int, tuple[ProcessTag, float]] = {}
        self.terminated_at: dict[int, float] = {}
        self.stored: StoredSlot | None = None
        self.proven: set[int] = set()
        self.slot = slot_type(StoredSlot("good"), TIMES, ops_count)
        self.execute(self.slot.begin(0.0))

    def execute(self, actions: Sequence[SlotAction]) -> None:
        for action in actions:
            match action:
                case PersistSlot(stored):
                    self.stored = stored
                case StartProcess(tag):
                    assert self.stored == self.slot.stored, (
                        "a process was started before the state was on disk"
                    )
                    assert tag.ops_index not in {other.ops_index for other, _ in self.running.values()}, (
                        "two processes have one ops address"
                    )
                    if BEHAVIORS[tag.version] is None:
                        self.execute(self.slot.on_start_failed(self.now, tag.number, "not there"))
                        continue
                    self.running[tag.number] = tag, self.now
                    self.slot.on_started(tag.number, 1000 + tag.number)
                case TerminateProcess(number) | KillProcess(number):
                    self.check_serving()
                    if number in self.proven and number in self.running:
                        others = self.proven & self.running.keys() - self.terminated_at.keys() - {number}
                        assert others or number in self.terminated_at, (
                            "the last serving process was terminated"
                        )
                    if isinstance(action, TerminateProcess):
                        self.terminated_at[number] = self.now
                    else:
                        self.end_process(number, -9)

    def end_process(self, number: int, code: int) -> None:
        if self.running.pop(number, None):
            self.execute(self.slot.on_exited(self.now, number, code))

    def advance(self, steps: int = 1) -> None:
        for _ in range(steps):
            self.now += STEP
            for number, (tag, since) in list(self.running.items()):
                ready_s, answers, exits_s = BEHAVIORS[tag.version] or (inf, None, inf)
                age = self.now - since
                if age >= ready_s + exits_s:
                    self.end_process(number, 1)
                elif age >= ready_s:
                    self.execute(self.slot.on_ready(self.now, number))
                    if answers is not None:
                        self.execute(self.slot.on_probed(self.now, number, answers))
            self.execute(self.slot.tick(self.now))
            self.check_serving()
            assert len(self.running) <= self.ops_count
            overdue = [
                n
                for n, at in self.terminated_at.items()
                if n in self.running and self.now > at + TIMES.termination_s + STEP
            ]
            assert not overdue, "a terminated process still runs"

    def check_serving(self) -> None:
        """Check that the serving process is proven, and record it as proven."""
        serving = self.slot.serving
        if serving and serving.number not in self.proven and serving.number in self.running:
            tag, since = self.running[serving.number]
            _, answers, _ = BEHAVIORS[tag.version] or (inf, None, inf)
            assert answers and self.now - since >= TIMES.proving_s, "the serving process is not proven"
            self.proven.add(serving.number)

    def call(self, command: str, version: str, token: int) -> None:
        highest = self.slot.stored.roll
        before = self.slot.state, self.slot.stored, self.slot.candidate
        try:
            if command == "replace":
                self.execute(self.slot.replace(self.now, version, token))
            elif command == "back":
                self.execute(self.slot.revert(self.now, token))
            elif command == "abandon":
                self.execute(self.slot.abandon(self.now, token))
            else:
                self.execute(self.slot.claim(token, version))
            assert token >= highest, "a call with an outdated token was accepted"
        except CallRejectedError:
            assert before == (self.slot.state, self.slot.stored, self.slot.candidate), (
                "a rejected call changed the slot"
            )

    def kill(self, number: int) -> None:
        """Kill the serving process for `number` 0, else one of the running processes."""
        serving = self.slot.serving
        if number and self.running:
            self.end_process(sorted(self.running)[number % len(self.running)], -9)
        elif serving:
            self.end_process(serving.number, -9)


CALLS = st.tuples(
    st.sampled_from(["replace", "replace", "replace", "back", "abandon", "claim"]),
    st.sampled_from(sorted(BEHAVIORS)),
    st.integers(0, 4),
)
STEPS = st.lists(
    st.one_of(st.integers(1, 30), CALLS, st.tuples(st.just("kill"), st.integers(0, 3))), max_size=25
)


def run_steps(slot_type: type[Slot], ops_count: int, steps: Sequence[object]) -> World:
    world = World(slot_type, ops_count)
    for step in steps:
        match step:
            case int(steps_to_advance):
                world.advance(steps_to_advance)
            case ("kill", int(number)):
                world.kill(number)
            case (str(command), str(version), int(token)):
                world.call(command, version, token)
    return world


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.integers(2, 3), STEPS)
def test_a_slot_is_never_left_empty_under_any_crashes_and_calls(ops_count: int, steps: list[object]) -> None:
    world = run_steps(Slot, ops_count, steps)
    world.advance(round(60 / STEP))
    slot = world.slot
    # After a faulty version the previous one serves again if it works; "good" always works.
    if slot.state is not SlotState.SERVING:
        known = {slot.stored.version, slot.stored.before}
        assert not known & {"good", "fine"}, f"{slot.state}, although one of {known} works"
    else:
        assert slot.serving and slot.serving.number in world.running
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


class PersistsAfterStart(Slot):
    def _start(self, now: float, version: str, event: SlotEvent) -> list[SlotAction]:
        return sorted(super()._start(now, version, event), key=lambda one: isinstance(one, PersistSlot))


class NeverKills(Slot):
    def _terminate(self, process: object, now: float) -> list[SlotAction]:
        actions = super()._terminate(process, now)  # type: ignore[arg-type]
        for one in self.terminating.values():
            one.kill_at = inf
        return actions


class ChangesBeforeItRejects(Slot):
    def replace(self, now: float, version: str, token: int) -> list[SlotAction]:
        self.stored = replace(self.stored, failed="")
        return super().replace(now, version, token)


MUTANTS = (
    ProvenWhenReady,
    TerminatesTheOldFirst,
    AcceptsAnyToken,
    OneOpsAddress,
    PersistsAfterStart,
    ChangesBeforeItRejects,
)


@pytest.mark.parametrize("mutant", MUTANTS)
def test_a_slot_that_violates_an_invariant_is_detected(mutant: type[Slot]) -> None:
    rng = Random(7)

    def steps() -> list[object]:
        generated: list[object] = [30]
        for _ in range(20):
            generated.append(
                (rng.choice(["replace", "back"]), rng.choice(sorted(BEHAVIORS)), rng.randrange(3))
            )
            generated.append(rng.randrange(1, 40))
        return generated

    with pytest.raises(AssertionError):
        for _ in range(40):
            run_steps(mutant, 2, steps())


def test_a_process_that_does_not_exit_is_killed_and_a_missing_kill_is_detected() -> None:
    for slot_type in (Slot, NeverKills):
        world = World(slot_type, 2)
        world.advance(20)
        world.call("replace", "fine", 1)
        if slot_type is Slot:
            world.advance(60)
            assert world.slot.stored.version == "fine" and len(world.running) == 1
        else:
            with pytest.raises(AssertionError, match="still runs"):
                world.advance(60)


@pytest.mark.parametrize(
    ("version", "reason"),
    [
        ("late", "is not ready after 2 s"),
        ("mute", "reports ready but answers no requests"),
        ("breaks", "leaves requests without an answer"),
        ("frail", "ended with code 1 under its first requests"),
        ("gone", "cannot be started: not there"),
    ],
)
def test_a_failed_replacement_is_reported_and_the_serving_process_stays(version: str, reason: str) -> None:
    world = World(Slot, 2)
    world.advance(20)
    world.call("replace", version, 3)
    world.advance(60)
    status = world.slot.status()
    assert status["version"] == "good" and status["state"] == "serving" and status["deaths"] == 0
    assert str(status["failed"]).startswith(f"{version} 3 ") and reason in str(status["failed"])


def test_after_consecutive_crashes_the_previous_version_serves_and_the_failed_one_is_rejected() -> None:
    world = World(Slot, 3)
    world.advance(20)
    world.call("replace", "fine", 1)
    world.advance(30)
    for _ in range(MAX_CONSECUTIVE_CRASHES):
        assert world.slot.serving and world.slot.serving.tag.version == "fine"
        world.kill(0)
        world.advance(20)
    status = world.slot.status()
    assert status["version"] == "good" and str(status["failed"]).startswith("fine 1 ")
    with pytest.raises(CallRejectedError, match="died"):
        world.slot.replace(world.now, "fine", 1)
    world.slot.replace(world.now, "fine", 2)  # another rollout may try the version again


def test_an_adopted_process_serves_until_a_process_on_the_new_socket_is_proven() -> None:
    world = World(Slot, 3)
    slot = world.slot = Slot(StoredSlot("good"), TIMES, 3)
    adopted = [(ProcessTag(4, "fine", 0), 44), (ProcessTag(7, "good", 1), 77)]
    world.running = {tag.number: (tag, -10.0) for tag, _ in adopted}
    world.proven = {4, 7}
    world.execute(slot.begin(0.0, adopted))
    assert slot.serving and slot.serving.number == 7 and set(slot.terminating) == {4}
    world.advance(40)
    assert slot.serving.number == 8 and set(world.running) == {8} and not slot.is_adopted


def test_every_state_can_be_closed_and_closing_ends_all_processes() -> None:
    assert set(TRANSITIONS) == set(SlotState)
    assert all(following[SlotEvent.CLOSE] is SlotState.CLOSED for following in TRANSITIONS.values())
    world = World(Slot, 2)
    world.advance(20)
    world.call("replace", "fine", 1)
    world.advance(3)
    world.proven.clear()  # closing may terminate the last serving process
    world.execute(world.slot.close(world.now))
    world.advance(20)
    assert not world.running
    with pytest.raises(CallRejectedError):
        world.slot.replace(world.now, "good", 9)


@pytest.mark.parametrize("command", Command)
def test_calls_are_parsed_as_formatted_and_invalid_ones_are_rejected(command: Command) -> None:
    argument = "v2.1" if {"VERSION", "NAME"} & set(supervisor_calls.ARGUMENTS[command].split()) else ""
    token = 7 if "ROLL" in supervisor_calls.ARGUMENTS[command] else 0
    line = supervisor_calls.format_call(command, argument, token)
    assert supervisor_calls.parse_call(line.encode()) == ParsedCall(command, argument, token)
    for invalid in (f"{line} more", line.replace("7", "-7"), "place-nothing", "", "x" * 300):
        if invalid != line:
            with pytest.raises(InvalidCallError):
                supervisor_calls.parse_call(invalid.encode())


def test_a_status_is_parsed_as_formatted() -> None:
    status = World(Slot, 2).slot.status()
    assert supervisor_calls.parse_status(supervisor_calls.format_status(status) + "\n.\n") == {
        name: str(value) for name, value in status.items()
    }
    for invalid in ("-ERR busy\n", "", "state serving\n"):
        with pytest.raises(ValueError):
            supervisor_calls.parse_status(invalid)
