"""The commands for the fleet, against fake controllers on loopback."""

from __future__ import annotations

import contextlib
import json
import socket
from collections.abc import Iterator

import pytest

from firvane import admin
from firvane.admin import client
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Problem
from firvane.fleet.controller.configuration_service import Outcome
from firvane.fleet.controller.operator_api import encode_outcome
from tests.admin.fake_controller import FakeController, FixedAnswer, head, member, part, running

HAND_OVER = "/v1/fleet/hand-over"


@pytest.fixture
def one() -> Iterator[FakeController]:
    with running() as controller:
        yield controller


@pytest.fixture
def two() -> Iterator[FakeController]:
    with running() as controller:
        yield controller


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client.time, "sleep", lambda seconds: None)


def run(*arguments: str) -> int:
    with pytest.raises(SystemExit) as ended:
        admin.run(arguments)
    return int(ended.value.code or 0)


def unused_address() -> str:
    """Return an address without a listening socket."""
    with contextlib.closing(socket.socket()) as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def refusal(code: ResultCode, detail: str = "because") -> FixedAnswer:
    return FixedAnswer(
        code.http_status, encode_outcome(Outcome(code, 7, (Problem(code, "successor", detail),)))
    )


# members


def test_members_are_printed_as_a_table(one: FakeController, capsys: pytest.CaptureFixture[str]) -> None:
    one.set_members(
        8,
        member("10.0.0.9:7300", 7),
        member("10.0.0.1:7300", 8, role="controller", control="10.0.0.1:8262", incarnation=2**64 - 1),
        member("10.0.0.8:7300", state="dead"),
    )
    assert run("members", one.address) == 0
    assert capsys.readouterr().out.splitlines() == [
        "ADDRESS        ROLE        ZONE  STATE  FOR    VERSION  INCARNATION       CONTROL",
        "10.0.0.1:7300  controller  east  alive  65.0s  8        ffffffffffffffff  10.0.0.1:8262",
        "10.0.0.8:7300  router      east  dead   65.0s  -        0000000000000001  -",
        "10.0.0.9:7300  router      east  alive  65.0s  7        0000000000000001  -",
    ]
    assert one.received == [("GET", "/v1/fleet/members", b"")]


def test_members_as_json_are_the_answer(one: FakeController, capsys: pytest.CaptureFixture[str]) -> None:
    one.set_members(8, member("10.0.0.9:7300", 7))
    assert run("members", one.address, "--json") == 0
    assert json.loads(capsys.readouterr().out) == json.loads(one.answers["/v1/fleet/members"].body)


def test_control_characters_are_not_printed(one: FakeController, capsys: pytest.CaptureFixture[str]) -> None:
    one.set_members(8, member("10.0.0.9:7300\x1b[2J\n", 7))
    assert run("members", one.address) == 0
    printed = capsys.readouterr().out
    assert "\x1b" not in printed and len(printed.splitlines()) == 2


