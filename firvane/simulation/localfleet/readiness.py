"""The platform's readiness probes, sent to each router once a second."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from firvane.simulation.localfleet.http_client import fetch
from firvane.simulation.localfleet.ingress import Ingress
from firvane.simulation.localfleet.layout import Layout, Node

PATH = "/v1/readiness"
INTERVAL = 1.0  # s
START_INTERVAL = 0.05  # s, while the fleet starts
TIMEOUT = 0.5  # s for one response


class ReadinessProber:
    """Probes all routers and reports the results to the ingress."""

    def __init__(self, ingress: Ingress, layout: Layout) -> None:
        self._ingress, self._layout = ingress, layout

    async def await_all(self) -> None:
        """Return once the last probe of every router has succeeded."""
        while not self._ingress.all_ready:
            await self._probe_all()
            await asyncio.sleep(START_INTERVAL)

    async def run(self) -> None:
        """Probe all routers periodically until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL)
            await self._probe_all()

    async def _probe_all(self) -> None:
        await asyncio.gather(*(self._probe(node) for node in self._layout.routers))

    async def _probe(self, node: Node) -> None:
        ports = self._layout.ports
        try:
            response = await fetch((node.host, ports.readiness), PATH, timeout=TIMEOUT)
            ready = response.status == HTTPStatus.OK
        except (OSError, TimeoutError):
            ready = False
        self._ingress.record_probe((node.host, ports.front), ready)
