"""The table of states: each row, and nothing beside it."""

from __future__ import annotations

import pytest

from firvane.proxy.recovery.state_machine import TABLE, Event, RecoveryStateMachine, State

WAY = {  # events that lead to each state from the start
    State.LISTLESS: [],
    State.ASKING: [Event.LISTED],
    State.TRIALS: [Event.LISTED, Event.NOBODY_WARM],
    State.GROWING: [Event.LISTED, Event.NOBODY_WARM, Event.ANSWERED],
    State.OVER: [Event.LISTED, Event.PEERS_WARM],
}


def at(state: State) -> RecoveryStateMachine:
    machine = RecoveryStateMachine(0.0)
    for number, event in enumerate(WAY[state]):
        assert machine.hear(event, float(number))
    assert machine.state is state
    machine.told()
    return machine


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("event", Event)
def test_what_stands_in_the_table_happens_and_nothing_else(state: State, event: Event) -> None:
    machine = at(state)
    following = TABLE[state].get(event)
    assert machine.hear(event, 9.0, "a reason") is (following is not None)
    assert machine.state is (following or state)
    assert machine.on is (machine.state is not State.OVER)
    told = machine.told()
    assert [(c.was, c.now) for c in told] == ([(state, following)] if following else [])
    assert all(c.why == f"{event.value} (a reason)" for c in told) and not machine.told()


def test_every_state_leads_to_the_end() -> None:
    ways = {state: set(TABLE[state].values()) for state in State}
    for state in State:
        reached, new = set[State](), {state}
        while new:
            reached |= new
            new = {one for now in new for one in ways[now]} - reached
        assert State.OVER in reached
