"""Which server an open request is sent to, and whether it may be sent there at all.

A key names its own server; offload shares move requests between slices; in a slice a bounded-load hash of the
key picks the server. `may_send` is the one gate that every send passes.
"""

from __future__ import annotations

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, OpenRequest, mix, total
from firvane.core.interface import Idempotency
from firvane.proxy.capacity import tenant_admission
from firvane.proxy.routing.bounded_load import walk
from firvane.proxy.slice_table import SPARE_TOKENS, SliceTable

MAX_LOAD_FACTOR = 1.3  # a server may have this multiple of its slice's mean load, and one request more
TENANT_WINDOW_S = 5.0  # over which tenants' rates are taken
HEAVY_WORK_FRACTION = 0.2  # of the latency target: work that goes to the quicker kinds of servers
QUICK_PACE_FACTOR = 1.25  # of the best pace: which kinds those are
MIN_CAPACITY_FRACTION = 0.2  # of a server, that even a request without value may fill
OFFLOAD_SALT = 77  # of the draw between the takers of a slice


class ServerSelection(SliceTable):
    """The choice of a server for each request.

    Attributes:
        tenant_requests: recent requests of each tenant, by its index, faded over `TENANT_WINDOW_S`.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.tenant_requests = dict.fromkeys(range(len(settings.tenants)), 0.0)

    # Whether it may be sent

    def may_send(self, job: OpenRequest, server: Backend, now: float) -> bool:
        """Whether a send keeps the four rules: the gate that every send passes."""
        cls = job.request_class
        limits = self.settings.limits
        if server.entry.state is not api.ServerState.UP or job.attempts_sent >= limits.max_attempts:
            return False
        if now >= job.deadline or (job.attempts and not limits.hedging) or self.is_held_back(server, now):
            return False
        if not job.maybe_ran or cls.idempotency is Idempotency.SAFE:
            return True
        same_group = server.entry.dedup_group(cls.dedup_scope) == job.dedup_group
        is_deduplicated = same_group and now < job.dedup_until - self.settings.tick
        return cls.idempotency is Idempotency.KEYED and is_deduplicated

    def is_held_back(self, server: Backend, now: float) -> bool:
        """Whether a server that has just started, or may have, is sent nothing from here now."""
        if self.recovery:
            is_held = self.recovery.holds(server, server in self.own_slice, now)
            if is_held is not None:
                return is_held
        return self.estimates.is_in_slow_start(server, now) and not self.refill_budget(server, now)

    def capacity_fraction(self, job: OpenRequest) -> float:
        """The part of a server's capacity that a request may fill: what has less value leaves some free."""
        value = job.request_class.value
        tenant = job.request.tenant
        if tenant is not None and tenant in self.tenant_requests:
            quota_rps = self.settings.tenants[tenant].quota_rps
            # As many of a tenant's requests count less as exceed its quota share.
            if quota_rps and self.tenant_requests[tenant] * self.rng.random() > (
                TENANT_WINDOW_S * quota_rps * self.demand_fraction()
            ):
                value *= self.settings.over_quota_value
        if self.recovery:
            value *= self.recovery.part(job)
        highest = max(cls.value for cls in self.settings.classes)
        return MIN_CAPACITY_FRACTION + (1.0 - MIN_CAPACITY_FRACTION) * value / highest

    def demand_fraction(self) -> float:
        """The part of all proxies' requests that arrives here."""
        rate = total(self.tenant_requests.values()) / TENANT_WINDOW_S
        return tenant_admission.arrival_fraction(self.settings, self.rows, rate)

    # Which server

    def choose(self, job: OpenRequest, now: float, limit: float) -> Backend | None:
        """The server to send a request to; None where none has room.

        The key's own server, or the next of its slice where that is too full, after offload between slices.
        `limit` is the part of a server's capacity that may be filled.
        """
        home, first = self.find_home(job)
        draw, target = mix(job.key_hash, OFFLOAD_SALT) / 2**32, home
        for taker, share in self.offloads.get(home, ()):
            draw -= share
            if draw < 0:
                target, first = taker, None
                break
        for number in (target, home):
            if found := self.find_in_slice(job, first, number, now, limit):
                return found
        # No room there: an answer from a cold cache is worth more than a rejection beside idle servers.
        order = sorted(self.slices)
        limit *= self.recovery.foreign() if self.recovery else 1.0
        others = (order[(job.key_hash + step) % len(order)] for step in range(len(order)))
        return next((s for n in others if (s := self.find_in_slice(job, None, n, now, limit))), None)

    def find_home(self, job: OpenRequest) -> tuple[int, Backend | None]:
        """The slice that a request belongs to before offload, and its server there if its key names one."""
        if job.request.key is None or not self.settings.key_affinity:
            return self.settings.me, None
        # Servers do less for a key met lately; by proxy, requests of one key would scatter.
        first = self.ring.owner(job.key_hash)
        return (first.owner, first) if first else (self.settings.me, None)

    def is_heavy(self, job: OpenRequest) -> bool:
        """Whether a request's work would be late on a slow kind of server."""
        return (job.request.work or 0.0) > HEAVY_WORK_FRACTION * job.request_class.latency_target

    def find_in_slice(
        self, job: OpenRequest, first: Backend | None, number: int, now: float, limit: float
    ) -> Backend | None:
        """A server of a slice, by index where the slice is large; `first` is the key's own server."""
        # Few servers may have what was sent before and is deduplicated by a group: all are looked at.
        is_grouped = job.maybe_ran and job.request_class.idempotency is Idempotency.KEYED
        index = None if is_grouped else self.large.index(number, now)
        if index is None:
            return self.pick_by_scan(job, first, self.slices.get(number, []), now, limit)
        keyed, recovery = job.request.key is not None, self.recovery
        tried = [s for id_hash in job.tried_servers if (s := self.ring.owners.get(id_hash))]

        def fits(server: Backend) -> bool:
            if server.retry_at > now or server.id_hash in job.tried_servers:
                return False
            return self.may_send(job, server, now) and (not recovery or recovery.fits(job, server))

        if number == self.settings.me and (
            spare := self.large.spares.least_utilized(1.0, lambda s: fits(s) and s.tokens >= SPARE_TOKENS)
        ):
            return spare
        heavy = self.is_heavy(job)
        kinds = index.fastest_kinds(self.estimates.work_pace, QUICK_PACE_FACTOR, tried) if heavy else None
        share = MAX_LOAD_FACTOR * index.mean(kinds, tried)

        def takes(server: Backend) -> bool:
            if server.in_flight >= max(1.0, limit * server.capacity):
                return False
            if kinds and server.entry.kind not in kinds:
                return False
            most = share * self.estimates.effective_weight(server, now) + 1
            return server.in_flight + server.peers_in_flight <= most and fits(server)

        if keyed and first and takes(first):
            return first
        if index.least_utilized(limit, fits, kinds) is None:
            return None
        walked = walk(self.ring, index.records, job.key_hash) if keyed else iter(())
        return next((s for s in walked if takes(s)), None) or index.least_loaded(limit, fits, kinds)

    def pick_by_scan(
        self, job: OpenRequest, first: Backend | None, among: list[Backend], now: float, limit: float
    ) -> Backend | None:
        """Bounded-load hash: the first server in the key's order that has no more than its fair share."""
        free = [
            s
            for s in among
            if s.retry_at <= now and s.id_hash not in job.tried_servers and self.may_send(job, s, now)
        ]
        free = [s for s in free if self.recovery.fits(job, s)] if self.recovery else free
        spare = [
            s
            for s in free
            if s.started_at is not None
            and s.tokens >= SPARE_TOKENS
            and self.estimates.is_in_slow_start(s, now)
        ]
        spare = [s for s in spare if s.in_flight < s.capacity]
        if spare or not free:
            # A server in slow start whose budget allows more than its keys bring.
            return next(iter(spare), None)
        if self.is_heavy(job):
            pace = {s.entry.kind: self.estimates.work_pace.get(s.entry.kind, 1.0) for s in free}
            quickest = min(pace.values())
            free = [s for s in free if pace[s.entry.kind] <= QUICK_PACE_FACTOR * quickest]
        power = {s.id_hash: self.estimates.effective_weight(s, now) for s in free}
        mean = sum(s.in_flight + s.peers_in_flight for s in free) / total(power.values())
        free = [s for s in free if s.in_flight < max(1.0, limit * s.capacity)]
        if job.request.key is not None:
            for server in sorted(free, key=lambda s: (s is not first, mix(s.id_hash, job.key_hash))):
                load = server.in_flight + server.peers_in_flight
                if load <= MAX_LOAD_FACTOR * mean * power[server.id_hash] + 1:
                    return server
        free.sort(
            key=lambda s: (
                (s.in_flight + s.peers_in_flight + 1) / power[s.id_hash],
                mix(s.id_hash, job.key_hash),
            )
        )
        return free[0] if free else None
