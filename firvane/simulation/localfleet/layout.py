"""Addresses of the processes: one loopback address for each process, the same ports on all."""

from __future__ import annotations

import random
import socket
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

from firvane.core.address import Address

ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "here"
INTERNAL_PORTS = 4
FIRST_PORT = 20_000  # below the ephemeral ports of the system
LAST_PORT = 31_000
MAX_CONTROLLERS = 9
MAX_ROUTERS = 100
MAX_BACKENDS = 100
FIRST_CONTROLLER_HOST = 11  # 127.0.0.x
FIRST_ROUTER_HOST = 101  # 127.0.0.x
FIRST_BACKEND_HOST = 11  # 127.0.1.x
PLATFORM_HOST = "127.0.2.1"
MAX_SEEDS = 3
PORT_TRIALS = 50


class DaemonRole(StrEnum):
    """The daemons of the fleet."""

    ROUTER = "router"
    CONTROLLER = "controller"


@dataclass(frozen=True, slots=True)
class Ports:
    """Ports used by all processes of one fleet."""

    first: int

    @property
    def internal(self) -> tuple[int, int]:
        """First and last port for traffic between the fleet's processes."""
        return self.first, self.first + INTERNAL_PORTS - 1

    @property
    def front(self) -> int:
        """The port of routers for clients."""
        return self.first + INTERNAL_PORTS

    @property
    def readiness(self) -> int:
        """The port of routers for readiness probes."""
        return self.front + 1

    @property
    def control(self) -> int:
        """The port of controllers for operators."""
        return self.front + 2

    @property
    def backend(self) -> int:
        """The port of model servers."""
        return self.front + 3

    @property
    def platform(self) -> int:
        """The port of the platform's interface."""
        return self.front + 4

    @property
    def count(self) -> int:
        """Number of consecutive ports in use."""
        return INTERNAL_PORTS + 5


@dataclass(frozen=True, slots=True)
class Node:
    """One daemon."""

    role: DaemonRole
    number: int
    host: str
    zone: str

    @property
    def name(self) -> str:
        """Its name in settings and logs."""
        return f"{self.role}-{self.number}"


@dataclass(frozen=True, slots=True)
class Layout:
    """The addresses of the fleet."""

    ports: Ports
    controllers: tuple[Node, ...]
    routers: tuple[Node, ...]

    @property
    def nodes(self) -> tuple[Node, ...]:
        """All daemons, controllers first."""
        return self.controllers + self.routers

    @property
    def seeds(self) -> list[Address]:
        """Control addresses of a few controllers."""
        return self.controls[:MAX_SEEDS]

    @property
    def controls(self) -> list[Address]:
        """Control addresses of all controllers."""
        return [(node.host, self.ports.control) for node in self.controllers]

    @property
    def fronts(self) -> list[Address]:
        """Addresses of all routers for clients."""
        return [(node.host, self.ports.front) for node in self.routers]

    @property
    def platform(self) -> Address:
        """The platform's interface."""
        return PLATFORM_HOST, self.ports.platform

    def backend(self, number: int) -> Address:
        """The address of a model server, counted from 0; addresses repeat after `MAX_BACKENDS`."""
        return f"127.0.1.{FIRST_BACKEND_HOST + number % MAX_BACKENDS}", self.ports.backend


def make_layout(controllers: int, routers: int, ports: Ports) -> Layout:
    """Make the addresses for the given numbers of daemons."""
    return Layout(
        ports,
        tuple(_nodes(DaemonRole.CONTROLLER, controllers, FIRST_CONTROLLER_HOST)),
        tuple(_nodes(DaemonRole.ROUTER, routers, FIRST_ROUTER_HOST)),
    )


def _nodes(role: DaemonRole, count: int, first_host: int) -> Iterator[Node]:
    for index in range(count):
        yield Node(role, index + 1, f"127.0.0.{first_host + index}", ZONES[index % len(ZONES)])


def find_free_ports(controllers: int, routers: int, backends: int) -> Ports:
    """Find ports that are free on all addresses of such a fleet; raises `OSError` if there are none."""
    for _ in range(PORT_TRIALS):
        ports = Ports(random.randrange(FIRST_PORT, LAST_PORT))
        if _all_free(make_layout(controllers, routers, ports), backends):
            return ports
    raise OSError("no free ports on the loopback addresses")


def _all_free(layout: Layout, backends: int) -> bool:
    ports = layout.ports
    addresses = [layout.platform, *(layout.backend(number) for number in range(backends))]
    for node in layout.nodes:
        addresses += [(node.host, ports.first + offset) for offset in range(ports.count)]
    return all(_is_free(address) for address in addresses)


def _is_free(address: Address) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            if kind is socket.SOCK_STREAM:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(address)
            except OSError:
                return False
    return True
