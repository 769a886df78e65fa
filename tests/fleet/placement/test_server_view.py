"""A router's view of one server: cached blocks, prefill backlog, and load."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.prompt_homes import Prompt, make_prompt
from firvane.fleet.placement.server_view import STREAM_TOKENS, PeerLoad, ServerView

PREFILL_RATE = 10_000.0  # tokens per second


def make_server() -> ServerView:
    return ServerView("i-1", "model", "a", 64, PrefixCacheView(100_000, 100))


def prompt(shared_id: int, own_id: int, shared: int = 10_000, tokens: int = 1_000) -> Prompt:
    return make_prompt(((shared_id, shared), (1000 + own_id, tokens)), shared + tokens, 0)


def test_prefilled_blocks_are_cached() -> None:
    cache = PrefixCacheView(100_000, 100)
    first, second = prompt(1, 1), prompt(1, 2)
    assert cache.cached_tokens(first, 6) == 0
    cache.insert(first)
    assert cache.cached_tokens(second, 6) == 10_000
    assert cache.cached_tokens(first, 6) == 11_000


def test_the_least_recently_used_blocks_are_evicted() -> None:
    cache = PrefixCacheView(35_000, 100)
    for shared_id in (1, 2, 3):
        cache.insert(prompt(shared_id, shared_id))
    cache.insert(prompt(1, 9))
    cache.insert(prompt(4, 4))
    assert cache.cached_tokens(prompt(1, 77), 1) == 10_000
    assert cache.cached_tokens(prompt(2, 77), 1) == 0


def test_own_blocks_are_evicted_sooner_with_more_routers() -> None:
    cache = PrefixCacheView(100_000, 100)
    cache.insert(prompt(1, 1))
    cache.insert(prompt(2, 2))
    cache.insert(prompt(3, 3))
    assert cache.cached_tokens(prompt(1, 1), 1) == 11_000
    assert cache.cached_tokens(prompt(1, 1), 60) == 10_000


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 30), st.integers(1, 30_000)), max_size=60))
def test_the_cache_view_is_bounded(prefills: list[tuple[int, int, int]]) -> None:
    cache = PrefixCacheView(50_000, 20)
    for shared_id, own_id, tokens in prefills:
        cache.insert(prompt(shared_id, own_id, tokens, 700))
        assert len(cache._own) <= 20 and len(cache._shared) <= 20
        assert cache.used_tokens <= 50_000
        own_tokens = sum(tokens for tokens, _ in cache._own.values())
        assert cache.used_tokens == pytest.approx(own_tokens + sum(cache._shared.values()))


def test_the_prefill_backlog_shrinks_with_time() -> None:
    server = make_server()
    server.start_attempt(1, 5_000, 0.1, PREFILL_RATE, 100.0)
    server.start_attempt(2, 5_000, 0.1, PREFILL_RATE, 100.0)
    assert server.prefill_backlog(PREFILL_RATE, 100.0) == pytest.approx(1.0)
    assert server.prefill_backlog(PREFILL_RATE, 100.75) == pytest.approx(0.25)
    assert server.prefill_backlog(PREFILL_RATE, 102.0) == 0.0


def test_a_first_event_ends_its_prefill() -> None:
    server = make_server()
    server.start_attempt(1, 20_000, 0.1, PREFILL_RATE, 100.0)
    server.start_attempt(2, 5_000, 0.1, PREFILL_RATE, 100.0)
    server.end_prefill(1, PREFILL_RATE, 100.2)
    assert server.prefill_backlog(PREFILL_RATE, 100.2) == pytest.approx(0.5)
    server.end_attempt(2, PREFILL_RATE, 100.3)
    assert server.prefill_backlog(PREFILL_RATE, 100.3) == 0.0
    server.end_attempt(1, PREFILL_RATE, 100.4)
    assert server.in_flight == 0


def test_the_backlog_of_peers_counts_and_shrinks_with_time() -> None:
    server = make_server()
    server.update_peer_load(2, PeerLoad(3, 5_000, 100.0))
    server.update_peer_load(3, PeerLoad(1, 2_000, 100.0))
    assert server.prefill_backlog(PREFILL_RATE, 100.0) == pytest.approx(0.7)
    assert server.prefill_backlog(PREFILL_RATE, 100.3) == pytest.approx(0.2)
    assert server.load_tokens(PREFILL_RATE, 101.0) == STREAM_TOKENS * 4
    server.update_peer_load(2, None)
    assert server.peers_in_flight == 1


@given(st.lists(st.tuples(st.sampled_from("ste"), st.integers(0, 5)), max_size=60))
def test_counts_stay_consistent(steps: list[tuple[str, int]]) -> None:
    server, open_attempts = make_server(), set()
    for number, (step, attempt) in enumerate(steps):
        now = 100.0 + number / 50
        if step == "s" and attempt not in open_attempts:
            server.start_attempt(attempt, 1_000.0, 0.1, PREFILL_RATE, now)
            open_attempts.add(attempt)
        elif step == "t" and attempt in open_attempts:
            server.end_prefill(attempt, PREFILL_RATE, now)
        elif step == "e" and attempt in open_attempts:
            server.end_attempt(attempt, PREFILL_RATE, now)
            open_attempts.remove(attempt)
        assert server.in_flight == len(open_attempts)
        assert set(server.pending_prefills) <= open_attempts
        assert server.pending_prefill_tokens == pytest.approx(1_000.0 * len(server.pending_prefills))
        assert server.prefill_backlog(PREFILL_RATE, now) <= 0.1 * len(server.pending_prefills) + 1e-9
