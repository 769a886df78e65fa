"""Home slices, and the moves between them."""

from __future__ import annotations

from firvane.fleet.placement.prefix_cache import PrefixCacheView
from firvane.fleet.placement.rows import Section
from firvane.fleet.placement.server_view import ServerView
from firvane.fleet.placement.slices import WORK_UNIT_TOKENS, Slices


def servers(count: int) -> list[ServerView]:
    return [ServerView(f"i-{number:02}", "model", "a", 64, PrefixCacheView(0, 10)) for number in range(count)]


def section(mu: float = 64.0) -> tuple[Section, float]:
    return Section(1, mu, 0.0, 0.0, 0.0, 1e4, 0.1, 0), 0.0


def step(
    slices: Slices, load_tokens: dict[str, float], repetitions: int = 1, mu: dict[int, float] | None = None
) -> None:
    routers = list(slices.by_router)
    sections = {number: section((mu or {}).get(number, 64.0)) for number in routers}
    for _ in range(repetitions):
        slices.step(load_tokens, sections, dict.fromkeys(routers, 0))


def test_each_slice_has_a_backend_and_each_backend_is_in_a_slice() -> None:
    for count, routers in ((5, 6), (12, 5), (1, 4), (6, 8)):
        slices = Slices()
        slices.assign(servers(count), list(range(routers)))
        assert all(slices.by_router[number] for number in range(routers))
        assert len(slices.owners) == count
    slices.assign([], [1, 2])
    assert slices.owners == {} and slices.moved_to("i-00", 1, is_long=False) is None


def test_excess_moves_from_the_overloaded_slice_to_the_underloaded() -> None:
    slices = Slices()
    slices.assign(servers(3), [1, 2, 3])
    step(
        slices,
        {"i-00": 60 * WORK_UNIT_TOKENS, "i-01": 30 * WORK_UNIT_TOKENS, "i-02": 6 * WORK_UNIT_TOKENS},
        repetitions=5,
    )
    assert set(slices.moves) == {1}
    assert [target for target, _ in slices.moves[1]] == [3]
    moved = [slices.moved_to("i-00", key, is_long=False) for key in range(2000)]
    assert {name for name in moved if name} == {"i-02"}
    share = slices.moves[1][0][1]
    assert abs(sum(name is not None for name in moved) / 2000 - share) < 0.05


def test_targets_follow_the_capacities() -> None:
    slices = Slices()
    slices.assign(servers(2), [1, 2])
    step(
        slices,
        {"i-00": 60 * WORK_UNIT_TOKENS, "i-01": 20 * WORK_UNIT_TOKENS},
        repetitions=5,
        mu={1: 96.0, 2: 32.0},
    )
    assert slices.moves == {}


def test_all_routers_move_the_same_keys() -> None:
    load_tokens = {"i-00": 60 * WORK_UNIT_TOKENS, "i-01": 30 * WORK_UNIT_TOKENS, "i-02": 6 * WORK_UNIT_TOKENS}
    both = [Slices(), Slices()]
    for slices in both:
        slices.assign(servers(3), [1, 2, 3])
        step(slices, load_tokens, repetitions=4)
    assert [both[0].moved_to("i-00", key, False) for key in range(500)] == [
        both[1].moved_to("i-00", key, False) for key in range(500)
    ]


def test_long_prompts_move_only_if_the_excess_lasts_and_shares_decay() -> None:
    slices = Slices()
    slices.assign(servers(2), [1, 2])
    step(slices, {"i-00": 80 * WORK_UNIT_TOKENS, "i-01": 0.0})
    assert slices.moves and not slices.long_prompt_moves
    step(slices, {"i-00": 80 * WORK_UNIT_TOKENS, "i-01": 0.0}, repetitions=30)
    assert slices.long_prompt_moves
    step(slices, {"i-00": 40 * WORK_UNIT_TOKENS, "i-01": 40 * WORK_UNIT_TOKENS}, repetitions=40)
    assert not slices.moves and not slices.long_prompt_moves


def test_moves_to_a_router_with_unexpected_load_are_dropped() -> None:
    slices = Slices()
    slices.assign(servers(2), [1, 2])
    step(slices, {"i-00": 80 * WORK_UNIT_TOKENS, "i-01": 0.0}, repetitions=3)
    slices.drop_moves_to(2)
    assert slices.moves == {}


def test_shares_of_routers_that_left_are_dropped() -> None:
    slices = Slices()
    slices.assign(servers(3), [1, 2, 3])
    step(
        slices,
        {"i-00": 60 * WORK_UNIT_TOKENS, "i-01": 30 * WORK_UNIT_TOKENS, "i-02": 6 * WORK_UNIT_TOKENS},
        repetitions=5,
    )
    slices.assign(servers(3), [1, 2])
    assert all(pair[1] != 3 for pair in slices.shares)
    assert slices.moves == {}
