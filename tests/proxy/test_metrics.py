"""The counts that `measures` returns equal what clients received, and counting changes nothing in a run."""

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

# An overload of the backends for a while, and broken connections, so that there are answers of all kinds.
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


def shed_part(proxy: Proxy) -> None:
    """Reject part of the requests unparsed from now on; virtual time never overloads the event loop."""
    proxy.limiter.shed([0.2] * 9, 0.1)
    proxy.engine.load_shedder = None  # the decisions see no overload, and must not undo it


def run_day(patch: pytest.MonkeyPatch, on: bool = True, get: bool = True) -> tuple[bytes, list[Record]]:
    """Return the answer to `measures` at the end of a run, and the records of the clients and backends."""
    proxies, records, configuration = list[Proxy](), list[Record](), tier.configuration

    def make(*args: Any, **more: Any) -> Proxy:
        usage = lambda: Usage(0.1 * args[0].time(), 3 << 20)  # noqa: E731
        proxies.append(Proxy(*args, **{**more, "usage": usage}))
        args[0].call_at(5.0, shed_part, proxies[-1])
        return proxies[-1]

    with patch.context() as patched:
        patched.setattr(tier, "configuration", lambda *args: {**configuration(*args), "measures": on})
        patched.setattr(virtual_proxy, "Proxy", make)
        day = structs.replace(DAY, load=structs.replace(DAY.load, may_repeat=get))
        run.play_virtual(day, 3, records.append)
    return proxies[0]._handle_call(AdminCall(Call.MEASURES)), records


def counts_match(answer: bytes, records: list[Record]) -> bool:
    """Whether the counts equal the answers that clients received."""
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
def test_counts_equal_what_clients_received_and_change_nothing(
    monkeypatch: pytest.MonkeyPatch, get: bool
) -> None:
    answer, records = run_day(monkeypatch, get=get)
    assert counts_match(answer, records)
    refusal, records_without = run_day(monkeypatch, False, get)
    assert records_without == records
    assert refusal == b"-ERR nothing is measured here: measures is not set\n"


@pytest.mark.parametrize(("method", "get"), [("on_unparsed_rejection", True), ("on_failed", False)])
def test_a_missing_count_is_detected(monkeypatch: pytest.MonkeyPatch, method: str, get: bool) -> None:
    where: Any = metrics.ProxyMeasurements if method == "on_unparsed_rejection" else metrics.CountingClient
    passed_on = (
        (lambda *args: None)
        if method == "on_unparsed_rejection"
        else (lambda counted: counted.client.on_failed())
    )
    monkeypatch.setattr(where, method, passed_on)
    assert not counts_match(*run_day(monkeypatch, get=get))


@pytest.mark.parametrize(
    ("latency", "number"), [(0.0, 0), (1e-6, 0), (2e-6, 8), (0.0010239999, 79), (0.001024, 80), (2.5, 170)]
)
def test_a_doubling_of_the_latency_has_eight_buckets(latency: float, number: int) -> None:
    assert metrics.bucket(latency) == number


def test_errors_of_bound_logs_are_counted() -> None:
    lines: list[str] = []
    log = metrics.ErrorCountingLog(logs.make("error", write=lines.append, wall=lambda: 0.0))
    bound = log.bind(proxy="p").bind(flow=1)
    bound.warning("odd")
    bound.error("bad")
    log.exception("worse")
    assert log.count == bound.count == [len(lines)] == [2]
