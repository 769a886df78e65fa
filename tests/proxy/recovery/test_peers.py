"""Recovery messages and reports of peers: encoding, and agreement despite false or old reports."""

from __future__ import annotations

import contextlib
import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.core import interface as api
from firvane.core.balancing.records import Backend
from firvane.core.balancing.rows import Row
from firvane.proxy.recovery import messages
from firvane.proxy.recovery.messages import CapacityLoan, StateReply, StateRequest
from firvane.proxy.recovery.peers import (
    LOAN_DURATION_S,
    MAX_SCALE_RATIO,
    MIN_REPORTS,
    REPORT_LIFETIME_S,
    CapacityLoans,
    PeerReports,
    most_unserved,
)

COLD_AGES = st.dictionaries(st.integers(0, 0xFFFF), st.integers(0, 0xFFFF).map(lambda n: n / 10), max_size=30)


@settings(derandomize=True, max_examples=80)
@given(st.integers(0, 2**32 - 1), st.integers(0, 10_000), st.integers(0, 1000), COLD_AGES)
def test_messages_are_decoded_as_encoded_and_fit_a_datagram(
    version: int, scale: int, since: int, cold: dict[int, float]
) -> None:
    reply = StateReply(version, scale, since, bool(version & 1), cold)
    for message in (StateRequest(), CapacityLoan(version & 0xFFFF, scale & 0xFF), reply):
        payload = messages.encode(message, 12.5)
        assert messages.decode(payload) == (12_500, message) and len(payload) <= 256
        for cut in range(len(payload)):
            with pytest.raises((ValueError, messages.struct.error)):
                messages.decode(payload[:cut])


def test_a_reply_contains_the_youngest_of_many_cold_backends() -> None:
    reply = StateReply(1, 2.0, 0.0, True, {tag: float(tag) for tag in range(200)})
    payload = messages.encode(reply, 1.0)
    assert len(payload) <= 256
    _, back = messages.decode(payload)
    assert isinstance(back, StateReply) and sorted(back.cold_ages_s) == list(
        range(messages.MAX_COLD_BACKENDS)
    )


@settings(derandomize=True, max_examples=100)
@given(st.binary(max_size=256))
def test_arbitrary_bytes_raise_only_the_documented_errors(payload: bytes) -> None:
    with contextlib.suppress(ValueError, messages.struct.error):
        messages.decode(messages.MESSAGE_PREFIX + payload)


