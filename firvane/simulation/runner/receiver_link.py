"""A stand-in receiver on a real stream of gRPC: carries its bytes, and comes back when the stream is lost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import grpc
from envoy.service.load_stats.v3 import lrs_pb2

from firvane.simulation.runner.receiver import Receiver

ADS = "/envoy.service.discovery.v3.AggregatedDiscoveryService/"
LOADS = "/envoy.service.load_stats.v3.LoadReportingService/StreamLoadStats"
AGAIN = 0.1  # s until it asks again after a stream is lost


class Link:
    """One receiver and its channel. `addresses` are services, asked one after the other."""

    def __init__(
        self,
        receiver: Receiver,
        addresses: list[str],
        heard: Callable[[Receiver], None] | None = None,
        credentials: Any = None,
        options: tuple[tuple[str, Any], ...] = (),
    ) -> None:
        """`heard` is called after each answer that was taken."""
        self.receiver, self.addresses, self.heard = receiver, addresses, heard
        self.credentials = credentials
        # Channels to one address are shared else, and with them a connection.
        self.options = (("grpc.use_local_subchannel_pool", 1), *options)
        self.streams = 0
        self.errors: list[str] = []
        self.call: Any = None
        self._tasks: list[asyncio.Task[None]] = []

    def start(self, cluster: str = "") -> None:
        """With a cluster it reports its load as well, as often as it is asked to."""
        loop = asyncio.get_running_loop()
        self._tasks.append(loop.create_task(self._follow()))
        if cluster:
            self._tasks.append(loop.create_task(self._report(cluster)))

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    def hang_up(self) -> None:
        """Lose the stream, as a network does."""
        if self.call is not None:
            self.call.cancel()

    async def call_is_up(self) -> bool:
        """Once its stream stands."""
        while self.call is None:
            await asyncio.sleep(0)
        await self.call.wait_for_connection()
        return True

    def channel(self) -> Any:
        at = self.addresses[self.streams % len(self.addresses)]
        if self.credentials is not None:
            return grpc.aio.secure_channel(at, self.credentials, self.options)
        return grpc.aio.insecure_channel(at, self.options)

    async def _follow(self) -> None:
        name = "DeltaAggregatedResources" if self.receiver.delta else "StreamAggregatedResources"
        while True:
            async with self.channel() as channel:
                self.streams += 1
                self.call = channel.stream_stream(ADS + name)()
                try:
                    await self._talk()
                except (grpc.RpcError, asyncio.InvalidStateError):  # what it was told is the call's own end
                    self.errors.append(f"{(await self.call.code()).name}: {await self.call.details()}")
                except asyncio.CancelledError:  # of this task, or of the call alone
                    task = asyncio.current_task()
                    if not self.call.cancelled() or (task and task.cancelling()):
                        raise
            await asyncio.sleep(AGAIN)
            self.receiver.connect()

    async def _talk(self) -> None:
        while True:
            for data in self.receiver.requests():
                await self.call.write(data)
            answer = await self.call.read()
            if answer is grpc.aio.EOF:
                code, details = await self.call.code(), await self.call.details()
                self.errors.append(f"{code.name}: {details}")
                return
            if self.receiver.hear(answer) and self.heard:
                self.heard(self.receiver)

    async def _report(self, cluster: str) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                async with self.channel() as channel:
                    call = channel.stream_stream(
                        LOADS, response_deserializer=lrs_pb2.LoadStatsResponse.FromString
                    )()
                    hello = lrs_pb2.LoadStatsRequest()
                    hello.node.id, hello.node.locality.zone = self.receiver.name, self.receiver.zone
                    await call.write(hello.SerializeToString())
                    every = (await call.read()).load_reporting_interval.ToNanoseconds() / 1e9
                    last = loop.time()
                    while True:
                        await asyncio.sleep(every)
                        now = loop.time()
                        await call.write(self.receiver.report(cluster, now - last))
                        last = now
            except (grpc.RpcError, asyncio.InvalidStateError, AttributeError):
                await asyncio.sleep(AGAIN)
