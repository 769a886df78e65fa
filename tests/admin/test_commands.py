"""The commands for the configuration, against fake controllers, and once over a real connection."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, HTTPServer
from pathlib import Path
from typing import Any

import pytest

from firvane import admin
from firvane.admin import client
from firvane.admin.answers import AnswerError, read_answer, read_version
from firvane.admin.calls import Attempt, CallFailover, Reply
from firvane.fleet.configuration.codes import ResultCode
from firvane.fleet.configuration.orders import Order, OrderKind, Problem, Result
from firvane.fleet.configuration.state import ConfigurationState
from firvane.fleet.controller.configuration_service import Outcome
from firvane.fleet.controller.operator_api import encode_outcome
from tests.fleet.configuration.documents import change, make_document, route

A, B = "10.0.0.1:80", "10.0.0.2:80"
KINDS = {"/v1/config/replace": OrderKind.REPLACE, "/v1/config/modify": OrderKind.MODIFY}


class FakeControllers:
    """Two controllers: the first redirects to the second, which owns the configuration."""

    def __init__(self) -> None:
        self.state = ConfigurationState()
        self.calls: list[str] = []
        self.unreachable: set[str] = set()

    def send(self, attempt: Attempt, request: client.Request) -> Reply:
        host, port = attempt.address
        address = f"{host}:{port}"
        self.calls.append(f"{address}{attempt.path}")
        if address in self.unreachable:
            raise ConnectionRefusedError("refused")
        if address == A:
            return Reply(307, b"", f"http://{B}{attempt.path}")
        if attempt.path == "/v1/config/read":
            return self.read()
        return self.order(KINDS[attempt.path], request)

    def read(self) -> Reply:
        if self.state.version == 0:
            return Reply(503, b"{}")
        return Reply(200, self.state.document)

    def order(self, kind: OrderKind, request: client.Request) -> Reply:
        assert request.method == "POST"
        order = Order(kind, int(request.headers["X-Base-Version"]), request.body or b"")
        result = Result.unpack(self.state.apply(1, order.pack()))
        body = encode_outcome(Outcome(result.code, result.version, result.problems))
        return Reply(result.code.http_status, body)


@pytest.fixture
def controllers(monkeypatch: pytest.MonkeyPatch) -> FakeControllers:
    fake = FakeControllers()
    monkeypatch.setattr(client, "send_over_http", fake.send)
    monkeypatch.setattr(client.time, "sleep", lambda seconds: None)
    return fake


@pytest.fixture
def file(tmp_path: Path) -> Callable[[Any], str]:
    def write(document: Any) -> str:
        path = tmp_path / f"{len(list(tmp_path.iterdir()))}.json"
        path.write_text(document if isinstance(document, str) else json.dumps(document))
        return str(path)

    return write


def run(*arguments: str) -> int:
    with pytest.raises(SystemExit) as ended:
        admin.run(arguments)
    return int(ended.value.code or 0)


def test_a_configuration_is_replaced_modified_and_read(
    controllers: FakeControllers, file: Callable[[Any], str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("replace", file(make_document(5)), A, "--base", "0") == 0
    assert "1000 The order was taken" in capsys.readouterr().out
    added = file(change(7, upsert={"routes": [route("new")]}))
    assert run("modify", added, A, "--base", "5", "--json") == 0
    answer = json.loads(capsys.readouterr().out)
    assert answer == {"code": 1000, "result": "accepted", "config_version": 7, "problems": []}
    assert run("modify", added, A, "--base", "5") == 0
    assert "1001" in capsys.readouterr().out
    assert run("version", B) == 0
    assert capsys.readouterr().out == "7\n"
    assert run("version", B, "--json") == 0
    assert json.loads(capsys.readouterr().out) == {"config_version": 7}
    for form in ([], ["--json"]):
        assert run("read", A, *form) == 0
        assert json.loads(capsys.readouterr().out) == json.loads(controllers.state.document)
    assert controllers.calls[:2] == [f"{A}/v1/config/replace", f"{B}/v1/config/replace"]


def test_rejections_are_printed_with_their_problems(
    controllers: FakeControllers, file: Callable[[Any], str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("replace", file(make_document(5, routes=[route(timeout_ms=0)])), B, "--base", "0") == 1
    assert "2010 routes[chat].timeout_ms" in capsys.readouterr().out
    assert run("replace", file(make_document(5)), B, "--base", "3") == 1
    assert capsys.readouterr().out.startswith("3000 ")


def test_an_unreachable_controller_is_skipped(
    controllers: FakeControllers, file: Callable[[Any], str]
) -> None:
    controllers.unreachable.add(A)
    assert run("replace", file(make_document(5)), A, B, "--base", "0") == 0
    assert controllers.calls == [f"{A}/v1/config/replace", f"{B}/v1/config/replace"]


def test_a_call_without_any_answer_fails_with_reasons(
    controllers: FakeControllers, capsys: pytest.CaptureFixture[str]
) -> None:
    controllers.unreachable.update((A, B))
    assert run("version", A, B, "--rounds", "2") == 3
    assert len(controllers.calls) == 4
    captured = capsys.readouterr()
    assert f"{A}: refused" in captured.err
    assert run("read", A, "--rounds", "1", "--json") == 3
    assert json.loads(capsys.readouterr().out) == {"reasons": {A: "refused"}}


def test_bad_usage_sends_nothing(
    controllers: FakeControllers, file: Callable[[Any], str], capsys: pytest.CaptureFixture[str]
) -> None:
    assert run("read") == 2
    assert run("read", "localhost:80") == 2
    assert run("check", "/does/not/exist") == 2
    assert run("replace", file(make_document(5)), A) == 2
    assert controllers.calls == []


def test_an_answer_of_another_service_is_an_error(
    monkeypatch: pytest.MonkeyPatch, file: Callable[[Any], str]
) -> None:
    monkeypatch.setattr(client, "send_over_http", lambda attempt, request: Reply(404, b"<html>"))
    assert run("replace", file(make_document(5)), A, "--base", "0") == 1
    assert run("read", A) == 1
    monkeypatch.setattr(client, "send_over_http", lambda attempt, request: Reply(200, b"<html>"))
    assert run("read", A) == 3
    assert run("version", A) == 3


def test_a_file_is_checked_without_a_controller(
    controllers: FakeControllers, file: Callable[[Any], str], capsys: pytest.CaptureFixture[str]
) -> None:
    good = file(make_document(5))
    assert run("check", good) == 0
    assert run("check", file('{"config_version":5,"rou')) == 1
    assert "2001" in capsys.readouterr().out
    bad = file(make_document(5, routes=[route(timeout_ms=0, service="nobody")]))
    assert run("check", bad, "--json") == 1
    problems = json.loads(capsys.readouterr().out)["problems"]
    assert {each["code"] for each in problems} == {2008, 2010}
    assert run("check", file(make_document(5, routes=[route(priority="high")]))) == 1
    assert "2002 routes[chat].priority" in capsys.readouterr().out
    assert run("check", file(change(7, upsert={"routes": [route("b")]})), "--on", good) == 0
    assert run("check", file(change(7, remove={"services": ["writer"]})), "--on", good) == 1
    assert run("check", file(make_document(7)), "--on", good) == 0
    assert run("check", file(make_document(5)), "--on", good) == 1
    assert run("check", good, "--on", bad) == 1
    assert controllers.calls == []


def test_an_encoded_answer_is_parsed_to_the_same_result() -> None:
    problem = Problem(ResultCode.NO_TIMEOUT, "routes[a].timeout_ms", "must be a number above 0")
    body = encode_outcome(Outcome(ResultCode.INVALID, 7, (problem,)))
    assert read_answer(body) == Result(ResultCode.INVALID, 7, (problem,))


@pytest.mark.parametrize(
    "body", [b"", b"[]", b'{"code":3}', b'{"code":3,"config_version":1}', b'{"x":' + b"[" * 50_000]
)
def test_an_invalid_body_raises_an_answer_error(body: bytes) -> None:
    with pytest.raises(AnswerError):
        read_answer(body)
    if b"config_version" not in body:
        with pytest.raises(AnswerError):
            read_version(body)


class Handler(BaseHTTPRequestHandler):
    def do_POST(self) -> None:
        length = int(self.headers["Content-Length"])
        body = self.rfile.read(length) + self.headers["X-Base-Version"].encode()
        self.send_response(307)
        self.send_header("Location", "http://127.0.0.1:1/moved")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: Any) -> None: ...


@pytest.fixture
def server() -> Iterator[HTTPServer]:
    with HTTPServer(("127.0.0.1", 0), Handler) as served:
        thread = threading.Thread(target=served.serve_forever, args=(0.01,))
        thread.start()
        yield served
        served.shutdown()
        thread.join()


def test_a_call_goes_over_a_real_connection(server: HTTPServer) -> None:
    attempt = CallFailover([("127.0.0.1", server.server_port)], "/v1/config/replace").begin()
    reply = client.send_over_http(attempt, client.Request("POST", b"body ", {"X-Base-Version": "7"}))
    assert reply == Reply(307, b"body 7", "http://127.0.0.1:1/moved")
