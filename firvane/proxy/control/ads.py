"""The gRPC interface of the control service: xDS streams (ADS), load reports (LRS), and the operator API.

`Stream` selects the responses of a receiver, `Catalog` stores the snapshots. This module decides only the
order of writes: receivers whose snapshot removes a backend come first.
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

MAX_CONCURRENT_WRITES = 64  # not counting writes that take longer than SLOW_WRITE_S
SLOW_WRITE_S = 0.02
WRITE_TIMEOUT_S = 10.0  # until a receiver that does not read is disconnected
FINAL_WRITE_TIMEOUT_S = 1.0  # for a write in progress when its stream ends
STALE_WAIT_S = 5.0  # before a receiver with a newer server list gets this service's older one
STALE_RETRY_S = 0.25
ACK_DELAY_SAMPLES = 10_000
NANOSECONDS_PER_S = 1e9
PRIORITY_URGENT = 0
PRIORITY_NORMAL = 1
PRIORITY_NONE = 9  # not scheduled
MAX_REQUEST_BYTES = 4 << 20
SHOW_METHOD = "/firvane.control.v1.Control/Show"


class Service(Protocol):
    """The interface of the service to the streams."""

    name: str

    def zone_of(self, name: str) -> int:
        """Return the number of a zone by name."""

    def snapshot(self, zone: int) -> Snapshot | None:
        """Return the current snapshot for a zone; None until there is a server list."""

    def snapshot_computed_at(self, zone: int) -> float:
        """Return the loop time at which the current snapshot of a zone was computed."""

    def connect(self, name: str, zone: int) -> bool:
        """Register a stream of a receiver; returns False if there are too many receivers."""

    def disconnect(self, name: str) -> None:
        """Record the end of a receiver's stream."""

    def on_report(self, node: stream_codec.Node, request: Any) -> None:
        """Record a load report of a receiver."""

    def is_allowed(self, names: frozenset[str]) -> bool:
        """Return whether the owner of a certificate with these names may use the service."""

    def show(self, request: bytes) -> bytes:
        """Answer a call of the operator API."""


class Session:
    """One xDS stream of one receiver."""

    def __init__(self, context: Any, delta: bool, peer: str, now: float) -> None:
        self.context = context
        self.peer = peer
        self.started_at = now
        self.stream = Stream(delta)
        self.node: stream_codec.Node | None = None
        self.zone = -1
        self.is_registered = False
        self.priority = PRIORITY_NONE  # of the scheduled write
        self.write_started_at = 0.0  # of the current write; 0: no write
        self.counts_as_concurrent = False  # whether the current write counts towards the limit
        self.ended = asyncio.Event()
        self.idle = asyncio.Event()  # set while no write is in progress
        self.idle.set()
        self.end_reason = ""
        self.snapshot_times: dict[str, float] = {}  # time of the snapshot of a response, by nonce
        self.acked_at = 0.0
        self.ack_delay_s = 0.0  # from the snapshot to the last ACK or NACK of its endpoints

    def end(self, reason: str) -> None:
        """End the stream; only the first call has an effect."""
        if not self.ended.is_set():
            self.end_reason = reason
            self.ended.set()


