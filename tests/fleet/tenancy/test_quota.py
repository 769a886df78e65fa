"""Quotas: in no window may a tenant's use exceed its limit and allowance, even if messages are lost.

Besides unit tests, a randomized simulation: the partition of the tenant moves between two controllers, quota
requests and grants are lost or delayed, and routers reject granted requests, run requests twice, and use
prefetched tokens until they expire. The test sums the costs of the requests that ran.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.partitions import partition_of
from firvane.fleet.tenancy.allowance import Allowances
from firvane.fleet.tenancy.floors import REMOVED, Floors, FloorsRecord
from firvane.fleet.tenancy.messages import GrantStatus, QuotaGrant, QuotaRequest, tenant_id
from firvane.fleet.tenancy.quota import (
    EXTRA_BURST_RATIO,
    MAX_DEBT_RATIO,
    PREFETCH_RATIO,
    REGULAR_SIZE_RATIO,
    QuotaRules,
    QuotaTable,
)

RULES = QuotaRules(8.0, 0.1, 110_000.0)
TENANT = Tenant("huka270", rate=40_000.0, burst=40_000.0, counts_tokens=True)
PARTITION = 1


ALLOWANCE = RULES.allowance(TENANT)
LIMIT = (TENANT.rate * RULES.window + TENANT.burst) * (1 + RULES.overage) + RULES.slack
CAPACITY = int(TENANT.burst + REGULAR_SIZE_RATIO * ALLOWANCE + EXTRA_BURST_RATIO * TENANT.rate * RULES.window)
MAX_DEBT = int(MAX_DEBT_RATIO * ALLOWANCE)
TENANT_ID = tenant_id(TENANT.name)
LOWEST_FLOOR = -(10**12)


def quota_table(
    tenant: Tenant = TENANT, floor: int | None = LOWEST_FLOOR, start: int | None = None
) -> QuotaTable:
    """Return a table whose bucket starts with `start` tokens (0 if None) and may fall to `floor`."""
    table, floors = QuotaTable(RULES), Floors()
    table.configure([tenant])
    if floor is not None:
        floors[tenant_id(tenant.name)] = start or 0
    table.acquire(PARTITION, floors, 0.0)
    if floor is not None:
        table.grant(request(0, tenant=tenant), 0.0)
        floors[tenant_id(tenant.name)] = floor
    return table


def request(
    cost: int, prefetch: int = 0, spent: int = 0, tenant: Tenant = TENANT, nonce: int = 1
) -> QuotaRequest:
    return QuotaRequest(nonce, tenant_id(tenant.name), PARTITION, cost, prefetch, spent)


def status(grant: QuotaGrant | None) -> GrantStatus | None:
    return grant and grant.status


def test_the_tenant_of_these_tests_belongs_to_their_partition() -> None:
    assert partition_of(TENANT.name) == PARTITION


def test_a_bucket_starts_at_its_floor_and_fills_at_the_rate() -> None:
    table = quota_table(start=-4_000)
    needed = 4_000 / ((1 - EXTRA_BURST_RATIO) * TENANT.rate)  # it may have been full at its previous owner
    assert status(table.grant(request(1), needed - 0.01)) is GrantStatus.DENIED
    assert status(table.grant(request(1), needed + 0.01)) is GrantStatus.GRANTED


def test_a_tenant_without_a_floor_has_a_full_bucket_and_gets_no_grant_before_a_floor_is_committed() -> None:
    table, floors = QuotaTable(RULES), Floors()
    table.configure([TENANT])
    table.acquire(PARTITION, floors, 0.0)
    assert table.grant(request(CAPACITY), 0.0) is None
    due = table.due_floors(PARTITION, 0.0)
    record = FloorsRecord(1, due)
    table.on_proposed(PARTITION, record)
    assert table.grant(request(1), 0.0) is None
    floors.apply(record)
    table.on_committed(PARTITION, record)
    assert status(table.grant(request(CAPACITY - due[TENANT_ID] - 1), 0.0)) is GrantStatus.GRANTED
    assert table.grant(request(1_000), 0.0) is None  # below the floor: a lower floor must be committed first
    assert table.due_floors(PARTITION, 0.0)[TENANT_ID] < due[TENANT_ID]


def test_a_higher_floor_applies_from_its_proposal_on_and_a_lower_one_from_its_commit() -> None:
    table, floors = QuotaTable(RULES), Floors({TENANT_ID: 0})
    table.configure([TENANT])
    table.acquire(PARTITION, floors, 0.0)
    table.grant(request(0), 10.0)
    higher = FloorsRecord(1, table.due_floors(PARTITION, 10.0))
    assert higher.floors[TENANT_ID] > 0
    table.on_proposed(PARTITION, higher)
    assert table.grant(request(CAPACITY - higher.floors[TENANT_ID] + 1), 10.0) is None
    lower = FloorsRecord(2, {TENANT_ID: 0})
    table.on_proposed(PARTITION, lower)
    assert table.grant(request(CAPACITY - higher.floors[TENANT_ID] + 1), 10.0) is None
    floors.apply(lower)  # the first proposal was lost, since a later one is applied
    table.on_committed(PARTITION, lower)
    assert status(table.grant(request(CAPACITY - higher.floors[TENANT_ID] + 1), 10.0)) is GrantStatus.GRANTED


def test_floors_are_a_margin_below_the_level_and_rarely_change() -> None:
    table, floors = QuotaTable(RULES), Floors()
    table.configure([TENANT])
    table.acquire(PARTITION, floors, 0.0)
    floor_updates, now = 0, 0.0
    while now < 60.0:
        table.grant(request(3_000), now)
        due = table.due_floors(PARTITION, now)
        if due:
            floor_updates += 1
            record = FloorsRecord(floor_updates, due)
            table.on_proposed(PARTITION, record)
            floors.apply(record)
            table.on_committed(PARTITION, record)
        now += 0.1
    assert floor_updates <= 60


def test_an_idle_bucket_is_removed_with_its_floor() -> None:
    table, floors = QuotaTable(RULES), Floors({TENANT_ID: 0})
    table.configure([TENANT])
    table.acquire(PARTITION, floors, 0.0)
    table.grant(request(10), 1.0)
    assert table.due_floors(PARTITION, 100.0) == {TENANT_ID: REMOVED}
    record = FloorsRecord(1, {TENANT_ID: REMOVED})
    table.on_proposed(PARTITION, record)
    assert table.grant(request(1), 100.0) is None
    floors.apply(record)
    table.on_committed(PARTITION, record)
    assert not floors and table.due_floors(PARTITION, 100.0) == {}


def test_the_bucket_has_a_capacity_and_one_request_may_overdraw_it() -> None:
    assert status(quota_table().grant(request(CAPACITY + MAX_DEBT + 2), 1e6)) is GrantStatus.DENIED
    table = quota_table()
    assert status(table.grant(request(CAPACITY + MAX_DEBT - 2), 1e6)) is GrantStatus.GRANTED
    assert status(table.grant(request(1), 1e6)) is GrantStatus.DENIED


def test_after_a_burst_from_a_full_bucket_no_window_exceeds_the_limit() -> None:
    for retry_after in (0.0, 0.5, 2.0, 7.9, 8.1, 20.0):
        table, used = quota_table(), list[tuple[float, int]]()
        for start in (100.0, 100.0 + retry_after):
            for index in range(1_000):
                now = start + index * 0.008 if retry_after >= 8.0 else start + index * 0.02
                if status(table.grant(request(2_000), now)) is GrantStatus.GRANTED:
                    used.append((now, 2_000))
        for at, _ in used:
            used_in_window = sum(cost for when, cost in used if at <= when <= at + RULES.window)
            assert used_in_window <= LIMIT - 0.2 * ALLOWANCE, retry_after


def test_a_tenant_below_its_limit_may_exceed_its_rate_for_some_seconds() -> None:
    table = quota_table()
    for index in range(400):  # three quarters of the rate for 20 s
        assert status(table.grant(request(1_500), 100.0 + index * 0.05)) is GrantStatus.GRANTED
    for index in range(120):  # then twice the rate for 3 s
        assert status(table.grant(request(2_000), 120.0 + index * 0.025)) is GrantStatus.GRANTED


def test_small_requests_do_not_starve_large_ones() -> None:
    table, rng = quota_table(), random.Random(1)
    counts = {1_000: [0, 0], 9_000: [0, 0]}
    for index in range(4_000):
        cost = rng.choice((1_000, 9_000))
        counts[cost][status(table.grant(request(cost), 10.0 + index * 0.03)) is GrantStatus.GRANTED] += 1
    small, large = (granted / (granted + denied) for denied, granted in counts.values())
    assert large < small < 0.9
    assert large > 0.03


def test_a_denied_request_gets_a_retry_after() -> None:
    table = quota_table(start=-20_000)
    denied = table.grant(request(1_000), 0.0)
    assert denied is not None and denied.retry_after == pytest.approx(
        20_500 / ((1 - EXTRA_BURST_RATIO) * TENANT.rate)
    )
    assert status(table.grant(request(1_000), denied.retry_after + 0.001)) is GrantStatus.GRANTED


def test_the_retry_after_of_an_impossible_request_is_bounded() -> None:
    denied = quota_table().grant(request(10**9), 100.0)
    assert denied is not None and denied.status is GrantStatus.DENIED and denied.retry_after <= 5.0


def test_a_controller_that_does_not_own_the_partition_grants_nothing() -> None:
    table = quota_table()
    table.release(PARTITION)
    assert status(table.grant(request(1), 100.0)) is GrantStatus.NOT_OWNER
    assert not table.due_floors(PARTITION, 100.0)


def test_a_tenant_gets_no_grant_from_another_partition() -> None:
    table = quota_table()
    table.acquire(PARTITION + 1, Floors(), 0.0)
    assert status(table.grant(request(1)._replace(partition=PARTITION + 1), 100.0)) is GrantStatus.NOT_OWNER


def test_an_unknown_tenant_gets_no_grant() -> None:
    assert status(quota_table().grant(request(1, tenant=Tenant("other")), 100.0)) is GrantStatus.NOT_OWNER


def test_a_tenant_without_a_limit_is_not_counted() -> None:
    assert status(quota_table(Tenant(TENANT.name)).grant(request(10**9), 0.0)) is GrantStatus.UNLIMITED


def test_a_lower_limit_applies_at_once_and_a_higher_one_does_not_fill_the_bucket() -> None:
    table = quota_table()
    table.grant(request(1), 100.0)
    table.configure([Tenant(TENANT.name, rate=10.0, burst=10.0)])
    assert status(table.grant(request(100_000), 100.0)) is GrantStatus.DENIED
    table.configure([Tenant(TENANT.name, rate=10_000.0, burst=10**7)])
    assert status(table.grant(request(10**6), 100.1)) is GrantStatus.DENIED


def test_use_without_a_grant_is_deducted() -> None:
    table = quota_table()
    table.grant(request(1, spent=CAPACITY), 100.0)
    assert status(table.grant(request(1), 100.0)) is GrantStatus.DENIED
    assert status(table.grant(request(1), 100.1)) is GrantStatus.GRANTED


def test_prefetched_tokens_are_bounded_and_need_a_well_filled_bucket() -> None:
    table = quota_table()
    bound = int(PREFETCH_RATIO * ALLOWANCE)

    def granted(at: QuotaTable, now: float) -> int:
        grant = at.grant(request(100, prefetch=10**6), now)
        assert grant is not None and grant.status is GrantStatus.GRANTED
        return grant.tokens

    assert granted(table, 100.0) == 100 + bound
    assert granted(table, 100.5) == 100
    assert granted(table, 101.6) == 100 + bound
    assert granted(quota_table(start=CAPACITY // 3), 0.0) == 100


@dataclass
class Router:
    allowances: Allowances = field(default_factory=Allowances)


@dataclass
class Simulation:
    """A simulation with random events, in which requests arrive at `load` times the tenant's rate."""

    seed: int
    load: float
    length: float = 30.0
    ran: list[tuple[float, int]] = field(default_factory=list)
    offered: int = 0

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.now = 0.0
        self.queue: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.routers = [Router() for _ in range(self.random.choice((1, 3, 12)))]
        self.size = self.random.choice((1_500, 5_000, 12_000))
        self.tables = [QuotaTable(RULES), QuotaTable(RULES)]
        self.floors = Floors()  # the committed floors
        self.proposals = 0
        self.uncommitted: list[FloorsRecord] = []  # proposed records in the order of the log
        self.owner: int | None = None
        self.is_lossy = self.random.random() < 0.5
        self.burst_until = 0.0

    def at(self, when: float, call: Callable[[], None]) -> None:
        heapq.heappush(self.queue, (when, next(self.order), call))

    def play(self) -> None:
        for each in self.tables:
            each.configure([TENANT])
        self.at(0.0, self.end_ownership)
        self.at(0.0, self.arrive)
        self.at(0.0, self.propose_periodically)
        while self.queue and self.queue[0][0] < self.length:
            self.now, _, call = heapq.heappop(self.queue)
            call()

    def end_ownership(self) -> None:
        """End the ownership of the partition; the previous owner may not have noticed this yet."""
        previous, self.owner = self.owner, None
        if previous is not None and self.random.random() < 0.5:
            self.tables[previous].release(PARTITION)
        self.at(self.now + self.random.choice((0.0, 0.5, 2.0)), self.start_ownership)

    def start_ownership(self) -> None:
        self.owner = self.random.randrange(2)
        for record in self.uncommitted[: self.random.randrange(len(self.uncommitted) + 1)]:
            self.floors.apply(record)  # in the new owner's log; the later records are lost
        self.uncommitted.clear()
        self.tables[self.owner].acquire(PARTITION, self.floors, self.now)
        self.at(self.now + self.random.choice((1.0, 7.0, 12.0)), self.end_ownership)

    def propose_periodically(self) -> None:
        if not self.uncommitted:
            self.propose()
        self.at(self.now + 0.2, self.propose_periodically)

    def propose(self) -> None:
        """Let the owner propose the floors that are due; some proposals are lost."""
        owner = self.owner
        floors = self.tables[owner].due_floors(PARTITION, self.now) if owner is not None else {}
        if owner is None or not floors or len(self.uncommitted) > 2:
            return
        self.proposals += 1
        record = FloorsRecord(self.proposals, floors)
        self.tables[owner].on_proposed(PARTITION, record)
        if self.random.random() < 0.1:
            return  # the proposal is lost before it is appended to the log
        self.uncommitted.append(record)
        self.at(self.now + self.random.uniform(0.005, 0.1), lambda: self.commit(record))

    def commit(self, record: FloorsRecord) -> None:
        if self.owner is None or record not in self.uncommitted:
            return
        while True:
            first = self.uncommitted.pop(0)
            self.floors.apply(first)
            self.tables[self.owner].on_committed(PARTITION, first)
            if first is record:
                return

    def arrive(self) -> None:
        if self.random.random() < 0.01:
            self.burst_until = self.now + 3.0
        factor = 8.0 if self.now < self.burst_until else 1.0
        mean = self.size / (TENANT.rate * self.load * factor)
        cost = max(1, int(self.size * self.random.uniform(0.2, 1.8)))
        self.offered += cost
        self.request(self.random.choice(self.routers), cost)
        self.at(self.now + self.random.expovariate(1 / mean), self.arrive)

    def request(self, router: Router, cost: int) -> None:
        name = TENANT.name
        if router.allowances.take(name, cost, self.now):
            self.run(router, cost)
            return
        requested_at, prefetch, spent = (
            self.now,
            router.allowances.prefetch(name, cost),
            router.allowances.spent(name),
        )
        quota_request = request(cost, prefetch, spent)
        is_waiting = [True]

        def on_grant(grant: QuotaGrant) -> None:
            if not is_waiting or grant.status in (GrantStatus.NOT_OWNER, GrantStatus.UNLIMITED):
                return
            is_waiting.clear()
            if self.now > requested_at + 0.25:  # the request has timed out
                return
            router.allowances.record_grant(name, max(0, grant.tokens - cost), spent, requested_at)
            if grant.status is GrantStatus.GRANTED:
                self.run(router, cost)

        def on_arrival() -> None:
            if self.owner is not None:
                grant = self.tables[self.owner].grant(quota_request, self.now)
                if grant is not None:
                    self.send(lambda: on_grant(grant))
                    return
                self.propose()
                if self.now < requested_at + 0.2:
                    self.at(self.now + 0.02, on_arrival)

        self.send(on_arrival)

    def send(self, call: Callable[[], None]) -> None:
        if self.is_lossy and self.random.random() < 0.1:
            return
        self.at(self.now + self.random.expovariate(500), call)

    def run(self, router: Router, cost: int) -> None:
        """Run a request once, not at all (its tokens are refunded) or twice."""
        draw = self.random.random()
        if draw < 0.05:
            router.allowances.refund(TENANT.name, cost, self.now)
            return
        self.ran.append((self.now, cost))
        if draw > 0.98:
            router.allowances.charge(TENANT.name, cost)
            self.ran.append((self.now, cost))

    def max_in_window(self) -> float:
        """Return the maximum use in any window."""
        maximum = total = 0.0
        start = 0
        for at, cost in self.ran:
            total += cost
            while self.ran[start][0] < at - RULES.window:
                total -= self.ran[start][1]
                start += 1
            maximum = max(maximum, total)
        return maximum


