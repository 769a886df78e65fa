"""Translates the bench's wire (JSON lines) to the library's events and actions and back; decides nothing."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from firvane.proxy import native

if __name__ == "__main__":
    native.activate()  # before anything that is compiled is imported

from firvane.core.interface import (
    Action,
    Cancel,
    ClientGone,
    CloseIdle,
    Event,
    Fail,
    Fetch,
    ListKind,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeResult,
    Reject,
    Request,
    Result,
    Send,
    SendToPeer,
    Server,
    ServerList,
    ServerState,
    SetTimer,
    StreamStarted,
    TimerFired,
    Watch,
)
from firvane.proxy.balancer import Balancer
from firvane.proxy.settings import NS_PER_S, parse_settings

RESULTS = {
    200: Result.OK,
    502: Result.ERROR,
    429: Result.OVERLOADED,
    408: Result.TIMEOUT,
    521: Result.CONNECT_FAILED,
    520: Result.RESET,
    444: Result.CANCELLED,
    409: Result.NOT_SENT,
}
LIST_KINDS = {
    "incr": ListKind.INCREMENTAL,
    "total": ListKind.COMPLETE,
    "warm_copy": ListKind.CACHED,
    "lost": ListKind.FAILED,
}
STATES = {"U": ServerState.UP, "L": ServerState.DRAINING, "D": ServerState.GONE}
RETRY_BIT, WRITE_BIT = 2, 4


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
        up_since=up_since / NS_PER_S if up_since else None,
        weight=1.0 if size is None else size,
        zone=zone or 0,
    )


def _request(v: list[Any]) -> Request:
    number, flags, cls, key, tenant, hint, left = (v + [None] * 7)[:7]
    work = hint / NS_PER_S if hint is not None and flags & 1 else None
    return Request(
        number, cls, left / NS_PER_S, key, tenant, work, bool(flags & RETRY_BIT), bool(flags & WRITE_BIT)
    )


def _outcome(v: list[Any]) -> Outcome:
    number, attempt, server, code, took, finished, load = (v + [None] * 7)[:7]
    return Outcome(
        number,
        attempt,
        server,
        RESULTS.get(code, Result.UNKNOWN),
        (took or 0) / NS_PER_S,
        bool(finished),
        _load(load),
    )


def _probed(v: list[Any]) -> ProbeResult:
    server, code, took, load = (v + [None] * 4)[:4]
    return ProbeResult(server, RESULTS.get(code, Result.UNKNOWN), (took or 0) / NS_PER_S, _load(load))


def _server_list(v: list[Any]) -> ServerList:
    return ServerList(LIST_KINDS[v[0]], v[1] or 0, tuple(_server(entry) for entry in v[2] or ()))


EVENTS: dict[str, Callable[[list[Any]], Event]] = {
    "membership": _server_list,
    "request": _request,
    "outcome": _outcome,
    "begun": lambda v: StreamStarted(v[0], v[2], v[1], (v[3] or 0) / NS_PER_S),
    "timed-out-client": lambda v: ClientGone(v[0]),
    "deadline-hit": lambda v: TimerFired(v[0]),
    "inbox": lambda v: PeerMessage(v[0], bytes.fromhex(v[1])),
    "checked": _probed,
}


def _ns(span: float) -> int:
    return max(0, round(span * NS_PER_S))


ACTIONS: dict[type[Any], Callable[[str, Any], list[Any]]] = {
    Send: lambda node, a: ["issue", node, a.id, a.server, _ns(a.timeout)],
    Reject: lambda node, a: ["reject", node, a.id, _ns(a.retry_after)],
    Fail: lambda node, a: ["report-failure", node, a.id],
    Cancel: lambda node, a: ["cancel", node, a.id, a.attempt],
    SendToPeer: lambda node, a: ["broadcast-to", node, "all" if a.peer is None else a.peer, a.payload.hex()],
    SetTimer: lambda node, a: ["sleep", node, max(1, _ns(a.delay)), a.token],
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
            now, news = batch["moment-ns"] / NS_PER_S, batch["news"]
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
    on, why = native.state()
    print(f"firvane: native on={str(on).lower()} why={why!r}", file=sys.stderr)
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
