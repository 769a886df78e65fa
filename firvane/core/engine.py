"""Turns the decisions' actions into calls on a front, and the front's reports into the decisions' events.

The engine knows no wire format: a front gives it flows whose requests and answers it never opens, so that
several fronts share the same decisions and the same rules. It enforces the limits on attempts and on open
flows, the deadlines, and exactly one final answer.

Invariants of a flow and its attempts:

1. A flow has one final answer, or none where its client has disconnected (`_close`), and is forgotten once
   none of its attempts is in flight (`_forget`).
2. An attempt ends once (`on_attempt_ended`), whoever reports it and whatever is reported later.
3. An attempt may have run from the moment its last byte was handed to the kernel (`request_sent`). Until
   then its target cannot take it for a request, so that stopping it needs no permission of the settings.
4. What is not completely sent when its flow ends is never sent (`_withdraw`): where the flow is answered, its
   client has disconnected, a streamed answer has begun, or a long body has gone out on another attempt. So a
   connection that is established late brings nobody's request to a target.
5. What was stopped before it was sent never ran, and is reported so (`Attempt.stop`).
6. Once an answer has begun, the answers of other attempts, which the settings may forbid to cancel, are
   dropped; only a streamed one may continue it where it broke off.
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

MAX_ID = 0xFFFFFFFF  # ids of flows wrap after it
MAX_LOGGED_FAULTS = 20  # of the decisions, in a process


class Engine(AttemptObserver[Q, A]):
    """Owns the decisions, the open flows, their ids, and the decisions' timers.

    Attributes:
        offset: seconds from the loop's clock to the decisions'.
        unanswered: flows whose final answer is due.
        shutdown_deadline: when every flow must be answered, in seconds on the loop's clock.
        known_targets: the servers that the list names.
        event_counts: of the current period, for the log.
        faults: events that the decisions failed to handle.
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
        self.tracing = log.is_enabled_for(LEVELS["debug"])  # each flow has a log of its own, and uses it
        self.settings = settings
        self.clock = clock
        self.targets = targets
        self.peer_channel = peer_channel
        self.discovery = discovery
        # The decisions' clock reads Unix time but advances with the loop's: servers' starts are given in
        # Unix time, peers drop a row whose stamp is older than the last (a reboot must not set it back), and
        # a step of the system's clock must not move a deadline. Read once: a start always maps alike.
        self.offset = wall() - clock.time()
        self.decisions = decisions
        self.load_shedder: LoadShedder | None = None  # a front that can shed load registers here
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
        """The time on the decisions' clock, in seconds."""
        return self.clock.time() + self.offset

    def start(self) -> None:
        """Start the decisions."""
        self._perform(self.decisions.start(self.now()))
        self._drain()

    def apply_settings(self, settings: api.Settings) -> None:
        """Apply new settings; the indices of classes and tenants in use keep their meaning."""
        self.settings = settings
        self.decisions.apply_settings(settings)

    # Requests

    def accept_request(self, flow: Flow[Q, A], request: api.Request) -> None:
        """Accept a new flow: number it, set its deadline's timer, and let the decisions place it."""
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
        """The client has disconnected: no answer is due any more."""
        if flow.open:
            self.event_counts["client left"] += 1
            self._close(flow)
            if flow.responding:
                flow.responding.stop(Termination.CANCELLED)
            self.dispatch(api.ClientGone(flow.id))
            self._withdraw(flow)
            self._forget(flow)

    def shorten_deadlines(self, last: float) -> None:
        """The proxy shuts down: all flows are answered by `last`, in seconds on the loop's clock."""
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
        """Take over an update of the server list, and pass it to the decisions."""
        if update.kind is api.ListKind.COMPLETE:
            self.known_targets.clear()
        for server in update.servers:
            if server.state is api.ServerState.GONE:
                self.known_targets.discard(server.id)
            else:
                self.known_targets.add(server.id)
        self.dispatch(update)

    def set_known_targets(self, targets: set[str]) -> None:
        """Allow attempts at these targets, and at no others."""
        self.known_targets = targets

    def dispatch(self, event: Any) -> None:
        """Pass an event to the decisions, in order of arrival, never from within an earlier one."""
        self._events.append(event)
        self._drain()

    def _drain(self) -> None:
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.decisions.handle(event, self.now())
                except Exception:
                    # A fault in one decision must not end the proxy: what was decided before it stands
                    # (the window's timer above all), and each open flow still has its deadline.
                    self.faults += 1
                    if self.faults <= MAX_LOGGED_FAULTS:
                        self.log.exception("decisions_failed", event_type=type(event).__name__)
                    actions = self.decisions.actions
                self._perform(actions)
        finally:
            self._is_dispatching = False

    def _perform(self, actions: list[api.Action]) -> None:
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
        if not attempt.over:
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
            # Most requests end long before it: cancelled with the flow, it costs far less than fired.
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
        """Part of the body was released: no other attempt can be made, nor one that is still connecting."""
        flow = attempt.flow
        if not flow.body_consumed:
            flow.body_consumed = True
            self.dispatch(api.BodyConsumed(flow.id))
            self._withdraw(flow, attempt)

    def on_request_sent(self, attempt: Attempt[Q, A]) -> None:
        """The request's last byte was handed to the kernel: from here on the attempt may have run."""
        flow = attempt.flow
        now = self.clock.time()
        attempt.request_sent = True
        flow.counters.upstream_tries += 1
        if flow.response_time and flow.open and not flow.responding:
            # A long request has its time from its last byte on, and so has the target.
            attempt.started_at = now
            self._set_deadline(flow, min(now + flow.response_time, self.shutdown_deadline))
            flow.response_time = 0.0

    def on_response_started(self, attempt: Attempt[Q, A], answer: A) -> None:
        """A streamed answer belongs to the client from here on; only a lack of progress ends it."""
        flow = attempt.flow
        if attempt.over or not flow.open or flow.responding:
            attempt.stop(Termination.CANCELLED)
            return
        flow.responding, flow.response_started = attempt, True
        attempt.time_to_response = self.clock.time() - attempt.started_at
        for timer in (None if flow.is_bounded else flow.timer, attempt.timer):
            if timer:
                timer.cancel()
        self.event_counts["begun"] += 1
        flow.client.on_response_started(answer)
        self.dispatch(api.StreamStarted(flow.id, attempt.number, attempt.target, attempt.time_to_response))
        self._withdraw(flow, attempt)

    # Ends

    def on_attempt_ended(self, attempt: Attempt[Q, A], termination: Termination, answer: A | None) -> None:
        """End an attempt; a second report of the same one changes nothing."""
        if attempt.over:
            return
        attempt.over = True
        attempt.handle = None  # breaks the cycle of the two
        if attempt.timer:
            attempt.timer.cancel()
        flow = attempt.flow
        self.event_counts[termination.value] += 1
        self._answer_client(flow, attempt, termination, answer)
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

    def _answer_client(
        self, flow: Flow[Q, A], attempt: Attempt[Q, A], termination: Termination, answer: A | None
    ) -> None:
        """Give the client what the end of an attempt decides, if anything (rule 6)."""
        if flow.response_started and flow.responding is not attempt:
            return
        if flow.responding is attempt and flow.open:
            if termination is Termination.SERVED:
                self._close(flow)
                flow.counters.passed += 1
                flow.client.on_response_finished()
            elif self.clock.time() < flow.deadline and flow.can_resume():
                # Its client waits: the decisions may continue it elsewhere, or fail it.
                flow.responding = None
                self.event_counts["broke off, may be resumed"] += 1
            else:
                self._close(flow)
                flow.counters.bad_gateway += 1
                self.event_counts["cut"] += 1
                flow.client.on_response_aborted()
        elif termination is Termination.SERVED and flow.open and answer is not None:
            flow.counters.passed += 1
            self._close(flow)
            flow.client.on_response(answer)
        elif termination is Termination.BAD_REQUEST and flow.open:
            flow.counters.bad_gateway += 1
            self._close(flow)  # another target would answer the same
            flow.client.on_bad_request()

    def on_health_check_ended(self, check: HealthCheck[Q, A], termination: Termination) -> None:
        """End a health check; a second report of the same one changes nothing."""
        if not check.over:
            check.over = True
            duration = self.clock.time() - check.started_at
            self.dispatch(api.ProbeResult(check.target, RESULTS[termination], duration))

    def _on_deadline(self, flow: Flow[Q, A]) -> None:
        """Answer a flow by its deadline, whatever the decisions did."""
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
        """No answer to the flow is due any more."""
        flow.open = False
        self.unanswered -= 1

    def _withdraw(self, flow: Flow[Q, A], keep: Attempt[Q, A] | None = None) -> None:
        """Stop the attempts of an ended flow whose request is not completely sent (rule 4).

        Called after the decisions were notified of the end: what they cancelled is over by then.
        """
        if flow.attempts_in_flight:
            for attempt in list(flow.attempts):
                if attempt and attempt is not keep and not attempt.request_sent:
                    attempt.stop(Termination.CANCELLED)

    def _forget(self, flow: Flow[Q, A]) -> None:
        """Drop a flow that is answered and has no attempt in flight; until then it may be cancelled by id."""
        if not flow.open and not flow.attempts_in_flight:
            self.flows.pop(flow.id, None)
            if flow.timer:
                flow.timer.cancel()
            for timer in flow.decision_timers:
                timer.cancel()
