"""Turns the decisions' actions into calls on a front, and the front's news into the decisions' events.

The engine knows no wire format: a front hands it flows whose requests and answers it never opens, so that a
second front can go through the same decisions and the same rules. It upholds what the simulator did for the
decisions: the caps on attempts and on open flows, the deadlines, and exactly one final answer.

Rules of a flow and its forwards:

1. A flow has one final answer, or none where its client has left (`_close`), and is forgotten once none of
   its forwards is out (`_forget`).
2. A forward ends once (`forward_ended`), whoever reports it and whatever is reported later.
3. A forward is out, and may have run, from the moment its last byte is with the kernel (`sent`). Until then
   giving it up is nothing that its target could hear as a request, so it needs no leave from the settings.
4. What is not written whole when its flow ends is not written at all (`_withdraw`): where the flow is
   answered, its client has left, a long answer has begun, or a long body has gone out on another forward.
   Only so does a dial that comes up late bring nobody's request to a target.
5. What was given up before it was sent never ran, and is reported so (`Forward.stop`).
"""

from __future__ import annotations

import math
import time
from asyncio import TimerHandle
from collections import Counter, deque
from collections.abc import Callable, Sequence
from typing import Any, Generic, Protocol, TypeVar

from firvane.core import interface as api
from firvane.core.logs import LEVELS, QUIET, Log
from firvane.core.request_counters import Counts, Tally
from firvane.core.terminations import RESULTS, Ending

Q = TypeVar("Q")  # a request as the front holds it
A = TypeVar("A")  # a target's answer as the front holds it
Q_contra = TypeVar("Q_contra", contravariant=True)
A_contra = TypeVar("A_contra", contravariant=True)
A_co = TypeVar("A_co", covariant=True)


class Clock(Protocol):
    """The part of an event loop that keeps time. All deadlines are on its clock."""

    def time(self) -> float: ...

    def call_at(self, when: float, callback: Callable[..., Any], *args: Any) -> TimerHandle: ...


class Client(Protocol[A_contra]):
    """Who asked; hears exactly one of these, once (but for a long answer, which begins and ends)."""

    def served(self, answer: A_contra) -> None: ...

    def begins(self, answer: A_contra) -> None:
        """The answer has begun, and the rest comes on its own; one of the next two follows."""

    def ends(self) -> None:
        """It is whole."""

    def cut(self) -> None:
        """There will be no more of it."""

    def refused(self, retry_after: float) -> None: ...

    def failed(self) -> None: ...

    def at_fault(self) -> None:
        """Its request cannot be used, as a target has found."""


class Handle(Protocol):
    """An exchange under way."""

    def cancel(self) -> None:
        """Stop at once, reporting nothing."""


class Exchange(Protocol[A_contra]):
    """What a front needs to know of one forward or probe, and where it says how that ended."""

    deadline: float
    by: float  # its first byte goes out before that, or never

    def written(self) -> None:
        """The last byte of the request is with the kernel."""

    def spent(self) -> None:
        """Part of the request is gone from here: it cannot be sent again."""

    def begun(self, answer: A_contra) -> None:
        """A long answer has begun to come; the exchange ends when all of it has."""

    def ended(self, ending: Ending, answer: A_contra | None = None) -> None: ...


class Targets(Protocol[Q_contra, A_co]):
    """The way to the targets. An exchange may end before the call returns."""

    def forward(self, request: Q_contra, target: str, exchange: Exchange[A_co]) -> Handle: ...

    def probe(self, target: str, exchange: Exchange[A_co]) -> Handle: ...

    def close_idle(self, target: str) -> None: ...


class Post(Protocol):
    """The way to the other proxies."""

    def tell(self, peer: int | None, payload: bytes) -> None: ...


class Directory(Protocol):
    """The way to the list of targets."""

    def refresh(self) -> None: ...


class Decisions(Protocol):
    """A decision module: it takes events and answers with actions."""

    actions: list[api.Action]  # those of the event that is being handled, also where it fails half-way

    def start(self, now: float) -> list[api.Action]: ...

    def handle(self, event: Any, now: float) -> list[api.Action]:
        """`event` is one of `interface.Event`, or of the module's own."""

    def retune(self, settings: api.Settings) -> None: ...


