"""The schedule of requests."""

from __future__ import annotations

import dataclasses

from firvane.simulation.localfleet.profiles import LONG_PROMPTS, SHORT_PROMPTS
from firvane.simulation.localfleet.prompts import parse_prompt
from firvane.simulation.localfleet.schedule import draw_schedule

KINDS = (LONG_PROMPTS, SHORT_PROMPTS)


def test_a_seed_gives_the_same_schedule() -> None:
    assert draw_schedule(KINDS, 5.0, 10, 3) == draw_schedule(KINDS, 5.0, 10, 3)
    assert draw_schedule(KINDS, 5.0, 10, 3) != draw_schedule(KINDS, 5.0, 10, 4)


def test_times_increase_within_the_run_at_about_the_rate() -> None:
    schedule = draw_schedule(KINDS, 100.0, 10, 1)
    times = [planned.at for planned in schedule]
    assert times == sorted(times) and times[0] >= 0 and times[-1] < 100.0
    for kind in KINDS:
        count = sum(planned.kind is kind for planned in schedule)
        assert 0.8 < count / (100.0 * kind.per_second) < 1.2


def test_requests_share_only_their_first_chunk() -> None:
    schedule = [planned for planned in draw_schedule(KINDS, 100.0, 10, 1) if planned.kind is LONG_PROMPTS]
    shared = {planned.prompt.parts[0] for planned in schedule}
    assert len(shared) <= LONG_PROMPTS.subjects < len(schedule)
    assert len({part.id for part in shared}) == len(shared)
    assert len({planned.prompt.parts[1].id for planned in schedule}) == len(schedule)
    assert len({planned.body() for planned in schedule}) == len(schedule)


def test_prompts_can_be_encoded() -> None:
    for planned in draw_schedule(KINDS, 2.0, 10, 1):
        prompt = planned.prompt
        assert parse_prompt(prompt.token_count_header.encode(), prompt.prefix_header.encode()) == prompt


def test_a_rate_of_zero_sends_nothing() -> None:
    assert draw_schedule([dataclasses.replace(LONG_PROMPTS, per_second=0.0)], 5.0, 10, 1) == []
