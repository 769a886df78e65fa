"""The states of a roll and what leads from each to the next: the table that its state machine goes by."""

from __future__ import annotations

from collections.abc import Iterator

from firvane.proxy.rollout.messages import Cause, State

TABLE: dict[State, dict[Cause, State]] = {
    State.PLANNED: {
        Cause.BEGUN: State.REPLACING,
        Cause.REFUSED: State.GIVEN_UP,
        Cause.UNWELL: State.PAUSED,
        Cause.PAUSE: State.PAUSED,
        Cause.BACK: State.GOING_BACK,
    },
    State.REPLACING: {
        Cause.REPLACED: State.COMPARING,
        Cause.WORSE: State.GOING_BACK,
        Cause.FAILED: State.GOING_BACK,
        Cause.TOO_LONG: State.PAUSED,
        Cause.PAUSE: State.PAUSED,
        Cause.BACK: State.GOING_BACK,
    },
    State.COMPARING: {
        Cause.FINE: State.REPLACING,
        Cause.LAST: State.DONE,
        Cause.AT_END: State.PAUSED,
        Cause.WORSE: State.GOING_BACK,
        Cause.FAILED: State.GOING_BACK,
        Cause.TOO_LONG: State.PAUSED,
        Cause.PAUSE: State.PAUSED,
        Cause.BACK: State.GOING_BACK,
    },
    State.PAUSED: {
        Cause.AGAIN: State.PLANNED,
        Cause.GO: State.REPLACING,
        Cause.ACCEPTED: State.DONE,
        Cause.BACK: State.GOING_BACK,
        Cause.UNANSWERED: State.GOING_BACK,
    },
    State.GOING_BACK: {Cause.WHOLE: State.BACK, Cause.LEFT: State.GIVEN_UP},
    State.DONE: {},
    State.BACK: {},
    State.GIVEN_UP: {},
}
# Where the plan says "stay" these come before the table.
STAYS = {Cause.WORSE: State.PAUSED, Cause.FAILED: State.PAUSED, Cause.UNANSWERED: State.GIVEN_UP}
# In which places are changed to the new version.
FORWARD = frozenset((State.REPLACING, State.COMPARING))


def transitions() -> Iterator[tuple[State, Cause, State]]:
    """All that stands in the tables, for the page and for tests."""
    for state, causes in TABLE.items():
        for cause, to in causes.items():
            yield state, cause, to
            if cause in STAYS:
                yield state, cause, STAYS[cause]
