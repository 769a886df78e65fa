"""The lifecycle of a proxy: transitions between states, and availability in each."""

from __future__ import annotations

from itertools import product

import pytest

from firvane.proxy.admin_api.lifecycle import AVAILABILITY, TRANSITIONS, Event, Lifecycle, State


def lifecycle_after(*events: Event) -> Lifecycle:
    lifecycle = Lifecycle()
    for event in events:
        lifecycle.apply(event)
    return lifecycle


@pytest.mark.parametrize(
    ("events", "state"),
    [
        ((Event.DRAIN,), State.STARTING),  # rejected: nothing to drain yet
        ((Event.STARTED, Event.DRAIN, Event.DRAIN), State.DRAINING),
        ((Event.STARTED, Event.RESUME), State.READY),
        ((Event.STARTED, Event.DRAIN, Event.RESUME), State.READY),
        ((Event.STARTED, Event.DRAIN, Event.TERMINATE, Event.RESUME), State.ENDING),
        ((Event.STARTED, Event.SUCCEEDED, Event.DRAIN), State.HANDING_OVER),
        ((Event.TERMINATE, Event.STARTED), State.UNSTARTED),  # the shutdown cancels the start
        ((Event.SUCCEEDED, Event.STARTED), State.UNSTARTED),
    ],
)
def test_events_lead_to_the_expected_state(events: tuple[Event, ...], state: State) -> None:
    assert lifecycle_after(*events).state is state


def test_a_shutdown_is_final() -> None:
    # Guards against a resume after which a process that is about to be killed accepts clients.
    for state, event in product((State.ENDING, State.HANDING_OVER, State.UNSTARTED), Event):
        assert TRANSITIONS[state].get(event, state) is state


def test_only_a_ready_proxy_passes_the_health_check() -> None:
    assert [state for state in State if AVAILABILITY[state].up] == [State.READY]
    assert [state for state in State if not AVAILABILITY[state].serves_requests] == [
        State.STARTING,
        State.UNSTARTED,
    ]
