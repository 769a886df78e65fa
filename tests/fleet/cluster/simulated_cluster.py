"""A simulated cluster: real `ClusterCore`s on a simulated clock and network, with invariants.

The invariants are checked at every event: within one generation of a process (from its start to its end) the
version of a key rises with each learned item, and only published items are learned.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from firvane.core.address import Address
from firvane.fleet.cluster.core import MAX_PAYLOAD_BYTES, ClusterCore, Effects
from firvane.fleet.cluster.envelope import Plane, Section, encode_envelope
from firvane.fleet.dissemination.items import Item
from firvane.fleet.membership.codec import Kind, Message, encode_message, encode_record
from firvane.fleet.membership.members import Member, Record, Role, Status
from firvane.fleet.transport.frames import HEADER_BYTES

PORT = 7300
ZONES = ("apapa", "ikeja", "lekki", "yaba")
DATAGRAM_OVERHEAD = 28
"""Bytes of the IP and UDP headers."""
RECORD_BATCH = 20
"""Records in one message when `start_joined` makes processes known to each other."""
LINK_SETUP = 2
"""Number of one-way delays that opening a TCP link takes before the first payload is sent."""


@dataclass
class Traffic:
    """The traffic that one process sent, and its number of wake-ups."""

    messages: int = 0
    sent_bytes: int = 0
    zone_bytes: int = 0
    """The part of `sent_bytes` that was sent to other zones."""
    wake_ups: int = 0


@dataclass
class Process:
    """A process, running or not; `core` is None while it does not run."""

    member: Member
    core: ClusterCore | None = None
    generation: int = 0
    frozen_until: float = 0.0
    timer_due: float = float("inf")
    versions: dict[bytes, int] = field(default_factory=dict)
    learned_at: dict[tuple[bytes, int], float] = field(default_factory=dict)
    live_view: frozenset[Address] = frozenset()
    links: set[Address] = field(default_factory=set)
    traffic: Traffic = field(default_factory=Traffic)
    egress_free_at: float = 0.0
    ingress_free_at: float = 0.0

    @property
    def address(self) -> Address:
        return self.member.address


def _never_blocked(source: Address, target: Address) -> bool:
    return False


class SimulatedCluster:
    """The simulated processes, controllers first; the seeds are the first three controllers."""

    def __init__(
        self,
        routers: int,
        controllers: int = 3,
        seed: int = 1,
        loss: float = 0.0,
        duplicates: float = 0.0,
        router_bandwidth: float = float("inf"),
    ) -> None:
        """`router_bandwidth` is in bytes per second, for each direction of a router's link."""
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.loss = loss
        self.duplicates = duplicates
        self.router_bandwidth = router_bandwidth
        self.processes: dict[Address, Process] = {}
        self.published: dict[tuple[bytes, int], bytes] = {}
        self.false_deaths: list[tuple[float, Address, Address]] = []
        self.is_blocked: Callable[[Address, Address], bool] = _never_blocked
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = 0
        self._starts = 0
        for number in range(controllers + routers):
            self._add_process(number, Role.CONTROLLER if number < controllers else Role.ROUTER)
        self.seeds = list(self.processes)[: min(3, controllers)]

    def _add_process(self, number: int, role: Role) -> Process:
        zone = ZONES[number % len(ZONES)]
        address = (f"10.{1 + number % len(ZONES)}.{number // 200}.{1 + number % 200}", PORT)
        control = (address[0], 8262) if role is Role.CONTROLLER else None
        process = self.processes[address] = Process(Member(address, role, zone, control, 0))
        return process

    def add(self, role: Role) -> Process:
        """Add a process and return it; it is not started."""
        return self._add_process(len(self.processes), role)

    # --- processes

    def start_all(self, spread: float = 0.3) -> None:
        """Start all processes within `spread` seconds, in random order."""
        for process in self.processes.values():
            self.schedule(self.now + self.rng.uniform(0, spread), lambda process=process: self.start(process))

    def start_joined(self) -> None:
        """Start all processes at once, each with the records of all others, without join messages."""
        for process in self.processes.values():
            self.start(process, seeds=[])
        first, second, *_ = self.processes.values()
        records = [encode_record(Record(p.member, 0, Status.ALIVE)) for p in self.processes.values()]
        for process in self.processes.values():
            sender, own = (first, records[0]) if process is not first else (second, records[1])
            for begin in range(0, len(records), RECORD_BATCH):
                message = Message(Kind.RECORDS)
                content = encode_message(message, [own, *records[begin : begin + RECORD_BATCH]])
                payload = encode_envelope([Section(Plane.MEMBERSHIP, content)])
                assert process.core is not None
                self._apply(process, process.core.receive(sender.address, payload, self.now))

    def start(self, process: Process, clock_step: float = 0.0, seeds: list[Address] | None = None) -> None:
        """Start a process; `clock_step` seconds are added to its wall clock."""
        self._starts += 1
        wall_clock_ms = int((self.now + clock_step) * 1000)
        incarnation = wall_clock_ms << 16 | self.rng.getrandbits(16)
        member = process.member
        process.member = Member(member.address, member.role, member.zone, member.control, incarnation)
        process.generation += 1
        process.versions, process.learned_at = {}, {}
        process.live_view = frozenset()
        process.timer_due = float("inf")
        process.frozen_until = 0.0
        rng = random.Random(self.rng.getrandbits(64))
        process.core = ClusterCore(process.member, self.seeds if seeds is None else seeds, rng, self.now)
        self._tick(process)

    def kill(self, process: Process) -> None:
        """Stop a process without notifying other members."""
        process.core = None
        process.generation += 1
        process.links.clear()
        for other in self.processes.values():
            other.links.discard(process.address)

    def leave(self, process: Process) -> None:
        """Stop a process after it has notified other members."""
        assert process.core is not None
        self._apply(process, process.core.leave(self.now))
        self.kill(process)

    def freeze(self, process: Process, seconds: float) -> None:
        """Suspend a process; timers and received payloads are handled afterwards."""
        process.frozen_until = self.now + seconds

    def publish(self, process: Process, item: Item) -> None:
        """Publish an item from a process."""
        assert process.core is not None
        self.published[item.key, item.version] = item.payload
        process.versions[item.key] = max(item.version, process.versions.get(item.key, -1))
        process.learned_at.setdefault((item.key, item.version), self.now)
        self._apply(process, process.core.publish(item, self.now))

    def heal(self) -> None:
        """End all partitions."""
        self.is_blocked = _never_blocked

    def process_at(self, number: int) -> Process:
        """Return the process with this number; the initial controllers come first."""
        return list(self.processes.values())[number]

    def all_running(self) -> bool:
        """Return whether all processes run."""
        return all(process.core is not None for process in self.processes.values())

    def running(self) -> list[Process]:
        """Return the running processes, suspended ones included."""
        return [process for process in self.processes.values() if process.core is not None]

    # --- queries

    def processes_without(self, item: Item) -> list[Process]:
        """Return the running processes whose newest version of the key is older than the item's."""
        lacking = []
        for process in self.running():
            assert process.core is not None
            known = process.core.item(item.key)
            if known is None or known.version < item.version:
                lacking.append(process)
        return lacking

    def unconverged(self) -> list[Process]:
        """Return the running processes whose set of live members is not the set of running processes."""
        truth = frozenset(process.address for process in self.running())
        return [process for process in self.running() if process.live_view != truth]

    def clear_traffic(self) -> None:
        """Reset the traffic counters."""
        for process in self.processes.values():
            process.traffic = Traffic()

    # --- time

    def schedule(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self._order += 1
        heapq.heappush(self._events, (when, self._order, action))

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        self.run_until(lambda: False, seconds)

    def run_until(self, condition: Callable[[], bool], limit: float, step: float = 0.05) -> float:
        """Advance the clock until the condition, checked each `step`, holds; return the elapsed seconds."""
        begin = self.now
        end = begin + limit
        check = begin
        while self.now < end:
            if self.now >= check:
                if condition():
                    break
                check = self.now + step
            until = min(end, check)
            while self._events and self._events[0][0] <= until:
                self.now, _, action = heapq.heappop(self._events)
                action()
            self.now = until
        return self.now - begin

    # --- network

    def _send(self, source: Process, to: Address, payload: bytes) -> None:
        target = self.processes.get(to)
        is_datagram = len(payload) <= MAX_PAYLOAD_BYTES
        size = len(payload) + HEADER_BYTES + DATAGRAM_OVERHEAD
        source.traffic.messages += 1
        source.traffic.sent_bytes += size
        if target is None:
            return
        if target.member.zone != source.member.zone:
            source.traffic.zone_bytes += size
        copies = 1
        if is_datagram:
            copies = 0 if self.rng.random() < self.loss else 1
            copies += self.rng.random() < self.duplicates
        for _ in range(copies):
            self._transmit(source, target, payload, size, is_datagram)

    def _transmit(
        self, source: Process, target: Process, payload: bytes, size: int, is_datagram: bool
    ) -> None:
        delay = 0.0014 if source.member.zone != target.member.zone else 0.0004
        delay *= self.rng.uniform(1.0, 1.5)
        arrival = self._transfer_end(source, self.now, size, is_egress=True) + delay
        if not is_datagram and target.address not in source.links:
            arrival += LINK_SETUP * delay
            source.links.add(target.address)
            target.links.add(source.address)
        generation = target.generation

        def arrive() -> None:
            if self.is_blocked(source.address, target.address) or target.generation != generation:
                return
            done = self._transfer_end(target, self.now, size, is_egress=False)
            self.schedule(done, lambda: self._deliver(source.address, target, payload, generation))

        self.schedule(arrival, arrive)

    def _transfer_end(self, process: Process, now: float, size: int, is_egress: bool) -> float:
        """Return when bytes have passed the process's own link, whose bandwidth is limited."""
        if process.member.role is Role.CONTROLLER or self.router_bandwidth == float("inf"):
            return now
        free = process.egress_free_at if is_egress else process.ingress_free_at
        done = max(now, free) + size / self.router_bandwidth
        if is_egress:
            process.egress_free_at = done
        else:
            process.ingress_free_at = done
        return done

    def _deliver(self, sender: Address, target: Process, payload: bytes, generation: int) -> None:
        if target.core is None or target.generation != generation:
            return
        if target.frozen_until > self.now:
            self.schedule(target.frozen_until, lambda: self._deliver(sender, target, payload, generation))
            return
        target.traffic.wake_ups += 1
        self._apply(target, target.core.receive(sender, payload, self.now))

    def _tick(self, process: Process) -> None:
        assert process.core is not None
        process.timer_due = float("inf")
        process.traffic.wake_ups += 1
        self._apply(process, process.core.tick(self.now))

    def _apply(self, process: Process, effects: Effects) -> None:
        for item in effects.learned:
            self._check_item(process, item)
        if effects.members_changed:
            self._check_members(process)
        for to, payload in effects.sends:
            self._send(process, to, payload)
        self._set_timer(process)

    def _set_timer(self, process: Process) -> None:
        assert process.core is not None
        due = process.core.deadline()
        if due == process.timer_due:
            return
        process.timer_due = due
        generation = process.generation

        def fire() -> None:
            if process.generation != generation or process.core is None or process.timer_due != due:
                return
            if process.frozen_until > self.now:
                self.schedule(process.frozen_until, fire)
                return
            self._tick(process)

        self.schedule(max(due, self.now), fire)

    # --- invariants

    def _check_item(self, process: Process, item: Item) -> None:
        assert self.published.get((item.key, item.version)) == item.payload, (
            "an item was learned that was not published"
        )
        assert item.version > process.versions.get(item.key, -1), "a version decreased or was learned twice"
        process.versions[item.key] = item.version
        process.learned_at[item.key, item.version] = self.now

    def _check_members(self, process: Process) -> None:
        assert process.core is not None
        live_view = frozenset(member.address for member in process.core.members())
        for removed in process.live_view - live_view:
            other = self.processes[removed]
            is_responsive = other.core is not None and other.frozen_until <= self.now
            if is_responsive and not self._is_partitioned(removed, process.address):
                self.false_deaths.append((self.now, process.address, removed))
        process.live_view = live_view

    def _is_partitioned(self, first: Address, second: Address) -> bool:
        return self.is_blocked(first, second) or self.is_blocked(second, first)
