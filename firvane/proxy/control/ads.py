"""The gRPC side of the control service: xDS streams (ADS), load reports (LRS), and operators' calls.

`Stream` decides what a receiver gets, `Catalog` holds the snapshots. Only the order of writes is decided
here: receivers from which a backend is removed come first.
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
from firvane.proxy.control.stream import ReceiverLimitError, Stream
from firvane.proxy.control.types import ResourceType, Snapshot

MAX_CONCURRENT_WRITES = 64  # without those that take longer than SLOW_WRITE_S
SLOW_WRITE_S = 0.02
WRITE_TIMEOUT_S = 10.0  # then the receiver is disconnected
FINAL_WRITE_TIMEOUT_S = 1.0  # of a write that delays the end of its stream
STALE_WAIT_S = 5.0  # of a receiver that knows a newer server list than this service
STALE_RETRY_S = 0.25
ACK_AGE_SAMPLES = 10_000
NANOSECONDS_PER_S = 1e9
RANK_URGENT = 0
RANK_USUAL = 1
RANK_NONE = 9  # not scheduled
MAX_REQUEST_BYTES = 4 << 20
SHOW_METHOD = "/firvane.control.v1.Control/Show"


class Service(Protocol):
    """The parts of the service that the streams use."""

    name: str

    def zone_of(self, name: str) -> int:
        """The number of a zone by name."""

    def snapshot(self, zone: int) -> Snapshot | None:
        """The current snapshot for a zone; None until there is a server list."""

    def decided_at(self, zone: int) -> float:
        """When that snapshot was decided, on the loop's clock."""

    def connect(self, name: str, zone: int) -> bool:
        """Register a stream of a receiver; returns False if there are too many receivers."""

    def disconnect(self, name: str) -> None:
        """Record the end of a receiver's stream."""

    def on_report(self, node: stream_codec.Node, request: Any) -> None:
        """Take a load report of a receiver."""

    def is_allowed(self, names: frozenset[str]) -> bool:
        """Whether the owner of a certificate with these names may use the service."""

    def show(self, asked: bytes) -> bytes:
        """Answer an operator's call."""


class Session:
    """One xDS stream of one receiver."""

    def __init__(self, context: Any, delta: bool, peer: str, now: float) -> None:
        self.context = context
        self.peer = peer
        self.began = now
        self.stream = Stream(delta)
        self.node: stream_codec.Node | None = None
        self.zone = -1
        self.counted = False
        self.rank = RANK_NONE  # with which it is scheduled for a write
        self.writing = 0.0  # when the current write began; 0: none
        self.counts = False  # whether that write counts as concurrent
        self.over = asyncio.Event()  # the stream has ended
        self.idle = asyncio.Event()  # nothing is being written
        self.idle.set()
        self.why = ""
        self.sent_at: dict[str, float] = {}  # when the snapshot of a response was decided, by nonce
        self.acked_at = 0.0
        self.age = 0.0  # seconds from the decision to the last ACK of endpoints

    def end(self, why: str) -> None:
        """End the stream; the first reason stands."""
        if not self.over.is_set():
            self.why = why
            self.over.set()


