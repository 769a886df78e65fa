"""Executes the decisions' actions on a frontend, and passes its reports to the decisions as events.

The engine knows no wire format: requests and responses are opaque to it, so that several frontends share the
same decisions and rules. It enforces the limits on attempts and open flows, the deadlines, and exactly one
final answer per request.

Invariants of a flow and its attempts:

1. A flow gets one final answer, or none if its client has disconnected (`_close`), and is removed once none
   of its attempts is in flight (`_forget`).
2. An attempt ends exactly once (`on_attempt_ended`); later reports of it are ignored.
3. An attempt may have run as soon as its last byte was passed to the kernel (`request_sent`). Before that the
   target has no complete request, so that stopping the attempt does not need `limits.cancel`.
4. An attempt that is not completely sent is stopped and never sent (`_withdraw`) when its flow is answered,
   its client has disconnected, a streamed response has started, or another attempt has consumed the body. So
   a connection that is established late never delivers an obsolete request to a target.
5. An attempt that was stopped before it was sent never ran, and is reported as NOT_SENT (`Attempt.stop`).
6. Once a response has started, the responses of other attempts, which the settings may not allow to cancel,
   are dropped; only another streamed response may continue one that was truncated.
"""

from __future__ import annotations

import math
import time
from collections import Counter, deque
from collections.abc import Callable
from typing import Any

from firvane.core import interface as api
from firvane.core.engine_protocols import (
    Clock,
    Decisions,
    LoadShedder,
    PeerChannel,
    ServerDiscovery,
    Targets,
)
from firvane.core.flows import A, Attempt, AttemptObserver, Flow, HealthCheck, Q
from firvane.core.logs import LEVELS, QUIET, Log
from firvane.core.request_counters import RequestCounters
from firvane.core.terminations import RESULTS, Termination

MAX_ID = 0xFFFFFFFF  # flow ids wrap around after this
MAX_LOGGED_FAULTS = 20  # faults of the decisions that are logged per process


