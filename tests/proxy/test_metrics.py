"""What `measures` tell is what clients saw, and nothing of a run changes by them."""

from __future__ import annotations

import json
from collections import Counter
from typing import Any

import pytest
from msgspec import structs

from firvane.core import logs
from firvane.proxy import metrics
from firvane.proxy.admin_api.calls import AdminCall, Call
from firvane.proxy.net.resource_monitor import Usage
from firvane.proxy.proxy import Proxy
from firvane.simulation.emulation.records import Answered, Record
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.simulation.runner import run, tier, virtual_proxy

# For a while more than the boxes can do, and connections that break: answers of all kinds.
DAY = Scenario(
    name="measured",
    seconds=8.0,
    boxes=Boxes(count=4),
    load=Load(rate=200.0, vanishing=0.01),
    proxies=Proxies(count=1),
    troubles=(
        Trouble(kind="reset", at_s=4.0, part=1.0),
        Trouble(kind="burst", at_s=5.0, for_s=2.0, community="lagos", times=8.0),
        Trouble(kind="crash", at_s=6.0, for_s=2.0),
    ),
)
NAMES = ("taken", "in_time", "late", "refused", "failed", "attempts")


def shut(proxy: Proxy) -> None:
    """Part of what comes is turned away unseen from now on: virtual time itself is never short of turns."""
    proxy.limiter.shed([0.2] * 9, 0.1)
    proxy.engine.load_shedder = None  # the decisions, which see no need for it, say nothing else


def played(patch: pytest.MonkeyPatch, on: bool = True, get: bool = True) -> tuple[bytes, list[Record]]:
    """What the door says at the end, and all that was seen from outside."""
    proxies, records, told = list[Proxy](), list[Record](), tier.configuration

    def make(*args: Any, **more: Any) -> Proxy:
        usage = lambda: Usage(0.1 * args[0].time(), 3 << 20)  # noqa: E731
        proxies.append(Proxy(*args, **{**more, "usage": usage}))
        args[0].call_at(5.0, shut, proxies[-1])
        return proxies[-1]

    with patch.context() as patched:
        patched.setattr(tier, "configuration", lambda *args: {**told(*args), "measures": on})
        patched.setattr(virtual_proxy, "Proxy", make)
        day = structs.replace(DAY, load=structs.replace(DAY.load, may_repeat=get))
        run.play_virtual(day, 3, records.append)
    return proxies[0]._answer(AdminCall(Call.MEASURES)), records


def agrees(answer: bytes, records: list[Record]) -> bool:
    """Whether the counts are those of the answers that clients had."""
    said = json.loads(answer.split(b"\n")[0])
    seen = Counter(record.status for record in records if isinstance(record, Answered))
    (counts,) = said["classes"].values()
    assert seen[200] and seen[503] and counts["in_time"], seen
    served = sum(counts["latency"].values())
    return (
        (served, counts["refused"], counts["failed"]) == (seen[200], seen[503], seen[502])
        and counts["late"] == counts["taken"] - counts["in_time"] - seen[503] - seen[502]
        and counts["attempts"] >= served >= counts["in_time"]
        and said["rss_mb"] == 3.0
        and said["cpu_s"] >= 0.09 * said["uptime_s"]
        and all(sum(one[name] for one in said["tenants"].values()) == counts[name] for name in NAMES)
    )


@pytest.mark.parametrize("get", [True, False])
def test_counts_are_what_clients_saw_and_change_nothing(monkeypatch: pytest.MonkeyPatch, get: bool) -> None:
    answer, records = played(monkeypatch, get=get)
    assert agrees(answer, records)
    said, without = played(monkeypatch, False, get)
    assert without == records
    assert said == b"-ERR nothing is measured here: measures is not set\n"


@pytest.mark.parametrize(("part", "get"), [("unseen", True), ("on_failed", False)])
def test_a_count_that_is_left_out_is_found(monkeypatch: pytest.MonkeyPatch, part: str, get: bool) -> None:
    where: Any = metrics.Measures if part == "unseen" else metrics.Counted
    passed_on = (lambda *args: None) if part == "unseen" else (lambda counted: counted.client.on_failed())
    monkeypatch.setattr(where, part, passed_on)
    assert not agrees(*played(monkeypatch, get=get))


@pytest.mark.parametrize(
    ("latency", "number"), [(0.0, 0), (1e-6, 0), (2e-6, 8), (0.0010239999, 79), (0.001024, 80), (2.5, 170)]
)
def test_buckets_are_eight_to_a_doubling(latency: float, number: int) -> None:
    assert metrics.bucket(latency) == number


def test_errors_are_counted_whoever_the_log_is_bound_to() -> None:
    lines: list[str] = []
    log = metrics.Errors(logs.make("error", write=lines.append, wall=lambda: 0.0))
    bound = log.bind(proxy="p").bind(flow=1)
    bound.warning("odd")
    bound.error("bad")
    log.exception("worse")
    assert log.count == bound.count == [len(lines)] == [2]