class Gate(Protocol):
    """Where requests come in: it refuses unseen what the decisions have turned away in bulk."""

    def turn_away(self, parts: Sequence[float], retry_after: float, again: bool) -> None:
        """These parts of what comes from now on, by tenant, or one for all; `again`: and marked retries."""


UNTAKEN = Counts()  # of no class: nothing is counted there


class Flow(Generic[Q, A]):
    """A request on its way through: what it asks, who asked, by when, and its forwards."""

    __slots__ = (
        "begun",
        "bounded",
        "client",
        "counts",
        "deadline",
        "forwards",
        "id",
        "left",
        "live",
        "log",
        "name",
        "open",
        "request",
        "resumable",
        "spent",
        "timer",
        "timers",
    )

    def __init__(self, request: Q, client: Client[A], deadline: float, name: bytes = b"") -> None:
        self.request, self.client, self.deadline = request, client, deadline
        self.name = name  # what its client calls it, for the log
        self.id = -1
        self.open = True  # its final answer is owed
        self.counts = UNTAKEN  # of its class, once it is taken
        self.begun: Forward[Q, A] | None = None  # whose long answer the client is being given
        self.spent = False  # its body is not all here any more
        self.bounded = False  # its deadline also ends an answer that has begun
        self.resumable = False  # an answer that broke off may be continued by a further forward
        self.left = 0.0  # s that it has from its last byte on, where that is yet to come
        self.forwards: list[Forward[Q, A] | None] = []
        self.live = 0
        self.timer: TimerHandle | None = None
        self.timers: list[TimerHandle] = []  # those that the decisions set for it
        self.log = QUIET


class Forward(Generic[Q, A]):
    """One attempt of a flow."""

    __slots__ = (
        "by",
        "deadline",
        "engine",
        "flow",
        "handle",
        "number",
        "over",
        "sent",
        "since",
        "target",
        "timer",
        "took",
    )

    def __init__(
        self, engine: Engine[Q, A], flow: Flow[Q, A], target: str, since: float, deadline: float, by: float
    ) -> None:
        self.engine, self.flow, self.target = engine, flow, target
        self.since, self.deadline, self.by = since, deadline, by
        self.number = len(flow.forwards)
        self.handle: Handle | None = None
        self.timer: TimerHandle | None = None
        self.over = False
        self.sent = False  # its last byte is with the kernel
        self.took = 0.0  # s until a long answer began

    def written(self) -> None:
        self.engine.forward_written(self)

    def spent(self) -> None:
        self.engine.spend(self)

    def begun(self, answer: A) -> None:
        self.engine.forward_begun(self, answer)

    def ended(self, ending: Ending, answer: A | None = None) -> None:
        self.engine.forward_ended(self, ending, answer)

    def stop(self, ending: Ending) -> None:
        """End it from this side."""
        if not self.over:
            if self.handle:
                self.handle.cancel()
            # Guards an unsafe request against passing for one that may have run while it was in a dial.
            unsent = ending is Ending.CANCELLED and not self.sent
            self.ended(Ending.WITHDRAWN if unsent else ending)


class Probing(Generic[Q, A]):
    """A probe under way."""

    def __init__(self, engine: Engine[Q, A], target: str, since: float, deadline: float) -> None:
        self.engine, self.target, self.since, self.deadline = engine, target, since, deadline
        self.by = deadline
        self.handle: Handle | None = None
        self.over = False

    def written(self) -> None: ...

    def spent(self) -> None: ...

    def begun(self, answer: A) -> None:
        self.expire()  # no answer to a probe is that long

    def ended(self, ending: Ending, answer: A | None = None) -> None:
        self.engine.probe_ended(self, ending)

    def expire(self) -> None:
        if not self.over and self.handle:
            self.handle.cancel()
        self.ended(Ending.OVERDUE)


