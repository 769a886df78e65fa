"""A simulated router: executes the actions of a balancer in simulated time."""

from __future__ import annotations

from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from firvane.core import interface as api
from firvane.fleet.placement.events import PlacementEvent, PromptRequest, RequestKind, StreamProgress
from tests.fleet.placement.emulated_server import Blocks, EmulatedServer, ServerRequest
from tests.fleet.placement.simulation_scenario import Workload

if TYPE_CHECKING:
    from tests.fleet.placement.simulated_fleet import SimulatedFleet

SERVICE = "model"
LINK_LATENCY_S = 0.0014  # one way, between two processes
STALL_FACTOR = 2.0  # a resumable stream is cancelled after this multiple of the event gap target
PROGRESS_INTERVAL_S = 0.05  # minimum time between two progress reports for a server


class Balancer(Protocol):
    """The interface of the balancer and of the baseline policies."""

    def start(self, now: float) -> list[api.Action]: ...

    def handle(self, event: api.Event | PlacementEvent, now: float) -> list[api.Action]: ...


@dataclass(eq=False)
class ClientRequest:
    """One request of a client, over all its attempts."""

    workload: Workload
    blocks: Blocks
    events: int
    submitted_at: float
    value: float
    router: int
    first_event_at: float = -1.0
    last_event_at: float = 0.0
    longest_gap: float = 0.0
    events_received: int = 0
    attempts: int = 0
    ended: bool = False


class ClientAttempt:
    """One attempt of a client request at one router."""

    def __init__(self, number: int, request: ClientRequest, deadline: float) -> None:
        self.number, self.request, self.deadline = number, request, deadline
        self.open = True
        self.started_number = -1
        self.server_requests: list[tuple[EmulatedServer, ServerRequest] | None] = []
        self.sent_at: list[float] = []