def test_an_address_without_a_listener_is_skipped(
    one: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    one.set_members(8, member("10.0.0.9:7300", 7))
    assert run("members", unused_address(), one.address) == 0
    assert "10.0.0.9:7300" in capsys.readouterr().out


@pytest.mark.parametrize("command", [["members"], ["parts"], ["behind"], ["hand-over", "0"]])
def test_unreachable_addresses_are_reported(command: list[str], capsys: pytest.CaptureFixture[str]) -> None:
    unused = unused_address()
    assert run(*command, unused, "--rounds", "2") == 3
    assert f"{unused}: " in capsys.readouterr().err
    assert run(*command, unused, "--rounds", "1", "--json") == 3
    assert list(json.loads(capsys.readouterr().out)["reasons"]) == [unused]


@pytest.mark.parametrize("command", [["members"], ["parts"], ["behind"], ["hand-over", "0"]])
@pytest.mark.parametrize(
    ("answer", "code"),
    [
        (FixedAnswer(200, b"<html>"), 3),
        (FixedAnswer(200, b'{"code":1003}'), 3),
        (FixedAnswer(200, b"[" * 50_000), 3),
        (FixedAnswer(404, b"<html>"), 1),
        (FixedAnswer(404, encode_outcome(Outcome(ResultCode.UNKNOWN_CALL, 0))), 1),
        (FixedAnswer(503, encode_outcome(Outcome(ResultCode.STARTING, 0))), 3),
    ],
)
def test_an_invalid_answer_is_an_error(
    one: FakeController,
    command: list[str],
    answer: FixedAnswer,
    code: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    one.answers = {"/v1/fleet/members": answer, "/v1/fleet/parts": answer}
    assert run(*command, one.address, "--rounds", "1") == code
    captured = capsys.readouterr()
    output = captured.out + captured.err
    if answer.status == 503:
        assert "status 503: 5002" in output
    elif b"2018" in answer.body:
        assert "2018" in output
    else:
        assert output


@pytest.mark.parametrize(
    "arguments",
    [
        ["members"],
        ["parts", "core-1:80"],
        ["behind"],
        ["hand-over"],
        ["hand-over", "first", "127.0.0.1:1"],
        ["hand-over", "0"],
        ["hand-over", "0", "127.0.0.1:1", "--to", "core-2"],
    ],
)
def test_bad_usage_sends_nothing(arguments: list[str], monkeypatch: pytest.MonkeyPatch) -> None:
    sent: list[object] = []
    monkeypatch.setattr(client, "send_over_http", lambda attempt, request: sent.append(attempt))
    assert run(*arguments) == 2
    assert sent == []


# parts


def test_parts_are_reported_by_their_owners(
    one: FakeController, two: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    ours = part(0, owned=True, owner="10.0.0.1:7300", control=one.address)
    theirs = part(1, owned=True, owner="10.0.0.2:7300", control=two.address, term=9)
    one.set_parts(ours, part(1, owned=False, owner="10.0.0.2:7300", control=two.address))
    two.set_parts(part(0, owned=False, owner="10.0.0.1:7300", control=one.address), theirs)
    assert run("parts", one.address) == 0
    assert capsys.readouterr().out.splitlines() == [
        "part 0: owned by 10.0.0.1:7300, term 4, last 40, commit 39, applied 38, version 7",
        "  REPLICA        KIND     SYNCED  LAG  SILENT  TROUBLES       INCARNATION",
        "  10.0.0.1:7300  voter    40      0    0.0s    -              000000000000000b",
        "  10.0.0.2:7300  learner  30      10   2.0s    disk, leaving  000000000000000c",
        "",
        "part 1: owned by 10.0.0.2:7300, term 9, last 40, commit 39, applied 38, version 7",
        "  REPLICA        KIND     SYNCED  LAG  SILENT  TROUBLES       INCARNATION",
        "  10.0.0.1:7300  voter    40      0    0.0s    -              000000000000000b",
        "  10.0.0.2:7300  learner  30      10   2.0s    disk, leaving  000000000000000c",
    ]
    assert run("parts", one.address, "--json") == 0
    found = json.loads(capsys.readouterr().out)["parts"]
    assert [(each["part"], each["owned"], each["term"]) for each in found] == [(0, True, 4), (1, True, 9)]


def test_parts_without_an_owner_are_named(one: FakeController, capsys: pytest.CaptureFixture[str]) -> None:
    unreachable = unused_address()
    one.set_parts(
        part(0, owned=False, owner=None),
        part(1, owned=False, owner="10.0.0.2:7300", control=unreachable),
        part(2, owned=True, owner="10.0.0.1:7300", control=one.address),
    )
    assert run("parts", one.address) == 4
    captured = capsys.readouterr()
    assert "part 0: owned by nobody that answers, term 4" in captured.out
    assert "part 2: owned by 10.0.0.1:7300" in captured.out
    assert f"{unreachable}: " in captured.err
    assert "part 0: has no owner" in captured.err and "part 1: has no owner" in captured.err
    assert "part 2: has" not in captured.err


# behind


def test_the_answers_of_all_controllers_are_merged_for_behind(
    one: FakeController, two: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    controllers = [member(each.internal, 8, role="controller", control=each.address) for each in (one, two)]
    one.set_members(8, *controllers, member("10.0.1.1:1", 7), member("10.0.1.2:1", 7), member("10.0.1.3:1"))
    two.set_members(
        9,
        *controllers,
        member("10.0.1.1:1", 8),
        member("10.0.1.2:1", 9, age=1.0),
        member("10.0.1.4:1", 1, state="dead"),
    )
    assert run("behind", one.address) == 4
    lines = capsys.readouterr().out.splitlines()
    assert lines[0] == "version 9 is in force at 1 of 5 processes"
    rows = [line.split()[:1] + line.split()[4:] for line in lines[2:]]
    assert rows[2:] == [["10.0.1.1:1", "8", "0.5s", "ago"], ["10.0.1.3:1", "-", "never"]]
    assert {row[0] for row in rows[:2]} == {one.internal, two.internal}
    assert run("behind", two.address, "--json") == 4
    found = json.loads(capsys.readouterr().out)
    assert [each["address"] for each in found["current"]] == ["10.0.1.2:1"]
    assert found["config_version"] == 9


def test_behind_succeeds_when_all_processes_are_current(
    one: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    one.set_members(
        8, member(one.internal, 8, role="controller", control=one.address), member("10.0.1.1:1", 8)
    )
    assert run("behind", one.address) == 0
    assert capsys.readouterr().out == "version 8 is in force at 2 of 2 processes\n"
    assert len(one.received) == 1


def test_a_controller_that_does_not_answer_is_named(
    one: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    unreachable = unused_address()
    one.set_members(
        8, member("10.0.0.2:7300", 8, role="controller", control=unreachable), member("10.0.1.1:1", 8)
    )
    assert run("behind", one.address) == 0
    assert f"{unreachable}: " in capsys.readouterr().err


# hand-over


def owned(one: FakeController) -> None:
    one.set_parts(part(0, owned=True, owner="10.0.0.1:7300", control=one.address))


def handed_over() -> FixedAnswer:
    code = ResultCode.HANDED_OVER
    body = head(7, "10.0.0.1:7300") | {
        "code": code.value,
        "result": "handed_over",
        "part": 0,
        "owner": "10.0.0.2:7300",
    }
    return FixedAnswer(200, json.dumps(body).encode())


def test_a_part_is_handed_over_in_its_current_term(
    one: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    owned(one)
    one.answers[HAND_OVER] = handed_over()
    assert run("hand-over", "0", one.address, "--to", "10.0.0.2:7300") == 0
    assert capsys.readouterr().out == "1004 Part 0 is owned by 10.0.0.2:7300.\n"
    method, path, body = one.received[-1]
    assert (method, path) == ("POST", HAND_OVER)
    assert json.loads(body) == {"part": 0, "term": 4, "successor": "10.0.0.2:7300"}
    assert run("hand-over", "0", one.address, "--json") == 0
    assert json.loads(capsys.readouterr().out)["owner"] == "10.0.0.2:7300"
    assert json.loads(one.received[-1][2])["successor"] is None


def test_the_order_is_sent_to_the_owner(one: FakeController, two: FakeController) -> None:
    one.set_parts(part(0, owned=False, owner="10.0.0.2:7300", control=two.address))
    two.set_parts(part(0, owned=True, owner="10.0.0.2:7300", control=two.address, term=6))
    two.answers[HAND_OVER] = handed_over()
    assert run("hand-over", "0", one.address) == 0
    assert [path for _, path, _ in one.received] == ["/v1/fleet/parts"]
    assert json.loads(two.received[-1][2])["term"] == 6


def test_a_redirect_is_followed(one: FakeController, two: FakeController) -> None:
    owned(one)
    one.answers[HAND_OVER] = FixedAnswer(307, b"", f"http://{two.address}{HAND_OVER}")
    two.answers[HAND_OVER] = handed_over()
    assert run("hand-over", "0", one.address) == 0
    assert len(two.received) == 1


@pytest.mark.parametrize("code", [ResultCode.UNKNOWN_MEMBER, ResultCode.OTHER_TERM, ResultCode.BAD_ARGUMENT])
def test_a_rejection_is_printed_with_its_code(
    one: FakeController, code: ResultCode, capsys: pytest.CaptureFixture[str]
) -> None:
    owned(one)
    one.answers[HAND_OVER] = refusal(code)
    assert run("hand-over", "0", one.address, "--to", "10.9.9.9:1") == 1
    assert capsys.readouterr().out.startswith(f"{code.value} {code.meaning}")
    assert run("hand-over", "0", one.address, "--to", "10.9.9.9:1", "--json") == 1
    assert json.loads(capsys.readouterr().out)["code"] == code.value


@pytest.mark.parametrize("code", [ResultCode.NO_SUCCESSOR, ResultCode.NO_OWNER, ResultCode.UNCLEAR])
def test_an_unclear_answer_is_printed_with_its_code(
    one: FakeController, code: ResultCode, capsys: pytest.CaptureFixture[str]
) -> None:
    owned(one)
    one.answers[HAND_OVER] = refusal(code)
    assert run("hand-over", "0", one.address, "--rounds", "2") == 3
    assert f"status 503: {code.value} {code.meaning}" in capsys.readouterr().err


def test_a_part_without_an_owner_or_an_unknown_part_is_an_error(
    one: FakeController, capsys: pytest.CaptureFixture[str]
) -> None:
    one.set_parts(part(0, owned=False, owner=None))
    assert run("hand-over", "0", one.address) == 3
    assert "part 0: has no owner" in capsys.readouterr().err
    assert run("hand-over", "7", one.address) == 1
    assert "there is no part 7" in capsys.readouterr().err
    assert {method for method, _, _ in one.received} == {"GET"}