def reports(
    scales: list[float], cold: list[dict[int, float]] | None = None, now: float = 10.0
) -> PeerReports:
    received = PeerReports()
    for number, scale in enumerate(scales):
        received.add(
            number, 1, StateReply(1, scale, 1.0, scale > 0.0, (cold or [{}] * len(scales))[number]), now
        )
    return received


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.floats(40.0, 60.0), min_size=3, max_size=9), st.floats(0.0, 1e8), st.data())
def test_a_minority_of_false_reports_keeps_the_scale_within_correct_ones(
    honest: list[float], lie: float, data: st.DataObject
) -> None:
    liars = data.draw(st.integers(0, (len(honest) - 1) // 2))
    scale = reports([*honest, *[lie] * liars]).agreed_scale(10.0, 0.0)
    assert min(honest) <= scale <= max(honest)


def test_a_scale_needs_enough_reports_stays_near_the_restored_one_and_expires() -> None:
    assert reports([50.0] * (MIN_REPORTS - 1)).agreed_scale(10.0, 7.0) == 7.0
    assert reports([1e6] * 5).agreed_scale(10.0, 10.0) == 10.0 * MAX_SCALE_RATIO
    assert reports([0.1] * 5).agreed_scale(10.0, 10.0) == 10.0 / MAX_SCALE_RATIO
    assert reports([50.0] * 5).agreed_scale(10.0 + REPORT_LIFETIME_S, 0.0) == 0.0
    assert reports([0.0] * 5).agreed_scale(10.0, 3.0) == 3.0  # these peers do not know a scale either


def test_peers_are_warm_when_most_report_it_with_recent_responses() -> None:
    assert reports([1.0] * 3).count_warm(10.0, 3) == 3 and reports([]).count_warm(10.0, 3) == 0
    assert (
        reports([1.0] * 3 + [0.0]).count_warm(10.0, 5) == 3
        and reports([1.0] * 2 + [0.0]).count_warm(10.0, 3) == 0
    )
    assert reports([1.0]).count_warm(10.0, 3) == 0  # a single report is too few
    received = reports([0.0])
    received.add(0, 2, StateReply(1, 1.0, 60.0, True, {}), 10.0)  # warm, and idle for a minute
    assert received.count_warm(10.0, 1) == 0


def test_a_backend_is_cold_when_most_report_it_and_older_messages_are_ignored() -> None:
    received = reports([1.0] * 5, [{1: 4.0}, {1: 6.0}, {1: 5.0, 2: 0.0}, {2: 0.0}, {}])
    assert received.cold_starts(10.0) == {1: 5.0}
    received.add(4, 0, StateReply(1, 1.0, 1.0, True, {2: 0.0}), 10.0)
    assert received.cold_starts(10.0) == {1: 5.0}


def test_loans_expire_and_end_with_the_recovery() -> None:
    box, loans = Backend(api.Server("a"), 1, 1.0, None), CapacityLoans()
    loans.lend(box, 3, 2, 0.0)
    loans.lend(box, 4, 5, 0.5)
    loans.borrow(box, 6, 0.0)
    assert loans.lent_attempts(box, 0.9) == 7 and loans.borrowed_attempts(box, 0.9) == 6
    assert (
        loans.lent_attempts(box, LOAN_DURATION_S) == 5 and loans.borrowed_attempts(box, LOAN_DURATION_S) == 0
    )
    loans.clear()
    assert loans.lent_attempts(box, 0.6) == 0


def test_peers_with_the_largest_deficit_come_first() -> None:
    def row(arrivals: float, served: float) -> Row:
        return Row(1, 0, 0, 1, 0, 1.0, arrivals, arrivals, served, 0, 0.0, [])

    rows = [(1, row(20.0, 80.0)), (2, row(20.0, 8.0)), (3, row(20.0, 40.0)), (4, row(0.0, 0.0))]
    assert most_unserved(rows, 0.25) == [2, 3]


def recovery(**more: Any) -> Any:
    from firvane.proxy.capacity.backend_estimates import BackendEstimates
    from firvane.proxy.recovery.recovery import Recovery
    from tests.helpers import settings as made

    config = made(proxies=6, recovery=api.RecoveryOptions(), **more)
    return Recovery(
        api.RecoveryOptions(), config, BackendEstimates(config, random.Random(1), 0.0), random.Random(1), 0.0
    )


def test_the_rate_of_replies_to_state_requests_is_limited() -> None:
    subject = recovery()
    ask = api.PeerMessage(2, messages.encode(StateRequest(), 1.0))
    answers = [subject.handle_message(ask, [], lambda tag: None, 1.0) for _ in range(100)]
    assert 0 < sum(map(len, answers)) <= 20


@pytest.mark.parametrize(("sender", "borrowed"), [(3, 2), (4, 0)])
def test_only_loans_of_the_owner_of_a_backend_are_accepted(sender: int, borrowed: int) -> None:
    subject, box = recovery(), Backend(api.Server("a"), 77, 1.0, None)
    box.owner = 3
    loan = api.PeerMessage(sender, messages.encode(CapacityLoan(77, 2), 1.0))
    assert subject.handle_message(loan, [box], lambda tag: box, 1.0) == []
    assert subject.loans.borrowed_attempts(box, 1.5) == borrowed
    assert subject.is_blocked(box, False, 1.5) is (borrowed == 0)
