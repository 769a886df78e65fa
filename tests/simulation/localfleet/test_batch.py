"""The batch of a model server, advanced step by step on a simulated clock."""

from __future__ import annotations

import dataclasses

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firvane.simulation.localfleet.batch import (
    Batch,
    ChunkPrefilled,
    Job,
    Output,
    Produced,
    Rejected,
    RejectionReason,
    TimedOut,
    event_count,
    tokens_within,
)
from firvane.simulation.localfleet.profiles import ServerProfile
from firvane.simulation.localfleet.prompts import Prompt, PromptChunk

PROFILE = ServerProfile(
    slots=2,
    queue=2,
    cache_tokens=1_000,
    step_ms=10.0,
    step_ms_per_request=0.0,
    prefill_tokens_per_ms=10.0,
    chunk_tokens=100,
    stride=4,
)
SHARED = PromptChunk(1, 150)
FAR = 1e9


def prompt(own: int = 50, out: int = 5, number: int = 100, shared: PromptChunk | None = None) -> Prompt:
    parts = (PromptChunk(number, own),)
    return Prompt((shared, *parts) if shared else parts, out)


def job(number: int, priority: int = 5, deadline: float = FAR, **shape: int) -> Job:
    return Job(number, prompt(number=1000 + number, **shape), priority, deadline)


def play(batch: Batch, until: float = FAR) -> list[tuple[float, Output]]:
    """All outputs until the batch is idle or the time `until` is reached."""
    outputs: list[tuple[float, Output]] = []
    while batch.next_step is not None and batch.next_step <= until:
        now = batch.next_step
        outputs += [(now, output) for output in batch.advance(now)]
    return outputs


def events(outputs: list[tuple[float, Output]], number: int) -> list[Produced]:
    return [each for _, each in outputs if isinstance(each, Produced) and each.job == number]


def test_a_prompt_is_prefilled_in_chunks_and_its_end_produces_the_first_token() -> None:
    batch = Batch(PROFILE)
    assert batch.submit(Job(1, Prompt((SHARED,), 5), 5, FAR), 0.0) == []
    outputs = play(batch)
    # 100 tokens in a step of 10 + 10 ms, 50 in one of 10 + 5, four more steps of 10 for four tokens.
    assert outputs[0] == (pytest.approx(0.035), ChunkPrefilled(SHARED))
    assert outputs[1] == (pytest.approx(0.035), Produced(1, 1, last=False))
    assert outputs[2] == (pytest.approx(0.075), Produced(1, 2, last=True))
    assert len(outputs) == 3
    assert batch.active == batch.queued == 0


def test_a_cached_chunk_is_not_prefilled_again() -> None:
    batch = Batch(PROFILE)
    batch.submit(Job(1, prompt(shared=SHARED), 5, FAR), 0.0)
    play(batch)
    batch.submit(Job(2, prompt(number=101, shared=SHARED), 5, FAR), 1.0)
    read = [output.part for _, output in play(batch) if isinstance(output, ChunkPrefilled)]
    assert read == [PromptChunk(101, 50)]


@pytest.mark.parametrize(
    ("tokens", "count"), [(1, 1), (2, 2), (5, 2), (6, 3), (9, 3), (10, 4)], ids=lambda each: str(each)
)
def test_events_hold_several_tokens(tokens: int, count: int) -> None:
    assert event_count(tokens, 4) == count
    batch = Batch(PROFILE)
    batch.submit(Job(1, prompt(out=tokens), 5, FAR), 0.0)
    found = events(play(batch), 1)
    assert [each.event for each in found] == list(range(1, count + 1))
    assert [each.last for each in found] == [False] * (count - 1) + [True]


def test_a_stream_resumes_after_the_events_that_the_client_has() -> None:
    batch = Batch(PROFILE)
    batch.submit(Job(1, prompt(out=12), 5, FAR, events_before=2), 0.0)
    assert [each.event for each in events(play(batch), 1)] == [3, 4]
    assert tokens_within(0, 12, 4) == 0
    assert tokens_within(2, 12, 4) == 5
    assert tokens_within(4, 12, 4) == 12


def test_a_full_server_rejects_and_a_request_of_higher_priority_displaces_another() -> None:
    batch = Batch(PROFILE)
    for number in range(4):
        assert batch.submit(job(number), 0.0) == []
    assert batch.submit(job(4), 0.0) == [Rejected(4, RejectionReason.FULL)]
    assert batch.submit(job(5, priority=0), 0.0) == [Rejected(3, RejectionReason.FULL)]


