"""The gRPC side of the control service: streams of xDS, load reports, and what operators ask.

Here are sockets and no decisions: `Stream` says what a receiver is told, `Catalog` what there is to tell. Who
is written to first is the one thing that is settled here: those from whom something is to be taken away.
"""

from __future__ import annotations

import asyncio
import contextlib
import heapq
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

import grpc
from envoy.service.load_stats.v3 import lrs_pb2
from google.protobuf.message import DecodeError

from firvane.core.logs import QUIET, Log
from firvane.proxy.control import stream_codec
from firvane.proxy.control.stream import Stream, TooMuch
from firvane.proxy.control.types import Kind, State

WRITING = 64  # answers that are being written at once; one that takes longer than SLOW is not counted
SLOW = 0.02  # s
STUCK = 10.0  # s that one answer may take to be written, before its receiver is given up
LAST = 1.0  # s that an answer may take to be written before its stream is ended in spite of it
PATIENCE = 5.0  # s for which a receiver that has heard of a newer list waits for it here
AGES = 10_000  # times to an ACK that are kept
LONGEST = 4 << 20  # bytes of a request
SHOW = "/firvane.control.v1.Control/Show"


class Service(Protocol):
    """What the streams need of the rest of the service."""

    name: str

    def zone_of(self, name: str) -> int: ...

    def state(self, zone: int) -> State | None:
        """What those in a zone are told now; None while there is no list."""

    def settled_at(self, zone: int) -> float:
        """When that was settled on, on the loop's clock."""

    def come(self, name: str, zone: int) -> bool: ...

    def go(self, name: str) -> None: ...

    def reported(self, node: stream_codec.Node, request: Any) -> None: ...

    def may(self, names: frozenset[str]) -> bool:
        """Whether the owner of a certificate with these names may see the service."""

    def show(self, asked: bytes) -> bytes:
        """What operators ask."""


class Session:
    """One stream of one receiver."""

    def __init__(self, context: Any, delta: bool, peer: str, now: float) -> None:
        self.context, self.peer, self.began = context, peer, now
        self.stream = Stream(delta)
        self.node: stream_codec.Node | None = None
        self.zone = -1
        self.counted = False
        self.rank = 9  # with which it waits to be written to; 9: it does not
        self.writing = 0.0  # since when an answer is being written; 0: none is
        self.counts = False  # and that it is among the `WRITING`
        self.over, self.idle = asyncio.Event(), asyncio.Event()  # it has ended; nothing is being written
        self.idle.set()
        self.why = ""
        self.sent_at: dict[str, float] = {}  # when what an answer tells was settled on, by nonce
        self.acked_at = 0.0
        self.age = 0.0  # s that the last ACK of endpoints took

    def end(self, why: str) -> None:
        if not self.over.is_set():
            self.why = why
            self.over.set()


