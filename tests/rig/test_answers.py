"""Reading answers: the same however they are cut, and nothing but answers."""

import contextlib

import pytest
from hypothesis import given

from benchmarks.rig.answers import Answer, Answers
from tests.proxy.net.helpers import cut, garbage, places, seeded

SERVED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Other: 9\r\n\r\nhello"
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
REFUSED = b"HTTP/1.1 503 Busy\r\nRetry-After: 0.075\r\ncontent-length: 0\r\nConnection: close\r\n\r\n"
STREAM = INTERIM + SERVED + REFUSED + SERVED
EXPECTED = [Answer(200, 5, False, 0.0), Answer(503, 0, True, 0.075), Answer(200, 5, False, 0.0)]


@seeded
@given(places)
def test_answers_are_the_same_however_they_are_cut(at: list[int]) -> None:
    answers, seen = Answers(), list[Answer]()
    for piece in cut(STREAM, at):
        seen += answers.feed(piece)
    assert seen == EXPECTED
    assert answers.interim == 1 and not answers.begun


@seeded
@given(garbage)
def test_garbage_is_an_error_or_not_yet_an_answer(data: bytes) -> None:
    with contextlib.suppress(ValueError):
        assert Answers().feed(data) == []


def test_part_of_an_answer_counts_as_begun() -> None:
    for part in (SERVED[:3], SERVED[:-1]):
        answers = Answers()
        assert not answers.feed(part) and answers.begun


@pytest.mark.parametrize("head", [b"HTTP/1.1 200 OK\r\n\r\n", b"X" * 70_000])
def test_an_answer_without_length_or_end_is_an_error(head: bytes) -> None:
    with pytest.raises(ValueError):
        Answers().feed(head)