def test_a_request_that_has_run_is_not_rejected() -> None:
    batch = Batch(dataclasses.replace(PROFILE, slots=1, queue=1))
    batch.submit(job(1, priority=9, out=40), 0.0)
    outputs = play(batch, until=0.05)
    assert events(outputs, 1)
    batch.submit(job(2, priority=5, out=40), 0.05)
    outputs += play(batch, until=0.1)  # the second displaces the first, which waits
    assert batch.submit(job(3, priority=0), 0.1) == [Rejected(3, RejectionReason.FULL)]
    assert events(outputs + play(batch), 1)[-1].last


def test_a_request_larger_than_the_memory_is_rejected() -> None:
    batch = Batch(PROFILE)
    assert batch.submit(job(1, own=996), 0.0) == [Rejected(1, RejectionReason.TOO_LARGE)]


def test_higher_priority_is_admitted_first_and_displaces_lower() -> None:
    batch = Batch(PROFILE)
    for number in (1, 2):
        batch.submit(job(number, out=20), 0.0)
    batch.submit(job(3, priority=0, out=1), 0.0)
    outputs = play(batch)
    finished = [each.job for _, each in outputs if isinstance(each, Produced) and each.last]
    assert finished == [3, 1, 2]
    assert [each.event for each in events(outputs, 2)] == list(range(1, 1 + event_count(20, 4)))


def test_exhausted_memory_preempts_the_newest_request_of_the_lowest_priority() -> None:
    profile = dataclasses.replace(PROFILE, cache_tokens=110)
    batch = Batch(profile)
    for number in (1, 2):
        batch.submit(job(number, own=50, out=12), 0.0)
    outputs = play(batch)
    for number in (1, 2):
        assert [each.event for each in events(outputs, number)] == [1, 2, 3, 4]
    ends = {each.job: at for at, each in outputs if isinstance(each, Produced) and each.last}
    assert ends[1] < ends[2]
    read = [output.part.id for _, output in outputs if isinstance(output, ChunkPrefilled)]
    assert read.count(1002) == 2  # prefilled again


def test_a_deadline_in_the_queue_rejects_and_one_while_running_times_out() -> None:
    batch = Batch(PROFILE)
    for number in (1, 2):
        batch.submit(job(number, out=100), 0.0)
    batch.submit(job(3, deadline=0.05), 0.0)
    batch.submit(job(4, priority=9, deadline=0.1), 0.0)
    outputs = [output for _, output in play(batch, until=0.2)]
    assert Rejected(3, RejectionReason.EXPIRED) in outputs
    late = Batch(PROFILE)
    late.submit(job(1, out=100, deadline=0.05), 0.0)
    assert play(late)[-1][1] == TimedOut(1)
    assert late.active == 0 and late.memory.in_use == 0


def test_a_cancelled_request_releases_its_memory() -> None:
    batch = Batch(PROFILE)
    for number in (1, 2, 3):
        batch.submit(job(number), 0.0)
    for number in (1, 3, 7):
        batch.cancel(number)
    outputs = play(batch)
    assert events(outputs, 1) == events(outputs, 3) == []
    assert events(outputs, 2)[-1].last
    assert batch.memory.in_use == 0


JOBS = st.tuples(
    st.integers(1, 120), st.integers(1, 30), st.integers(0, 2), st.floats(0, 0.2), st.floats(0.01, 2.0)
)


@settings(deadline=None)
@given(st.lists(JOBS, max_size=12), st.lists(st.integers(0, 11), max_size=3))
def test_every_request_ends_once_and_its_event_numbers_increase(
    drawn: list[tuple[int, int, int, float, float]], cancelled: list[int]
) -> None:
    """Each request is served completely, rejected before its first event, or times out."""
    batch = Batch(dataclasses.replace(PROFILE, cache_tokens=200))
    outputs: list[Output] = []
    now = 0.0
    for number, (own, out, priority, pause, time) in enumerate(drawn):
        now += pause
        outputs += [output for _, output in play(batch, now)]
        outputs += batch.submit(job(number, priority, now + time, own=own, out=out), now)
    for number in cancelled:
        batch.cancel(number)
    outputs += [output for _, output in play(batch)]
    assert batch.active == batch.queued == batch.memory.in_use == 0
    for number, (_, out, *_) in enumerate(drawn):
        mine = [each for each in outputs if not isinstance(each, ChunkPrefilled) and each.job == number]
        numbers = [each.event for each in mine if isinstance(each, Produced)]
        assert numbers == list(range(1, len(numbers) + 1))
        ends = [each for each in mine if not isinstance(each, Produced) or each.last]
        assert len(ends) == 1 or (number in cancelled and not ends)
        if ends:
            assert mine[-1] is ends[0]
            assert not (isinstance(ends[0], Rejected) and numbers)
            assert not isinstance(ends[0], Produced) or len(numbers) == event_count(out, 4)
