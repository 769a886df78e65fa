"""Reports of applied versions: codec, incarnations of a member, invalid bytes, and delivery."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firvane.fleet.cluster.applied import REPORT_BYTES, AppliedReport, AppliedVersions
from firvane.fleet.cluster.core import KnownMember
from firvane.fleet.cluster.envelope import EnvelopeError, Plane, Section, encode_envelope
from firvane.fleet.membership.members import Role, Status
from tests.fleet.cluster.simulated_cluster import Process, SimulatedCluster
from tests.fleet.membership.strategies import make_member

ONE = make_member(1, incarnation=10)


def section_of(version: int) -> bytes:
    sender = AppliedVersions()
    sender.own = version
    section = sender.section()
    assert section is not None
    return section


@given(st.integers(0, 2**64 - 1))
def test_a_report_is_decoded_as_it_was_encoded(version: int) -> None:
    versions = AppliedVersions()
    section = section_of(version)
    assert len(section) == REPORT_BYTES == 9
    versions.receive(ONE, section, 3.0)
    assert versions.report_of(ONE) == AppliedReport(10, version, 3.0)


@given(st.binary(max_size=20))
def test_invalid_bytes_raise_only_envelope_errors(data: bytes) -> None:
    with contextlib.suppress(EnvelopeError):
        AppliedVersions().receive(ONE, data, 1.0)


def test_other_lengths_and_formats_are_rejected() -> None:
    section = section_of(7)
    for wrong in (b"", section[:-1], section + b"x", b"\x02" + section[1:]):
        versions = AppliedVersions()
        with pytest.raises(EnvelopeError):
            versions.receive(ONE, wrong, 1.0)
        assert versions.report_of(ONE) is None


def test_nothing_is_reported_before_a_version_is_applied() -> None:
    assert AppliedVersions().section() is None


def test_a_report_of_an_earlier_incarnation_is_ignored() -> None:
    versions = AppliedVersions()
    versions.receive(ONE, section_of(7), 1.0)
    assert versions.report_of(make_member(1, incarnation=11)) is None


def test_only_reports_of_live_members_are_retained() -> None:
    versions = AppliedVersions()
    two = make_member(2)
    versions.receive(ONE, section_of(7), 1.0)
    versions.receive(two, section_of(8), 1.0)
    versions.retain([two.address])
    assert versions.report_of(ONE) is None
    assert versions.report_of(two) is not None


def known_at(cluster: SimulatedCluster, process: Process) -> dict[str, KnownMember]:
    assert process.core is not None
    return {each.state.member.address[0]: each for each in process.core.known_members(cluster.now)}


def test_every_controller_receives_the_version_of_every_member() -> None:
    cluster = SimulatedCluster(7, 3, loss=0.03)
    cluster.start_all()
    cluster.run_until(lambda: cluster.all_running() and not cluster.unconverged(), 10.0)
    for number, process in enumerate(cluster.running()):
        assert process.core is not None
        process.core.set_applied_version(100 + number)
    cluster.run(30.0)
    for process in cluster.running():
        if process.member.role is not Role.CONTROLLER:
            continue
        known = known_at(cluster, process)
        versions = [known[each.address[0]].applied_version for each in cluster.running()]
        assert versions == list(range(100, 110))
        assert all(each.report_age is not None and each.report_age < 30.0 for each in known.values())
    router = cluster.running()[-1]
    others = [each for host, each in known_at(cluster, router).items() if host != router.address[0]]
    assert {each.applied_version for each in others} == {None}


def test_reports_add_a_few_bytes_per_second() -> None:
    def idle_bytes_per_second(reports: bool) -> float:
        cluster = SimulatedCluster(37, 3, loss=0.03)
        cluster.start_joined()
        for process in cluster.running() if reports else ():
            assert process.core is not None
            process.core.set_applied_version(7)
        cluster.run(6.0)
        cluster.clear_traffic()
        cluster.run(20.0)
        return sum(process.traffic.sent_bytes for process in cluster.running()) / 40 / 20.0

    added = idle_bytes_per_second(True) - idle_bytes_per_second(False)
    assert 1.0 < added < 12.0


def test_the_report_of_a_member_that_died_is_removed() -> None:
    cluster = SimulatedCluster(4, 3)
    cluster.start_all()
    cluster.run_until(lambda: cluster.all_running() and not cluster.unconverged(), 10.0)
    observer, victim = cluster.process_at(0), cluster.process_at(5)
    assert victim.core is not None
    victim.core.set_applied_version(7)
    host = victim.address[0]
    cluster.run_until(lambda: known_at(cluster, observer)[host].applied_version == 7, 30.0)
    assert known_at(cluster, observer)[host].applied_version == 7
    cluster.kill(victim)
    cluster.run(5.0)
    known = known_at(cluster, observer)[host]
    assert (known.state.status, known.applied_version, known.report_age) == (Status.DEAD, None, None)


def test_reports_of_non_members_are_ignored() -> None:
    cluster = SimulatedCluster(1, 3)
    cluster.start_all()
    cluster.run_until(lambda: cluster.all_running() and not cluster.unconverged(), 10.0)
    core = cluster.process_at(0).core
    assert core is not None
    payload = encode_envelope([Section(Plane.APPLIED, section_of(7))])
    assert core.receive(("10.9.9.9", 7300), payload, cluster.now).learned == []
    assert "10.9.9.9" not in known_at(cluster, cluster.process_at(0))


def test_states_of_members_and_their_ages_are_known() -> None:
    cluster = SimulatedCluster(4, 3)
    cluster.start_all()
    cluster.run_until(lambda: cluster.all_running() and not cluster.unconverged(), 10.0)
    cluster.run(5.0)
    observer, leaver, victim = cluster.process_at(0), cluster.process_at(4), cluster.process_at(5)
    cluster.leave(leaver)
    cluster.kill(victim)
    cluster.run(2.0)
    known = known_at(cluster, observer)
    assert known[leaver.address[0]].state.status is Status.LEFT
    assert 1.5 < known[leaver.address[0]].state.age < 2.1
    assert known[victim.address[0]].state.status in (Status.SUSPECT, Status.DEAD)
    assert known[cluster.process_at(6).address[0]].state.status is Status.ALIVE
    assert known[cluster.process_at(6).address[0]].state.age > 5.0
    assert next(iter(known)) == observer.address[0]