class Pump:
    """Writes to whoever is due, the urgent first, a bounded number at once."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, next_answer: Callable[[Session], bytes | None]
    ) -> None:
        """`next_answer` makes what a session is to be told now, if there is anything."""
        self.loop, self.next = loop, next_answer
        self.heap: list[tuple[int, int, Session]] = []
        self.busy = 0
        self.written, self.bytes = 0, 0
        self._count = 0
        self._due, self._free = asyncio.Event(), asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def wake(self, session: Session, rank: int) -> None:
        """There may be something to tell it; rank 0 before 1."""
        if rank < session.rank and not session.over.is_set():
            session.rank = rank
            self._count += 1
            heapq.heappush(self.heap, (rank, self._count, session))
            self._due.set()

    async def run(self) -> None:
        """For as long as the service lives."""
        while True:
            if not self.heap:
                self._due.clear()
                await self._due.wait()
            while self.busy >= WRITING:
                self._free.clear()
                await self._free.wait()
            rank, _, session = heapq.heappop(self.heap)
            if rank != session.rank or session.over.is_set():
                continue  # it was woken again with a better rank, and has had its turn
            session.rank = 9
            if session.writing:
                continue  # it comes again when that is done
            data = self.next(session)
            if data is None:
                continue
            session.writing = self.loop.time()
            session.idle.clear()
            self.busy += 1
            task = self.loop.create_task(self._write(session, data))  # gRPC writes by coroutines alone
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _write(self, session: Session, data: bytes) -> None:
        slow = self.loop.call_later(SLOW, self._release, session)
        session.counts = True
        try:
            await session.context.write(data)
            self.written += 1
            self.bytes += len(data)
        except (grpc.RpcError, asyncio.InvalidStateError, RuntimeError) as error:
            session.end(f"cannot be written to: {type(error).__name__}")
        finally:
            slow.cancel()
            self._release(session)
            session.writing = 0.0
            session.idle.set()
            self.wake(session, 1)

    def _release(self, session: Session) -> None:
        """It counts no more among those that are being written to: it is done, or slow."""
        if session.counts:
            session.counts = False
            self.busy -= 1
            self._free.set()


class Ads:
    """The servicer; `server` is started by whoever wires it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, service: Service, report: float, log: Log = QUIET
    ) -> None:
        """`report` is the seconds between load reports."""
        self.loop, self.service, self.report, self.log = loop, service, report, log
        self.writer = stream_codec.Writer(service.name)
        self.pump = Pump(loop, self._next)
        self.sessions: set[Session] = set()
        self.ages: deque[float] = deque(maxlen=AGES)
        self.refusals = self.acks = 0
        self._pumping: asyncio.Task[None] | None = None

    def handlers(self) -> Any:
        """For `grpc.aio.Server.add_generic_rpc_handlers`."""
        ads = "envoy.service.discovery.v3.AggregatedDiscoveryService"
        kinds = {
            f"/{ads}/StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._whole, stream_codec.Request.FromString, None
            ),
            f"/{ads}/DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._delta, stream_codec.DeltaRequest.FromString, None
            ),
            "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats": (
                grpc.stream_stream_rpc_method_handler(
                    self._loads,
                    lrs_pb2.LoadStatsRequest.FromString,
                    lrs_pb2.LoadStatsResponse.SerializeToString,
                )
            ),
            SHOW: grpc.unary_unary_rpc_method_handler(self._show, None, None),
        }
        return _Handlers(kinds)

    def start(self) -> None:
        self._pumping = self.loop.create_task(self.pump.run())

    def stop(self) -> None:
        if self._pumping:
            self._pumping.cancel()
        for session in self.sessions:
            session.end("this service ends")

    def published(self, zones: list[int]) -> None:
        """There are new states for these groups."""
        for session in self.sessions:
            if session.zone in zones and (state := self.service.state(session.zone)):
                self.pump.wake(session, 0 if session.stream.is_urgent(state) else 1)

    def sweep(self) -> None:
        """Give up receivers that do not read."""
        now = self.loop.time()
        for session in list(self.sessions):
            if session.writing and now > session.writing + STUCK:
                session.end(f"has not read for {STUCK:g} s")

    def _next(self, session: Session) -> bytes | None:
        state = self.service.state(session.zone)
        if state is None or session.node is None:
            return None
        wait = session.began + PATIENCE - self.loop.time()
        if session.stream.floor > state.number and wait > 0:
            self.loop.call_later(min(0.25, wait), self.pump.wake, session, 1)
            return None  # another service has told it of a newer list
        try:
            push = session.stream.next(state)
        except TooMuch as error:
            session.end(str(error))
            return None
        except Exception:  # a fault with one receiver must not keep the others from hearing
            self.log.exception("answer_failed", receiver=session.node.id)
            session.end("a fault of the service")
            return None
        if push is None:
            return None
        if push.kind is Kind.ENDPOINTS:
            session.sent_at[push.nonce] = self.service.settled_at(session.zone)
        return self.writer.write(push, session.stream.delta)

    async def _whole(self, _: Any, context: Any) -> None:
        await self._serve(Session(context, False, context.peer(), self.loop.time()))

    async def _delta(self, _: Any, context: Any) -> None:
        await self._serve(Session(context, True, context.peer(), self.loop.time()))

    async def _serve(self, session: Session) -> None:
        if not self._may(session.context, session.peer):
            await session.context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        self.sessions.add(session)
        reading = self.loop.create_task(self._read(session))
        try:
            await session.over.wait()
        finally:
            session.over.set()
            reading.cancel()
            self.sessions.discard(session)
            if session.node and session.counted:
                self.service.go(session.node.id)
            name = session.node.id if session.node else session.peer
            self.log.info("receiver_left", receiver=name, why=session.why or "it hung up")
        if session.why:
            await self._written(session)  # a status cannot be sent beside an answer
            await session.context.abort(grpc.StatusCode.UNAVAILABLE, session.why)

    async def _written(self, session: Session) -> None:
        """Until nothing is being written to it, for `LAST` at the most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.loop.time() + LAST):
                await session.idle.wait()

    async def _read(self, session: Session) -> None:
        try:
            while True:
                request = await session.context.read()
                if request is grpc.aio.EOF:
                    break
                if session.node is None:
                    self._meet(session, request)
                self._heard(session, request)
        except TooMuch as error:
            session.end(str(error))
        except DecodeError:
            session.end("a request cannot be read")
        except (grpc.RpcError, asyncio.InvalidStateError, RuntimeError):
            pass  # the receiver is gone
        except Exception:
            self.log.exception("request_failed", peer=session.peer)
            session.end("a fault of the service")
        finally:
            session.end(session.why)

    def _meet(self, session: Session, request: Any) -> None:
        node = stream_codec.read_node(request.node)
        if not node.id:
            raise TooMuch("the first request names no node.id")
        zone = self.service.zone_of(node.zone)
        if not self.service.come(node.id, zone):
            raise TooMuch("there are too many receivers")
        session.node, session.zone, session.counted = node, zone, True
        self.log.info("receiver", receiver=node.id, zone=node.zone, agent=node.agent, peer=session.peer)

    def _heard(self, session: Session, request: Any) -> None:
        stream = session.stream
        refusals = stream.refusals
        kind = stream_codec.read(stream, request)
        if (at := session.sent_at.pop(request.response_nonce, None)) is not None:
            session.acked_at = self.loop.time()
            session.age = session.acked_at - at
            self.ages.append(session.age)
            self.acks += 1
        if stream.refusals > refusals and kind and session.node:
            self.refusals += 1
            self.log.error("refused", receiver=session.node.id, kind=kind.value, why=stream.watches[kind].why)
        if kind is not None:
            self.pump.wake(session, 1)

    async def _loads(self, _: Any, context: Any) -> None:
        if not self._may(context, context.peer()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        node: stream_codec.Node | None = None
        while (request := await context.read()) is not grpc.aio.EOF:
            if node is None:
                node = stream_codec.read_node(request.node)
                answer = lrs_pb2.LoadStatsResponse(
                    clusters=[self.service.name], report_endpoint_granularity=True
                )
                answer.load_reporting_interval.FromNanoseconds(round(self.report * 1e9))
                await context.write(answer)
            if request.cluster_stats:
                self.service.reported(node, request)

    async def _show(self, asked: bytes, context: Any) -> bytes:
        if not self._may(context, context.peer()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        return self.service.show(asked)

    def _may(self, context: Any, peer: str) -> bool:
        found = context.auth_context()
        names = frozenset(
            name.decode("utf-8", "replace")
            for key in ("x509_common_name", "x509_subject_alternative_name")
            for name in found.get(key, ())
        )
        if self.service.may(names):
            return True
        self.log.warning("not_allowed", peer=peer, names=",".join(sorted(names)))
        return False


class _Handlers(grpc.GenericRpcHandler):  # type: ignore[misc]
    """By the name of the call."""

    def __init__(self, kinds: dict[str, Any]) -> None:
        self.kinds = kinds

    def service(self, handler_call_details: Any) -> Any:
        return self.kinds.get(handler_call_details.method)
