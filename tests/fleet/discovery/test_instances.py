"""The instance table, whose states only increase."""

from __future__ import annotations

from msgspec.structs import replace

from firvane.fleet.discovery.instances import GONE_RETENTION_S, Instance, InstanceState, InstanceTable

READY, DRAINING, GONE = InstanceState.READY, InstanceState.DRAINING, InstanceState.GONE


def instance(name: str, service: str = "writer", port: int = 0, state: InstanceState = READY) -> Instance:
    return Instance(name, service, ("10.0.0.1", port or 1000 + ord(name[-1])), "a", 64, state)


def table(*instances: Instance) -> InstanceTable:
    instance_table = InstanceTable()
    instance_table.observe(instances, 0.0)
    return instance_table


def test_a_list_sets_the_instances_of_each_service() -> None:
    known = InstanceTable()
    listed = [instance("b"), instance("a"), instance("c", "reader")]
    assert known.observe(listed, 0.0) == {"writer", "reader"}
    assert known.live_instances_of("writer") == (listed[1], listed[0])
    assert known.services() == {"writer", "reader"}
    assert known.observe(listed, 1.0) == frozenset()


def test_a_decreasing_warm_up_time_is_not_a_change() -> None:
    known = table(replace(instance("a"), cold_remaining_ms=900))
    assert known.observe([instance("a")], 1.0) == frozenset()
    assert known.live_instances_of("writer")[0].cold_remaining_ms == 0


def test_a_draining_instance_never_becomes_ready_again() -> None:
    known = table(instance("a", state=DRAINING))
    assert known.observe([instance("a")], 1.0) == frozenset()
    assert known.state_of("a") is DRAINING


def test_a_draining_instance_is_updated_and_a_gone_one_is_not() -> None:
    known = table(instance("a", state=DRAINING), instance("b", state=GONE))
    assert known.merge("writer", [replace(instance("a"), slots=1)])
    assert not known.merge("writer", [replace(instance("b"), slots=1)])
    assert [(each.slots, each.state) for each in known.instances_of("writer")] == [(1, DRAINING), (64, GONE)]


def test_an_absent_id_is_gone_and_never_returns() -> None:
    known = table(instance("a"), instance("b"))
    assert known.observe([instance("b")], 1.0) == {"writer"}
    assert known.observe([instance("a"), instance("b")], 2.0) == frozenset()
    assert [each.id for each in known.live_instances_of("writer")] == ["b"]
    assert known.state_of("a") is GONE


def test_a_ready_id_missing_from_an_inconsistent_list_is_gone_the_second_time() -> None:
    known = table(instance("a"), instance("b"), instance("c", state=DRAINING))
    assert known.observe([instance("b")], 1.0, is_consistent=False) == {"writer"}
    assert (known.state_of("a"), known.state_of("c")) == (READY, GONE)
    assert known.observe([instance("a"), instance("b")], 2.0, is_consistent=False) == frozenset()
    known.observe([instance("b")], 3.0, is_consistent=False)
    assert known.observe([instance("b")], 4.0, is_consistent=False) == {"writer"}
    assert known.state_of("a") is GONE


def test_a_new_id_at_an_address_replaces_the_previous_one_even_if_listed() -> None:
    old, new = instance("a", port=1), instance("b", "reader", port=1)
    known = table(old)
    assert known.observe([old, new], 1.0) == {"writer", "reader"}
    assert (known.live_instances_of("writer"), known.live_instances_of("reader")) == ((), (new,))
    assert known.observe([old, new], 2.0) == frozenset()
    assert known.live_instances_of("writer") == ()


def test_gone_ids_are_evicted_ten_minutes_after_they_were_last_listed() -> None:
    known = table(instance("a"), instance("b"))
    known.observe([instance("b")], 1.0)
    known.observe([instance("a"), instance("b")], 100.0)
    known.observe([instance("b")], 100.0 + GONE_RETENTION_S)
    assert known.state_of("a") is GONE
    known.observe([instance("b")], 101.0 + GONE_RETENTION_S)
    assert known.state_of("a") is None


def test_merging_keeps_the_higher_state_and_absent_ids() -> None:
    known = table(instance("a"), instance("b", state=DRAINING), instance("c"))
    other = [instance("a", state=DRAINING), instance("b"), instance("d", state=GONE), instance("e")]
    assert known.merge("writer", other)
    assert not known.merge("writer", other)
    states = {each.id: each.state for each in known.instances_of("writer")}
    assert states == {"a": DRAINING, "b": DRAINING, "c": READY, "d": GONE, "e": READY}


def test_a_merged_id_may_be_newer_than_a_list_without_it() -> None:
    known = table(instance("a"))
    known.merge("writer", [instance("a"), instance("b")])
    assert known.observe([instance("a")], 1.0) == frozenset()
    assert known.observe([instance("a"), instance("b")], 2.0) == frozenset()
    assert known.state_of("b") is READY
    known.merge("writer", [instance("c")])
    known.observe([instance("a")], 3.0)
    assert (known.state_of("b"), known.state_of("c")) == (GONE, READY)
    assert known.observe([instance("a")], 4.0) == {"writer"}
    assert known.state_of("c") is GONE


def test_merging_ignores_other_services() -> None:
    known = table(instance("a"))
    assert not known.merge("reader", [instance("b")])
    assert known.live_instances_of("writer") == (instance("a"),)


def test_a_merged_gone_id_is_retained_as_long_as_others() -> None:
    known = InstanceTable()
    known.merge("writer", [instance("a", state=GONE)])
    known.observe([], 5000.0)
    known.observe([], 5000.0 + GONE_RETENTION_S)
    assert known.state_of("a") is GONE
    known.observe([], 5001.0 + GONE_RETENTION_S)
    assert known.state_of("a") is None


def test_a_newer_record_replaces_an_older_one_without_lowering_states() -> None:
    known = InstanceTable()
    assert known.replace("writer", [instance("a"), instance("b", state=DRAINING), instance("c")], 0.0)
    assert known.replace("writer", [instance("b"), instance("c", state=GONE)], 1.0)
    assert [(each.id, each.state) for each in known.live_instances_of("writer")] == [("b", DRAINING)]
    assert known.replace("writer", [instance("a"), instance("c")], 2.0)
    assert [(each.id, each.state) for each in known.live_instances_of("writer")] == [("a", READY)]
    assert known.state_of("b") is GONE
    assert not known.replace("writer", [instance("a"), instance("b")], 3.0)
