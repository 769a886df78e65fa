"""The simulator's protocol: hand-written batches and the replies to them."""

from __future__ import annotations

import copy
import io
import json
from typing import Any

import pytest

from firvane.core import interface as api
from firvane.proxy.settings import parse_settings
from firvane.proxy.simulator_adapter import InstanceHost, serve

PARAMS: dict[str, Any] = {
    "me": 0,
    "siblings": 2,
    "tick-ns": 5_000_000,
    "classes": [
        {
            "name": "read",
            "slo-ns": 500_000_000,
            "give-up-ns": 2_000_000_000,
            "repeat": "pure",
            "worth": 2.0,
            "new-key": 1,
        },
        {
            "name": "pay",
            "slo-ns": 500_000_000,
            "give-up-ns": 2_000_000_000,
            "repeat": "token",
            "dedup-scope": "cell",
            "window-ns": 3_000_000_000,
        },
    ],
    "obligations": {
        "answer-slack-ns": 20_000_000,
        "cold-ns": 8_000_000_000,
        "drain-grace-ns": 500_000_000,
        "fall-multiple": 2.5,
        "fall-ns": 1_500_000_000,
        "start-capacity": 0.3,
    },
    "limits": {"send-cap": 3, "peers": True, "cancel": True},
    "report": {"how": "pull", "fields": ["util"]},
    "discovery": "ask",
    "something-new": {"x": 1},
}


def batch(*news: list[Any], now: int = 5_000_000_000) -> str:
    return json.dumps({"moment-ns": now, "news": list(news)})


def start(params: dict[str, Any] = PARAMS) -> tuple[InstanceHost, io.StringIO, list[list[Any]]]:
    errors = io.StringIO()
    host = InstanceHost(errors)
    reply = host.reply(
        batch(
            ["power-on", "node/0", 7, params],
            [
                "membership",
                "node/0",
                "warm_copy",
                3,
                [["s1", 0, 0, "U", None, 1, 0], ["s2", 0, 1, "U", 0, 1, 0]],
            ],
        )
    )
    return host, errors, json.loads(reply)["actions"]


def names(actions: list[list[Any]]) -> list[str]:
    return [action[0] for action in actions]


def test_start_subscribes_announces_and_sets_a_timer() -> None:
    _, errors, actions = start()
    assert {"stream-changes", "broadcast-to", "sleep"} <= set(names(actions))
    assert errors.getvalue() == ""


def test_request_is_sent_and_its_outcome_ends_it() -> None:
    host, _, _ = start()
    request = ["request", "node/0", 9, 0, 0, "k", 0, None, 1_000_000_000]
    actions = json.loads(host.reply(batch(request)))["actions"]
    issue = next(action for action in actions if action[0] == "issue")
    assert issue[1:3] == ["node/0", 9] and issue[3] in ("s1", "s2")
    done = ["outcome", "node/0", 9, 0, issue[3], 200, 5_000_000, True, {"util": 0.5, "odd": "x"}]
    assert names(json.loads(host.reply(batch(done)))["actions"]) == []


def test_events_for_unknown_ids_are_ignored() -> None:
    host, errors, _ = start()
    news = [["timed-out-client", "node/0", 77], ["deadline-hit", "node/0", 4711]]
    news += [["outcome", "node/0", 77, 0, "s1", 799, 1, False, None], ["begun", "node/0", 77, "s1", 0, 1]]
    news += [["checked", "node/0", "s1", 200, 1, None]]
    assert json.loads(host.reply(batch(*news)))["actions"] == []
    assert errors.getvalue() == ""


def test_a_started_stream_ends_the_decisions_on_its_request() -> None:
    host, _, _ = start()
    actions = json.loads(host.reply(batch(["request", "node/0", 9, 0, 0, "k", 0, None, 1_000_000_000])))
    server = next(action[3] for action in actions["actions"] if action[0] == "issue")
    assert json.loads(host.reply(batch(["begun", "node/0", 9, server, 0, 1])))["actions"] == []
    late = batch(["deadline-hit", "node/0", 10], now=6_000_000_000)
    assert json.loads(host.reply(late))["actions"] == []


def test_unknown_events_and_events_for_stopped_instances_are_reported_and_ignored() -> None:
    host, errors, _ = start()
    reply = host.reply(
        batch(["moonrise", "node/0", 1], ["deadline-hit", "node/5", 0], ["retire", "node/0"], now=6)
    )
    assert json.loads(reply) == {"actions": []}
    assert "moonrise" in errors.getvalue() and "node/5" in errors.getvalue()


@pytest.mark.parametrize("line", ["nonsense", "[1]", "{}", '{"moment-ns": 1, "news": 3}'])
def test_a_line_that_is_not_a_batch_ends_with_status_2(line: str) -> None:
    sink, errors = io.StringIO(), io.StringIO()
    assert serve(io.StringIO(batch() + "\n" + line + "\n"), sink, errors) == 2
    assert sink.getvalue() == '{"actions":[]}\n'
    assert "line 2" in errors.getvalue() and errors.getvalue().count("\n") == 1


def test_end_of_input_ends_with_status_0() -> None:
    assert serve(io.StringIO(""), io.StringIO(), io.StringIO()) == 0


@pytest.mark.parametrize(
    ("path", "value", "name"),
    [
        (("me",), None, "me"),
        (("siblings",), 0, "siblings"),
        (("classes",), [], "classes"),
        (("obligations", "cold-ns"), "x", "obligations.cold-ns"),
        (("limits", "send-cap"), 0, "limits.send-cap"),
        (("discovery",), "guess", "discovery"),
    ],
)
def test_the_error_names_the_invalid_setting(path: tuple[str, ...], value: Any, name: str) -> None:
    params = copy.deepcopy(PARAMS)
    section = params
    for key in path[:-1]:
        section = section[key]
    section[path[-1]] = value
    with pytest.raises(ValueError, match=name):
        parse_settings(params)
    _, _, actions = start(params)
    assert actions[0][0] == "bail-out" and name in actions[0][2]


def test_settings_are_parsed() -> None:
    settings = parse_settings(PARAMS)
    assert (
        settings.classes[0].latency_target == 0.5 and settings.classes[1].dedup_scope is api.DedupScope.CELL
    )
    assert (
        settings.load_report_source is api.LoadReportSource.PROBES and settings.ask and not settings.weighted
    )


def test_a_fault_in_the_decisions_ends_only_its_instance(monkeypatch: pytest.MonkeyPatch) -> None:
    host, errors, _ = start()

    def fail(*_: object) -> None:
        raise RuntimeError("broken\nin two lines")

    monkeypatch.setattr(host._running["node/0"], "handle", fail)
    reply = json.loads(host.reply(batch(["deadline-hit", "node/0", 0])))
    assert reply["actions"] == [["bail-out", "node/0", "RuntimeError: broken in two lines"]]
    assert "Traceback" in errors.getvalue()
