"""One service as this router sees it: its servers, their speeds, homes, slices, and the retry budget."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from zlib import crc32

from firvane.fleet.discovery.instances import Instance, InstanceState
from firvane.fleet.placement import health
from firvane.fleet.placement.budget import RetryBudget
from firvane.fleet.placement.events import RequestKind, ServiceInfo
from firvane.fleet.placement.homes import LARGE_PART, HomeOrder, Prompt
from firvane.fleet.placement.jobs import Attempt, Job
from firvane.fleet.placement.rows import Read, Section
from firvane.fleet.placement.selection import expected_first
from firvane.fleet.placement.server_view import KEPT_SHARE, STREAM_TOKENS, KeptParts, Server
from firvane.fleet.placement.slices import Slices
from firvane.fleet.placement.throughput import Speeds

MOST_COMPARED = 16  # servers that one choice compares at the most: the first in the key's order
MOST_PARTS, LEAST_PARTS = 20_000, 64  # remembered over all servers; of one in any case
UNKNOWN_SLOTS = 16
HISTORY = 6  # windows that rates look back on
NO_ROOM_PAUSE, LONGEST_PAUSE = 0.1, 1.0  # s that a refused client is asked to wait
EXPIRY_MARGIN = 2.0  # s after its deadline that the end of an attempt may still be told


class Service:
    """Servers of one service, and what was sent to them from here."""

    def __init__(self, name: str, me: int, budget: RetryBudget, zone: str) -> None:
        """`me` is this router's number, `zone` the name of its zone or empty."""
        self.name, self.me, self.budget, self.zone = name, me, budget, zone
        self.tag = crc32(name.encode())
        self.info = ServiceInfo(name, 0, 0, 1, 0)
        self.servers: dict[str, Server] = {}  # ready or draining
        self.by_salt: dict[int, Server] = {}  # the same, by what rows call them
        self.ready: list[Server] = []  # in the order of their ids
        self.speeds = Speeds()
        self.homes = HomeOrder(MOST_COMPARED)
        self.slices = Slices()
        self.routers: Sequence[int] = ()
        self.is_known = False  # a list of its instances has come
        self.untold_reads: list[Read] = []  # large shared parts sent, of which no row has told
        self.misses = 0  # rows that told of far more work toward the own slice than expected
        self.arrived = [0.0]  # work by window, in tokens
        self.served = [0.0]

    # What there is

    def configure(self, info: ServiceInfo) -> None:
        """Take what the configuration says."""
        self.info = info
        for server in self.servers.values():
            server.parts.capacity = self._capacity()

    def assign(self, routers: Sequence[int]) -> None:
        """The live routers are these now."""
        self.routers = routers
        self._deal()

    def update(self, instances: Sequence[Instance]) -> None:
        """The instances are these now; a server that is not ready never becomes ready again."""
        self.is_known = True
        present = {each.id: each for each in instances if each.state is not InstanceState.GONE}
        for name in self.servers.keys() - present.keys():
            self.servers.pop(name).ready = False
            self.speeds.forget(name)
        for name, instance in present.items():
            server = self.servers.get(name) or self._enter(instance)
            server.ready = server.ready and instance.state is InstanceState.READY
        self.by_salt = {server.salt: server for server in self.servers.values()}
        self.ready = sorted((each for each in self.servers.values() if each.ready), key=_by_id)
        for server in self.ready:
            server.parts.most = max(LEAST_PARTS, MOST_PARTS // len(self.ready))
        self._deal()
        self.homes.assign([(server.salt, server.id) for server in self.ready])

    def _deal(self) -> None:
        self.slices.assign(self.ready, self.routers)
        mine = self.slices.by_router.get(self.me, [])
        for server in self.ready:
            server.mine = server in mine

    def _enter(self, instance: Instance) -> Server:
        slots = instance.slots or self.info.slots or UNKNOWN_SLOTS
        server = Server(instance.id, self.name, instance.zone, slots, KeptParts(self._capacity(), MOST_PARTS))
        self.servers[instance.id] = server
        return server

    def _capacity(self) -> float:
        return KEPT_SHARE * self.info.cache_tokens

    def compared(self, key: int) -> list[Server]:
        """The ready servers that a choice for a key compares, in the key's order."""
        servers = self.servers
        return [servers[name] for name in self.homes.of(key)]

    def unread(self, prompt: Prompt, server: Server) -> int:
        """Tokens of a prompt that a server would have to read."""
        return prompt.total - server.parts.kept_tokens(prompt, len(self.routers))

    # Attempts

    def send(self, job: Job, server: Server, tag: int, now: float) -> Attempt:
        """Count an attempt that goes out now."""
        speed = self.speeds.reading.value
        tokens = self.unread(job.prompt, server)
        backlog, expected = server.backlog(speed, now), expected_first(self, server, tokens, now)
        if health.is_ejected(server):
            health.start_trial(server, now)
        server.sent(tag, tokens, expected, speed, now)
        server.parts.keep(job.prompt)
        if job.prompt.shared >= LARGE_PART:
            self.untold_reads += [Read(server.salt, *part) for part in job.prompt.shared_parts]
        self.arrived[-1] += tokens + STREAM_TOKENS
        repeat = job.reached > 0
        if repeat:
            self.budget.spend(now)
        if job.request.kind is not RequestKind.STREAM:
            expected += self.speeds.duration  # nothing comes before the whole answer
        expires = job.deadline + EXPIRY_MARGIN
        return Attempt(
            job.request.id, job.sends, self, server, tag, tokens, backlog, now, expected, expires, repeat
        )

    def started(self, attempt: Attempt, took: float, now: float) -> None:
        """The first event of an attempt has come."""
        attempt.started = True
        attempt.server.started(attempt.tag, self.speeds.reading.value, now)
        health.note_begun(attempt.server, now)
        self.speeds.learn_first(attempt.server.id, attempt.tokens, attempt.backlog, took)
        attempt.server.note_lag(took - self.speeds.expected(attempt.tokens), now)
        attempt.server.factor = self.speeds.factor(attempt.server.id)

    def answered(self, attempt: Attempt, now: float) -> None:
        """A whole answer has come."""
        self.speeds.learn_duration(now - attempt.sent_at)

    def ended(self, attempt: Attempt, now: float) -> None:
        """An attempt is over, however it ended."""
        attempt.server.ended(attempt.tag, self.speeds.reading.value, now)
        self.served[-1] += attempt.tokens + STREAM_TOKENS

    def pause(self, now: float) -> float:
        """Seconds after which there is probably room again."""
        soonest = min((server.full_until - now for server in self.ready), default=NO_ROOM_PAUSE)
        return min(LONGEST_PAUSE, max(NO_ROOM_PAUSE, soonest))

    # The window

    def step(self, sections: Mapping[int, tuple[Section, float]], zones: Mapping[int, int]) -> None:
        """End a window: the shares that move between slices, and the counts of the next window."""
        work = {server.id: server.announced_work() for server in self.ready}
        self.slices.step(work, sections, zones)
        self.arrived = [*self.arrived, 0.0][-HISTORY:]
        self.served = [*self.served, 0.0][-HISTORY:]


def _by_id(server: Server) -> str:
    return server.id
