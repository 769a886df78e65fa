"""What is believed of one server: kept parts, and work ahead."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.prompt_homes import Prompt, make_prompt
from firvane.fleet.placement.server_view import STREAM_TOKENS, PeerLoad, ServerView

SPEED = 10_000.0  # tokens a second


def server() -> ServerView:
    return ServerView("i-1", "model", "a", 64, PrefixCacheView(100_000, 100))


def prompt(subject: int, own: int, shared: int = 10_000, tokens: int = 1_000) -> Prompt:
    return make_prompt(((subject, shared), (1000 + own, tokens)), shared + tokens, 0)


def test_prefilled_blocks_are_cached() -> None:
    cache = PrefixCacheView(100_000, 100)
    first, second = prompt(1, 1), prompt(1, 2)
    assert cache.cached_tokens(first, 6) == 0
    cache.insert(first)
    assert cache.cached_tokens(second, 6) == 10_000
    assert cache.cached_tokens(first, 6) == 11_000


def test_the_least_recently_used_blocks_are_evicted() -> None:
    cache = PrefixCacheView(35_000, 100)
    for subject in (1, 2, 3):
        cache.insert(prompt(subject, subject))
    cache.insert(prompt(1, 9))
    cache.insert(prompt(4, 4))
    assert cache.cached_tokens(prompt(1, 77), 1) == 10_000
    assert cache.cached_tokens(prompt(2, 77), 1) == 0


def test_own_blocks_last_the_shorter_the_more_routers_there_are() -> None:
    cache = PrefixCacheView(100_000, 100)
    cache.insert(prompt(1, 1))
    cache.insert(prompt(2, 2))
    cache.insert(prompt(3, 3))
    assert cache.cached_tokens(prompt(1, 1), 1) == 11_000
    assert cache.cached_tokens(prompt(1, 1), 60) == 10_000


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 30), st.integers(1, 30_000)), max_size=60))
def test_the_cache_view_is_bounded(reads: list[tuple[int, int, int]]) -> None:
    cache = PrefixCacheView(50_000, 20)
    for subject, own, tokens in reads:
        cache.insert(prompt(subject, own, tokens, 700))
        assert len(cache._own) <= 20 and len(cache._shared) <= 20
        assert cache.used_tokens <= 50_000
        own = sum(tokens for tokens, _ in cache._own.values())
        assert cache.used_tokens == pytest.approx(own + sum(cache._shared.values()))


def test_the_prefill_backlog_shrinks_with_time() -> None:
    one = server()
    one.start_attempt(1, 5_000, 0.1, SPEED, 100.0)
    one.start_attempt(2, 5_000, 0.1, SPEED, 100.0)
    assert one.prefill_backlog(SPEED, 100.0) == pytest.approx(1.0)
    assert one.prefill_backlog(SPEED, 100.75) == pytest.approx(0.25)
    assert one.prefill_backlog(SPEED, 102.0) == 0.0


def test_a_first_event_ends_its_prefill() -> None:
    one = server()
    one.start_attempt(1, 20_000, 0.1, SPEED, 100.0)
    one.start_attempt(2, 5_000, 0.1, SPEED, 100.0)
    one.end_prefill(1, SPEED, 100.2)
    assert one.prefill_backlog(SPEED, 100.2) == pytest.approx(0.5)
    one.end_attempt(2, SPEED, 100.3)
    assert one.prefill_backlog(SPEED, 100.3) == 0.0
    one.end_attempt(1, SPEED, 100.4)
    assert one.in_flight == 0


def test_the_backlog_of_peers_counts_and_shrinks() -> None:
    one = server()
    one.update_peer_load(2, PeerLoad(3, 5_000, 100.0))
    one.update_peer_load(3, PeerLoad(1, 2_000, 100.0))
    assert one.prefill_backlog(SPEED, 100.0) == pytest.approx(0.7)
    assert one.prefill_backlog(SPEED, 100.3) == pytest.approx(0.2)
    assert one.load_tokens(SPEED, 101.0) == STREAM_TOKENS * 4
    one.update_peer_load(2, None)
    assert one.peers_in_flight == 1


@given(st.lists(st.tuples(st.sampled_from("ste"), st.integers(0, 5)), max_size=60))
def test_counts_stay_consistent(steps: list[tuple[str, int]]) -> None:
    one, out = server(), set()
    for number, (step, attempt) in enumerate(steps):
        now = 100.0 + number / 50
        if step == "s" and attempt not in out:
            one.start_attempt(attempt, 1_000.0, 0.1, SPEED, now)
            out.add(attempt)
        elif step == "t" and attempt in out:
            one.end_prefill(attempt, SPEED, now)
        elif step == "e" and attempt in out:
            one.end_attempt(attempt, SPEED, now)
            out.remove(attempt)
        assert one.in_flight == len(out)
        assert set(one.pending_prefills) <= out
        assert one.pending_prefill_tokens == pytest.approx(1_000.0 * len(one.pending_prefills))
        assert one.prefill_backlog(SPEED, now) <= 0.1 * len(one.pending_prefills) + 1e-9
