"""Merging of the answers of several controllers, and formatting of tables."""

from __future__ import annotations

import pytest

from firvane.admin.answers import AnswerError
from firvane.admin.fleet_views import merge_parts, merge_versions, read_members, read_parts
from firvane.admin.tables import cell, format_table, seconds
from firvane.fleet.cluster.reports import MemberReport, MembersResponse, PartReport, PartsResponse
from tests.admin.fake_controller import head, member, part


def members_response(version: int, *members: MemberReport) -> MembersResponse:
    return MembersResponse(**head(version, "10.0.0.1:7300"), members=list(members))


def parts_response(*parts: PartReport) -> PartsResponse:
    return PartsResponse(**head(7, "10.0.0.1:7300"), parts=list(parts))


def test_an_owners_report_wins_over_a_higher_term() -> None:
    owners = part(0, owned=True, owner="10.0.0.1:7300", term=3)
    candidates = part(0, owned=False, owner=None, term=8)
    assert merge_parts([parts_response(candidates), parts_response(owners)]) == [owners]
    assert merge_parts([parts_response(owners), parts_response(candidates)]) == [owners]


def test_of_two_owners_reports_the_higher_term_wins() -> None:
    old = part(0, owned=True, owner="10.0.0.1:7300", term=3)
    new = part(0, owned=True, owner="10.0.0.2:7300", term=4)
    assert merge_parts([parts_response(old), parts_response(new)]) == [new]
    assert merge_parts([parts_response(new), parts_response(old)]) == [new]


def test_a_later_incarnation_wins_over_a_higher_version() -> None:
    before, after = member("10.0.1.1:1", 9, incarnation=1), member("10.0.1.1:1", incarnation=2)
    for answers in (
        [members_response(9, before), members_response(9, after)],
        [members_response(9, after), members_response(9, before)],
    ):
        found = merge_versions(answers)
        assert (found.current, found.unknown) == ([], [after])
        assert not found.is_current


def test_of_one_incarnation_the_highest_and_newest_report_wins() -> None:
    reports = [
        member("10.0.1.1:1", 7, age=0.1),
        member("10.0.1.1:1", 8, age=9.0),
        member("10.0.1.1:1", 8, age=3.0),
        member("10.0.1.1:1"),
    ]
    found = merge_versions([members_response(9, report) for report in reports])
    assert found.behind == [reports[2]]


@pytest.mark.parametrize(("state", "counted"), [("alive", 1), ("suspect", 1), ("dead", 0), ("left", 0)])
def test_only_live_processes_are_counted(state: str, counted: int) -> None:
    found = merge_versions([members_response(9, member("10.0.1.1:1", 8, state=state))])
    assert len(found.behind) == counted
    assert found.is_current == (counted == 0)


@pytest.mark.parametrize("body", [b"", b"[]", b"{}", b'{"code":1003,"config_version":1}', b"[" * 50_000])
def test_an_invalid_body_raises_an_answer_error(body: bytes) -> None:
    for read in (read_members, read_parts):
        with pytest.raises(AnswerError):
            read(body)


def test_columns_are_as_wide_as_their_longest_cell() -> None:
    rows = [["long one", cell(None)], [cell(""), seconds(0.04)]]
    assert format_table(["A", "BB"], rows) == "A         BB\nlong one  -\n-         0.0s"
    assert format_table(["A"], []) == "A"
    assert seconds(None) == "-"