class ResponseScheduler:
    """Writes the due responses, urgent ones first, with bounded concurrency."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, next_response: Callable[[Session], bytes | None]
    ) -> None:
        """Create the scheduler; `next_response` returns the encoded response that is due, or None."""
        self.loop = loop
        self.next_response = next_response
        self.heap: list[tuple[int, int, Session]] = []
        self.busy = 0
        self.written = 0
        self.bytes = 0
        self._count = 0
        self._due = asyncio.Event()
        self._free = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def wake(self, session: Session, rank: int) -> None:
        """Schedule a session; a lower rank comes first."""
        if rank < session.rank and not session.over.is_set():
            session.rank = rank
            self._count += 1
            heapq.heappush(self.heap, (rank, self._count, session))
            self._due.set()

    async def run(self) -> None:
        """Write responses until cancelled."""
        while True:
            if not self.heap:
                self._due.clear()
                await self._due.wait()
            while self.busy >= MAX_CONCURRENT_WRITES:
                self._free.clear()
                await self._free.wait()
            rank, _, session = heapq.heappop(self.heap)
            if rank != session.rank or session.over.is_set():
                continue  # it was scheduled again with a lower rank, and has been served
            session.rank = RANK_NONE
            if session.writing:
                continue  # it is scheduled again after that write
            data = self.next_response(session)
            if data is None:
                continue
            session.writing = self.loop.time()
            session.idle.clear()
            self.busy += 1
            task = self.loop.create_task(self._write(session, data))  # gRPC writes only from coroutines
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _write(self, session: Session, data: bytes) -> None:
        slow = self.loop.call_later(SLOW_WRITE_S, self._release, session)
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
            self.wake(session, RANK_USUAL)

    def _release(self, session: Session) -> None:
        """Stop counting a write as concurrent: it is done, or slow."""
        if session.counts:
            session.counts = False
            self.busy -= 1
            self._free.set()


class DiscoveryServer:
    """The gRPC servicer of ADS, LRS and operators' calls; the owner starts the server."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, service: Service, report_interval_s: float, log: Log = QUIET
    ) -> None:
        """Create the servicer; `report_interval_s` is that of load reports."""
        self.loop = loop
        self.service = service
        self.report_interval_s = report_interval_s
        self.log = log
        self.writer = stream_codec.Writer(service.name)
        self.scheduler = ResponseScheduler(loop, self._next)
        self.sessions: set[Session] = set()
        self.ages: deque[float] = deque(maxlen=ACK_AGE_SAMPLES)
        self.nacks = 0
        self.acks = 0
        self._pumping: asyncio.Task[None] | None = None

    def handlers(self) -> Any:
        """The handlers for `grpc.aio.Server.add_generic_rpc_handlers`."""
        ads = "envoy.service.discovery.v3.AggregatedDiscoveryService"
        kinds = {
            f"/{ads}/StreamAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._stream_full, stream_codec.Request.FromString, None
            ),
            f"/{ads}/DeltaAggregatedResources": grpc.stream_stream_rpc_method_handler(
                self._stream_delta, stream_codec.DeltaRequest.FromString, None
            ),
            "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats": (
                grpc.stream_stream_rpc_method_handler(
                    self._stream_loads,
                    lrs_pb2.LoadStatsRequest.FromString,
                    lrs_pb2.LoadStatsResponse.SerializeToString,
                )
            ),
            SHOW_METHOD: grpc.unary_unary_rpc_method_handler(self._show, None, None),
        }
        return _Handlers(kinds)

    def start(self) -> None:
        """Start to write responses."""
        self._pumping = self.loop.create_task(self.scheduler.run())

    def stop(self) -> None:
        """Stop writing, and end all streams."""
        if self._pumping:
            self._pumping.cancel()
        for session in self.sessions:
            session.end("this service ends")

    def on_published(self, zones: list[int]) -> None:
        """Schedule the sessions of these zones, which have new snapshots."""
        for session in self.sessions:
            if session.zone in zones and (state := self.service.snapshot(session.zone)):
                rank = RANK_URGENT if session.stream.is_urgent(state) else RANK_USUAL
                self.scheduler.wake(session, rank)

    def sweep(self) -> None:
        """Disconnect receivers that do not read."""
        now = self.loop.time()
        for session in list(self.sessions):
            if session.writing and now > session.writing + WRITE_TIMEOUT_S:
                session.end(f"has not read for {WRITE_TIMEOUT_S:g} s")

    def _next(self, session: Session) -> bytes | None:
        state = self.service.snapshot(session.zone)
        if state is None or session.node is None:
            return None
        wait = session.began + STALE_WAIT_S - self.loop.time()
        if session.stream.known_list_version > state.number and wait > 0:
            self.loop.call_later(min(STALE_RETRY_S, wait), self.scheduler.wake, session, RANK_USUAL)
            return None  # another control service has sent it a newer server list
        try:
            push = session.stream.next_response(state)
        except ReceiverLimitError as error:
            session.end(str(error))
            return None
        except Exception:  # an error with one receiver must not affect the others
            self.log.exception("response_failed", receiver=session.node.id)
            session.end("a fault of the service")
            return None
        if push is None:
            return None
        if push.kind is ResourceType.ENDPOINTS:
            session.sent_at[push.nonce] = self.service.decided_at(session.zone)
        return self.writer.write(push, session.stream.delta)

    async def _stream_full(self, _: Any, context: Any) -> None:
        await self._serve(Session(context, False, context.peer(), self.loop.time()))

    async def _stream_delta(self, _: Any, context: Any) -> None:
        await self._serve(Session(context, True, context.peer(), self.loop.time()))

    async def _serve(self, session: Session) -> None:
        if not self._is_allowed(session.context, session.peer):
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
                self.service.disconnect(session.node.id)
            name = session.node.id if session.node else session.peer
            self.log.info("receiver_disconnected", receiver=name, why=session.why or "it hung up")
        if session.why:
            await self._wait_until_idle(session)  # a status cannot be sent during a write
            await session.context.abort(grpc.StatusCode.UNAVAILABLE, session.why)

    async def _wait_until_idle(self, session: Session) -> None:
        """Wait until nothing is being written, at most `FINAL_WRITE_TIMEOUT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(self.loop.time() + FINAL_WRITE_TIMEOUT_S):
                await session.idle.wait()

    async def _read(self, session: Session) -> None:
        try:
            while True:
                request = await session.context.read()
                if request is grpc.aio.EOF:
                    break
                if session.node is None:
                    self._register(session, request)
                self._on_request(session, request)
        except ReceiverLimitError as error:
            session.end(str(error))
        except DecodeError:
            session.end("a request cannot be read")
        except (grpc.RpcError, asyncio.InvalidStateError, RuntimeError):
            pass  # the receiver has disconnected
        except Exception:  # an error with one receiver must not affect the others
            self.log.exception("request_failed", peer=session.peer)
            session.end("a fault of the service")
        finally:
            session.end(session.why)

    def _register(self, session: Session, request: Any) -> None:
        node = stream_codec.read_node(request.node)
        if not node.id:
            raise ReceiverLimitError("the first request names no node.id")
        zone = self.service.zone_of(node.zone)
        if not self.service.connect(node.id, zone):
            raise ReceiverLimitError("there are too many receivers")
        session.node, session.zone, session.counted = node, zone, True
        self.log.info(
            "receiver_connected", receiver=node.id, zone=node.zone, agent=node.agent, peer=session.peer
        )

    def _on_request(self, session: Session, request: Any) -> None:
        stream = session.stream
        nacks = stream.nacks
        kind = stream_codec.apply_request(stream, request)
        if (at := session.sent_at.pop(request.response_nonce, None)) is not None:
            session.acked_at = self.loop.time()
            session.age = session.acked_at - at
            self.ages.append(session.age)
            self.acks += 1
        if stream.nacks > nacks and kind and session.node:
            self.nacks += 1
            self.log.error(
                "response_rejected",
                receiver=session.node.id,
                kind=kind.value,
                why=stream.subscriptions[kind].nack_reason,
            )
        if kind is not None:
            self.scheduler.wake(session, RANK_USUAL)

    async def _stream_loads(self, _: Any, context: Any) -> None:
        if not self._is_allowed(context, context.peer()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        node: stream_codec.Node | None = None
        while (request := await context.read()) is not grpc.aio.EOF:
            if node is None:
                node = stream_codec.read_node(request.node)
                answer = lrs_pb2.LoadStatsResponse(
                    clusters=[self.service.name], report_endpoint_granularity=True
                )
                answer.load_reporting_interval.FromNanoseconds(
                    round(self.report_interval_s * NANOSECONDS_PER_S)
                )
                await context.write(answer)
            if request.cluster_stats:
                self.service.on_report(node, request)

    async def _show(self, asked: bytes, context: Any) -> bytes:
        if not self._is_allowed(context, context.peer()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        return self.service.show(asked)

    def _is_allowed(self, context: Any, peer: str) -> bool:
        found = context.auth_context()
        names = frozenset(
            name.decode("utf-8", "replace")
            for key in ("x509_common_name", "x509_subject_alternative_name")
            for name in found.get(key, ())
        )
        if self.service.is_allowed(names):
            return True
        self.log.warning("certificate_not_allowed", peer=peer, names=",".join(sorted(names)))
        return False


class _Handlers(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Handlers by the name of the call."""

    def __init__(self, kinds: dict[str, Any]) -> None:
        self.kinds = kinds

    def service(self, handler_call_details: Any) -> Any:
        """The handler of a call; None if there is none."""
        return self.kinds.get(handler_call_details.method)
