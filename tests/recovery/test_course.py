"""The table of states: each row, and nothing beside it."""

from __future__ import annotations

import pytest

from firvane.recovery.course import TABLE, Course, Event, State

WAY = {  # events that lead to each state from the start
    State.LISTLESS: [],
    State.ASKING: [Event.LISTED],
    State.TRIALS: [Event.LISTED, Event.NOBODY_WARM],
    State.GROWING: [Event.LISTED, Event.NOBODY_WARM, Event.ANSWERED],
    State.OVER: [Event.LISTED, Event.PEERS_WARM],
}


def at(state: State) -> Course:
    course = Course(0.0)
    for number, event in enumerate(WAY[state]):
        assert course.hear(event, float(number))
    assert course.state is state
    course.told()
    return course


@pytest.mark.parametrize("state", State)
@pytest.mark.parametrize("event", Event)
def test_what_stands_in_the_table_happens_and_nothing_else(state: State, event: Event) -> None:
    course = at(state)
    following = TABLE[state].get(event)
    assert course.hear(event, 9.0, "a reason") is (following is not None)
    assert course.state is (following or state)
    assert course.on is (course.state is not State.OVER)
    told = course.told()
    assert [(c.was, c.now) for c in told] == ([(state, following)] if following else [])
    assert all(c.why == f"{event.value} (a reason)" for c in told) and not course.told()


def test_every_state_leads_to_the_end() -> None:
    ways = {state: set(TABLE[state].values()) for state in State}
    for state in State:
        reached, new = set[State](), {state}
        while new:
            reached |= new
            new = {one for now in new for one in ways[now]} - reached
        assert State.OVER in reached
