"""A simulated fleet in simulated time: clients, routers, emulated servers, service discovery, and faults."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from typing import Any
from zlib import crc32

import simpy

from firvane.core import interface as api
from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement.events import InstancesChanged, PeersChanged, ServiceInfo
from tests.fleet.placement.emulated_server import EmulatedServer, PrefillLog
from tests.fleet.placement.helpers import settings
from tests.fleet.placement.simulated_router import (
    LINK_LATENCY_S,
    SERVICE,
    Balancer,
    ClientAttempt,
    ClientRequest,
    RouterHost,
)
from tests.fleet.placement.simulation_scenario import (
    Fault,
    Result,
    Scenario,
    Workload,
    WorkloadStats,
    lognormal,
)

CLIENT_LATENCY_S = 0.003  # one way, between a client and a router
LIST_DELAY_S = 2.0  # from a change of the instance list to its arrival at the routers


class SimulatedFleet:
    """Runs one scenario with routers that use one load balancing policy."""

    def __init__(
        self, scenario: Scenario, make: Callable[[api.Settings, int, float], Balancer], seed: int
    ) -> None:
        self.scenario, self.env, self.rng = (
            scenario,
            simpy.Environment(initial_time=1000.0),
            random.Random(seed),
        )
        self.active_faults: dict[str, Fault] = {}  # by server id
        self.failure_rng = random.Random(seed + 1)  # separate, so that the traffic is the same without faults
        self.seed, self.log = seed, PrefillLog()
        self.stats_by_workload = {workload.name: WorkloadStats() for workload in scenario.workloads}
        self.attempts_by_id: dict[tuple[int, int], ClientAttempt] = {}
        self.sent = self.arrivals = self.retries = self.rows = 0
        self.servers: dict[str, EmulatedServer] = {}
        self.listed_states: dict[str, InstanceState] = {}
        self.hot_block_shares: dict[str, float] = {}
        self.burst = 1.0
        self.next_server = 0
        for _ in range(scenario.servers):
            self.add_server()
        self.sizes = self._draw_block_sizes()
        numbers = tuple(range(1, scenario.routers + 1))
        self.routers = {
            number: RouterHost(self, number, make(settings(number), seed * 100 + number, self.env.now))
            for number in numbers
        }
        self.weights = [1.0 + scenario.imbalance * self.rng.uniform(-1, 1) for _ in numbers]
        for router in self.routers.values():
            for action in list(router.balancer.start(self.env.now)):
                router.perform(action)
            router.handle(PeersChanged(numbers, tuple(0 for _ in numbers)))
            router.handle(
                ServiceInfo(
                    SERVICE,
                    scenario.profile.slots,
                    scenario.profile.memory_tokens,
                    scenario.profile.tokens_per_event,
                    360,
                )
            )
        self.publish_instances()

    def _draw_block_sizes(self) -> dict[tuple[str, int], list[int]]:
        return {
            (workload.name, index): [
                max(1, round(lognormal(self.rng, mean, sigma, 3 * mean))) for _ in range(n)
            ]
            for workload in self.scenario.workloads
            for index, (mean, sigma, n) in enumerate(workload.shared)
        }

    # Servers

    def add_server(self) -> str:
        name = f"i-{self.next_server:03}"
        self.next_server += 1
        self.servers[name] = EmulatedServer(self.env, name, self.scenario.profile, self.log)
        self.listed_states[name] = InstanceState.READY
        return name

    def publish_instances(self) -> None:
        instances = tuple(
            Instance(name, SERVICE, ("127.0.0.1", 80), "a", self.scenario.profile.slots, state)
            for name, state in sorted(self.listed_states.items())
        )
        for router in self.routers.values():
            router.handle(InstancesChanged(SERVICE, instances))

    def inject_fault(self, fault: Fault) -> Generator[Any, Any, None]:
        yield self.env.timeout(fault.at)
        name = next(
            iter(sorted(n for n, state in self.listed_states.items() if state is InstanceState.READY))
        )
        if fault.kind == "dark":
            self.servers[name].set_unresponsive(True)
            yield self.env.timeout(fault.duration)
            self.servers[name].set_unresponsive(False)
        elif fault.kind == "crash":
            self.servers[name].crash()
            yield self.env.timeout(fault.duration)
            del self.listed_states[name]
            self.add_server()
            self.publish_instances()
        elif fault.kind in ("errors", "mute"):
            self.active_faults[name] = fault
            yield self.env.timeout(fault.duration)
            del self.active_faults[name]
        elif fault.kind == "replace":
            yield from self.replace_server(name)
        elif fault.kind == "hot":
            self.hot_block_shares["letter"] = fault.strength
            yield self.env.timeout(fault.duration)
            self.hot_block_shares = {}
        elif fault.kind == "burst":
            self.burst = fault.strength
            yield self.env.timeout(fault.duration)
            self.burst = 1.0

    def failure_of(self, server: EmulatedServer) -> str | None:
        """Draw and return the kind of failure of a request at a server, or None if it succeeds."""
        fault = self.active_faults.get(server.name)
        return fault.kind if fault and self.failure_rng.random() < fault.strength else None

    def replace_server(self, name: str) -> Generator[Any, Any, None]:
        self.add_server()
        self.listed_states[name] = InstanceState.DRAINING
        yield self.env.timeout(LIST_DELAY_S)
        self.publish_instances()
        yield self.env.timeout(2 * LIST_DELAY_S)
        del self.listed_states[name]
        self.publish_instances()

    # Routers

    def send_row(self, sender: int, action: api.SendToPeer) -> None:
        targets = [action.peer] if action.peer is not None else [n for n in self.routers if n != sender]
        for number in targets:
            if router := self.routers.get(number):
                self.rows += 1
                message = api.PeerMessage(sender, action.payload)
                router.schedule(LINK_LATENCY_S, lambda router=router, message=message: router.handle(message))  # type: ignore[misc]

    # Clients

    def generate_requests(self, workload: Workload) -> Generator[Any, Any, None]:
        while self.env.now < 1000.0 + self.scenario.duration:
            rate = workload.rate * self.scenario.load * (self.burst if workload.name == "reply" else 1.0)
            yield self.env.timeout(self.rng.expovariate(rate))
            self.submit_request(workload)

    def submit_request(self, workload: Workload) -> None:
        blocks = []
        for index, (_, _, count) in enumerate(workload.shared):
            choice = min(int(count * self.rng.random() ** 1.5), count - 1)
            if self.rng.random() < self.hot_block_shares.get(workload.name, 0.0):
                choice = 0
            tokens = self.sizes[workload.name, index][choice]
            blocks.append((crc32(f"{self.seed} {workload.name} {index} {choice}".encode()), tokens))
        own = max(1, round(lognormal(self.rng, *workload.own, maximum=14 * workload.own[0])))
        blocks.append((self.rng.getrandbits(40), own))
        events = max(1, round(lognormal(self.rng, *workload.events, maximum=4 * workload.events[0])))
        size = sum(tokens for _, tokens in blocks) + 40 * events
        mean = sum(tokens for tokens, _, _ in workload.shared) + workload.own[0] + 40 * workload.events[0]
        value = min(4.0, 0.3 + 0.7 * size / mean)
        number = self.rng.choices(list(self.routers), self.weights)[0]
        request = ClientRequest(workload, tuple(blocks), events, self.env.now, value, number)
        stats = self.stats_by_workload[workload.name]
        stats.requests += 1
        stats.possible_value += value * workload.value
        self.start_attempt(request, number, CLIENT_LATENCY_S)

    def start_attempt(self, request: ClientRequest, number: int, delay: float) -> None:
        request.attempts += 1
        router = self.routers[number]
        router.schedule(delay, lambda: router.submit(request))

    def event(self, request: ClientRequest) -> None:
        now = self.env.now + CLIENT_LATENCY_S
        if request.first_event_at < 0:
            request.first_event_at = now
            self.stats_by_workload[request.workload.name].first_event_times.append(now - request.submitted_at)
        else:
            request.longest_gap = max(request.longest_gap, now - request.last_event_at)
        request.last_event_at = now
        request.events_received += 1

    def on_attempt_end(self, request: ClientRequest, complete: bool, retry_after: float | None) -> None:
        if request.ended:
            return
        stats, workload = self.stats_by_workload[request.workload.name], request.workload
        if not complete:
            time_left = request.submitted_at + workload.deadline - self.env.now
            stats.rejected += retry_after is not None
            if request.attempts < 2 and time_left > 0.1 and (retry_after is not None or workload.resumable):
                other = self.rng.choice(list(self.routers))
                self.start_attempt(
                    request, other, 2 * CLIENT_LATENCY_S + min(retry_after or 0.0, time_left / 3)
                )
            else:
                request.ended = True
            return
        request.ended = True
        stats.served += 1
        late = (
            request.first_event_at - request.submitted_at > workload.latency_target
            or request.longest_gap > workload.event_gap_target
        )
        stats.late += late
        stats.actual_value += request.value * (workload.late_value if late else workload.value)

    def play(self) -> Result:
        for workload in self.scenario.workloads:
            self.env.process(self.generate_requests(workload))
        for fault in self.scenario.faults:
            self.env.process(self.inject_fault(fault))
        self.env.run(until=1000.0 + self.scenario.duration + 6.0)
        return Result(self.stats_by_workload, self.log, self.retries, self.arrivals, self.sent, self.rows)
