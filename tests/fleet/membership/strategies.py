"""Hypothesis strategies for members and records."""

from __future__ import annotations

from hypothesis import strategies as st

from firvane.fleet.membership.codec import MAX_COUNTER, MAX_INCARNATION
from firvane.fleet.membership.members import Member, Record, Role, Status

addresses = st.tuples(st.ip_addresses(v=4).map(str), st.integers(1, 65535))
zones = st.text(max_size=15)
members = st.builds(
    Member,
    address=addresses,
    role=st.sampled_from(Role),
    zone=zones,
    control=st.one_of(st.none(), addresses),
    incarnation=st.integers(0, MAX_INCARNATION),
)
records = st.builds(
    Record,
    member=members,
    counter=st.integers(0, MAX_COUNTER),
    status=st.sampled_from(Status),
    age=st.integers(0, 255).map(lambda units: units * 0.01),
)


def make_member(
    number: int, incarnation: int = 1, role: Role = Role.ROUTER, zone: str | None = None
) -> Member:
    """Return a member whose address is derived from `number`."""
    return Member((f"10.0.0.{number}", 7300), role, zone or f"zone-{number % 3}", None, incarnation)
