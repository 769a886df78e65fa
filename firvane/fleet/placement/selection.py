"""Which server a prompt goes to.

1. A long prompt goes to its home while its aim is surely met there, or the home's load is within the cap over
   the mean. Else it follows the window's moves, or goes where it costs least.
   What would wait for most of its client's patience leaves its home, whatever is read again.
2. A short prompt goes where it costs least: the expected time to its first event, and what reading its shared
   parts again costs anywhere but at its home (or where the moves send it).
3. The home is the first server in the key's order, unless others are known to keep the shared parts and it is
   not: a server that joins takes over new keys only. Where the home cannot be used, the next in the order
   stands for it, so that all routers agree again.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import TYPE_CHECKING

from firvane.fleet.placement import health
from firvane.fleet.placement.events import PromptRequest
from firvane.fleet.placement.homes import Prompt
from firvane.fleet.placement.jobs import Job
from firvane.fleet.placement.server_view import STREAM_TOKENS, Server

if TYPE_CHECKING:
    from firvane.fleet.placement.service import Service

CAP = 1.25  # a server may hold this multiple of the mean load, and one request more
HOME_AIM_PART = 0.5  # of the aim, up to which an expected first event at home is surely in time
HEAVY_TOKENS = 2000  # tokens to read from which on a prompt is long
REREAD_FACTOR = 20.0  # times its reading time that reading a shared part again costs
LEAST_PATIENCE, AIM_PATIENCE, GAP_PATIENCE = 2.0, 4.0, 8.0  # s; times the aim; times the longest pause
PATIENCE_PART = 0.75  # of a client's patience, beyond which waiting puts the request at risk
LOSS_FACTOR = 20.0  # times the time beyond that it costs
CROSS_ZONE_COST = 0.004  # s that a server in another zone must be quicker
CONNECTION_SHARE = 0.9  # of a backend's connections that all routers together use
LEAST_ROOM = 2.0  # attempts that a router may have out at a server in any case


def choose(service: Service, job: Job, now: float) -> Server | None:
    """The server for the next attempt of a job; None where none has room."""
    candidates = find_candidates(service, job, now)
    if not candidates:
        return None
    home = find_home(service, job, candidates, now)
    heavy = is_heavy(service, job.prompt, home)
    if heavy and stays_home(service, job, home, candidates, now):
        return home
    moved = service.slices.moved(home.id, job.prompt.home_key, heavy)
    target = service.servers.get(moved, home) if moved else home
    if heavy and target is not home and target in candidates:
        return target
    return cheapest(service, job, target, candidates, now)


def find_candidates(service: Service, job: Job, now: float) -> list[Server]:
    """The servers that may be sent to and have room, in the order of the key."""
    room = room_for_one_router(service)
    usable = health.usable(service.compared(job.prompt.home_key), now)
    able = [server for server in usable if server.running < room and server.full_until <= now]
    found = [server for server in able if server.id not in job.tried]
    if not found and len(service.ready) == 1:
        return [server for server in able if not health.is_ejected(server)]  # there is no other
    if not job.request.repeatable:  # no trial is made at its cost
        found = [server for server in found if not health.is_ejected(server)] or found
    return found


def find_home(service: Service, job: Job, candidates: Sequence[Server], now: float) -> Server:
    """The candidate that is to read a prompt: the first in the key's order, or one that keeps its parts."""
    home = candidates[0]
    if not job.prompt.shared_parts or keeps_shared(service, job.prompt, home):
        return home
    keepers = [server for server in candidates if keeps_shared(service, job.prompt, server)]
    return cheapest(service, job, keepers[0], keepers, now) if keepers else home


def keeps_shared(service: Service, prompt: Prompt, server: Server) -> bool:
    """Whether a server is believed to keep the shared parts of a prompt."""
    return prompt.total - service.unread(prompt, server) >= prompt.keepable


def room_for_one_router(service: Service) -> float:
    """Attempts that this router may have out at one server, for its limit of connections."""
    limit = service.info.connection_limit
    if limit <= 0:
        return float("inf")
    return max(LEAST_ROOM, CONNECTION_SHARE * limit / max(1, len(service.routers)))


def is_heavy(service: Service, prompt: Prompt, home: Server) -> bool:
    """Whether a prompt is long to read, at its home or anywhere else."""
    if prompt.total <= HEAVY_TOKENS:
        return False
    return max(prompt.shared, service.unread(prompt, home)) > HEAVY_TOKENS


def stays_home(service: Service, job: Job, home: Server, candidates: Sequence[Server], now: float) -> bool:
    """Whether a long prompt goes to its home: the aim is surely met there, or the load is within the cap."""
    expected = expected_first(service, home, service.unread(job.prompt, home), now)
    if expected <= HOME_AIM_PART * job.request.aim:
        return True
    speed = service.speeds.reading.value
    mean = sum(server.work(speed, now) for server in candidates) / len(candidates)
    return home.work(speed, now) <= CAP * mean + STREAM_TOKENS


def cheapest(service: Service, job: Job, home: Server, candidates: Sequence[Server], now: float) -> Server:
    """The candidate of the least cost, in seconds to the first event and what else counts as much."""
    best, least = home, float("inf")
    reread_cost = REREAD_FACTOR / service.speeds.reading.value
    own_tokens = job.prompt.total - job.prompt.shared
    prompt, zone, patience = job.prompt, service.zone, PATIENCE_PART * client_patience(job.request)
    for server in candidates:
        unread = service.unread(prompt, server)
        first = cost = expected_first(service, server, unread, now)
        if first > patience:
            cost += LOSS_FACTOR * (first - patience)
        if server is not home:
            cost += reread_cost * max(0, unread - own_tokens)
        if zone and server.zone != zone:
            cost += CROSS_ZONE_COST
        if cost < least:
            best, least = server, cost
    return best


def client_patience(request: PromptRequest) -> float:
    """Seconds without an event after which a client gives a stream up."""
    return max(LEAST_PATIENCE, AIM_PATIENCE * request.aim, GAP_PATIENCE * request.gap_aim)


def expected_first(service: Service, server: Server, unread: float, now: float) -> float:
    """Expected seconds to the first event of a prompt with so many tokens to read at a server."""
    speeds, slots = service.speeds, server.slots
    speed = speeds.reading.value
    running = server.running + server.peers_running
    alone = speeds.first_event.value * (1.0 + running / slots) + unread / speed
    expected = alone * server.factor + server.queue(speed, now)
    if running >= slots:
        expected += (running + 1 - slots) / slots * speeds.duration
    return expected
