"""Records written by hand, for the tests of what reads them."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from firvane.simulation.emulation import records as r
from firvane.simulation.emulation.judge import Judge
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.emulation.verdict import Breach, Grade, Rule

REPLAY = "firvane rehearse some --virtual --seed 7"
SOME = Scenario(name="some", seconds=30.0, warm_up_s=0.0)


def asked(at: float = 1.0, call: str = "c", **more: Any) -> r.Asked:
    """A try of 1 s at proxy p in zone z, its own first unless that is said."""
    base: dict[str, Any] = {"call": call, "first": call, "meant": at, "proxy": "p", "zone": "z"}
    base |= {"community": "lagos", "key": "k", "work": 0.04, "worth": 1.0, "aim": 0.5}
    base |= {"deadline": at + 1.0, "is_retry": more.get("first", call) != call}
    return r.Asked(at=at, **{**base, **more})


def answered(at: float, call: str = "c", status: int = 200, body_of: str | None = None) -> r.Answered:
    made_for = call if status == 200 and body_of is None else body_of or ""
    return r.Answered(at, call, "p", status, 0.0, made_for)


def arrived(at: float, call: str = "c", box: str = "b", **more: Any) -> r.Arrived:
    base = {"proxy": "p", "start": 0, "began": at, "work": 0.04, "verdict": "taken"}
    return r.Arrived(at=at, call=call, box=box, **{**base, **more})


def finished(
    at: float, call: str = "c", box: str = "b", work: float = 0.04, wanted: bool = True
) -> r.Finished:
    return r.Finished(at, call, box, 0, work, wanted)


def box(at: float, state: str, name: str = "b", start: int = 0, capacity: float = 4.0) -> r.BoxState:
    return r.BoxState(at, name, start, state, "big-box", "z", capacity)


def proxy(at: float, state: str, name: str = "p", code: int = 0) -> r.ProxyState:
    return r.ProxyState(at, name, state, code)


def told(at: float, state: str, name: str = "b", start: int = 0, to: str = "p") -> r.Told:
    return r.Told(at, to, name, start, state)


def in_order(history: Iterable[r.Record]) -> list[r.Record]:
    return sorted(history, key=lambda record: record.at)


def judged(
    history: Iterable[r.Record],
    grade: Grade = Grade.BROKEN,
    scenario: Scenario = SOME,
    strict: bool = True,
    end: float = 100.0,
) -> list[Breach]:
    judge = Judge(scenario, strict=strict, replay=REPLAY)
    for record in in_order(history):
        judge.see(record)
    judge.end(end)
    return judge.breaches(grade)


def rules(history: Iterable[r.Record], grade: Grade = Grade.BROKEN, **how: Any) -> list[Rule]:
    """The rules of what is found, in the order of its times."""
    return [one.rule for one in judged(history, grade, **how)]
