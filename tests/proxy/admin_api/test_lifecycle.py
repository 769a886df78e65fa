"""The states of a proxy: what follows what."""

from __future__ import annotations

from itertools import product

import pytest

from firvane.proxy.admin_api.lifecycle import AVAILABILITY, TRANSITIONS, Event, Lifecycle, State


def after(*events: Event) -> Lifecycle:
    life = Lifecycle()
    for event in events:
        life.apply(event)
    return life


@pytest.mark.parametrize(
    ("events", "state"),
    [
        ((Event.DRAIN,), State.STARTING),  # nothing to drain yet
        ((Event.STARTED, Event.DRAIN, Event.DRAIN), State.DRAINING),
        ((Event.STARTED, Event.RESUME), State.READY),
        ((Event.STARTED, Event.DRAIN, Event.RESUME), State.READY),
        ((Event.STARTED, Event.DRAIN, Event.TERMINATE, Event.RESUME), State.ENDING),
        ((Event.STARTED, Event.SUCCEEDED, Event.DRAIN), State.HANDING_OVER),
        ((Event.TERMINATE, Event.STARTED), State.UNSTARTED),  # its start has ended with the order
        ((Event.SUCCEEDED, Event.STARTED), State.UNSTARTED),
    ],
)
def test_orders_lead_where_they_should(events: tuple[Event, ...], state: State) -> None:
    assert after(*events).state is state


def test_nobody_comes_back_from_the_end() -> None:
    # Guards against a resume that would take clients into a process that is about to be killed.
    for state, event in product((State.ENDING, State.HANDING_OVER, State.UNSTARTED), Event):
        assert TRANSITIONS[state].get(event, state) is state


def test_only_who_is_ready_says_yes_at_the_clients_door() -> None:
    assert [state for state in State if AVAILABILITY[state].up] == [State.READY]
    assert [state for state in State if not AVAILABILITY[state].serves_requests] == [
        State.STARTING,
        State.UNSTARTED,
    ]
