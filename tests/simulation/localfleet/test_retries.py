"""The retry policy of clients."""

from __future__ import annotations

import pytest

from firvane.simulation.localfleet.retries import DEFAULT_PAUSE, AttemptEnd, AttemptResult, retry_delay


def answered(status: int, retry_after: float | None = None) -> AttemptResult:
    return AttemptResult(AttemptEnd.ANSWERED, status, retry_after)


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_statuses_that_guarantee_no_run_allow_every_request_to_be_retried(status: int) -> None:
    assert retry_delay(answered(status), False, 1, 5.0) == DEFAULT_PAUSE


@pytest.mark.parametrize(
    "result",
    [answered(502), answered(504), AttemptResult(AttemptEnd.BROKEN), AttemptResult(AttemptEnd.SILENT)],
    ids=["502", "504", "broken", "silent"],
)
def test_other_failures_are_retried_only_for_repeatable_requests(result: AttemptResult) -> None:
    assert retry_delay(result, False, 1, 5.0) is None
    assert retry_delay(result, True, 1, 5.0) == DEFAULT_PAUSE


def test_no_connection_means_that_nothing_ran() -> None:
    assert retry_delay(AttemptResult(AttemptEnd.NOT_CONNECTED), False, 1, 5.0) == DEFAULT_PAUSE


@pytest.mark.parametrize("status", [400, 401, 404, 413, 431])
def test_some_statuses_are_final(status: int) -> None:
    assert retry_delay(answered(status), True, 1, 5.0) is None


@pytest.mark.parametrize("end", [AttemptEnd.SERVED, AttemptEnd.OUT_OF_TIME, AttemptEnd.WRONG])
def test_some_outcomes_are_final(end: AttemptEnd) -> None:
    assert retry_delay(AttemptResult(end, 200), True, 1, 5.0) is None


def test_retry_after_is_honoured_up_to_a_third_of_the_remaining_time() -> None:
    assert retry_delay(answered(503, 0.4), False, 1, 3.0) == 0.4
    assert retry_delay(answered(503, 9.0), False, 1, 3.0) == pytest.approx(1.0)


def test_retries_and_time_run_out() -> None:
    assert retry_delay(answered(503), True, 0, 5.0) is None
    assert retry_delay(answered(503), True, 1, 0.01) is None
