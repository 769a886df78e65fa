"""Which backends the router sends to, as records of instances come in."""

from __future__ import annotations

from typing import Any

from msgspec.structs import replace

from firvane.core.address import Address
from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement.events import InstancesChanged
from firvane.fleet.router.backends import Backends

ONE = Instance("i-1", "s", ("10.0.0.1", 80), "z", 4, InstanceState.READY)
TWO = Instance("i-2", "s", ("10.0.0.2", 80), "z", 4, InstanceState.READY)


class Recorder:
    """Stands for the upstream connections and the engine, and records the calls."""

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


def backends() -> tuple[Backends, Recorder]:
    recorder = Recorder()
    return Backends(recorder, recorder), recorder  # type: ignore[arg-type]


def test_a_backend_that_a_newer_record_does_not_name_is_sent_nothing() -> None:
    made, recorder = backends()
    made.update("s", (ONE, TWO))
    made.update("s", (TWO,))
    assert set(recorder.ready) == recorder.known == {"i-2"} and not recorder.draining
    assert recorder.events[-1] == InstancesChanged("s", (TWO,))


def test_a_draining_backend_finishes_and_takes_nothing_new() -> None:
    made, recorder = backends()
    made.update("s", (ONE, TWO))
    made.update("s", (replace(ONE, state=InstanceState.DRAINING), TWO))
    assert recorder.known == {"i-2"} and set(recorder.draining) == {"i-1"}


def test_a_service_without_backends_is_known_and_not_ready() -> None:
    made, recorder = backends()
    assert not made.any_ready()
    made.update("s", ())
    assert recorder.events == [InstancesChanged("s", ())] and not made.any_ready()
    made.update("s", (ONE,))
    assert made.any_ready()
    made.update("s", (ONE,))
    assert len(recorder.events) == 2
