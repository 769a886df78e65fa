"""Base class of runs of real daemons with stand-ins: setup, start and shutdown."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod

from firvane.simulation.localfleet.backends import Backends
from firvane.simulation.localfleet.config_operator import ConfigOperator
from firvane.simulation.localfleet.configurations import Configurations
from firvane.simulation.localfleet.ingress import Ingress
from firvane.simulation.localfleet.layout import DaemonRole, Layout
from firvane.simulation.localfleet.loop_delay import LoopDelay
from firvane.simulation.localfleet.readiness import ReadinessProber


class StartError(Exception):
    """The fleet did not become ready; the text says what is missing."""


class FleetRun(ABC):
    """Stand-ins for the platform, the backends and the operator, and the sequence of a run.

    Routers are stopped before controllers, so that no router loses its configuration source.
    """

    def __init__(self, layout: Layout, backends: Backends, configurations: Configurations, seed: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._layout, self._backends = layout, backends
        self._ingress = Ingress(layout.fronts)
        self._prober = ReadinessProber(self._ingress, layout)
        self._operator = ConfigOperator(self._loop, layout.controls, configurations, seed)
        self._delay = LoopDelay(self._loop)

    async def _run(self, backends: int, start_timeout: float) -> None:
        """Start the fleet, play the load, stop the fleet; raises `StartError` if it is not ready in time.

        `start_timeout` is in seconds.
        """
        try:
            await self._start(backends, start_timeout)
            prober = asyncio.create_task(self._prober.run())
            try:
                await self._play_load()
            finally:
                prober.cancel()
        finally:
            self._delay.stop()
            for role in (DaemonRole.ROUTER, DaemonRole.CONTROLLER):
                await self._end_daemons(role)
            self._backends.close()

    async def _start(self, backends: int, timeout: float) -> None:
        await self._backends.start(backends)
        await self._start_daemons()
        try:
            async with asyncio.timeout(timeout):
                await self._operator.send_first()
                await self._prober.await_all()
        except TimeoutError:
            raise StartError(self._describe_failed_start(timeout)) from None
        self._delay.start()

    def _describe_failed_start(self, timeout: float) -> str:
        stage = (
            "routers are not ready" if self._operator.record.acknowledged else "no configuration was accepted"
        )
        return f"{stage} after {timeout:g} s"

    @abstractmethod
    async def _start_daemons(self) -> None:
        """Start all daemons."""

    @abstractmethod
    async def _play_load(self) -> None:
        """Play the load and everything that runs concurrently."""

    @abstractmethod
    async def _end_daemons(self, role: DaemonRole) -> None:
        """Stop the daemons of a role gracefully, and wait for their exits."""
