"""What is believed of one server: kept parts, and work ahead."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.placement.homes import Prompt, make_prompt
from firvane.fleet.placement.server_view import STREAM_TOKENS, KeptParts, PeerLoad, Server

SPEED = 10_000.0  # tokens a second


def server() -> Server:
    return Server("i-1", "model", "a", 64, KeptParts(100_000, 100))


def prompt(subject: int, own: int, shared: int = 10_000, tokens: int = 1_000) -> Prompt:
    return make_prompt(((subject, shared), (1000 + own, tokens)), shared + tokens, 0)


def test_parts_that_were_read_are_kept() -> None:
    parts = KeptParts(100_000, 100)
    first, second = prompt(1, 1), prompt(1, 2)
    assert parts.kept_tokens(first, 6) == 0
    parts.keep(first)
    assert parts.kept_tokens(second, 6) == 10_000
    assert parts.kept_tokens(first, 6) == 11_000


def test_the_least_recently_used_give_way() -> None:
    parts = KeptParts(35_000, 100)
    for subject in (1, 2, 3):
        parts.keep(prompt(subject, subject))
    parts.keep(prompt(1, 9))
    parts.keep(prompt(4, 4))
    assert parts.kept_tokens(prompt(1, 77), 1) == 10_000
    assert parts.kept_tokens(prompt(2, 77), 1) == 0


def test_own_parts_last_the_shorter_the_more_routers_there_are() -> None:
    parts = KeptParts(100_000, 100)
    parts.keep(prompt(1, 1))
    parts.keep(prompt(2, 2))
    parts.keep(prompt(3, 3))
    assert parts.kept_tokens(prompt(1, 1), 1) == 11_000
    assert parts.kept_tokens(prompt(1, 1), 60) == 10_000


@given(st.lists(st.tuples(st.integers(0, 9), st.integers(0, 30), st.integers(1, 30_000)), max_size=60))
def test_memory_is_bounded(reads: list[tuple[int, int, int]]) -> None:
    parts = KeptParts(50_000, 20)
    for subject, own, tokens in reads:
        parts.keep(prompt(subject, own, tokens, 700))
        assert len(parts._own) <= 20 and len(parts._shared) <= 20
        assert parts.used <= 50_000
        own = sum(tokens for tokens, _ in parts._own.values())
        assert parts.used == pytest.approx(own + sum(parts._shared.values()))


def test_work_ahead_runs_off_with_time() -> None:
    one = server()
    one.sent(1, 5_000, 0.1, SPEED, 100.0)
    one.sent(2, 5_000, 0.1, SPEED, 100.0)
    assert one.backlog(SPEED, 100.0) == pytest.approx(1.0)
    assert one.backlog(SPEED, 100.75) == pytest.approx(0.25)
    assert one.backlog(SPEED, 102.0) == 0.0


def test_a_first_event_tells_that_its_prompt_is_read() -> None:
    one = server()
    one.sent(1, 20_000, 0.1, SPEED, 100.0)
    one.sent(2, 5_000, 0.1, SPEED, 100.0)
    one.started(1, SPEED, 100.2)
    assert one.backlog(SPEED, 100.2) == pytest.approx(0.5)
    one.ended(2, SPEED, 100.3)
    assert one.backlog(SPEED, 100.3) == 0.0
    one.ended(1, SPEED, 100.4)
    assert one.running == 0


def test_the_work_of_peers_counts_and_runs_off() -> None:
    one = server()
    one.learn(2, PeerLoad(3, 5_000, 100.0))
    one.learn(3, PeerLoad(1, 2_000, 100.0))
    assert one.backlog(SPEED, 100.0) == pytest.approx(0.7)
    assert one.backlog(SPEED, 100.3) == pytest.approx(0.2)
    assert one.work(SPEED, 101.0) == STREAM_TOKENS * 4
    one.learn(2, None)
    assert one.peers_running == 1


@given(st.lists(st.tuples(st.sampled_from("ste"), st.integers(0, 5)), max_size=60))
def test_counts_never_go_astray(steps: list[tuple[str, int]]) -> None:
    one, out = server(), set()
    for number, (step, attempt) in enumerate(steps):
        now = 100.0 + number / 50
        if step == "s" and attempt not in out:
            one.sent(attempt, 1_000.0, 0.1, SPEED, now)
            out.add(attempt)
        elif step == "t" and attempt in out:
            one.started(attempt, SPEED, now)
        elif step == "e" and attempt in out:
            one.ended(attempt, SPEED, now)
            out.remove(attempt)
        assert one.running == len(out)
        assert set(one.waiting) <= out
        assert one.waiting_tokens == pytest.approx(1_000.0 * len(one.waiting))
        assert one.backlog(SPEED, now) <= 0.1 * len(one.waiting) + 1e-9
