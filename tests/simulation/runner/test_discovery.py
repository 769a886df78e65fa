"""Discovery's agent: what it tells, when, to whom, and what counts as told."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from firvane.simulation.emulation.records import Told
from firvane.simulation.emulation.registry import Registry
from firvane.simulation.emulation.scenario import Network
from firvane.simulation.runner.discovery import BEAT_S, COUNTS_S, Agent
from firvane.simulation.runner.virtual import VirtualLoop
from tests.simulation.runner.standin_helpers import Bench, benched
from tests.simulation.runner.virtual_helpers import Noted

ADDRESS = ("10.0.0.9", 8500)
LATE = 2.0


def lists(watch: Noted) -> list[Any]:
    """The lists that have come so far, one to a chunk; empty lines are None."""
    chunks = watch.data.partition(b"\r\n\r\n")[2].split(b"\r\n")
    return [json.loads(line) if line.strip() else None for line in chunks[1::2]]


class Discovery:
    """A registry of one box, told of 2 s late, and its agent for one proxy."""

    def __init__(self, b: Bench) -> None:
        self.b = b
        self.registry = Registry(1, Network(discovery_late_s=(LATE, LATE)))
        self.registry.change(0.0, "b1", "up", "a", "plain")
        self.registry.begin()
        where = {"b1": ("10.0.0.1", 80), "b2": ("10.0.0.2", 80)}
        self.agent = Agent(
            b.clock, b.loop.memory.door, ADDRESS, "n0", self.registry, where.__getitem__, b.records.append
        )
        self.agent.open()

    def change(self, box: str, state: str, **more: Any) -> None:
        self.registry.change(self.b.clock.now(), box, state, "a", "plain", **more)
        self.agent.changed()

    async def ask(self, what: str) -> Noted:
        loop: VirtualLoop = self.b.loop
        _, made = await loop.create_connection(Noted, *ADDRESS)
        made.transport.write(f"GET {what} HTTP/1.1\r\nHost: d\r\n\r\n".encode())
        await asyncio.sleep(0.1)
        return made

    async def watch(self, since: int = 0) -> Noted:
        return await self.ask(f"/discovery/hosts?watch=1&from={since}")


def told(b: Bench) -> list[tuple[float, str, str]]:
    return [(round(record.at, 1), record.box, record.state) for record in b.of(Told)]


@benched(0.0)
async def test_a_watch_tells_the_whole_list_then_changes_late_and_beats_meanwhile(b: Bench) -> None:
    d = Discovery(b)
    watch = await d.watch()
    entry = {"name": "b1", "address": "10.0.0.1:80", "zone": "a", "type": "plain", "group": 0}
    entry |= {"status": "up", "weight": 1.0, "since_ms": 0}
    assert lists(watch) == [{"index": 1, "snapshot": True, "endpoints": [entry]}]
    d.change("b1", "draining")
    d.change("b2", "up", start=1, since=b.clock.now())
    await asyncio.sleep(LATE - 0.2)
    assert told(b) == [(0.0, "b1", "up")]
    await asyncio.sleep(2 * BEAT_S)
    changed = [line for line in lists(watch)[1:] if line]
    states = [(e["name"], e["status"], e["since_ms"]) for line in changed for e in line["endpoints"]]
    assert states == [("b1", "draining", 0), ("b2", "up", 100)]
    assert changed[-1]["index"] == 3 and None in lists(watch)
    assert told(b)[1:] == [(2.1, "b1", "draining"), (2.1, "b2", "up")]
    # Taken up again where it ended, or anew where that version never was.
    assert [len(lists(await d.watch(n))[0]["endpoints"]) for n in (3, 2, 99)] == [0, 1, 2]
    whole = (await d.ask("/discovery/hosts")).data
    assert b" 200 " in whole and json.loads(whole.partition(b"\r\n\r\n")[2])["snapshot"]
    assert b" 404 " in (await d.ask("/other")).data
    assert len(told(b)) == 3


@benched(0.0)
async def test_an_agent_that_is_cut_off_is_silent_and_tells_all_of_it_later(b: Bench) -> None:
    d = Discovery(b)
    watch = await d.watch()
    d.change("b2", "up")
    d.agent.silence()
    d.change("b1", "removed")
    late = await d.watch()
    await asyncio.sleep(10.0)
    assert len(lists(watch)) == 1 and late.data == b"" and len(told(b)) == 1
    d.agent.speak()
    await asyncio.sleep(0.1)
    assert [entry["status"] for entry in lists(watch)[-1]["endpoints"]] == ["up", "removed"]
    assert lists(late)[0]["endpoints"] and told(b)[-1][1:] == ("b1", "removed")


@pytest.mark.parametrize("watches", [False, True])
@benched(0.0)
async def test_what_nobody_watched_for_counts_as_told_and_a_new_life_has_been_told_nothing(
    b: Bench, watches: bool
) -> None:
    d = Discovery(b)
    d.change("b1", "draining")
    await asyncio.sleep(LATE + 0.1)
    if watches:  # in time: nothing else counts later
        await d.watch()
    await asyncio.sleep(COUNTS_S + 0.1)
    assert told(b) == [(2.1 if watches else 8.0, "b1", "draining")]
    known = d.agent.restarted()
    assert known["snapshot"] and known["endpoints"][0]["status"] == "draining"
    await d.watch(known["index"])
    assert len(told(b)) == 2
