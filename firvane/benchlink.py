"""Translates the bench's wire (JSON lines) to the library's events and actions and back; decides nothing."""

from __future__ import annotations

import json
import math
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from firvane.choice import Balancer
from firvane.interface import (
    Action,
    Cancel,
    ClientGone,
    CloseIdle,
    Event,
    Fail,
    Fetch,
    Limits,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    Probed,
    Refuse,
    Repeat,
    Reports,
    Request,
    RequestClass,
    Result,
    Rules,
    Scope,
    Send,
    Server,
    ServerList,
    ServerState,
    SetTimer,
    Settings,
    StreamStarted,
    Tell,
    Tenant,
    TimerFired,
    Watch,
)

NS = 1e9
RESULTS = {
    200: Result.OK,
    502: Result.ERROR,
    429: Result.FULL,
    408: Result.TIMEOUT,
    521: Result.CONNECT_FAILED,
    520: Result.RESET,
    444: Result.CANCELLED,
    409: Result.MOOT,
}
LIST_KINDS = {
    "incr": ListKind.CHANGES,
    "total": ListKind.COMPLETE,
    "warm_copy": ListKind.CACHED,
    "lost": ListKind.LOST,
}
STATES = {"U": ServerState.UP, "L": ServerState.DRAINING, "D": ServerState.GONE}
REPEATS = {"pure": Repeat.SAFE, "token": Repeat.KEYED, "side_effect": Repeat.UNSAFE}
REPORTS = {"piggyback": Reports.ANSWERS, "pull": Reports.PROBES, "silent": Reports.NONE}
RETRY_BIT, WRITE_BIT = 2, 4


class _Section:
    """One object of the settings; names the key that is missing or holds an impossible value."""

    def __init__(self, values: Any, path: str) -> None:
        if not isinstance(values, dict):
            raise ValueError(f"settings: {path or 'params'} is not an object")
        self.values = values
        self.path = path

    def _name(self, key: str) -> str:
        return f"{self.path}.{key}" if self.path else key

    def number(self, key: str, default: float | None = None, low: float = 0.0) -> float:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing")
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            raise ValueError(f"settings: {self._name(key)} is not a number")
        if value < low:
            raise ValueError(f"settings: {self._name(key)} is {value}, below {low:g}")
        return value

    def span(self, key: str, default: float | None = None) -> float:
        return self.number(key, None if default is None else default * NS) / NS

    def choice(self, key: str, choices: dict[str, Any], default: str | None = None) -> Any:
        value = self.values.get(key)
        value = default if value is None else value
        if value is None:
            raise ValueError(f"settings: {self._name(key)} is missing")
        if not isinstance(value, str) or value not in choices:
            raise ValueError(f"settings: {self._name(key)} is {value!r}, not one of {', '.join(choices)}")
        return choices[value]

    def flag(self, key: str) -> bool:
        return self.values.get(key) is True

    def items(self, key: str) -> list[Any]:
        value = self.values.get(key)
        if value is None:
            return []
        if not isinstance(value, list):
            raise ValueError(f"settings: {self._name(key)} is not a list")
        return value

    def sections(self, key: str) -> Iterable[_Section]:
        for index, item in enumerate(self.items(key)):
            yield _Section(item, f"{self._name(key)}[{index}]")

    def section(self, key: str, required: bool = False) -> _Section:
        if required and key not in self.values:
            raise ValueError(f"settings: {self._name(key)} is missing")
        return _Section(self.values.get(key) or {}, self._name(key))


def _request_class(section: _Section) -> RequestClass:
    return RequestClass(
        name=str(section.values.get("name", "")),
        aim=section.span("slo-ns"),
        deadline=section.span("give-up-ns"),
        worth=section.number("worth", 1.0),
        late_share=section.number("late-share", 0.0),
        repeat=section.choice("repeat", REPEATS),
        scope=section.choice("dedup-scope", {scope.value: scope for scope in Scope}, "all"),
        window=section.span("window-ns", 0.0),
        stream=section.flag("stream"),
        aim_stretch=section.number("aim-stretch", 0.0),
    )