class RouterHost:
    """One router: passes events to its balancer and performs its actions."""

    def __init__(self, fleet: SimulatedFleet, number: int, balancer: Balancer) -> None:
        self.fleet, self.env, self.number, self.balancer = fleet, fleet.env, number, balancer
        self.open_attempts: dict[int, ClientAttempt] = {}
        self.next_id = 0
        self.progress_reported_at: dict[str, float] = {}

    def handle(self, event: api.Event | PlacementEvent) -> None:
        for action in list(self.balancer.handle(event, self.env.now)):
            self.perform(action)

    def schedule(self, delay: float, call: Callable[[], None]) -> None:
        def wait() -> Generator[Any, Any, None]:
            yield self.env.timeout(delay)
            call()

        self.env.process(wait())

    def submit(self, request: ClientRequest) -> None:
        self.next_id += 1
        time_left = request.submitted_at + request.workload.deadline - self.env.now
        attempt = self.open_attempts[self.next_id] = ClientAttempt(
            self.next_id, request, self.env.now + time_left
        )
        workload = request.workload
        self.schedule(time_left, lambda: self.on_deadline(attempt))
        self.restart_client_timeout(attempt)
        self.handle(
            PromptRequest(
                attempt.number, 0, time_left, services=((SERVICE, 1.0),), chain=request.blocks,
                tokens_in=sum(tokens for _, tokens in request.blocks), tokens_out=4 * request.events,
                priority=workload.priority, latency_target=workload.latency_target,
                max_attempts=workload.max_attempts, kind=RequestKind.STREAM,
                resumable=workload.resumable, event_gap_target=workload.event_gap_target,
            )
        )  # fmt: skip

    def restart_client_timeout(self, attempt: ClientAttempt) -> None:
        """End the attempt as the client does if no event arrives within its time-out."""
        events_received, workload = attempt.request.events_received, attempt.request.workload
        timeout = max(2.0, 4 * workload.latency_target, 8 * workload.event_gap_target)

        def fire_timer() -> None:
            if attempt.open and attempt.request.events_received == events_received:
                self.on_client_gone(attempt)
                attempt.request.ended = True

        self.schedule(timeout, fire_timer)

    def on_deadline(self, attempt: ClientAttempt) -> None:
        if attempt.open:
            self.close(attempt)
            for number in range(len(attempt.server_requests)):
                self.cancel(attempt, number, api.Result.TIMEOUT)
            self.handle(api.ClientGone(attempt.number))
            self.fleet.on_attempt_end(attempt.request, False, None)

    def on_client_gone(self, attempt: ClientAttempt) -> None:
        """Cancel the attempt, since its client has disconnected."""
        if attempt.open:
            self.close(attempt)
            if attempt.started_number >= 0:
                self.cancel(attempt, attempt.started_number, api.Result.CANCELLED)
            self.handle(api.ClientGone(attempt.number))

    def close(self, attempt: ClientAttempt) -> None:
        attempt.open = False
        self.open_attempts.pop(attempt.number, None)

    def perform(self, action: api.Action) -> None:
        if isinstance(action, api.Send):
            self.send(action)
        elif isinstance(action, api.SetTimer):
            self.schedule(action.delay, lambda: self.handle(api.TimerFired(action.token)))
        elif isinstance(action, api.SendToPeer):
            self.fleet.send_row(self.number, action)
        elif isinstance(action, api.Cancel):
            if attempt := self.fleet.attempts_by_id.get((self.number, action.id)):
                self.cancel(attempt, action.attempt, api.Result.CANCELLED)
        elif isinstance(action, api.Reject | api.Fail) and (attempt := self.open_attempts.get(action.id)):
            self.close(attempt)
            retry_after = action.retry_after if isinstance(action, api.Reject) else None
            self.fleet.on_attempt_end(attempt.request, False, retry_after)

    def send(self, action: api.Send) -> None:
        attempt = self.open_attempts.get(action.id)
        if attempt is None:
            return
        number = len(attempt.server_requests)
        attempt.sent_at.append(self.env.now)
        self.fleet.attempts_by_id[self.number, action.id] = attempt
        server = self.fleet.servers.get(action.server)
        self.fleet.sent += 1
        if server is None or server.crashed:
            attempt.server_requests.append(None)
            self.schedule(
                2 * LINK_LATENCY_S,
                lambda: self.end(attempt, number, action.server, api.Result.CONNECT_FAILED),
            )
            return
        self.fleet.arrivals += 1
        if sum(each is not None for each in attempt.server_requests):
            self.fleet.retries += 1
        request = attempt.request
        server_request = ServerRequest(
            request.blocks, max(1, 4 * (request.events - request.events_received)), request.workload.priority,
            lambda: self.schedule(LINK_LATENCY_S, lambda: self.event(attempt, number, action.server)),
            lambda complete: self.schedule(
                LINK_LATENCY_S, lambda: self.on_server_end(attempt, number, action.server, complete)
            ),
        )  # fmt: skip
        attempt.server_requests.append((server, server_request))
        self.schedule(LINK_LATENCY_S, lambda: self.on_server_arrival(attempt, number, server, server_request))

    def on_server_arrival(
        self, attempt: ClientAttempt, number: int, server: EmulatedServer, server_request: ServerRequest
    ) -> None:
        if server_request.ended:
            return
        failure = self.fleet.failure_of(server)
        if failure == "errors":
            self.schedule(LINK_LATENCY_S, lambda: self.end(attempt, number, server.name, api.Result.ERROR))
        elif failure is None and not server.submit(server_request):
            self.end(attempt, number, server.name, api.Result.OVERLOADED)

    def event(self, attempt: ClientAttempt, number: int, server: str) -> None:
        if (
            not attempt.open
            or number >= len(attempt.server_requests)
            or attempt.server_requests[number] is None
        ):
            return
        if attempt.started_number != number:
            attempt.started_number = number
            self.handle(
                api.StreamStarted(attempt.number, number, server, self.env.now - attempt.sent_at[number])
            )
        elif (
            self.fleet.scenario.reports_progress
            and self.env.now - self.progress_reported_at.get(server, -1.0) > PROGRESS_INTERVAL_S
        ):
            self.progress_reported_at[server] = self.env.now
            self.handle(StreamProgress(server))
        self.fleet.event(attempt.request)
        self.restart_client_timeout(attempt)
        if attempt.request.workload.resumable:
            events_received = attempt.request.events_received
            self.schedule(
                STALL_FACTOR * attempt.request.workload.event_gap_target,
                lambda: self.check_stall(attempt, number, events_received),
            )

    def check_stall(self, attempt: ClientAttempt, number: int, events_received: int) -> None:
        """Cancel the attempt of a resumable stream that made no progress since the check was scheduled."""
        if (
            attempt.open
            and attempt.started_number == number
            and attempt.request.events_received == events_received
        ):
            self.cancel(attempt, number, api.Result.TIMEOUT)

    def on_server_end(self, attempt: ClientAttempt, number: int, server: str, complete: bool) -> None:
        self.end(attempt, number, server, api.Result.OK if complete else api.Result.RESET)

    def cancel(self, attempt: ClientAttempt, number: int, result: api.Result) -> None:
        if number < len(attempt.server_requests) and (pair := attempt.server_requests[number]):
            server, server_request = pair
            server.cancel(server_request)
            self.end(attempt, number, server.name, result)

    def end(self, attempt: ClientAttempt, number: int, server: str, result: api.Result) -> None:
        if attempt.server_requests[number] is None and result is not api.Result.CONNECT_FAILED:
            return
        attempt.server_requests[number] = None
        if attempt.open and result is api.Result.OK:
            self.close(attempt)
            self.fleet.on_attempt_end(attempt.request, True, None)
        elif attempt.open and attempt.started_number == number:
            if attempt.request.workload.resumable:
                attempt.started_number = -1
            else:
                self.close(attempt)
                self.fleet.on_attempt_end(attempt.request, False, None)
        duration = self.env.now - attempt.sent_at[number]
        self.handle(api.Outcome(attempt.number, number, server, result, duration, not attempt.open))
