"""The platform's list: lag, pages, rate."""

from __future__ import annotations

import json

from firvane.fleet.discovery.pages import CompleteList, Fetch, InstanceListReader
from firvane.simulation.localfleet.instance_list import InstanceList, ListedInstance, ListedState

LAG = 0.8


def instance(number: int, zone: str = "zone-a") -> ListedInstance:
    return ListedInstance(f"i-{number:02}", "writer", (f"127.0.1.{number}", 8080), zone, 64)


def ask(instances: InstanceList, now: float, zone: str | None = None) -> dict[str, str]:
    """Ids and states on the first page."""
    answer = instances.answer(zone, None, now)
    assert answer.status == 200
    return {each["id"]: each["state"] for each in json.loads(answer.body)["instances"]}


def test_the_list_lags() -> None:
    instances = InstanceList(LAG, 50, 40)
    instances.put(instance(1), 10.0, at_once=True)
    assert ask(instances, 10.0) == {"i-01": "ready"}
    instances.put(instance(2), 11.0)
    instances.drain("i-01", 12.0)
    instances.remove("i-01", 13.0)
    assert ask(instances, 11.7) == {"i-01": "ready"}
    assert ask(instances, 11.9) == {"i-01": "ready", "i-02": "ready"}
    assert ask(instances, 12.9) == {"i-01": "draining", "i-02": "ready"}
    assert ask(instances, 13.9) == {"i-02": "ready"}


def test_pages_contain_all_instances_and_filter_by_zone() -> None:
    instances = InstanceList(0.0, 2, 40)
    for number in range(5):
        instances.put(instance(number, "zone-b" if number == 3 else "zone-a"), 0.0)
    walk = InstanceListReader()  # pages as the real poller does
    step = walk.begin()
    pages = 0
    while isinstance(step, Fetch):
        token = step.path.partition("page_token=")[2] or None
        answer = instances.answer(None, token, 1.0)
        following = walk.on_reply(answer.status, answer.body, 1.0)
        assert isinstance(following, Fetch | CompleteList)
        pages += 1
        if isinstance(following, CompleteList):
            break
        step = following
    assert pages == 3
    assert [each.id for each in following.instances] == [f"i-{number:02}" for number in range(5)]
    assert list(ask(instances, 1.0, "zone-b")) == ["i-03"]
    assert instances.answer(None, "nonsense", 1.0).status == 400


def test_calls_over_the_rate_get_429() -> None:
    instances = InstanceList(0.0, 50, 4)
    statuses = [instances.answer(None, None, 10.0).status for _ in range(6)]
    assert statuses == [200] * 4 + [429] * 2
    assert instances.answer(None, None, 10.3).status == 200
    assert (instances.calls, instances.refused) == (7, 2)


def test_an_entry_has_the_fields_of_the_protocol() -> None:
    fields = set(instance(1).document())
    assert fields == {
        "service",
        "address",
        "zone",
        "config_version",
        "slots",
        "state",
        "cold_remaining_ms",
        "stage",
        "models",
        "id",
    }
    assert ListedState("draining") is ListedState.DRAINING
