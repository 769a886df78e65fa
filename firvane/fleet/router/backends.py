"""The backends of all services: passes disseminated lists on to the upstream connections and placement."""

from __future__ import annotations

from collections.abc import Sequence

from firvane.core.engine import Engine
from firvane.core.net.http_message import Message
from firvane.fleet.discovery.instances import Instance, InstanceState, InstanceTable
from firvane.fleet.placement.events import InstancesChanged
from firvane.fleet.router.requests import ProxiedRequest
from firvane.fleet.router.upstream import Upstreams


class Backends:
    """The backends known to this router."""

    def __init__(self, upstreams: Upstreams, engine: Engine[ProxiedRequest, Message]) -> None:
        self.upstreams, self.engine = upstreams, engine
        self.table = InstanceTable()
        self.services: set[str] = set()

    def update(self, service: str, instances: Sequence[Instance]) -> None:
        """Replace the backends of a service."""
        changed = self.table.replace(service, instances, self.engine.now())
        if not changed and service in self.services:
            return
        self.services.add(service)
        self._update_upstreams()
        self.engine.dispatch(InstancesChanged(service, self.table.live_instances_of(service)))

    def any_ready(self) -> bool:
        """Return whether any service has a ready backend."""
        return any(
            instance.state is InstanceState.READY
            for service in self.services
            for instance in self.table.live_instances_of(service)
        )

    def _update_upstreams(self) -> None:
        known = [instance for service in self.services for instance in self.table.live_instances_of(service)]
        ready = {backend.id: backend.address for backend in known if backend.state is InstanceState.READY}
        draining = {
            backend.id: backend.address for backend in known if backend.state is InstanceState.DRAINING
        }
        self.upstreams.set_backends(ready, draining)
        self.engine.set_known_targets(set(ready))
