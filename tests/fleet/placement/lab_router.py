"""One router of the laboratory: what an engine does for the decisions, in simulated time."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from firvane.core import interface as api
from firvane.fleet.placement.events import PlacementEvent, PromptRequest, RequestKind, StreamProgress
from tests.fleet.placement.emulated_server import EmulatedServer, Parts, Run
from tests.fleet.placement.lab_day import Kind

if TYPE_CHECKING:
    from tests.fleet.placement.lab_world import World

SERVICE = "model"
LINK = 0.0014  # s one way between processes
SILENCE_FACTOR = 2.0  # of the longest pause aimed at, after which a resumable stream is given up
PROGRESS_EVERY = 0.05  # s between hints of progress from one server at the least


class Decisions(Protocol):
    def start(self, now: float) -> list[api.Action]: ...

    def handle(self, event: api.Event | PlacementEvent, now: float) -> list[api.Action]: ...


@dataclass(eq=False)
class Ask:
    """One request of a client, over its tries."""

    kind: Kind
    parts: Parts
    events: int
    asked_at: float
    worth: float
    router: int
    first_at: float = -1.0
    last_at: float = 0.0
    longest_gap: float = 0.0
    passed: int = 0
    tries: int = 0
    over: bool = False


class Flow:
    """One try of a client at one router."""

    def __init__(self, number: int, ask: Ask, deadline: float) -> None:
        self.number, self.ask, self.deadline = number, ask, deadline
        self.open = True
        self.begun = -1
        self.runs: list[tuple[EmulatedServer, Run] | None] = []
        self.since: list[float] = []


class RouterHost:
    """What an engine does for the decisions, in simulated time."""

    def __init__(self, world: World, number: int, decisions: Decisions) -> None:
        self.world, self.env, self.number, self.decisions = world, world.env, number, decisions
        self.flows: dict[int, Flow] = {}
        self.next_id = 0
        self.hinted: dict[str, float] = {}

    def give(self, event: api.Event | PlacementEvent) -> None:
        for action in list(self.decisions.handle(event, self.env.now)):
            self.act(action)

    def later(self, span: float, call: Callable[[], None]) -> None:
        def wait() -> Generator[Any, Any, None]:
            yield self.env.timeout(span)
            call()

        self.env.process(wait())

    def take(self, ask: Ask) -> None:
        self.next_id += 1
        left = ask.asked_at + ask.kind.deadline - self.env.now
        flow = self.flows[self.next_id] = Flow(self.next_id, ask, self.env.now + left)
        kind = ask.kind
        self.later(left, lambda: self.overdue(flow))
        self.expect_event(flow)
        self.give(
            PromptRequest(
                flow.number, 0, left, services=((SERVICE, 1.0),), chain=ask.parts,
                tokens_in=sum(tokens for _, tokens in ask.parts), tokens_out=4 * ask.events,
                priority=kind.priority, latency_target=kind.aim, max_attempts=kind.max_attempts,
                kind=RequestKind.STREAM, resumable=kind.resumable, event_gap_target=kind.event_gap_target,
            )
        )  # fmt: skip

    def expect_event(self, flow: Flow) -> None:
        """The client gives up where no event comes for long."""
        passed, kind = flow.ask.passed, flow.ask.kind
        patience = max(2.0, 4 * kind.aim, 8 * kind.event_gap_target)

        def fire_timer() -> None:
            if flow.open and flow.ask.passed == passed:
                self.leave(flow)
                flow.ask.over = True

        self.later(patience, fire_timer)

    def overdue(self, flow: Flow) -> None:
        if flow.open:
            self.close(flow)
            for number in range(len(flow.runs)):
                self.stop(flow, number, api.Result.TIMEOUT)
            self.give(api.ClientGone(flow.number))
            self.world.answered(flow.ask, False, None)

    def leave(self, flow: Flow) -> None:
        """Its client has gone."""
        if flow.open:
            self.close(flow)
            if flow.begun >= 0:
                self.stop(flow, flow.begun, api.Result.CANCELLED)
            self.give(api.ClientGone(flow.number))

    def close(self, flow: Flow) -> None:
        flow.open = False
        self.flows.pop(flow.number, None)

    def act(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.send(action)
        elif isinstance(action, api.SetTimer):
            self.later(action.delay, lambda: self.give(api.TimerFired(action.token)))
        elif isinstance(action, api.SendToPeer):
            self.world.tell(self.number, action)
        elif isinstance(action, api.Cancel):
            if flow := self.world.closing.get((self.number, action.id)):
                self.stop(flow, action.attempt, api.Result.CANCELLED)
        elif isinstance(action, api.Reject | api.Fail) and (flow := self.flows.get(action.id)):
            self.close(flow)
            pause = action.retry_after if isinstance(action, api.Reject) else None
            self.world.answered(flow.ask, False, pause)

    def send(self, action: api.Send) -> None:
        flow = self.flows.get(action.id)
        if flow is None:
            return
        number = len(flow.runs)
        flow.since.append(self.env.now)
        self.world.closing[self.number, action.id] = flow
        server = self.world.servers.get(action.server)
        self.world.sent += 1
        if server is None or server.crashed:
            flow.runs.append(None)
            self.later(2 * LINK, lambda: self.end(flow, number, action.server, api.Result.CONNECT_FAILED))
            return
        self.world.arrivals += 1
        if sum(each is not None for each in flow.runs):
            self.world.repeats += 1
        ask = flow.ask
        run = Run(
            ask.parts, max(1, 4 * (ask.events - ask.passed)), ask.kind.priority,
            lambda: self.later(LINK, lambda: self.event(flow, number, action.server)),
            lambda whole: self.later(LINK, lambda: self.run_ended(flow, number, action.server, whole)),
        )  # fmt: skip
        flow.runs.append((server, run))
        self.later(LINK, lambda: self.arrive(flow, number, server, run))

    def arrive(self, flow: Flow, number: int, server: EmulatedServer, run: Run) -> None:
        if run.over:
            return
        failure = self.world.failure_of(server)
        if failure == "errors":
            self.later(LINK, lambda: self.end(flow, number, server.name, api.Result.ERROR))
        elif failure is None and not server.submit(run):
            self.end(flow, number, server.name, api.Result.OVERLOADED)

    def event(self, flow: Flow, number: int, server: str) -> None:
        if not flow.open or number >= len(flow.runs) or flow.runs[number] is None:
            return
        if flow.begun != number:
            flow.begun = number
            self.give(api.StreamStarted(flow.number, number, server, self.env.now - flow.since[number]))
        elif self.world.day.progress and self.env.now - self.hinted.get(server, -1.0) > PROGRESS_EVERY:
            self.hinted[server] = self.env.now
            self.give(StreamProgress(server))
        self.world.event(flow.ask)
        self.expect_event(flow)
        if flow.ask.kind.resumable:
            passed = flow.ask.passed
            self.later(
                SILENCE_FACTOR * flow.ask.kind.event_gap_target,
                lambda: self.check_stall(flow, number, passed),
            )

    def check_stall(self, flow: Flow, number: int, passed: int) -> None:
        """A stream that may be resumed has made no progress for long: it is given up here."""
        if flow.open and flow.begun == number and flow.ask.passed == passed:
            self.stop(flow, number, api.Result.TIMEOUT)

    def run_ended(self, flow: Flow, number: int, server: str, whole: bool) -> None:
        self.end(flow, number, server, api.Result.OK if whole else api.Result.RESET)

    def stop(self, flow: Flow, number: int, result: api.Result) -> None:
        if number < len(flow.runs) and (pair := flow.runs[number]):
            server, run = pair
            server.cancel(run)
            self.end(flow, number, server.name, result)

    def end(self, flow: Flow, number: int, server: str, result: api.Result) -> None:
        if flow.runs[number] is None and result is not api.Result.CONNECT_FAILED:
            return
        flow.runs[number] = None
        if flow.open and result is api.Result.OK:
            self.close(flow)
            self.world.answered(flow.ask, True, None)
        elif flow.open and flow.begun == number:
            if flow.ask.kind.resumable:
                flow.begun = -1
            else:
                self.close(flow)
                self.world.answered(flow.ask, False, None)
        took = self.env.now - flow.since[number]
        self.give(api.Outcome(flow.number, number, server, result, took, not flow.open))
