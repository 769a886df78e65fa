"""Translates the simulator's protocol (JSON lines) to the balancer's events and its actions back to JSON."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable
from typing import Any, TextIO

from firvane.proxy import native

if __name__ == "__main__":
    native.activate()  # before any compiled module is imported

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


def _request(values: list[Any]) -> Request:
    number, flags, cls, key, tenant, work_ns, time_left_ns = (values + [None] * 7)[:7]
    work = work_ns / NS_PER_S if work_ns is not None and flags & 1 else None
    return Request(
        number,
        cls,
        time_left_ns / NS_PER_S,
        key,
        tenant,
        work,
        bool(flags & RETRY_BIT),
        bool(flags & WRITE_BIT),
    )


def _outcome(values: list[Any]) -> Outcome:
    number, attempt, server, code, duration_ns, finished, load = (values + [None] * 7)[:7]
    return Outcome(
        number,
        attempt,
        server,
        RESULTS.get(code, Result.UNKNOWN),
        (duration_ns or 0) / NS_PER_S,
        bool(finished),
        _load(load),
    )


def _probe_result(values: list[Any]) -> ProbeResult:
    server, code, duration_ns, load = (values + [None] * 4)[:4]
    return ProbeResult(server, RESULTS.get(code, Result.UNKNOWN), (duration_ns or 0) / NS_PER_S, _load(load))


def _server_list(values: list[Any]) -> ServerList:
    return ServerList(
        LIST_KINDS[values[0]], values[1] or 0, tuple(_server(entry) for entry in values[2] or ())
    )


EVENTS: dict[str, Callable[[list[Any]], Event]] = {
    "membership": _server_list,
    "request": _request,
    "outcome": _outcome,
    "begun": lambda values: StreamStarted(values[0], values[2], values[1], (values[3] or 0) / NS_PER_S),
    "timed-out-client": lambda values: ClientGone(values[0]),
    "deadline-hit": lambda values: TimerFired(values[0]),
    "inbox": lambda values: PeerMessage(values[0], bytes.fromhex(values[1])),
    "checked": _probe_result,
}


def _to_ns(seconds: float) -> int:
    return max(0, round(seconds * NS_PER_S))


ACTIONS: dict[type[Any], Callable[[str, Any], list[Any]]] = {
    Send: lambda node, action: ["issue", node, action.id, action.server, _to_ns(action.timeout)],
    Reject: lambda node, action: ["reject", node, action.id, _to_ns(action.retry_after)],
    Fail: lambda node, action: ["report-failure", node, action.id],
    Cancel: lambda node, action: ["cancel", node, action.id, action.attempt],
    SendToPeer: lambda node, action: [
        "broadcast-to",
        node,
        "all" if action.peer is None else action.peer,
        action.payload.hex(),
    ],
    SetTimer: lambda node, action: ["sleep", node, max(1, _to_ns(action.delay)), action.token],
    Probe: lambda node, action: ["probe", node, action.server],
    CloseIdle: lambda node, action: ["shut-idle", node, action.server],
    Watch: lambda node, action: ["stream-changes", node, action.on],
    Fetch: lambda node, action: ["query-all", node],
    Log: lambda node, action: ["journal-line", node, action.text],
}


class InstanceHost:
    """Hosts the balancer instances of one process, which share only input and output."""

    def __init__(self, errors: TextIO) -> None:
        self._errors = errors
        self._running: dict[str, Balancer] = {}

    def reply(self, line: str) -> str:
        """Return the reply to one batch; raises `ValueError` if the line is not a valid batch."""
        try:
            batch = json.loads(line)
            now, events = batch["moment-ns"] / NS_PER_S, batch["news"]
            if not isinstance(events, list):
                raise TypeError
        except (TypeError, KeyError, json.JSONDecodeError) as error:
            raise ValueError("not an object with moment-ns and a list of news") from error
        actions: list[list[Any]] = []
        for message in events:
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
                print(f"firvane: unknown event {name!r}, ignored", file=self._errors)
                return
            elif node not in self._running:
                print(f"firvane: event {name} for {node}, which is not running", file=self._errors)
                return
            else:
                answers = self._running[node].handle(EVENTS[name](values), now)
        except Exception as error:
            # A fault of one instance must not affect the replies of the others: it ends this instance only.
            traceback.print_exc(file=self._errors)
            text = str(error) if isinstance(error, ValueError) else f"{type(error).__name__}: {error}"
            actions.append(["bail-out", node, " ".join(text.split())])
            self._running.pop(node, None)
            return
        for action in answers:
            actions.append(ACTIONS[type(action)](node, action))


def serve(source: TextIO, sink: TextIO, errors: TextIO) -> int:
    """Answer batches until the input ends; return the exit status."""
    host = InstanceHost(errors)
    for number, line in enumerate(source, 1):
        try:
            answer = host.reply(line)
        except ValueError as error:
            print(f"firvane: line {number}: {error}", file=errors)
            return 2
        sink.write(answer + "\n")
        sink.flush()
    return 0


if __name__ == "__main__":
    on, why = native.state()
    print(f"firvane: native on={str(on).lower()} why={why!r}", file=sys.stderr)
    sys.exit(serve(sys.stdin, sys.stdout, sys.stderr))
