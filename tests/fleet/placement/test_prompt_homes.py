"""Prefix keys of prompts, and the rendezvous order of backends for a key."""

from __future__ import annotations

from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.placement.prompt_homes import HomeOrder, make_prompt, rank_servers

CHAINS = st.lists(st.tuples(st.integers(0, 1 << 80), st.integers(0, 60_000)), max_size=8)


def hashed_ids(count: int) -> list[tuple[int, str]]:
    return [(number * 2654435761 & 0xFFFFFFFF, f"i-{number}") for number in range(1, count + 1)]


def test_requests_of_one_shared_prefix_have_the_same_home() -> None:
    first = make_prompt(((7, 13_000), (1, 3_000)), 16_000, 0)
    second = make_prompt(((7, 13_000), (2, 200)), 13_200, 0)
    assert first.home_key == second.home_key
    assert first.shared_tokens == 13_000 and first.total_tokens == 16_000


def test_a_block_counts_only_together_with_its_prefix() -> None:
    first = make_prompt(((1, 500), (7, 13_000), (3, 10)), 0, 0)
    second = make_prompt(((2, 500), (7, 13_000), (3, 10)), 0, 0)
    assert first.home_key != second.home_key


def test_the_own_block_determines_the_home_if_little_is_shared() -> None:
    first = make_prompt(((7, 100), (1, 9_000)), 9_100, 0)
    second = make_prompt(((7, 100), (2, 9_000)), 9_100, 0)
    assert first.home_key != second.home_key
    assert make_prompt(((1, 9_000),), 9_000, 0).home_key == make_prompt(((1, 9_000),), 0, 5).home_key


def test_the_shared_blocks_determine_the_home_of_a_short_prompt() -> None:
    first = make_prompt(((7, 60), (1, 700)), 760, 0)
    second = make_prompt(((7, 60), (2, 300)), 360, 0)
    assert first.home_key == second.home_key


def test_without_a_chain_the_fallback_key_determines_the_home() -> None:
    prompt = make_prompt((), 700, 42)
    assert (prompt.home_key, prompt.total_tokens, prompt.shared_tokens) == (42, 700, 0)


@given(CHAINS, st.integers(0, 100_000))
def test_any_chain_makes_a_valid_prompt(chain: list[tuple[int, int]], tokens: int) -> None:
    prompt = make_prompt(tuple(chain), tokens, 1)
    assert 0 <= prompt.shared_tokens <= prompt.total_tokens
    assert 0 <= prompt.home_key < 1 << 32
    assert prompt.total_tokens >= tokens


def test_homes_are_spread_evenly_and_only_those_of_a_removed_server_move() -> None:
    all_ids, remaining_ids = hashed_ids(20), hashed_ids(19)
    keys = range(5000)
    before = {key: rank_servers(key, all_ids, 1)[0] for key in keys}
    after = {key: rank_servers(key, remaining_ids, 1)[0] for key in keys}
    counts = Counter(before.values())
    assert max(counts.values()) < 1.35 * 5000 / 20
    assert all(after[key] == before[key] for key in keys if before[key] != "i-20")


def test_an_order_does_not_depend_on_the_order_of_the_server_list() -> None:
    first, second = HomeOrder(5), HomeOrder(5)
    first.assign(hashed_ids(9))
    second.assign(list(reversed(hashed_ids(9))))
    assert all(first.ranked(key) == second.ranked(key) for key in range(300))
    assert len(set(first.ranked(3))) == 5
    first.assign([])
    assert first.ranked(3) == []