def parse_settings(params: Any) -> Settings:
    """Settings from the first message of an instance; `ValueError` names a key that is missing or off."""
    top = _Section(params, "")
    rules = top.section("obligations", required=True)
    limits = top.section("limits", required=True)
    report = top.section("report")
    classes = tuple(_request_class(section) for section in top.sections("classes"))
    if not classes:
        raise ValueError("settings: classes is missing or empty")
    proxies = int(top.number("siblings", low=1))
    me = int(top.number("me"))
    if me >= proxies:
        raise ValueError(f"settings: me is {me}, not below siblings, {proxies}")
    return Settings(
        me=me,
        proxies=proxies,
        tick=top.span("tick-ns"),
        classes=classes,
        rules=Rules(
            answer_slack=rules.span("answer-slack-ns"),
            drain_grace=rules.span("drain-grace-ns"),
            start_capacity=rules.number("start-capacity"),
            cold=rules.span("cold-ns"),
            fall_multiple=rules.number("fall-multiple"),
            fall_window=rules.span("fall-ns"),
            ask_within=rules.span("ask-within-ns", 0.0),
        ),
        limits=Limits(
            max_attempts=int(limits.number("send-cap", low=1)),
            cancel=limits.flag("cancel"),
            second_copies=limits.flag("second-copies"),
            peers=limits.flag("peers"),
            probes=limits.flag("probing"),
            retry_after=limits.flag("retry-after"),
            max_retry_after=limits.span("max-retry-after-ns", 0.0),
            max_open=int(limits.number("open-cap", 1 << 30)),
            connect_timeout=limits.span("dial-timeout-ns", 0.25),
            connection_idle=limits.span("conn-idle-ns", 60.0),
            requests_per_connection=int(limits.number("streams-per-conn", 1)),
        ),
        tenants=tuple(
            Tenant(str(t.values.get("name", "")), t.number("fraction", 0.0), t.number("quota-rps", 0.0))
            for t in top.sections("tenants")
        ),
        zone=int(top.number("az", 0)),
        zones=max(1, len(top.items("dcs"))),
        ask=top.choice("discovery", {"push": False, "ask": True}, "push"),
        weighted=top.values.get("weights", "silent") != "silent",
        live_weights=top.values.get("weights") == "live",
        reports=report.choice("how", REPORTS, "silent"),
        report_fields=tuple(str(name) for name in report.items("fields")),
        counted_by_work=top.values.get("counted-by") == "work",
        over_share_worth=top.number("over-share-worth", 1.0),
        warm_keys=top.section("family-info").flag("warm-keys"),
        prices={
            name: float(price)
            for name, price in top.section("costs").values.items()
            if isinstance(price, int | float)
        },
    )


def _load(values: Any) -> dict[str, float]:
    if not isinstance(values, dict):
        return {}
    return {name: value for name, value in values.items() if isinstance(value, int | float)}


def _server(entry: list[Any]) -> Server:
    name, kind, cell, state, up_since, size, zone = (entry + [None] * 7)[:7]
    return Server(
        id=name,
        kind=kind or 0,
        cell=cell or 0,
        state=STATES.get(state, ServerState.DRAINING),
        up_since=up_since / NS if up_since else None,
        weight=1.0 if size is None else size,
        zone=zone or 0,
    )


def _request(v: list[Any]) -> Request:
    number, flags, cls, key, tenant, hint, left = (v + [None] * 7)[:7]
    work = hint / NS if hint is not None and flags & 1 else None
    return Request(
        number, cls, left / NS, key, tenant, work, bool(flags & RETRY_BIT), bool(flags & WRITE_BIT)
    )


def _outcome(v: list[Any]) -> Outcome:
    number, attempt, server, code, took, finished, load = (v + [None] * 7)[:7]
    return Outcome(
        number,
        attempt,
        server,
        RESULTS.get(code, Result.UNKNOWN),
        (took or 0) / NS,
        bool(finished),
        _load(load),
    )


