"""Selection of the server for a request, and the check whether a send is permitted.

A key has a preferred server on the hash ring; offload shares move requests between slices; within a slice a
bounded-load hash of the key selects the server. Every send is checked by `may_send`.
"""

from __future__ import annotations

from firvane.core import interface as api
from firvane.core.balancing.records import Backend, OpenRequest, mix, total
from firvane.core.interface import Idempotency
from firvane.proxy.capacity import tenant_admission
from firvane.proxy.routing.bounded_load import walk
from firvane.proxy.slice_table import SPARE_TOKENS, SliceTable

MAX_LOAD_FACTOR = 1.3  # times the mean load of the slice, plus one request: the load bound of a server
TENANT_WINDOW_S = 5.0  # averaging time of the tenants' request rates
HEAVY_WORK_FRACTION = 0.2  # of the latency target: requests with more work go to fast kinds of servers
QUICK_PACE_FACTOR = 1.25  # times the best seconds per unit of work: kinds up to this are fast
MIN_CAPACITY_FRACTION = 0.2  # part of a server's capacity that a request without value may fill
OFFLOAD_SALT = 77  # salts the hash that draws the slice a request is offloaded to


class ServerSelection(SliceTable):
    """Selects a server for each request.

    Attributes:
        tenant_requests: recent requests of each tenant by its index, decaying over `TENANT_WINDOW_S`.
    """

    def __init__(self, settings: api.Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.tenant_requests = dict.fromkeys(range(len(settings.tenants)), 0.0)

    # Permission to send

    def may_send(self, job: OpenRequest, server: Backend, now: float) -> bool:
        """Whether a send to a server keeps the four rules; every send is checked here."""
        cls = job.request_class
        limits = self.settings.limits
        if server.entry.state is not api.ServerState.UP or job.attempts_sent >= limits.max_attempts:
            return False
        if now >= job.deadline or (job.attempts and not limits.hedging) or self.is_send_blocked(server, now):
            return False
        if not job.maybe_ran or cls.idempotency is Idempotency.SAFE:
            return True
        same_group = server.entry.dedup_group(cls.dedup_scope) == job.dedup_group
        is_deduplicated = same_group and now < job.dedup_until - self.settings.tick
        return cls.idempotency is Idempotency.KEYED and is_deduplicated

    def is_send_blocked(self, server: Backend, now: float) -> bool:
        """Whether this proxy must not send to a server that has (or may have) just started."""
        if self.recovery:
            blocked = self.recovery.is_blocked(server, server in self.own_slice, now)
            if blocked is not None:
                return blocked
        return self.estimates.is_in_slow_start(server, now) and not self.refill_budget(server, now)

    def capacity_fraction(self, job: OpenRequest) -> float:
        """Return the part of a server's capacity that a request may fill; less for lower value."""
        value = job.request_class.value
        tenant = job.request.tenant
        if tenant is not None and tenant in self.tenant_requests:
            quota_rps = self.settings.tenants[tenant].quota_rps
            # The fraction of a tenant's requests that exceeds its quota is valued less.
            if quota_rps and self.tenant_requests[tenant] * self.rng.random() > (
                TENANT_WINDOW_S * quota_rps * self.demand_fraction()
            ):
                value *= self.settings.over_quota_value
        if self.recovery:
            value *= self.recovery.capacity_share(job)
        highest = max(cls.value for cls in self.settings.classes)
        return MIN_CAPACITY_FRACTION + (1.0 - MIN_CAPACITY_FRACTION) * value / highest

    def demand_fraction(self) -> float:
        """Return the fraction of all proxies' requests that arrives at this proxy."""
        rate = total(self.tenant_requests.values()) / TENANT_WINDOW_S
        return tenant_admission.arrival_fraction(self.settings, self.rows, rate)

    # Choice of a server

    def choose(self, job: OpenRequest, now: float, limit: float) -> Backend | None:
        """Return the server to send a request to, or None if none has capacity.

        After offload between slices: the key's preferred server, or the next one of its slice if that is too
        loaded. `limit` is the part of a server's capacity that may be filled.
        """
        home, preferred = self.find_home(job)
        draw, target = mix(job.key_hash, OFFLOAD_SALT) / 2**32, home
        for destination, share in self.offloads.get(home, ()):
            draw -= share
            if draw < 0:
                target, preferred = destination, None
                break
        for owner in (target, home):
            if server := self.find_in_slice(job, preferred, owner, now, limit):
                return server
        # No capacity there: a response from a cold cache is better than a rejection while servers are idle.
        order = sorted(self.slices)
        limit *= self.recovery.foreign_key_share() if self.recovery else 1.0
        others = (order[(job.key_hash + step) % len(order)] for step in range(len(order)))
        return next((s for n in others if (s := self.find_in_slice(job, None, n, now, limit))), None)

    def find_home(self, job: OpenRequest) -> tuple[int, Backend | None]:
        """Return the home slice of a request (before offload), and its key's preferred server, if any."""
        if job.request.key is None or not self.settings.key_affinity:
            return self.settings.me, None
        # Servers cache by key; if each proxy used its own slice, the requests of a key would scatter.
        preferred = self.ring.owner(job.key_hash)
        return (preferred.owner, preferred) if preferred else (self.settings.me, None)

    def is_heavy(self, job: OpenRequest) -> bool:
        """Whether a request has so much work that a slow kind of server would miss its latency target."""
        return (job.request.work or 0.0) > HEAVY_WORK_FRACTION * job.request_class.latency_target

    def find_in_slice(
        self, job: OpenRequest, preferred: Backend | None, owner: int, now: float, limit: float
    ) -> Backend | None:
        """Return a server of the slice of proxy `owner`; a large slice is searched by its index."""
        # A retry that only one deduplication group may receive has few candidates: all are scanned.
        is_grouped = job.maybe_ran and job.request_class.idempotency is Idempotency.KEYED
        index = None if is_grouped else self.large.index(owner, now)
        if index is None:
            return self.pick_by_scan(job, preferred, self.slices.get(owner, []), now, limit)
        keyed, recovery = job.request.key is not None, self.recovery
        tried = [s for id_hash in job.tried_servers if (s := self.ring.owners.get(id_hash))]

        def eligible(server: Backend) -> bool:
            if server.retry_at > now or server.id_hash in job.tried_servers:
                return False
            return self.may_send(job, server, now) and (
                not recovery or recovery.fits_latency_target(job, server)
            )

        if owner == self.settings.me and (
            spare := self.large.spares.least_utilized(1.0, lambda s: eligible(s) and s.tokens >= SPARE_TOKENS)
        ):
            return spare
        heavy = self.is_heavy(job)
        kinds = index.fastest_kinds(self.estimates.work_pace, QUICK_PACE_FACTOR, tried) if heavy else None
        share = MAX_LOAD_FACTOR * index.mean(kinds, tried)

        def has_capacity(server: Backend) -> bool:
            if server.in_flight >= max(1.0, limit * server.capacity):
                return False
            if kinds and server.entry.kind not in kinds:
                return False
            max_load = share * self.estimates.effective_weight(server, now) + 1
            return server.in_flight + server.peers_in_flight <= max_load and eligible(server)

        if keyed and preferred and has_capacity(preferred):
            return preferred
        if index.least_utilized(limit, eligible, kinds) is None:
            return None
        ring_order = walk(self.ring, index.records, job.key_hash) if keyed else iter(())
        return next((s for s in ring_order if has_capacity(s)), None) or index.least_loaded(
            limit, eligible, kinds
        )

    def pick_by_scan(
        self, job: OpenRequest, preferred: Backend | None, candidates: list[Backend], now: float, limit: float
    ) -> Backend | None:
        """Return the first server in the key's hash order whose load is within the bound."""
        free = [
            s
            for s in candidates
            if s.retry_at <= now and s.id_hash not in job.tried_servers and self.may_send(job, s, now)
        ]
        free = [s for s in free if self.recovery.fits_latency_target(job, s)] if self.recovery else free
        spare = [
            s
            for s in free
            if s.started_at is not None
            and s.tokens >= SPARE_TOKENS
            and self.estimates.is_in_slow_start(s, now)
        ]
        spare = [s for s in spare if s.in_flight < s.capacity]
        if spare or not free:
            # A server in slow start whose budget exceeds the demand of its keys.
            return next(iter(spare), None)
        if self.is_heavy(job):
            pace = {s.entry.kind: self.estimates.work_pace.get(s.entry.kind, 1.0) for s in free}
            fastest = min(pace.values())
            free = [s for s in free if pace[s.entry.kind] <= QUICK_PACE_FACTOR * fastest]
        power = {s.id_hash: self.estimates.effective_weight(s, now) for s in free}
        mean = sum(s.in_flight + s.peers_in_flight for s in free) / total(power.values())
        free = [s for s in free if s.in_flight < max(1.0, limit * s.capacity)]
        if job.request.key is not None:
            for server in sorted(free, key=lambda s: (s is not preferred, mix(s.id_hash, job.key_hash))):
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
