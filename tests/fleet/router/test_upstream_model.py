"""Random histories of backend connections: no response is misdelivered, and no request runs twice."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.fleet.router.upstream_model import KINDS, run_history

HISTORIES = 60


@pytest.mark.parametrize("first", range(0, HISTORIES, 10))
def test_no_response_is_misdelivered_and_no_request_runs_twice(first: int) -> None:
    for seed in range(first, first + 10):
        run_history(seed)


def test_the_histories_cover_all_behaviours_of_a_backend() -> None:
    counts: Counter[str] = Counter()
    for seed in range(10):
        counts += run_history(seed).counts
    terminations = (
        "SERVED",
        "REJECTED",
        "BAD_RESPONSE",
        "BROKEN_AFTER_SENT",
        "BROKEN_BEFORE_SENT",
        "CONNECTION_REFUSED",
    )
    for name in (*KINDS, *terminations, "early"):
        assert counts[name] > 0, name
    assert counts["SERVED"] > 300
