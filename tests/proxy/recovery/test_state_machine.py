"""The state machine: each transition of its table, and no others."""

from __future__ import annotations

import pytest

from firvane.proxy.recovery.state_machine import (
    TRANSITIONS,
    RecoveryEvent,
    RecoveryState,
    RecoveryStateMachine,
)

EVENTS_TO = {  # events that lead from the initial state to each state
    RecoveryState.NO_ENDPOINTS: [],
    RecoveryState.ASKING_PEERS: [RecoveryEvent.LISTED],
    RecoveryState.PROBING: [RecoveryEvent.LISTED, RecoveryEvent.NOBODY_WARM],
    RecoveryState.GROWING: [RecoveryEvent.LISTED, RecoveryEvent.NOBODY_WARM, RecoveryEvent.ANSWERED],
    RecoveryState.OVER: [RecoveryEvent.LISTED, RecoveryEvent.PEERS_WARM],
}


def at(state: RecoveryState) -> RecoveryStateMachine:
    machine = RecoveryStateMachine(0.0)
    for number, event in enumerate(EVENTS_TO[state]):
        assert machine.apply(event, float(number))
    assert machine.state is state
    machine.take_transitions()
    return machine


@pytest.mark.parametrize("state", RecoveryState)
@pytest.mark.parametrize("event", RecoveryEvent)
def test_only_transitions_of_the_table_happen(state: RecoveryState, event: RecoveryEvent) -> None:
    machine = at(state)
    following = TRANSITIONS[state].get(event)
    assert machine.apply(event, 9.0, "a reason") is (following is not None)
    assert machine.state is (following or state)
    assert machine.is_active is (machine.state is not RecoveryState.OVER)
    told = machine.take_transitions()
    assert [(c.old, c.new) for c in told] == ([(state, following)] if following else [])
    assert all(c.reason == f"{event.value} (a reason)" for c in told) and not machine.take_transitions()


def test_every_state_can_reach_the_end() -> None:
    successors = {state: set(TRANSITIONS[state].values()) for state in RecoveryState}
    for state in RecoveryState:
        reached, new = set[RecoveryState](), {state}
        while new:
            reached |= new
            new = {one for now in new for one in successors[now]} - reached
        assert RecoveryState.OVER in reached
