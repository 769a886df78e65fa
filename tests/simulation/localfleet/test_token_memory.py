"""The memory of a model server, alone and against a model that recounts everything."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.localfleet.prompts import PromptChunk
from firvane.simulation.localfleet.token_memory import TokenMemory

A, B, C = PromptChunk(1, 100), PromptChunk(2, 50), PromptChunk(3, 80)


def read(memory: TokenMemory, part: PromptChunk) -> None:
    """Prefill a chunk as a request does; it stays locked."""
    assert memory.reserve(part.tokens)
    memory.keep(part)


def test_a_prefilled_chunk_is_cached_for_the_next_request() -> None:
    memory = TokenMemory(200)
    assert memory.lock_cached([A, B]) == 0
    read(memory, A)
    memory.unlock([A])
    assert memory.in_use == 0
    assert memory.lock_cached([A, B]) == 1
    assert memory.in_use == A.tokens


def test_a_cached_chunk_is_unused_without_the_chunks_before_it() -> None:
    memory = TokenMemory(200)
    read(memory, B)
    memory.unlock([B])
    assert memory.lock_cached([A, B]) == 0


def test_the_least_recently_used_chunk_is_evicted() -> None:
    memory = TokenMemory(240)
    for part in (A, B):
        read(memory, part)
        memory.unlock([part])
    memory.lock_cached([A])
    memory.unlock([A])
    assert memory.reserve(C.tokens + 20)
    assert not memory.keeps(B)
    assert memory.keeps(A)


def test_a_locked_chunk_is_not_evicted() -> None:
    memory = TokenMemory(150)
    read(memory, A)
    assert not memory.reserve(51)
    assert memory.in_use == A.tokens
    assert memory.reserve(50)


def test_two_users_of_one_chunk_share_it() -> None:
    memory = TokenMemory(250)
    assert memory.reserve(A.tokens) and memory.reserve(A.tokens)
    memory.keep(A)
    memory.keep(A)
    assert memory.in_use == A.tokens
    memory.unlock([A])
    assert memory.in_use == A.tokens
    memory.unlock([A])
    assert memory.in_use == 0


def test_the_last_chunks_of_a_prompt_are_evicted_before_the_first() -> None:
    memory = TokenMemory(150)
    read(memory, A)
    read(memory, B)
    memory.unlock([A, B])
    assert memory.reserve(50)
    assert memory.keeps(A)
    assert not memory.keeps(B)


@given(st.lists(st.tuples(st.integers(0, 5), st.booleans()), max_size=60))
def test_any_sequence_agrees_with_a_direct_count(course: list[tuple[int, bool]]) -> None:
    """Requests of one chunk each start and end; the memory in use equals that of the running ones."""
    memory = TokenMemory(300)
    running: list[PromptChunk] = []
    for number, ends in course:
        part = PromptChunk(number, 40 + 10 * number)
        if ends and running:
            memory.unlock([running.pop(0)])
        elif memory.lock_cached([part]):
            running.append(part)
        elif memory.reserve(part.tokens):
            memory.keep(part)
            running.append(part)
        assert memory.in_use == sum(each.tokens for each in set(running)) <= memory.capacity
        assert all(memory.keeps(each) for each in running)
