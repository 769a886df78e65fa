"""Failover of a call between addresses."""

from __future__ import annotations

import pytest

from firvane.admin.calls import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    Answered,
    Attempt,
    CallFailover,
    NoClearAnswer,
    Reply,
)
from firvane.core.address import Address

A: Address = ("10.0.0.1", 80)
B: Address = ("10.0.0.2", 80)
C: Address = ("10.0.0.3", 81)


def redirect(text: str | None) -> Reply:
    return Reply(307, b"", text)


@pytest.mark.parametrize("status", [200, 400, 404, 405, 409, 412, 413, 422, 302])
def test_a_clear_answer_is_final(status: int) -> None:
    failover = CallFailover([A, B], "/x")
    assert failover.begin() == Attempt(A, "/x")
    assert failover.answer(Reply(status, b"body")) == Answered(A, Reply(status, b"body"))


@pytest.mark.parametrize("status", [408, 429, 500, 502, 503, 504])
def test_an_unclear_answer_leads_to_the_next_address(status: int) -> None:
    failover = CallFailover([A, B], "/x")
    failover.begin()
    assert failover.answer(Reply(status, b"")) == Attempt(B, "/x")


def test_a_redirect_is_followed_twice() -> None:
    failover = CallFailover([A, B], "/x")
    failover.begin()
    assert failover.answer(redirect("http://10.0.0.3:81/x?y=1")) == Attempt(C, "/x?y=1")
    assert failover.answer(redirect("http://10.0.0.1:80/x")) == Attempt(A, "/x")
    assert failover.answer(redirect("http://10.0.0.3:81/x")) == Attempt(B, "/x")
    assert failover.answer(redirect("http://10.0.0.3:81/x")) == Attempt(C, "/x")
    assert failover.answer(Reply(200, b"")) == Answered(C, Reply(200, b""))


@pytest.mark.parametrize("location", [None, "", "/x", "https://10.0.0.3:81/x", "http://name/x", "http://[/x"])
def test_an_invalid_redirect_counts_as_a_failure(location: str | None) -> None:
    failover = CallFailover([A, B], "/x")
    failover.begin()
    assert failover.answer(redirect(location)) == Attempt(B, "/x")


def test_pauses_come_between_rounds_and_grow_to_a_bound() -> None:
    failover = CallFailover([A, B], "/x", rounds=8)
    failover.begin()
    steps = [failover.failure("silent") for _ in range(15)]
    pauses = [step.pause for step in steps if isinstance(step, Attempt)]
    assert len(pauses) == 15
    assert pauses[:6] == [0.0, FIRST_PAUSE_S, 0.0, 2 * FIRST_PAUSE_S, 0.0, 4 * FIRST_PAUSE_S]
    assert max(pauses) == LONGEST_PAUSE_S


def test_a_failed_call_has_the_last_reason_of_each_address() -> None:
    failover = CallFailover([A, B], "/x", rounds=2)
    failover.begin()
    for reason in ("first", "second", "third"):
        assert isinstance(failover.failure(reason), Attempt)
    assert failover.answer(Reply(503, b"")) == NoClearAnswer(
        {"10.0.0.1:80": "third", "10.0.0.2:80": "status 503"}
    )
