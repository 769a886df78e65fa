"""The clients' side: requests in, each taken up once its turn has come."""

from __future__ import annotations

import asyncio
from typing import cast

from firvane.core.flows import Flow
from firvane.core.net.http import Fault, Message, Stream, bare_class, bare_tenant, is_again
from firvane.proxy.limits.descriptors import Use
from firvane.proxy.limits.loop_budget import CHUNKED, DECIDE, READ_ONE
from firvane.proxy.limits.memory_account import SMALL, Held
from firvane.proxy.limits.memory_costs import FLOW, IDLE_CLIENT, WINDOW
from firvane.proxy.limits.overload import Measure
from firvane.proxy.net.client_connection import BUSY, IDLE
from firvane.proxy.net.client_responses import LINGER, SLOW, STALLED, AnsweringConnection

READY_PATH = b"/up"
FIRST = 2.85  # s from connecting on for the head of the first request, however late it began
PACE, PROGRESS = 24_000.0, 0.4  # bytes a second that a body comes with at the least; s from look to look
STALL = 10.0  # s without a byte of a long request
UPLOAD = 45.0  # s for which a long request may go on coming, beside the time that its answer has
YOUNG = 0.2  # s after connecting in which the first request may well be on its way


class Listener(AnsweringConnection):
    """One client's connection. It answers requests in their order, one at a time.

    Rules that hold here and nowhere else:

    1. What it holds is bounded whatever its client does: bytes of one read that wait unparsed (reading is
       paused while there are any that cannot be looked at yet), one request, and one answer: while that is
       not with the kernel the next request is not taken up.
    2. A last answer is followed by the end of sending, and by a close only once its client has ended, too, or
       has had its time; by a close at once only where nothing of the answer could be lost by it. What comes
       behind a last answer is read and dropped.
    3. Who closes its connection has gone away, and nothing of its goes on any more. The loop tells of that
       only where it reads, and after all that came before. So the kernel is asked as well: of each request
       when it is taken up and at each forward's first byte, and of a connection that is not read at every
       sweep. What is open for it ends in that very call: the decisions must not try again meanwhile.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        # With no buffer allowed, a write goes out at once, and `pause_writing` tells what could not.
        self.transport.set_write_buffer_limits(0)
        front = self.front
        front.connections[self] = None
        front.account.charge(Held.CLIENTS, IDLE_CLIENT)
        self.since = front.loop.time()
        self.expires = self.since + SLOW
        if not front.guard.descriptors.count(Use.CLIENTS):
            front.crowded = True
            front.no_place()
        if front.guard.gives_up(Measure.REFUSE_NEW):
            self.keep = False
            self._finish(503, [b"refused\n"], 8, [])

    def connection_lost(self, error: Exception | None) -> None:
        front = self.front
        if self in front.connections:
            del front.connections[self]
            front.guard.descriptors.give_back(Use.CLIENTS)
            front.crowded = front.crowded and front.guard.descriptors.free(Use.CLIENTS) < 0
            front.account.charge(Held.CLIENTS, -IDLE_CLIENT)
        self.ending = True
        self.upload = self.pouring = None
        self.rest, self.at = b"", 0
        self.reader.drop()
        self._settle()
        self._read_out()
        front.guard.leases.give_back(self)
        flow = self._taken_off()
        if flow:
            self._leave(flow)

    def has_gone(self) -> None:
        if not self.ending:
            self.front.engine.event_counts["client left unread"] += 1
            self.ending = True  # nothing that is here is taken up before the transport says that it is lost
            self.transport.abort()
            self._give_up()

    def waits(self) -> bool:
        """Whether its client is still there, now that something is to be sent on for it."""
        if here := self.stands():
            return here
        self.has_gone()
        return False

    def _leave(self, flow: Flow[Message, Message]) -> None:
        """Nothing is owed to the client any more."""
        if self.front.measures is not None:
            self.front.measures.left(flow)
        self.front.engine.on_client_disconnected(flow)

    def owes(self) -> bool:
        """Whether something that has come whole, or may have, is still to be answered."""
        return bool(self.flow or self.queued or self.rest or self.reader.done)

    def is_idle(self) -> bool:
        return not (self.owes() or self.started or self.ending or self.choked)

    def claim(self) -> tuple[int, float]:
        if self.owes():
            return BUSY, self.since
        if not self.asked or self.ending:
            young = self.front.loop.time() < self.since + YOUNG
            return (3 if young else 1 if self.started or self.ending else 0), self.since
        return ((2 if self.asked == 1 else 4) if self.is_idle() else BUSY), self.since

    def _pace(self, now: float) -> bool:
        """Whether a body is on its way, and quickly enough to be waited for."""
        message = self.reader.message
        if message is None or self.reader.in_head:
            return False
        return message.size > PACE * (now - self.head_at)

    def expire(self) -> None:
        now = self.front.loop.time()
        if self.upload and not self.held:
            self.fault = Fault(408)  # no byte of it for long
            self._give_up()
            self.go_on()
        elif self.started and not self.flow and self._pace(now):
            self.expires = now + PROGRESS
        elif self.ending or self.choked:
            self.transport.abort()
        elif self.flow or self.queued:
            self.expires = self.front.loop.time() + SLOW
        elif self.started:
            self.fault = Fault(408)
            self.go_on()
        elif self.quiet():  # else a request has come that the loop does not know of yet, and would be lost
            self.transport.close()

    def turn_out(self) -> None:
        if self.started and not self.owes():
            self.fault = Fault(503)
            self.go_on()
        elif self.is_idle() and self.quiet():
            self.transport.close()

    def pause_writing(self) -> None:
        self.choked = True

    def resume_writing(self) -> None:
        self.choked = False
        self._read_out()
        if self.pouring:
            self.expires = self.front.loop.time() + STALLED
            self.pouring.choke(False)
            return
        if not self.ending:
            self.since = self.front.loop.time()
            self.expires = self.since + 2 * IDLE
            self.front.turns.wait(self)

    def data_received(self, data: bytes) -> None:
        if self.ending or self.fault:
            return  # what follows the last answer is read and dropped, so that the answer gets through
        front = self.front
        gate = front.gate
        idle = not (self.flow or self.rest or self.started or self.queued or self.choked)
        if idle:
            self.behind = False
            greedy = front.is_greedy(self)
            if gate.shut or gate.crowded(greedy) or front.account.pressed:
                tenant = bare_tenant(data)
                again = gate.again and is_again(data)
                counts = None if tenant is None else front.counts.get(bare_class(data))
                if (tenant is not None and counts) and (
                    gate.turns_away(tenant, greedy, again) or front.account.pressed
                ):
                    self.counts = counts
                    if front.measures is not None:
                        front.count_unseen(bare_class(data), tenant)
                    front.turns.refuse(self)
                    return
        self.rest, self.at = (self.rest[self.at :] + data if self.rest else data), 0
        self.go_on()

    def refuse(self) -> None:
        """Refuse outright what was sent: no decision is asked, nothing has been parsed."""
        if self.ending:
            return
        if self.counts:
            self.counts.dropped += 1
            self.counts = None
        self.asked += 1
        self.since = self.front.loop.time()
        self.expires = self.since + 2 * IDLE
        self.transport.write(next(self.front.refusals))
        if self.choked:
            self._count_unread(self.since + LINGER)
        if self.rest:
            self.go_on()

    def go_on(self, given: bool = False) -> None:
        """Do what there is to do, as far as this turn has room for it."""
        if self.busy:
            return
        self.busy, turns = True, self.front.turns
        turns.begin()
        while not self.queued and self._has_work():
            if not given and (self.behind or self.front.is_greedy(self)):
                turns.wait(self, behind=True)
            elif turns.spend(self._cost()):
                self._work()
            else:
                turns.wait(self)
        self.busy = False
        self._settle()
        # Nothing is read that has no place to go; what comes behind the last answer goes nowhere.
        pause = (bool(self.rest) or self.unleased or self.held) and not self.ending
        if pause is not self.paused and not self.transport.is_closing():
            self.paused = pause
            (self.transport.pause_reading if pause else self.transport.resume_reading)()

    def _settle(self) -> None:
        """Bring the account up to what is here."""
        kept = len(self.rest) - self.at
        if (message := self.reader.message) and not self.upload:
            kept += self.reader.raw
            leases = self.front.guard.leases
            self.unleased = message.size > SMALL and not leases.ask(self, self._leased)
        if kept != self.kept:
            self.front.account.charge(Held.READING, kept - self.kept)
            self.kept = kept

    def _leased(self) -> None:
        self.unleased = False
        self.go_on()

    def _cost(self) -> int:
        """Units of what there is to do next."""
        return DECIDE if self.reader.done else CHUNKED if self.reader.in_chunks() else READ_ONE

    def _has_work(self) -> bool:
        if self.upload and not self.ending:
            return bool(self.rest) and not self.held
        if self.flow or self.ending or self.choked:
            return False
        return bool(self.rest or self.reader.done or self.fault)

    def _work(self) -> None:
        """Take up a request that is read, or read up to the end of one, or turn down what cannot be."""
        if self.reader.done:
            self._take(self.reader.done.pop(0))
        elif self.rest:
            self._read()
        elif self.fault:
            self._turn_down(self.fault)

    def _read(self) -> None:
        try:
            self.at = self.reader.step(self.rest, self.at)
        except Fault as fault:
            self.fault, self.at = fault, len(self.rest)
            if self.upload:
                self._give_up()
        if self.at >= len(self.rest):
            self.rest, self.at = b"", 0
        if self.upload:
            self._upload(self.upload)
            return
        message = self.reader.message
        started = message is not None
        if started and not self.started:
            self.head_at, now = 0.0, self.front.loop.time()
            first = max(self.expires, min(now + SLOW, self.since + FIRST))
            self.expires = now + SLOW if self.asked else first
        self.started = started
        if message and not self.reader.in_head:
            self.head_at = self.head_at or self.front.loop.time()
            if b"expect" in message.fields and not message.continued:
                message.continued = True
                if not message.body:
                    self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
            if message.long and not self.fault:
                self._take_long(message)

    # Long requests

    def _take_long(self, message: Message) -> None:
        """Take up a request before all of it is here: the rest goes on as it comes."""
        self.front.guard.leases.give_back(self)
        self.unleased = False
        self.upload = message.stream = Stream(self)
        # What has come of a body of unknown length goes the way of the rest. Guards a target that has an idle
        # connection, and is written to in this very call, against getting it bare of chunks, and then again.
        self.upload.feed(message.taken())
        self.expires = self.front.loop.time() + STALL
        self._take(message)

    def _upload(self, upload: Stream) -> None:
        """Pass on what has been read of it."""
        message = self.reader.message or (self.reader.done.pop(0) if self.reader.done else None)
        if message is None:
            return
        self.expires = self.front.loop.time() + STALL
        upload.feed(message.taken())
        if message.complete:
            self.upload, self.held, self.started, self.keep = None, False, False, message.keep
            upload.end()

    def _give_up(self) -> None:
        """The rest will not come, or makes no sense."""
        flow = self._taken_off()
        self.upload, self.held = None, False
        if flow:
            self._leave(flow)

    def hold(self, held: bool) -> None:
        """The target takes no more of a long request, or more again."""
        if held is not self.held:
            self.held = held
            self.expires = self.front.loop.time() + STALL
            self.go_on()

    def _take(self, message: Message) -> None:
        """Take up a request that is here."""
        self.keep = message.keep
        if message.url == READY_PATH and b"x-call-id" not in message.fields:  # else of a class with that name
            self._ready(message)
            return
        # Guards against sending on, after a wait for a turn, a lease or an answer before it, what nobody
        # waits for any more: the end of its connection stands behind bytes that were not read.
        if not self.stands():
            self.has_gone()
            return
        # Asked before anything of the request is decided; a process may have stood still since it was read.
        agreement = self.front.agreement
        if agreement is not None and self.front.ready:
            if not agreement.may():
                self.on_rejected(self.front.count_refused(message))
                return
            self.stamp = agreement.stamp
        try:
            request, left = self.front.read(message)
        except Fault as fault:
            self._turn_down(fault)
            return
        # Nothing new is taken on until the list is here, nor, in need, until what is here has gone.
        if not self.front.ready or self.front.account.pressed:
            cls = self.front.settings.classes[request.class_id]
            self.front.engine.request_counters.for_class(cls.name).dropped += 1
            if self.front.measures is not None:
                self.front.count_unseen(cls.name.encode(), message.fields.get(b"x-caller", b""))
            self._reply(503)
            return
        if message.long and message.method == b"GET":
            self._turn_down(Fault(400))
            return
        more = UPLOAD if self.upload else 0.0
        deadline = min(self.front.loop.time() + left + more, self.front.last)
        self.flow = Flow(message, self, deadline, message.fields[b"x-call-id"])
        self.flow.response_time = left if self.upload else 0.0
        message.wanted = self.waits
        self.charged = FLOW + (WINDOW if self.upload else message.size)
        self.front.account.charge(Held.FLOWS, self.charged)
        self.asked += 1
        self.behind = bool(self.rest)
        self.front.count(self)
        self.front.ids.add(message.fields[b"x-call-id"])
        if self.front.measures is not None:
            self.front.measures.take(self.flow, request, self.front.settings)
        self.front.engine.accept_request(self.flow, request)

    def _ready(self, message: Message) -> None:
        self.asked += 1
        if message.method != b"GET":
            self._reply(405)
        else:
            front = self.front
            up = front.ready and not front.draining and (front.agreement is None or front.agreement.may())
            self._reply(200 if up else 503)