def _probed(v: list[Any]) -> Probed:
    server, code, took, load = (v + [None] * 4)[:4]
    return Probed(server, RESULTS.get(code, Result.UNKNOWN), (took or 0) / NS, _load(load))


def _server_list(v: list[Any]) -> ServerList:
    return ServerList(LIST_KINDS[v[0]], v[1] or 0, tuple(_server(entry) for entry in v[2] or ()))


EVENTS: dict[str, Callable[[list[Any]], Event]] = {
    "membership": _server_list,
    "request": _request,
    "outcome": _outcome,
    "begun": lambda v: StreamStarted(v[0], v[2], v[1], (v[3] or 0) / NS),
    "timed-out-client": lambda v: ClientGone(v[0]),
    "deadline-hit": lambda v: TimerFired(v[0]),
    "inbox": lambda v: PeerMessage(v[0], bytes.fromhex(v[1])),
    "checked": _probed,
}


def _ns(span: float) -> int:
    return max(0, round(span * NS))


ACTIONS: dict[type[Any], Callable[[str, Any], list[Any]]] = {
    Send: lambda node, a: ["issue", node, a.id, a.server, _ns(a.timeout)],
    Refuse: lambda node, a: ["reject", node, a.id, _ns(a.retry_after)],
    Fail: lambda node, a: ["report-failure", node, a.id],
    Cancel: lambda node, a: ["cancel", node, a.id, a.attempt],
    Tell: lambda node, a: ["broadcast-to", node, "all" if a.peer is None else a.peer, a.payload.hex()],
    SetTimer: lambda node, a: ["sleep", node, max(1, _ns(a.span)), a.token],
    Probe: lambda node, a: ["probe", node, a.server],
    CloseIdle: lambda node, a: ["shut-idle", node, a.server],
    Watch: lambda node, a: ["stream-changes", node, a.on],
    Fetch: lambda node, a: ["query-all", node],
    Log: lambda node, a: ["journal-line", node, a.text],
}


class Link:
    """Hosts the instances of one process. They share nothing but the wire."""

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._running: dict[str, Balancer] = {}

    def reply(self, line: str) -> str:
        """The reply to one batch; `ValueError` where the line is not one."""
        try:
            batch = json.loads(line)
            now, news = batch["moment-ns"] / NS, batch["news"]
            if not isinstance(news, list):
                raise TypeError
        except (TypeError, KeyError, json.JSONDecodeError) as error:
            raise ValueError("not a batch") from error
        actions: list[list[Any]] = []
        for message in news:
            self._handle(message, now, actions)
        return json.dumps({"actions": actions}, separators=(",", ":"))

    def _handle(self, message: Any, now: float, actions: list[list[Any]]) -> None:
        if not isinstance(message, list) or len(message) < 2:
            raise ValueError("an event is not an array of a name and its values")
        name, node, values = message[0], message[1], message[2:]
        try:
            if name == "power-on":
                seed, params = values
                self._running.pop(node, None)
                balancer = Balancer(parse_settings(params), seed, now)
                self._running[node] = balancer
                answers: list[Action] = balancer.start(now)
            elif name == "retire":
                self._running.pop(node, None)
                return
            elif name not in EVENTS:
                print(f"firvane: unknown event {name!r}, passed over", file=self._errors)
                return
            elif node not in self._running:
                print(f"firvane: {name} for {node}, which is not running", file=self._errors)
                return
            else:
                answers = self._running[node].handle(EVENTS[name](values), now)
        except Exception as error:
            # One instance's fault must not take its neighbours' replies along: it is reported as its own.
            traceback.print_exc(file=self._errors)
            text = str(error) if isinstance(error, ValueError) else f"{type(error).__name__}: {error}"
            actions.append(["bail-out", node, " ".join(text.split())])
            self._running.pop(node, None)
            return
        for action in answers:
            actions.append(ACTIONS[type(action)](node, action))


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends; the exit status."""
    link = Link(errors)
    for number, line in enumerate(source, 1):
        try:
            answer = link.reply(line)
        except ValueError as error:
            print(f"firvane: line {number} is {error}", file=errors)
            return 2
        sink.write(answer + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