class Engine(AttemptObserver[Q, A]):
    """Owns the decisions, the open flows, their ids, and the decisions' timers.

    Attributes:
        offset: seconds to add to the loop's clock for the decisions' clock.
        unanswered: number of flows without a final answer.
        shutdown_deadline: when all flows must have their final answer, in seconds on the loop's clock.
        known_targets: ids of the servers in the list that are not gone.
        event_counts: events of the current log period, by name.
        faults: number of events for which the decisions raised an exception.
    """

    def __init__(
        self,
        settings: api.Settings,
        decisions: Decisions,
        clock: Clock,
        targets: Targets[Q, A],
        peer_channel: PeerChannel,
        discovery: ServerDiscovery,
        wall: Callable[[], float] = time.time,
        log: Log = QUIET,
    ) -> None:
        self.log = log
        self.tracing = log.is_enabled_for(LEVELS["debug"])  # whether flows and attempts are logged
        self.settings = settings
        self.clock = clock
        self.targets = targets
        self.peer_channel = peer_channel
        self.discovery = discovery
        # The decisions' clock starts at Unix time and advances with the loop's clock: start times of servers
        # are in Unix time, peers drop rows older than the last one (a reboot must not set the clock back),
        # and a step of the system clock must not move deadlines. The offset is fixed, so that a start time
        # always maps to the same value.
        self.offset = wall() - clock.time()
        self.decisions = decisions
        self.load_shedder: LoadShedder | None = None  # set by a frontend that can shed load
        self.flows: dict[int, Flow[Q, A]] = {}
        self.unanswered = 0
        self.shutdown_deadline = math.inf
        self.known_targets: set[str] = set()
        self.event_counts: Counter[str] = Counter()
        self.request_counters = RequestCounters()
        self.faults = 0
        self._next_id = 0
        self._events: deque[Any] = deque()
        self._is_dispatching = False
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            api.Send: self._send,
            api.Reject: self._reject,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.SendToPeer: lambda action: self.peer_channel.send_datagram(action.peer, action.payload),
            api.Probe: self._probe,
            api.CloseIdle: lambda action: self.targets.close_idle(action.server),
            api.Watch: lambda action: self.discovery.refresh(),
            api.Fetch: lambda action: self.discovery.refresh(),
            api.ShedLoad: self._shed_load,
            api.Log: lambda action: self.log.info(action.event, **(action.fields or {"text": action.text})),
        }

    def now(self) -> float:
        """Return the time on the decisions' clock, in seconds."""
        return self.clock.time() + self.offset

    def start(self) -> None:
        """Start the decisions and execute their first actions."""
        self._execute(self.decisions.start(self.now()))
        self._process_events()

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; the indices of classes and tenants in use keep their meaning."""
        self.settings = settings
        self.decisions.apply_settings(settings)

    # Requests

    def accept_request(self, flow: Flow[Q, A], request: api.Request) -> None:
        """Accept a new flow: assign its id, set its deadline timer, and pass the request to the decisions."""
        flow.counters = self.request_counters.for_class(self.settings.classes[request.class_id].name)
        if self.unanswered >= self.settings.limits.max_open_requests:
            self.event_counts["over the cap on open flows"] += 1
            flow.counters.dropped += 1
            flow.open = False
            flow.client.on_rejected(0.0)
            return
        flow.id = request.id = self._next_id = (self._next_id + 1) & MAX_ID
        request.time_left = max(0.0, flow.deadline - self.clock.time())
        self.flows[flow.id] = flow
        self.unanswered += 1
        if self.tracing:
            flow.log = self.log.bind(flow=flow.id, call=flow.name.decode("latin-1"))
            flow.log.debug("flow_accepted", class_id=request.class_id, time_left_ms=1000 * request.time_left)
        flow.timer = self.clock.call_at(flow.deadline, self._on_deadline, flow)
        self.dispatch(request)

    def on_client_disconnected(self, flow: Flow[Q, A]) -> None:
        """Close a flow whose client has disconnected; it gets no answer."""
        if flow.open:
            self.event_counts["client left"] += 1
            self._close(flow)
            if flow.responding:
                flow.responding.stop(Termination.CANCELLED)
            self.dispatch(api.ClientGone(flow.id))
            self._withdraw(flow)
            self._forget(flow)

    def shorten_deadlines(self, last: float) -> None:
        """Limit all deadlines to `last` (seconds on the loop's clock), as the proxy shuts down."""
        self.shutdown_deadline = last
        now = self.clock.time()
        for flow in list(self.flows.values()):
            if flow.open and (flow.is_bounded or not flow.responding) and flow.deadline > last:
                self._set_deadline(flow, last)
                self.dispatch(api.DeadlineShortened(flow.id, max(0.0, last - now)))

    def _set_deadline(self, flow: Flow[Q, A], deadline: float) -> None:
        """Change the deadline of a flow and of its attempts."""
        flow.deadline = deadline
        for attempt in flow.attempts:
            if attempt:
                attempt.deadline = min(attempt.deadline, deadline)
        if flow.timer:
            flow.timer.cancel()
        flow.timer = self.clock.call_at(deadline, self._on_deadline, flow)

    def update_server_list(self, update: api.ServerList) -> None:
        """Apply an update of the server list, and pass it to the decisions."""
        if update.kind is api.ListKind.COMPLETE:
            self.known_targets.clear()
        for server in update.servers:
            if server.state is api.ServerState.GONE:
                self.known_targets.discard(server.id)
            else:
                self.known_targets.add(server.id)
        self.dispatch(update)

    def set_known_targets(self, targets: set[str]) -> None:
        """Allow attempts to these targets only."""
        self.known_targets = targets

    def dispatch(self, event: Any) -> None:
        """Pass an event to the decisions, in order of arrival; events raised by actions are queued."""
        self._events.append(event)
        self._process_events()

    def _process_events(self) -> None:
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.decisions.handle(event, self.now())
                except Exception:
                    # A fault in one decision must not stop the proxy: the actions decided before it are
                    # executed (above all the window's timer), and each open flow still has its deadline.
                    self.faults += 1
                    if self.faults <= MAX_LOGGED_FAULTS:
                        self.log.exception("decisions_failed", event_type=type(event).__name__)
                    actions = self.decisions.actions
                self._execute(actions)
        finally:
            self._is_dispatching = False

    def _execute(self, actions: list[api.Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

    # Actions

    def _send(self, action: api.Send) -> None:
        flow = self.flows.get(action.id)
        if flow is None:
            return
        limits = self.settings.limits
        now = self.clock.time()
        deadline = flow.deadline if action.timeout <= 0 else min(flow.deadline, now + action.timeout)
        attempt = Attempt(self, flow, action.server, now, deadline, action.start_before - self.offset)
        flow.attempts.append(attempt)
        flow.attempts_in_flight += 1
        allowed = flow.open and attempt.number < limits.max_attempts and action.server in self.known_targets
        allowed = allowed and not flow.body_consumed and not flow.responding
        if not allowed or (flow.attempts_in_flight > 1 and not limits.hedging):
            attempt.on_ended(Termination.NOT_ALLOWED)
            return
        if deadline < flow.deadline:
            attempt.timer = self.clock.call_at(deadline, attempt.stop, Termination.DEADLINE_EXCEEDED)
        handle = self.targets.forward(flow.request, action.server, attempt)
        if not attempt.ended:
            attempt.handle = handle

    def _reject(self, action: api.Reject) -> None:
        flow = self.flows.get(action.id)
        if flow and flow.open and not flow.responding:
            self.event_counts["refused"] += 1
            flow.counters.dropped += 1
            self._close(flow)
            flow.client.on_rejected(action.retry_after if self.settings.limits.retry_after else 0.0)
            self._withdraw(flow)
            self._forget(flow)

    def _fail(self, action: api.Fail) -> None:
        flow = self.flows.get(action.id)
        if flow and flow.open and not flow.responding:
            self.event_counts["failed"] += 1
            flow.counters.bad_gateway += 1
            self._close(flow)
            flow.client.on_failed()
            self._withdraw(flow)
            self._forget(flow)

    def _cancel(self, action: api.Cancel) -> None:
        flow = self.flows.get(action.id)
        if flow and 0 <= action.attempt < len(flow.attempts):
            attempt = flow.attempts[action.attempt]
            if attempt:
                attempt.stop(Termination.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        event = api.TimerFired(action.token)
        timer = self.clock.call_at(self.clock.time() + max(0.0, action.delay), self.dispatch, event)
        if action.request is not None and (flow := self.flows.get(action.request)):
            # Most requests end long before the timer: cancelling it with the flow is cheaper than firing it.
            flow.decision_timers.append(timer)

    def _shed_load(self, action: api.ShedLoad) -> None:
        if self.load_shedder:
            self.load_shedder.shed(action.fractions, action.retry_after, action.include_retries)

    def _probe(self, action: api.Probe) -> None:
        now = self.clock.time()
        check = HealthCheck(self, action.server, now, now + self.settings.limits.connect_timeout)
        self.clock.call_at(check.deadline, check.expire)
        check.handle = self.targets.probe(action.server, check)

    # Progress of attempts

    def on_body_consumed(self, attempt: Attempt[Q, A]) -> None:
        """Withdraw the other attempts, as part of the body was released and cannot be sent again."""
        flow = attempt.flow
        if not flow.body_consumed:
            flow.body_consumed = True
            self.dispatch(api.BodyConsumed(flow.id))
            self._withdraw(flow, attempt)

    def on_request_sent(self, attempt: Attempt[Q, A]) -> None:
        """Record that the last byte was passed to the kernel: from now on the attempt may have run."""
        flow = attempt.flow
        now = self.clock.time()
        attempt.request_sent = True
        flow.counters.upstream_tries += 1
        if flow.response_time and flow.open and not flow.responding:
            # The time limit of a long request starts at its last byte, and so does the measured duration.
            attempt.started_at = now
            self._set_deadline(flow, min(now + flow.response_time, self.shutdown_deadline))
            flow.response_time = 0.0

    def on_response_started(self, attempt: Attempt[Q, A], response: A) -> None:
        """Pass a streamed response to the client; only a lack of progress ends it from now on."""
        flow = attempt.flow
        if attempt.ended or not flow.open or flow.responding:
            attempt.stop(Termination.CANCELLED)
            return
        flow.responding, flow.response_started = attempt, True
        attempt.time_to_response = self.clock.time() - attempt.started_at
        for timer in (None if flow.is_bounded else flow.timer, attempt.timer):
            if timer:
                timer.cancel()
        self.event_counts["begun"] += 1
        flow.client.on_response_started(response)
        self.dispatch(api.StreamStarted(flow.id, attempt.number, attempt.target, attempt.time_to_response))
        self._withdraw(flow, attempt)

    # Ends

    def on_attempt_ended(self, attempt: Attempt[Q, A], termination: Termination, response: A | None) -> None:
        """End an attempt; later reports of its end are ignored."""
        if attempt.ended:
            return
        attempt.ended = True
        attempt.handle = None  # breaks the reference cycle
        if attempt.timer:
            attempt.timer.cancel()
        flow = attempt.flow
        self.event_counts[termination.value] += 1
        self._respond_to_client(flow, attempt, termination, response)
        flow.release(attempt)
        duration = attempt.time_to_response or self.clock.time() - attempt.started_at
        if self.tracing:
            flow.log.debug(
                "attempt_ended",
                attempt=attempt.number,
                target=attempt.target,
                termination=termination.value,
                duration_ms=1000 * duration,
                answered=not flow.open,
            )
        self._forget(flow)
        result = RESULTS[termination]
        self.dispatch(
            api.Outcome(flow.id, attempt.number, attempt.target, result, duration, finished=not flow.open)
        )
        if flow.attempts_in_flight and not flow.open:
            self._withdraw(flow)

    def _respond_to_client(
        self, flow: Flow[Q, A], attempt: Attempt[Q, A], termination: Termination, response: A | None
    ) -> None:
        """Send the client the response that the end of an attempt decides, if any (invariant 6)."""
        if flow.response_started and flow.responding is not attempt:
            return
        if flow.responding is attempt and flow.open:
            if termination is Termination.SERVED:
                self._close(flow)
                flow.counters.passed += 1
                flow.client.on_response_finished()
            elif self.clock.time() < flow.deadline and flow.can_resume():
                # The client still waits: the decisions may resume the response at another target, or fail it.
                flow.responding = None
                self.event_counts["broke off, may be resumed"] += 1
            else:
                self._close(flow)
                flow.counters.bad_gateway += 1
                self.event_counts["cut"] += 1
                flow.client.on_response_aborted()
        elif termination is Termination.SERVED and flow.open and response is not None:
            flow.counters.passed += 1
            self._close(flow)
            flow.client.on_response(response)
        elif termination is Termination.BAD_REQUEST and flow.open:
            flow.counters.bad_gateway += 1
            self._close(flow)  # other targets would reject it as well
            flow.client.on_bad_request()

    def on_health_check_ended(self, check: HealthCheck[Q, A], termination: Termination) -> None:
        """End a health check; later reports of its end are ignored."""
        if not check.ended:
            check.ended = True
            duration = self.clock.time() - check.started_at
            self.dispatch(api.ProbeResult(check.target, RESULTS[termination], duration))

    def _on_deadline(self, flow: Flow[Q, A]) -> None:
        """Stop all attempts of a flow at its deadline, and fail it if the decisions gave no answer."""
        for attempt in list(flow.attempts):
            if attempt:
                attempt.stop(Termination.DEADLINE_EXCEEDED)
        if flow.open:
            self.event_counts["unanswered at the deadline"] += 1
            flow.counters.bad_gateway += 1
            self._close(flow)
            flow.client.on_failed()
            self.dispatch(api.ClientGone(flow.id))
            self._forget(flow)

    def _close(self, flow: Flow[Q, A]) -> None:
        """Mark a flow as answered or abandoned."""
        flow.open = False
        self.unanswered -= 1

    def _withdraw(self, flow: Flow[Q, A], keep: Attempt[Q, A] | None = None) -> None:
        """Stop the attempts of a flow that are not completely sent, except `keep` (invariant 4).

        Called after the decisions were notified, so that the attempts they cancel have already ended.
        """
        if flow.attempts_in_flight:
            for attempt in list(flow.attempts):
                if attempt and attempt is not keep and not attempt.request_sent:
                    attempt.stop(Termination.CANCELLED)

    def _forget(self, flow: Flow[Q, A]) -> None:
        """Remove a flow that is closed and has no attempt in flight; until then attempts can be cancelled."""
        if not flow.open and not flow.attempts_in_flight:
            self.flows.pop(flow.id, None)
            if flow.timer:
                flow.timer.cancel()
            for timer in flow.decision_timers:
                timer.cancel()