@pytest.mark.parametrize("load", [0.5, 1.5, 6.0])
def test_the_use_in_no_window_exceeds_the_limit(load: float) -> None:
    for seed in range(15):
        simulation = Simulation(seed, load)
        simulation.play()
        assert simulation.max_in_window() <= LIMIT, seed


class LosslessSimulation(Simulation):
    """A simulation with one owner throughout and without message loss."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.is_lossy = False
        self.owner = 0
        self.tables[0].acquire(PARTITION, self.floors, 0.0)

    def end_ownership(self) -> None:
        pass


class SteadySimulation(LosslessSimulation):
    """A simulation without message loss, with requests of equal size and without bursts."""

    def arrive(self) -> None:
        cost = self.size
        self.offered += cost
        self.request(self.random.choice(self.routers), cost)
        self.at(self.now + cost / (TENANT.rate * self.load), self.arrive)


def test_requests_below_the_limit_are_granted_while_there_is_an_owner() -> None:
    for seed in range(6):
        simulation = SteadySimulation(seed, 0.6)
        simulation.play()
        assert sum(cost for _, cost in simulation.ran) >= 0.9 * simulation.offered, seed


def test_nearly_all_of_the_limit_is_used_when_demand_is_many_times_the_limit() -> None:
    for seed in range(4):
        simulation = LosslessSimulation(seed, 6.0)
        simulation.play()
        assert sum(cost for _, cost in simulation.ran) >= 0.85 * TENANT.rate * simulation.length, seed