class ResponseScheduler:
    """Writes the responses that are due, urgent ones first, with bounded concurrency."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, next_response: Callable[[Session], bytes | None]
    ) -> None:
        """Create the scheduler; `next_response` returns the encoded response that is due, or None."""
        self.loop = loop
        self.next_response = next_response
        self.queue: list[tuple[int, int, Session]] = []
        self.concurrent_writes = 0
        self.responses_written = 0
        self.bytes_written = 0
        self._sequence = 0
        self._queued = asyncio.Event()
        self._slot_released = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()

    def schedule(self, session: Session, priority: int) -> None:
        """Schedule a session; a lower priority number comes first."""
        if priority < session.priority and not session.ended.is_set():
            session.priority = priority
            self._sequence += 1
            heapq.heappush(self.queue, (priority, self._sequence, session))
            self._queued.set()

    async def run(self) -> None:
        """Write responses until cancelled."""
        while True:
            if not self.queue:
                self._queued.clear()
                await self._queued.wait()
            while self.concurrent_writes >= MAX_CONCURRENT_WRITES:
                self._slot_released.clear()
                await self._slot_released.wait()
            priority, _, session = heapq.heappop(self.queue)
            if priority != session.priority or session.ended.is_set():
                continue  # scheduled again with a lower number, and already handled
            session.priority = PRIORITY_NONE
            if session.write_started_at:
                continue  # `_write` schedules it again
            data = self.next_response(session)
            if data is None:
                continue
            session.write_started_at = self.loop.time()
            session.idle.clear()
            self.concurrent_writes += 1
            task = self.loop.create_task(self._write(session, data))  # gRPC writes only from coroutines
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _write(self, session: Session, data: bytes) -> None:
        slow_timer = self.loop.call_later(SLOW_WRITE_S, self._release, session)
        session.counts_as_concurrent = True
        try:
            await session.context.write(data)
            self.responses_written += 1
            self.bytes_written += len(data)
        except (grpc.RpcError, asyncio.InvalidStateError, RuntimeError) as error:
            session.end(f"cannot be written to: {type(error).__name__}")
        finally:
            slow_timer.cancel()
            self._release(session)
            session.write_started_at = 0.0
            session.idle.set()
            self.schedule(session, PRIORITY_NORMAL)

    def _release(self, session: Session) -> None:
        """Stop counting a write as concurrent, since it is done or slow."""
        if session.counts_as_concurrent:
            session.counts_as_concurrent = False
            self.concurrent_writes -= 1
            self._slot_released.set()


class DiscoveryServer:
    """The gRPC servicer of ADS, LRS and the operator API; the owner starts the server."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, service: Service, report_interval_s: float, log: Log = QUIET
    ) -> None:
        """Create the servicer; `report_interval_s` is the interval of load reports."""
        self.loop = loop
        self.service = service
        self.report_interval_s = report_interval_s
        self.log = log
        self.writer = stream_codec.Writer(service.name)
        self.scheduler = ResponseScheduler(loop, self._next)
        self.sessions: set[Session] = set()
        self.ack_delays: deque[float] = deque(maxlen=ACK_DELAY_SAMPLES)
        self.nacks = 0
        self.acks = 0
        self._scheduler_task: asyncio.Task[None] | None = None

    def handlers(self) -> Any:
        """Return the handlers for `grpc.aio.Server.add_generic_rpc_handlers`."""
        ads = "envoy.service.discovery.v3.AggregatedDiscoveryService"
        method_handlers = {
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
        return _Handlers(method_handlers)

    def start(self) -> None:
        """Start to write responses."""
        self._scheduler_task = self.loop.create_task(self.scheduler.run())

    def stop(self) -> None:
        """Stop writing, and end all streams."""
        if self._scheduler_task:
            self._scheduler_task.cancel()
        for session in self.sessions:
            session.end("this service ends")

    def on_published(self, zones: list[int]) -> None:
        """Schedule the sessions in zones that have new snapshots."""
        for session in self.sessions:
            if session.zone in zones and (snapshot := self.service.snapshot(session.zone)):
                priority = PRIORITY_URGENT if session.stream.is_urgent(snapshot) else PRIORITY_NORMAL
                self.scheduler.schedule(session, priority)

    def sweep(self) -> None:
        """Disconnect receivers that do not read."""
        now = self.loop.time()
        for session in list(self.sessions):
            if session.write_started_at and now > session.write_started_at + WRITE_TIMEOUT_S:
                session.end(f"has not read for {WRITE_TIMEOUT_S:g} s")

    def _next(self, session: Session) -> bytes | None:
        snapshot = self.service.snapshot(session.zone)
        if snapshot is None or session.node is None:
            return None
        remaining_s = session.started_at + STALE_WAIT_S - self.loop.time()
        if session.stream.known_list_version > snapshot.list_version and remaining_s > 0:
            self.loop.call_later(
                min(STALE_RETRY_S, remaining_s), self.scheduler.schedule, session, PRIORITY_NORMAL
            )
            return None  # another control service has sent resources of a newer server list
        try:
            response = session.stream.next_response(snapshot)
        except ReceiverLimitError as error:
            session.end(str(error))
            return None
        except Exception:  # an error with one receiver must not affect the others
            self.log.exception("response_failed", receiver=session.node.id)
            session.end("a fault of the service")
            return None
        if response is None:
            return None
        if response.kind is ResourceType.ENDPOINTS:
            session.snapshot_times[response.nonce] = self.service.snapshot_computed_at(session.zone)
        return self.writer.write(response, session.stream.delta)

    async def _stream_full(self, _: Any, context: Any) -> None:
        await self._serve(Session(context, False, context.peer(), self.loop.time()))

    async def _stream_delta(self, _: Any, context: Any) -> None:
        await self._serve(Session(context, True, context.peer(), self.loop.time()))

    async def _serve(self, session: Session) -> None:
        if not self._is_allowed(session.context, session.peer):
            await session.context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        self.sessions.add(session)
        reader = self.loop.create_task(self._read(session))
        try:
            await session.ended.wait()
        finally:
            session.ended.set()
            reader.cancel()
            self.sessions.discard(session)
            if session.node and session.is_registered:
                self.service.disconnect(session.node.id)
            name = session.node.id if session.node else session.peer
            self.log.info(
                "receiver_disconnected", receiver=name, why=session.end_reason or "closed by the receiver"
            )
        if session.end_reason:
            await self._wait_until_idle(session)  # a status cannot be sent during a write
            await session.context.abort(grpc.StatusCode.UNAVAILABLE, session.end_reason)

    async def _wait_until_idle(self, session: Session) -> None:
        """Wait until no write is in progress, at most `FINAL_WRITE_TIMEOUT_S`."""
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
            session.end(session.end_reason)

    def _register(self, session: Session, request: Any) -> None:
        node = stream_codec.read_node(request.node)
        if not node.id:
            raise ReceiverLimitError("the first request names no node.id")
        zone = self.service.zone_of(node.zone)
        if not self.service.connect(node.id, zone):
            raise ReceiverLimitError("there are too many receivers")
        session.node, session.zone, session.is_registered = node, zone, True
        self.log.info(
            "receiver_connected", receiver=node.id, zone=node.zone, agent=node.agent, peer=session.peer
        )

    def _on_request(self, session: Session, request: Any) -> None:
        stream = session.stream
        nacks = stream.nacks
        kind = stream_codec.apply_request(stream, request)
        if (computed_at := session.snapshot_times.pop(request.response_nonce, None)) is not None:
            session.acked_at = self.loop.time()
            session.ack_delay_s = session.acked_at - computed_at
            self.ack_delays.append(session.ack_delay_s)
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
            self.scheduler.schedule(session, PRIORITY_NORMAL)

    async def _stream_loads(self, _: Any, context: Any) -> None:
        if not self._is_allowed(context, context.peer()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        node: stream_codec.Node | None = None
        while (request := await context.read()) is not grpc.aio.EOF:
            if node is None:
                node = stream_codec.read_node(request.node)
                response = lrs_pb2.LoadStatsResponse(
                    clusters=[self.service.name], report_endpoint_granularity=True
                )
                response.load_reporting_interval.FromNanoseconds(
                    round(self.report_interval_s * NANOSECONDS_PER_S)
                )
                await context.write(response)
            if request.cluster_stats:
                self.service.on_report(node, request)

    async def _show(self, request: bytes, context: Any) -> bytes:
        if not self._is_allowed(context, context.peer()):
            await context.abort(grpc.StatusCode.PERMISSION_DENIED, "this certificate may not see it")
        return self.service.show(request)

    def _is_allowed(self, context: Any, peer: str) -> bool:
        auth_properties = context.auth_context()
        names = frozenset(
            name.decode("utf-8", "replace")
            for key in ("x509_common_name", "x509_subject_alternative_name")
            for name in auth_properties.get(key, ())
        )
        if self.service.is_allowed(names):
            return True
        self.log.warning("certificate_not_allowed", peer=peer, names=",".join(sorted(names)))
        return False


class _Handlers(grpc.GenericRpcHandler):  # type: ignore[misc]
    """Handlers by method name."""

    def __init__(self, method_handlers: dict[str, Any]) -> None:
        self.method_handlers = method_handlers

    def service(self, handler_call_details: Any) -> Any:
        """Return the handler of a call; None if the method is unknown."""
        return self.method_handlers.get(handler_call_details.method)
