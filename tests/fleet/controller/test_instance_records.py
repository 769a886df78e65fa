"""Which instance records are published, by which controller, and under which versions."""

from __future__ import annotations

import pytest

from firvane.core.logs import QUIET
from firvane.fleet.cluster.agent import Item
from firvane.fleet.controller.instance_records import SEQUENCE_BITS, InstanceRecords, item_key, service_of
from firvane.fleet.discovery.codec import decode_instances
from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.discovery.pages import CompleteList


def instance(number: int, service: str = "a", state: InstanceState = InstanceState.READY) -> Instance:
    return Instance(f"i-{number}", service, ("10.0.0.1", 8000 + number), "east", 64, state)


def listed(*instances: Instance) -> CompleteList:
    return CompleteList(instances, is_consistent=True)


def states(item: Item) -> dict[str, InstanceState]:
    return {each.id: each.state for each in decode_instances(item.payload)}


def owner(term: int = 3) -> InstanceRecords:
    records = InstanceRecords(QUIET)
    records.acquire(term)
    return records


def test_keys_and_services() -> None:
    assert service_of(item_key("déjà")) == "déjà"
    assert service_of(b"configuration") is None
    assert service_of(b"instances/\xff") is None


def test_changes_are_published_with_increasing_versions() -> None:
    records = owner(term=3)
    (first,) = records.observe(listed(instance(1)), 0.0)
    assert records.observe(listed(instance(1)), 1.0) == []
    (second,) = records.observe(listed(instance(1, state=InstanceState.DRAINING)), 2.0)
    assert first.version >> SEQUENCE_BITS == 3
    assert second.version > first.version
    assert states(second) == {"i-1": InstanceState.DRAINING}


def test_a_service_without_instances_left_is_published() -> None:
    records = owner()
    records.observe(listed(instance(1), instance(2, "b")), 0.0)
    (item,) = records.observe(listed(instance(2, "b")), 1.0)
    assert item.key == b"instances/a"
    assert states(item) == {"i-1": InstanceState.GONE}


def test_a_controller_without_the_poll_role_publishes_nothing() -> None:
    records = InstanceRecords(QUIET)
    assert records.observe(listed(instance(1)), 0.0) == []
    records.acquire(1)
    records.release()
    assert records.observe(listed(instance(1), instance(2)), 1.0) == []


def test_a_new_owner_publishes_every_service_with_the_merged_state() -> None:
    last = owner(term=1)
    last.observe(listed(instance(1), instance(2, "b")), 0.0)
    drained = last.observe(listed(instance(1, state=InstanceState.DRAINING), instance(2, "b")), 1.0)
    other = last.observe(listed(instance(1, state=InstanceState.DRAINING)), 2.0)
    successor = InstanceRecords(QUIET)
    for item in [*drained, *other]:
        assert successor.merge_published(item) == []
    successor.acquire(2)
    # The successor reads an older list: draining and gone instances do not become ready again.
    first, second = successor.observe(listed(instance(1), instance(2, "b")), 3.0)
    assert states(first) == {"i-1": InstanceState.DRAINING}
    assert states(second) == {"i-2": InstanceState.GONE}
    assert min(first.version, second.version) > max(drained[0].version, other[0].version)


def test_an_owner_that_merges_another_record_publishes_the_result() -> None:
    mine, other = owner(term=2), owner(term=1)
    mine.observe(listed(instance(1)), 0.0)
    (theirs,) = other.observe(listed(instance(1, state=InstanceState.DRAINING)), 0.0)
    (merged,) = mine.merge_published(theirs)
    assert states(merged) == {"i-1": InstanceState.DRAINING}
    assert merged.version > theirs.version
    assert mine.merge_published(theirs) == []


def test_the_sequence_continues_within_a_term() -> None:
    records = owner(term=4)
    (first,) = records.observe(listed(instance(1)), 0.0)
    records.release()
    records.acquire(4)
    (second,) = records.observe(listed(instance(1)), 1.0)
    assert second.version > first.version


@pytest.mark.parametrize("payload", [b"", b"\x01", b"\xff" * 20])
def test_malformed_records_are_ignored(payload: bytes) -> None:
    records = owner()
    assert records.merge_published(Item(b"instances/a", 1, payload)) == []
    assert records.merge_published(Item(b"configuration", 1, payload)) == []
