"""Assignment of names to the partitions of the control state."""

from firvane.fleet.partitions import ALL_PARTITIONS, CONFIGURATION_PARTITION, partition_of


def test_a_name_has_the_same_partition_everywhere() -> None:
    assert [partition_of(name) for name in ("heartpen", "instances", "", "\ud800")] == [2, 2, 1, 1]


def test_names_are_spread_over_all_partitions_except_the_configuration() -> None:
    partitions = {partition_of(f"service-{number}") for number in range(50)}
    assert partitions == set(ALL_PARTITIONS) - {CONFIGURATION_PARTITION}