class Engine(Generic[Q, A]):
    """Owns the decisions, the flows that are open, their ids, and the decisions' timers."""

    def __init__(
        self,
        settings: api.Settings,
        decisions: Decisions,
        clock: Clock,
        targets: Targets[Q, A],
        post: Post,
        directory: Directory,
        wall: Callable[[], float] = time.time,
        log: Log = QUIET,
    ) -> None:
        self.log = log
        self.tracing = log.is_enabled_for(LEVELS["debug"])  # each flow has a log of its own, and uses it
        self.settings, self.clock = settings, clock
        self.targets, self.post, self.directory = targets, post, directory
        # The decisions' clock reads Unix time but advances with the loop's: starts of targets are told in
        # Unix time, peers drop a row whose stamp is older than the last (a reboot must not set it back), and
        # a step of the system's clock must not move a deadline. Read once: a start always maps alike.
        self.offset = wall() - clock.time()
        self.decisions = decisions
        self.gate: Gate | None = None  # the front that has one puts itself here
        self.flows: dict[int, Flow[Q, A]] = {}
        self.owed = 0  # flows that have no final answer yet
        self.last = math.inf  # no flow may be open any more then
        self.known: set[str] = set()  # the targets that the list names
        self.endings: Counter[str] = Counter()  # for the log
        self.tally = Tally()
        self.faults = 0
        self._next_id = 0
        self._events: deque[Any] = deque()
        self._busy = False
        self._handlers: dict[type[Any], Callable[[Any], None]] = {
            api.Send: self._send,
            api.Reject: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.SetTimer: self._set_timer,
            api.SendToPeer: lambda action: self.post.tell(action.peer, action.payload),
            api.Probe: self._probe,
            api.CloseIdle: lambda action: self.targets.close_idle(action.server),
            api.Watch: lambda action: self.directory.refresh(),
            api.Fetch: lambda action: self.directory.refresh(),
            api.ShedLoad: self._turn_away,
            api.Log: lambda action: self.log.info(action.event, **(action.fields or {"text": action.text})),
        }

    def now(self) -> float:
        """The time as the decisions know it."""
        return self.clock.time() + self.offset

    def start(self) -> None:
        self._act(self.decisions.start(self.now()))
        self._drain()

    def retune(self, settings: api.Settings) -> None:
        """Go on by other settings, in which numbers that are in use mean the same as before."""
        self.settings = settings
        self.decisions.retune(settings)

    # News from the front

    def take(self, flow: Flow[Q, A], request: api.Request) -> None:
        """A new flow; the engine numbers it and sets what is left of its time."""
        flow.counts = self.tally.of(self.settings.classes[request.class_id].name)
        if self.owed >= self.settings.limits.max_open_requests:
            self.endings["over the cap on open flows"] += 1
            flow.counts.dropped += 1
            flow.open = False
            flow.client.refused(0.0)
            return
        flow.id = request.id = self._next_id = (self._next_id + 1) & 0xFFFFFFFF
        request.time_left = max(0.0, flow.deadline - self.clock.time())
        self.flows[flow.id] = flow
        self.owed += 1
        if self.tracing:
            flow.log = self.log.bind(flow=flow.id, call=flow.name.decode("latin-1"))
            flow.log.debug("flow_taken", cls=request.class_id, left_ms=1000 * request.time_left)
        flow.timer = self.clock.call_at(flow.deadline, self._deadline, flow)
        self.give(request)

    def leave(self, flow: Flow[Q, A]) -> None:
        """The client has gone away: nothing is owed to it any more."""
        if flow.open:
            self.endings["client left"] += 1
            self._close(flow)
            if flow.begun:
                flow.begun.stop(Ending.CANCELLED)
            self.give(api.ClientGone(flow.id))
            self._withdraw(flow)
            self._forget(flow)

    def hasten(self, last: float) -> None:
        """The proxy ends: no flow may be open any more at `last`, whatever time its client has."""
        self.last, now = last, self.clock.time()
        for flow in list(self.flows.values()):
            if flow.open and (flow.bounded or not flow.begun) and flow.deadline > last:
                self._due(flow, last)
                self.give(api.DeadlineShortened(flow.id, max(0.0, last - now)))

    def _due(self, flow: Flow[Q, A], deadline: float) -> None:
        """The flow has another deadline than before, and so has what is on its way for it."""
        flow.deadline = deadline
        for forward in flow.forwards:
            if forward:
                forward.deadline = min(forward.deadline, deadline)
        if flow.timer:
            flow.timer.cancel()
        flow.timer = self.clock.call_at(deadline, self._deadline, flow)

    def listed(self, news: api.ServerList) -> None:
        if news.kind is api.ListKind.COMPLETE:
            self.known.clear()
        for server in news.servers:
            (self.known.discard if server.state is api.ServerState.GONE else self.known.add)(server.id)
        self.give(news)

    def know(self, targets: set[str]) -> None:
        """Forwards are allowed to these targets, and to no others."""
        self.known = targets

    def give(self, event: Any) -> None:
        """Hand an event to the decisions, in order of arrival, never from within an earlier one."""
        self._events.append(event)
        self._drain()

    def _drain(self) -> None:
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    actions = self.decisions.handle(event, self.now())
                except Exception:
                    # A fault in one decision must not take the proxy down: what was decided before it stands
                    # (the window timer above all), and each open flow still has its deadline.
                    self.faults += 1
                    if self.faults <= 20:
                        self.log.exception("decisions_failed", on=type(event).__name__)
                    actions = self.decisions.actions
                self._act(actions)
        finally:
            self._busy = False

    def _act(self, actions: list[api.Action]) -> None:
        for action in actions:
            self._handlers[type(action)](action)

    # Actions

    def _send(self, action: api.Send) -> None:
        flow = self.flows.get(action.id)
        if flow is None:
            return
        limits, now = self.settings.limits, self.clock.time()
        deadline = flow.deadline if action.timeout <= 0 else min(flow.deadline, now + action.timeout)
        forward = Forward(self, flow, action.server, now, deadline, action.start_before - self.offset)
        flow.forwards.append(forward)
        flow.live += 1
        allowed = flow.open and forward.number < limits.max_attempts and action.server in self.known
        allowed = allowed and not flow.spent and not flow.begun
        if not allowed or (flow.live > 1 and not limits.hedging):
            forward.ended(Ending.NOT_ALLOWED)
            return
        if deadline < flow.deadline:
            forward.timer = self.clock.call_at(deadline, forward.stop, Ending.OVERDUE)
        handle = self.targets.forward(flow.request, action.server, forward)
        if not forward.over:
            forward.handle = handle

    def _refuse(self, action: api.Reject) -> None:
        flow = self.flows.get(action.id)
        if flow and flow.open and not flow.begun:
            self.endings["refused"] += 1
            flow.counts.dropped += 1
            self._close(flow)
            flow.client.refused(action.retry_after if self.settings.limits.retry_after else 0.0)
            self._withdraw(flow)
            self._forget(flow)

    def _fail(self, action: api.Fail) -> None:
        flow = self.flows.get(action.id)
        if flow and flow.open and not flow.begun:
            self.endings["failed"] += 1
            flow.counts.bad_gateway += 1
            self._close(flow)
            flow.client.failed()
            self._withdraw(flow)
            self._forget(flow)

    def _cancel(self, action: api.Cancel) -> None:
        flow = self.flows.get(action.id)
        if flow and 0 <= action.attempt < len(flow.forwards):
            forward = flow.forwards[action.attempt]
            if forward:
                forward.stop(Ending.CANCELLED)

    def _set_timer(self, action: api.SetTimer) -> None:
        event = api.TimerFired(action.token)
        timer = self.clock.call_at(self.clock.time() + max(0.0, action.delay), self.give, event)
        if action.request is not None and (flow := self.flows.get(action.request)):
            flow.timers.append(timer)  # most requests end long before it, and one that fires costs far more

    def _turn_away(self, action: api.ShedLoad) -> None:
        if self.gate:
            self.gate.turn_away(action.fractions, action.retry_after, action.include_retries)

    def _probe(self, action: api.Probe) -> None:
        now = self.clock.time()
        probing = Probing(self, action.server, now, now + self.settings.limits.connect_timeout)
        self.clock.call_at(probing.deadline, probing.expire)
        probing.handle = self.targets.probe(action.server, probing)

    # Long messages

    def spend(self, forward: Forward[Q, A]) -> None:
        """Part of its flow's body is on its way: no other attempt can be made, nor one that is in a dial."""
        flow = forward.flow
        if not flow.spent:
            flow.spent = True
            self.give(api.BodyConsumed(flow.id))
            self._withdraw(flow, forward)

    def forward_written(self, forward: Forward[Q, A]) -> None:
        flow, now = forward.flow, self.clock.time()
        forward.sent = True
        flow.counts.upstream_tries += 1
        if flow.left and flow.open and not flow.begun:
            # A long request has its time from its last byte on, and so has the target.
            forward.since = now
            self._due(flow, min(now + flow.left, self.last))
            flow.left = 0.0

    def forward_begun(self, forward: Forward[Q, A], answer: A) -> None:
        """From here on the answer is the client's, and it is the lack of progress that ends it."""
        flow = forward.flow
        if forward.over or not flow.open or flow.begun:
            forward.stop(Ending.CANCELLED)
            return
        flow.begun, forward.took = forward, self.clock.time() - forward.since
        for timer in (None if flow.bounded else flow.timer, forward.timer):
            if timer:
                timer.cancel()
        self.endings["begun"] += 1
        flow.client.begins(answer)
        self.give(api.StreamStarted(flow.id, forward.number, forward.target, forward.took))
        self._withdraw(flow, forward)

    # Ends

    def forward_ended(self, forward: Forward[Q, A], ending: Ending, answer: A | None) -> None:
        """The one way out of a forward; a second report of the same one changes nothing."""
        if forward.over:
            return
        forward.over, forward.handle = True, None  # the handle knows the forward: without this they stay
        if forward.timer:
            forward.timer.cancel()
        flow = forward.flow
        flow.forwards[forward.number] = None
        flow.live -= 1
        self.endings[ending.value] += 1
        if flow.begun is forward and flow.open:
            if ending is Ending.SERVED:
                self._close(flow)
                flow.counts.passed += 1
                flow.client.ends()
            elif flow.resumable and self.clock.time() < flow.deadline:
                flow.begun = None  # its client waits: the decisions may continue it elsewhere, or give it up
                self.endings["broke off, may be resumed"] += 1
            else:
                self._close(flow)
                flow.counts.bad_gateway += 1
                self.endings["cut"] += 1
                flow.client.cut()
        elif ending is Ending.SERVED and flow.open and answer is not None:
            flow.counts.passed += 1
            self._close(flow)
            flow.client.served(answer)
        elif ending is Ending.AT_FAULT and flow.open:
            flow.counts.bad_gateway += 1
            self._close(flow)  # another target would say the same
            flow.client.at_fault()
        took = forward.took or self.clock.time() - forward.since
        if self.tracing:
            flow.log.debug(
                "attempt_ended",
                attempt=forward.number,
                target=forward.target,
                ending=ending.value,
                took_ms=1000 * took,
                answered=not flow.open,
            )
        self._forget(flow)
        self.give(api.Outcome(flow.id, forward.number, forward.target, RESULTS[ending], took, not flow.open))
        if flow.live and not flow.open:
            self._withdraw(flow)

    def probe_ended(self, probing: Probing[Q, A], ending: Ending) -> None:
        if not probing.over:
            probing.over = True
            took = self.clock.time() - probing.since
            self.give(api.ProbeResult(probing.target, RESULTS[ending], took))

    def _deadline(self, flow: Flow[Q, A]) -> None:
        """The last resort: whatever the decisions did, a flow is answered by its deadline."""
        for forward in list(flow.forwards):
            if forward:
                forward.stop(Ending.OVERDUE)
        if flow.open:
            self.endings["unanswered at the deadline"] += 1
            flow.counts.bad_gateway += 1
            self._close(flow)
            flow.client.failed()
            self.give(api.ClientGone(flow.id))
            self._forget(flow)

    def _close(self, flow: Flow[Q, A]) -> None:
        flow.open = False
        self.owed -= 1

    def _withdraw(self, flow: Flow[Q, A], but: Forward[Q, A] | None = None) -> None:
        """Give up what of a flow that has ended is not written whole (rule 4), whatever the decisions did.

        It comes after they have heard of the end: what they cancel is then over already.
        """
        if flow.live:
            for forward in list(flow.forwards):
                if forward and forward is not but and not forward.sent:
                    forward.stop(Ending.CANCELLED)

    def _forget(self, flow: Flow[Q, A]) -> None:
        """Drop a flow that is answered and has nothing out; till then it may be cancelled by its id."""
        if not flow.open and not flow.live:
            self.flows.pop(flow.id, None)
            if flow.timer:
                flow.timer.cancel()
            for timer in flow.timers:
                timer.cancel()
