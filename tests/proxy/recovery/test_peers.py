"""What peers say: as bytes, and what is made of it where some are wrong, old or liars."""

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

FEW = st.dictionaries(st.integers(0, 0xFFFF), st.integers(0, 0xFFFF).map(lambda n: n / 10), max_size=30)


@settings(derandomize=True, max_examples=80)
@given(st.integers(0, 2**32 - 1), st.integers(0, 10_000), st.integers(0, 1000), FEW)
def test_messages_come_back_as_they_went_and_fit_a_datagram(
    version: int, scale: int, since: int, cold: dict[int, float]
) -> None:
    held = StateReply(version, scale, since, bool(version & 1), cold)
    for message in (StateRequest(), CapacityLoan(version & 0xFFFF, scale & 0xFF), held):
        payload = messages.encode(message, 12.5)
        assert messages.decode(payload) == (12_500, message) and len(payload) <= 256
        for cut in range(len(payload)):
            with pytest.raises((ValueError, messages.struct.error)):
                messages.decode(payload[:cut])


def test_of_many_cold_boxes_the_youngest_are_told() -> None:
    held = StateReply(1, 2.0, 0.0, True, {tag: float(tag) for tag in range(200)})
    payload = messages.encode(held, 1.0)
    assert len(payload) <= 256
    _, back = messages.decode(payload)
    assert isinstance(back, StateReply) and sorted(back.cold_ages_s) == list(
        range(messages.MAX_COLD_BACKENDS)
    )


@settings(derandomize=True, max_examples=100)
@given(st.binary(max_size=256))
def test_hostile_bytes_end_in_one_of_two_errors(payload: bytes) -> None:
    with contextlib.suppress(ValueError, messages.struct.error):
        messages.decode(messages.MESSAGE_PREFIX + payload)


def told(scales: list[float], cold: list[dict[int, float]] | None = None, now: float = 10.0) -> PeerReports:
    said = PeerReports()
    for number, scale in enumerate(scales):
        said.add(number, 1, StateReply(1, scale, 1.0, scale > 0.0, (cold or [{}] * len(scales))[number]), now)
    return said


@settings(derandomize=True, max_examples=100)
@given(st.lists(st.floats(40.0, 60.0), min_size=3, max_size=9), st.floats(0.0, 1e8), st.data())
def test_a_third_of_liars_moves_the_scale_no_further_than_honest_peers(
    honest: list[float], lie: float, data: st.DataObject
) -> None:
    liars = data.draw(st.integers(0, (len(honest) - 1) // 2))
    scale = told([*honest, *[lie] * liars]).agreed_scale(10.0, 0.0)
    assert min(honest) <= scale <= max(honest)


def test_a_scale_needs_a_quorum_stays_near_memory_and_grows_old() -> None:
    assert told([50.0] * (MIN_REPORTS - 1)).agreed_scale(10.0, 7.0) == 7.0
    assert told([1e6] * 5).agreed_scale(10.0, 10.0) == 10.0 * MAX_SCALE_RATIO
    assert told([0.1] * 5).agreed_scale(10.0, 10.0) == 10.0 / MAX_SCALE_RATIO
    assert told([50.0] * 5).agreed_scale(10.0 + REPORT_LIFETIME_S, 0.0) == 0.0
    assert told([0.0] * 5).agreed_scale(10.0, 3.0) == 3.0  # they know nothing either


def test_peers_are_warm_when_most_say_so_and_have_had_answers() -> None:
    assert told([1.0] * 3).count_warm(10.0, 3) == 3 and told([]).count_warm(10.0, 3) == 0
    assert (
        told([1.0] * 3 + [0.0]).count_warm(10.0, 5) == 3 and told([1.0] * 2 + [0.0]).count_warm(10.0, 3) == 0
    )
    assert told([1.0]).count_warm(10.0, 3) == 0  # the first to answer does not decide
    said = told([0.0])
    said.add(0, 2, StateReply(1, 1.0, 60.0, True, {}), 10.0)  # warm, and idle for a minute
    assert said.count_warm(10.0, 1) == 0


def test_a_box_is_cold_when_most_say_so_and_an_older_message_changes_nothing() -> None:
    said = told([1.0] * 5, [{1: 4.0}, {1: 6.0}, {1: 5.0, 2: 0.0}, {2: 0.0}, {}])
    assert said.cold_starts(10.0) == {1: 5.0}
    said.add(4, 0, StateReply(1, 1.0, 1.0, True, {2: 0.0}), 10.0)
    assert said.cold_starts(10.0) == {1: 5.0}


def test_loans_end_by_themselves_and_with_their_recovery() -> None:
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


def test_the_neediest_are_lent_to_first() -> None:
    def row(arrivals: float, served: float) -> Row:
        return Row(1, 0, 0, 1, 0, 1.0, arrivals, arrivals, served, 0, 0.0, [])

    rows = [(1, row(20.0, 80.0)), (2, row(20.0, 8.0)), (3, row(20.0, 40.0)), (4, row(0.0, 0.0))]
    assert most_unserved(rows, 0.25) == [2, 3]


def recovery(**more: Any) -> Any:
    from firvane.proxy.capacity.backend_estimates import BackendEstimates
    from firvane.proxy.recovery.recovery import Recovery
    from tests.helpers import settings as made

    told_ = made(proxies=6, recovery=api.RecoveryOptions(), **more)
    return Recovery(
        api.RecoveryOptions(), told_, BackendEstimates(told_, random.Random(1), 0.0), random.Random(1), 0.0
    )


def test_a_question_is_answered_within_a_rate() -> None:
    own = recovery()
    ask = api.PeerMessage(2, messages.encode(StateRequest(), 1.0))
    answers = [own.handle_message(ask, [], lambda tag: None, 1.0) for _ in range(100)]
    assert 0 < sum(map(len, answers)) <= 20


@pytest.mark.parametrize(("sender", "taken"), [(3, 2), (4, 0)])
def test_only_its_home_lends_a_box(sender: int, taken: int) -> None:
    own, box = recovery(), Backend(api.Server("a"), 77, 1.0, None)
    box.owner = 3
    loan = api.PeerMessage(sender, messages.encode(CapacityLoan(77, 2), 1.0))
    assert own.handle_message(loan, [box], lambda tag: box, 1.0) == []
    assert own.loans.borrowed_attempts(box, 1.5) == taken
    assert own.is_blocked(box, False, 1.5) is (taken == 0)
