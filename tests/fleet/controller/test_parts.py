"""The parts of the control state."""

from firvane.fleet.partitions import ALL_PARTS, CONFIGURATION_PART, part_of


def test_a_name_has_the_same_part_everywhere() -> None:
    assert [part_of(name) for name in ("heartpen", "instances", "", "\ud800")] == [2, 2, 1, 1]


def test_names_are_spread_over_all_parts_but_that_of_the_configuration() -> None:
    parts = {part_of(f"service-{number}") for number in range(50)}
    assert parts == set(ALL_PARTS) - {CONFIGURATION_PART}
