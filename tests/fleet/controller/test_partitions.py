"""The parts of the control state."""

from firvane.fleet.partitions import ALL_PARTITIONS, CONFIGURATION_PARTITION, partition_of


def test_a_name_has_the_same_part_everywhere() -> None:
    assert [partition_of(name) for name in ("heartpen", "instances", "", "\ud800")] == [2, 2, 1, 1]


def test_names_are_spread_over_all_parts_but_that_of_the_configuration() -> None:
    partitions = {partition_of(f"service-{number}") for number in range(50)}
    assert partitions == set(ALL_PARTITIONS) - {CONFIGURATION_PARTITION}
