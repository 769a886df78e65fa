"""The transition table of a rollout's state machine."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from firvane.proxy.rollout.rollout_state import RolloutState, TransitionCause

TRANSITIONS: dict[RolloutState, dict[TransitionCause, RolloutState]] = {
    RolloutState.PLANNED: {
        TransitionCause.BEGUN: RolloutState.REPLACING,
        TransitionCause.REFUSED: RolloutState.GIVEN_UP,
        TransitionCause.UNWELL: RolloutState.PAUSED,
        TransitionCause.PAUSE: RolloutState.PAUSED,
        TransitionCause.BACK: RolloutState.GOING_BACK,
    },
    RolloutState.REPLACING: {
        TransitionCause.REPLACED: RolloutState.COMPARING,
        TransitionCause.WORSE: RolloutState.GOING_BACK,
        TransitionCause.FAILED: RolloutState.GOING_BACK,
        TransitionCause.TOO_LONG: RolloutState.PAUSED,
        TransitionCause.PAUSE: RolloutState.PAUSED,
        TransitionCause.BACK: RolloutState.GOING_BACK,
    },
    RolloutState.COMPARING: {
        TransitionCause.FINE: RolloutState.REPLACING,
        TransitionCause.LAST: RolloutState.DONE,
        TransitionCause.AT_END: RolloutState.PAUSED,
        TransitionCause.WORSE: RolloutState.GOING_BACK,
        TransitionCause.FAILED: RolloutState.GOING_BACK,
        TransitionCause.TOO_LONG: RolloutState.PAUSED,
        TransitionCause.PAUSE: RolloutState.PAUSED,
        TransitionCause.BACK: RolloutState.GOING_BACK,
    },
    RolloutState.PAUSED: {
        TransitionCause.AGAIN: RolloutState.PLANNED,
        TransitionCause.GO: RolloutState.REPLACING,
        TransitionCause.ACCEPTED: RolloutState.DONE,
        TransitionCause.BACK: RolloutState.GOING_BACK,
        TransitionCause.UNANSWERED: RolloutState.GOING_BACK,
    },
    RolloutState.GOING_BACK: {
        TransitionCause.WHOLE: RolloutState.BACK,
        TransitionCause.LEFT: RolloutState.GIVEN_UP,
    },
    RolloutState.DONE: {},
    RolloutState.BACK: {},
    RolloutState.GIVEN_UP: {},
}
# These take precedence over `TRANSITIONS` if the plan sets `on_worse = "stay"`.
TRANSITIONS_IF_STAYING = {
    TransitionCause.WORSE: RolloutState.PAUSED,
    TransitionCause.FAILED: RolloutState.PAUSED,
    TransitionCause.UNANSWERED: RolloutState.GIVEN_UP,
}
# States in which slots are changed to the new version.
FORWARD_STATES = frozenset((RolloutState.REPLACING, RolloutState.COMPARING))


class Transition(NamedTuple):
    """One row of the table."""

    state: RolloutState
    cause: TransitionCause
    next_state: RolloutState


def transitions() -> Iterator[Transition]:
    """Yield all transitions of both tables, for the documentation page and tests."""
    for state, causes in TRANSITIONS.items():
        for cause, next_state in causes.items():
            yield Transition(state, cause, next_state)
            if cause in TRANSITIONS_IF_STAYING:
                yield Transition(state, cause, TRANSITIONS_IF_STAYING[cause])
