"""The answers on one client's connection, and its end behind the last one."""

from __future__ import annotations

import httptools

from firvane.core.flows import Flow
from firvane.core.net.connection_checks import Quiet, Stands, always
from firvane.core.net.dialer import resets
from firvane.core.net.http import (
    LAST_CHUNK,
    Fault,
    Message,
    Piece,
    Reader,
    Stream,
    answer,
    answer_head,
    framed,
)
from firvane.core.request_counters import ClassCounters
from firvane.proxy.limits.memory_account import Held
from firvane.proxy.limits.memory_costs import WINDOW
from firvane.proxy.net.client_connection import IDLE, ClientConnection
from firvane.proxy.net.client_context import ClientSide

SLOW, LINGER = 2.4, 2.0  # s for a whole request, the first from connecting on; to read the last answer
AT_ONCE = 8 * 1024  # bytes of an answer that any connection takes at once: a new one may send ten packets
STALLED = 30.0  # s in which a client takes nothing of a long answer


class AnsweringConnection(ClientConnection):
    """A client's connection with the state of its request and its answer, and the writing of that answer."""

    def __init__(self, front: ClientSide, quiet: Quiet = always, stands: Stands = always) -> None:
        super().__init__(quiet, stands)
        self.front = front
        self.reader = Reader(httptools.HttpRequestParser)
        self.flow: Flow[Message, Message] | None = None
        self.keep = True  # the request being served lets the connection live on
        self.fault: Fault | None = None  # framing is lost: to be answered after what came before
        self.lost = False  # the fault is being answered: whatever still comes is not read
        self.ending = False  # the last answer is written
        self.started = False  # part of a request has come
        self.rest, self.at = b"", 0  # what has come, and how far it has been read
        self.choked = False  # an answer is not yet with the kernel
        self.kept = 0  # bytes that are charged for what has come and is not a flow yet
        self.charged = 0  # the same for the flow
        self.unread = 0  # and for an answer that the client has not read
        self.unleased = False  # its body has grown large, and waits for a lease
        self.queued = False  # waits for its turn
        self.behind = False  # what is here was sent behind a request that has been taken up
        self.stamp = b""  # a header line for the answer, which says by which policy it was decided
        self.head_at = 0.0  # when the head of what is being read was here
        self.upload: Stream | None = None  # the rest of the flow's request, which is still coming
        self.held = False  # its target takes no more of it now
        self.pouring: Stream | None = None  # the rest of the flow's answer
        self.chunked = self.closes = False  # in chunks; and the connection ends with it
        self.busy = False  # at work in this very call
        self.counts: ClassCounters | None = None  # of the class of what is to be refused unseen

    def go_on(self, given: bool = False) -> None:
        """Do what there is to do next on the connection."""
        raise NotImplementedError

    def on_response_started(self, answer: Message) -> None:
        """A long answer: its head now, the rest as it comes and as the client takes it."""
        flow, stream = self.flow, answer.stream
        if flow is None or stream is None:
            return
        front, length = self.front, answer.length()
        self.chunked = length is None and flow.request.version == b"1.1"
        bare = length is None and not self.chunked
        self.closes = self._is_last() or bare
        if bare:
            resets(self.transport)
        self.charged += WINDOW
        front.account.charge(Held.FLOWS, WINDOW)
        head = answer_head(answer, self.chunked, self.closes)
        if self.stamp:
            head.insert(1, self.stamp)
            self.stamp = b""
        self.transport.writelines(head)
        self.pouring = stream
        self.expires = front.loop.time() + STALLED
        stream.pour(self)

    def more(self, pieces: list[Piece]) -> None:
        if self.pouring and not self.transport.is_closing():
            self.transport.writelines(framed(pieces, self.chunked))
            self.expires = self.front.loop.time() + STALLED
            if self.choked:
                self.pouring.choke(True)

    def last(self) -> None:
        if self.chunked and self.pouring and not self.transport.is_closing():
            self.transport.write(LAST_CHUNK)

    def on_response_finished(self) -> None:
        self.pouring = None
        self._over(self.closes, STALLED, True)

    def on_response_aborted(self) -> None:
        """It ends short of what its head has said, without the last chunk, or by a reset where the end of the
        connection would be its own: so its client can tell."""
        self.pouring = None
        self.transport.abort()

    def on_response(self, answer: Message) -> None:
        self._finish(200, answer.body, answer.size, list(answer.passed_on()))

    def on_rejected(self, retry_after: float) -> None:
        extra = [b"Retry-After: %.3f\r\n" % retry_after] if retry_after > 0 else []
        self._finish(503, [b"refused\n"], 8, extra)

    def on_failed(self) -> None:
        self._finish(502, [b"failed\n"], 7, [])

    def on_bad_request(self) -> None:
        self._turn_down(Fault(400))

    def _reply(self, status: int) -> None:
        """An answer of the proxy's own, with its status as a short body."""
        headers = [b"Content-Type: text/plain\r\n"] + ([b"Allow: GET\r\n"] if status == 405 else [])
        self._finish(status, [b"%d\n" % status], 4, headers)

    def _finish(self, status: int, body: list[Piece], size: int, headers: list[bytes]) -> None:
        close = self._is_last()
        if self.stamp:
            headers, self.stamp = [self.stamp, *headers], b""
        self.transport.writelines(answer(status, body, size, close, headers))
        self._over(close, LINGER, size > AT_ONCE)

    def _is_last(self) -> bool:
        """Whether the connection ends with this answer."""
        # Of a request that is still coming the rest is read and dropped: it must not pass for another.
        return not self.keep or self.front.closing or self.front.crowded or self.upload is not None

    def _over(self, close: bool, patience: float, long: bool) -> None:
        """The answer is written, at the most it has yet to be read; a long one may still be in the kernel."""
        front = self.front
        if self.upload:
            self.lost = True
        self.upload, self.held = None, False
        flow = self._taken_off()
        front.guard.leases.give_back(self)
        self.since = front.loop.time()
        # A request that has begun to come behind this one has its own time.
        self.expires = self.since + (SLOW if self.started else 2 * IDLE)
        self._count_unread(max(self.since, flow.deadline if flow else 0.0) + patience)
        if close:
            self.ending = True
            self.reader.done.clear()
            self.rest, self.at = b"", 0
            # Guards the answer against a reset, which destroys what of it is on its way: a close brings one
            # where bytes are unread (what cannot be used, what stood behind a request, what has come since
            # the loop last looked), and where more come before the last of the answer has left.
            self.expires = front.loop.time() + patience
            if self.lost or self.paused or long or not self.quiet():
                self.transport.write_eof()
            else:
                self.transport.close()
        self.go_on()

    def _count_unread(self, expires: float) -> None:
        """Charge what the client has yet to read; who does not by then what it waited for has gone."""
        if self.choked and not self.unread:
            self.expires = expires
            self.unread = self.transport.get_write_buffer_size()
            self.front.account.charge(Held.WRITING, self.unread)

    def _taken_off(self) -> Flow[Message, Message] | None:
        """The flow, if one is open, which is from now on no longer this connection's."""
        flow, self.flow = self.flow, None
        if flow:
            self.front.ids.discard(flow.request.fields[b"x-call-id"])
            self.front.account.charge(Held.FLOWS, -self.charged)
        return flow

    def _turn_down(self, fault: Fault) -> None:
        """Answer what is at fault and hang up: what follows it may not be what its client meant, or worse."""
        self.keep, self.lost = False, True
        self.front.engine.event_counts[f"turned down {fault.status}"] += 1
        self._reply(fault.status)

    def _read_out(self) -> None:
        """What was left of an answer is with the kernel, or lost."""
        if self.unread:
            self.front.account.charge(Held.WRITING, -self.unread)
            self.unread = 0
