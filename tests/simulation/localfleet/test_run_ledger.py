"""The verdict on doubled, unsolicited and altered runs."""

from __future__ import annotations

from firvane.simulation.localfleet.prompts import PromptChunk
from firvane.simulation.localfleet.run_ledger import (
    PrefillCounter,
    Run,
    SentAttempt,
    Verdict,
    fingerprint,
    judge,
)

MARK = 7


def run(request_id: bytes, events_before: int = 0, mark: int = MARK) -> Run:
    return Run(request_id, "i-1", events_before, mark)


def test_requests_run_once_and_unchanged_are_clean() -> None:
    sent = {b"a": SentAttempt(False, MARK), b"b": SentAttempt(True, MARK), b"c": SentAttempt(False, MARK)}
    verdict = judge([run(b"a"), run(b"b")], sent)
    assert verdict == Verdict()
    assert verdict.clean


def test_a_second_run_of_a_non_repeatable_request_is_doubled() -> None:
    sent = {b"a": SentAttempt(False, MARK), b"b": SentAttempt(False, MARK)}
    verdict = judge([run(b"a"), run(b"b"), run(b"a"), run(b"a")], sent)
    assert verdict.doubled == (b"a",)
    assert not verdict.clean


def test_resuming_a_non_repeatable_stream_is_doubled() -> None:
    assert judge([run(b"a"), run(b"a", 3)], {b"a": SentAttempt(False, MARK)}).doubled == (b"a",)


def test_repeated_runs_of_repeatable_requests_are_counted_and_no_fault() -> None:
    verdict = judge([run(b"a"), run(b"a"), run(b"a", 2)], {b"a": SentAttempt(True, MARK)})
    assert verdict.clean
    assert (verdict.repeated, verdict.resumed) == (1, 1)


def test_a_stream_resumed_by_a_retry_counts_as_resumed() -> None:
    sent = {b"a": SentAttempt(True, MARK), b"b": SentAttempt(True, MARK)}
    assert judge([run(b"a"), run(b"b", 2)], sent).resumed == 1


def test_a_run_after_a_rejection_is_a_fault() -> None:
    sent = {b"a": SentAttempt(False, MARK, promised=True), b"b": SentAttempt(True, MARK, promised=True)}
    verdict = judge([run(b"a"), run(b"b")], sent)
    assert verdict.ran_after_refusal == (b"a",)


def test_unsolicited_and_altered_runs_are_reported() -> None:
    verdict = judge([run(b"x"), run(b"a", mark=8)], {b"a": SentAttempt(False, MARK)})
    assert verdict.unasked == (b"x",)
    assert verdict.altered == (b"a",)


def test_a_fingerprint_differs_with_every_part() -> None:
    base = (b"POST", b"/p", [b"m", b"1,2"], b"body")
    marks = {
        fingerprint(*base),
        fingerprint(b"GET", *base[1:]),
        fingerprint(base[0], b"/q", *base[2:]),
        fingerprint(*base[:2], [b"m", b"1,3"], base[3]),
        fingerprint(*base[:3], b"other"),
    }
    assert len(marks) == 5


def test_chunks_prefilled_before_by_any_server_count_as_read_again() -> None:
    ledger = PrefillCounter()
    for part in (PromptChunk(1, 10), PromptChunk(2, 5), PromptChunk(1, 10)):
        ledger.note(part)
    assert (ledger.tokens_read, ledger.tokens_read_again) == (25, 10)
