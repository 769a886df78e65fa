"""Tests of the links between zones and of delayed service discovery."""

from __future__ import annotations

from math import inf

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.simulation.emulation.network import Links
from firvane.simulation.emulation.registry import Change, Registry
from firvane.simulation.emulation.scenario import Network
from tests.proxy.net.helpers import seeded


def test_delays_are_symmetric_and_cuts_add_up() -> None:
    links = Links(Network(), 1)
    there = links.delay(0.0, "ikeja", "yaba")
    assert there == links.delay(0.0, "yaba", "ikeja") and there is not None and 0.42e-3 <= there <= 0.78e-3
    links.cut(0.0, "yaba")
    links.cut(1.0, "yaba")
    links.heal(2.0, "yaba")
    assert links.delay(2.0, "ikeja", "yaba") is links.datagram(2.0, "yaba", "lekki") is None
    assert links.delay(2.0, "yaba", "yaba") == 0.05e-3 and links.delay(2.0, "ikeja", "lekki") is not None
    links.heal(3.0, "yaba")
    assert links.delay(3.0, "ikeja", "yaba") == there


def test_datagrams_are_late_or_lost_and_a_cut_leaves_later_draws_unchanged() -> None:
    links, cut = Links(Network(), 1), Links(Network(), 1)
    late = [links.datagram(0.0, "ikeja", "yaba") for _ in range(5000)]
    cut.cut(0.0, "ikeja")
    assert [cut.datagram(0.0, "ikeja", "yaba") for _ in range(2500)] == [None] * 2500
    cut.heal(0.0, "ikeja")
    assert [cut.datagram(0.0, "ikeja", "yaba") for _ in range(2500)] == late[2500:]
    assert late.count(None) == pytest.approx(100, abs=40)
    came = [each for each in late if each is not None]
    assert 1.7e-3 <= min(came) < 2e-3 and 38e-3 < max(came) <= 39e-3


BOXES = ("box-1", "box-2", "box-3")
STATES = ("up", "draining", "removed")
changes = st.tuples(st.floats(0.0, 3.0), st.sampled_from(BOXES), st.sampled_from(STATES))


@seeded
@given(st.lists(changes, max_size=25), st.lists(st.floats(0.0, 2.0), max_size=40))
def test_each_proxy_receives_all_changes_in_order_and_delayed(
    script: list[tuple[float, str, str]], looks: list[float]
) -> None:
    one, other = Registry(7, Network()), Registry(7, Network())
    for made in (one, other):
        for box in BOXES:
            made.change(0.0, box, "up", "ikeja", "big-box")
        made.begin()
    told: list[tuple[float, Change]] = []

    def listen(until: float) -> None:
        while (at := one.next_at("proxy-0")) < until:
            told.extend((at, each) for each in one.due("proxy-0", at))

    now, truth = 0.0, []
    for number, (wait, box, state) in enumerate(script):
        truth.append(one.change(now, box, state, start=number))
        other.change(now, box, state, start=number)
        listen(now + wait)
        now += wait
    listen(inf)
    assert [each for _, each in told] == truth and [at for at, _ in told] == sorted(at for at, _ in told)
    assert all(each.at + 1.0 <= at <= each.at + 4.0 for at, each in told)
    # Polling at other times gives the same changes, which `since` and `snapshot` then cover.
    now = 0.0
    for wait in looks:
        now += wait
        other.due("proxy-0", now)
        seen = [each for at, each in told if at <= now]
        states = dict.fromkeys(BOXES, "up") | {each.box: each.state for each in seen}
        version, entries = other.snapshot("proxy-0", now)
        assert version == 3 + len(seen) and other.since("proxy-0", 3) == seen
        here = {box: state for box, state in states.items() if state != "removed"}
        assert {entry.box: entry.state for entry in entries} == here
    assert other.since("proxy-0", 4 + len(truth)) is other.since("proxy-0", 0) is None


def test_an_entry_keeps_its_place_and_its_start() -> None:
    made = Registry(1, Network())
    made.change(0.0, "box-1", "up", "yaba", "small-box")
    made.change(5.0, "box-1", "up", start=1, since=5.0)
    told = made.change(6.0, "box-1", "draining")
    assert told == Change(3, 6.0, "box-1", "yaba", "small-box", "draining", 1, 5.0)
    late = {round(made.next_at(proxy), 6) for proxy in ("proxy-0", "proxy-1")}
    made.begin()
    for change in (made.change(at, "box-1", "up") for at in (100.0, 200.0, 300.0)):
        late.add(round(made.next_at("proxy-2") - change.at, 6))
        made.due("proxy-2", change.at + 9.0)
    assert len(late) == 5  # each draw is its own
