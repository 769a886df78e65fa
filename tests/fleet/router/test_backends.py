"""The backends that a router sends requests to, as lists of instances are received."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from firvane.core.address import Address
from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement.events import InstancesChanged
from firvane.fleet.router.backends import Backends

FIRST = Instance("i-1", "s", ("10.0.0.1", 80), "z", 4, InstanceState.READY)
SECOND = Instance("i-2", "s", ("10.0.0.2", 80), "z", 4, InstanceState.READY)


class Recorder:
    """Replaces the upstream connections and the engine, and records the calls."""

    def __init__(self) -> None:
        self.ready: dict[str, Address] = {}
        self.draining: dict[str, Address] = {}
        self.known: set[str] = set()
        self.events: list[Any] = []

    def set_backends(self, ready: dict[str, Address], draining: dict[str, Address]) -> None:
        self.ready, self.draining = ready, draining

    def set_known_targets(self, targets: set[str]) -> None:
        self.known = targets

    def dispatch(self, event: Any) -> None:
        self.events.append(event)

    def now(self) -> float:
        return 1.0


def make_backends() -> tuple[Backends, Recorder]:
    recorder = Recorder()
    return Backends(recorder, recorder), recorder  # type: ignore[arg-type]


def test_a_backend_missing_from_a_newer_list_gets_no_requests() -> None:
    backends, recorder = make_backends()
    backends.update("s", (FIRST, SECOND))
    backends.update("s", (SECOND,))
    assert set(recorder.ready) == recorder.known == {"i-2"} and not recorder.draining
    assert recorder.events[-1] == InstancesChanged("s", (SECOND,))


def test_a_draining_backend_gets_no_new_requests() -> None:
    backends, recorder = make_backends()
    backends.update("s", (FIRST, SECOND))
    backends.update("s", (replace(FIRST, state=InstanceState.DRAINING), SECOND))
    assert recorder.known == {"i-2"} and set(recorder.draining) == {"i-1"}


def test_a_service_without_backends_is_known_but_not_ready() -> None:
    backends, recorder = make_backends()
    assert not backends.any_ready()
    backends.update("s", ())
    assert recorder.events == [InstancesChanged("s", ())] and not backends.any_ready()
    backends.update("s", (FIRST,))
    assert backends.any_ready()
    backends.update("s", (FIRST,))
    assert len(recorder.events) == 2
