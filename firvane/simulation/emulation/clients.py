"""Model of the clients: when they send requests, for which keys, how long they wait, and how they retry.

Invariants of this module:

1. Open loop: the send time of a first try depends on the scenario alone, never on responses.
2. Every call id is used once. A retry has an id of its own and shares `first`, the work and the worth.
3. A burst adds requests to the usual load; overlapping bursts of one community add up.
4. Requests of a community beyond its quota (a token bucket of `quota_s` seconds' worth, refilled at `quota`
   times the community's share of the usual rate) are worth `over_share_worth`.
5. No draw depends on a logarithm, whose last bit differs between machines, nor on the order of retries.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Callable, Iterator
from itertools import accumulate
from math import exp, floor, inf
from operator import attrgetter
from random import Random
from typing import NamedTuple

from firvane.simulation.emulation.network import Seat, seats
from firvane.simulation.emulation.scenario import Load, Network, Proxies
from firvane.simulation.emulation.seeded_random import mix, named, part

CHUNK = 64  # mean number of arrivals drawn at once
DISCONNECT_SALT = 0x1EAF5  # separates the draws for disconnecting clients from the others


class Disconnect(NamedTuple):
    """How a client disconnects before its response."""

    after: float  # s from when it sent its request
    by_reset: bool


class Try(NamedTuple):
    """One try of a request."""

    at: float  # planned send time
    call: str
    first: str  # the call id of the first try
    first_at: float
    number: int  # 0 for the first
    proxy: str
    zone: str
    community: str
    key: str
    work: float  # s of a standard core
    hint_us: int  # the client's estimate of the work
    worth: float  # per s of work
    aim: float  # s from `first_at`
    budget_ms: int  # how long the client waits
    marked: bool  # whether a retry is marked as one

    @property
    def deadline(self) -> float:
        """When the client abandons this try."""
        return self.at + self.budget_ms / 1e3


def poisson_distribution(mean: float) -> list[float]:
    """Return the cumulative Poisson distribution for 0, 1, 2 ..., to draw from by bisection."""
    chance = exp(-mean)
    rows, total = [], 0.0
    for n in range(int(mean + 12.0 * mean**0.5) + 1):
        total += chance
        rows.append(total)
        chance *= mean / (n + 1)
    return rows


COUNT_DISTRIBUTION = poisson_distribution(CHUNK)


def arrivals(draw: Random, rate: float, since: float) -> Iterator[float]:
    """Yield the times of a Poisson process of `rate` per second: a drawn number, uniform in each span."""
    if rate <= 0.0:
        return
    span = CHUNK / rate
    random = draw.random
    for n in range(1 << 62):
        begin = since + n * span
        yield from sorted([begin + span * random() for _ in range(bisect(COUNT_DISTRIBUTION, random()))])


class Burst:
    """Additional requests of one community from `begin` to `until`, with a ramp up and down."""

    def __init__(
        self, community_index: int, draw: Random, rate: float, begin: float, until: float, rise: float
    ) -> None:
        self.community_index = community_index  # the community's number
        self.draw = draw
        self.until = until
        self._begin = begin
        self._rise = max(min(rise, (until - begin) / 2.0), 1e-9)
        self._times = arrivals(draw, rate, begin)
        self.next_at = begin
        self.step(begin)

    def step(self, after: float) -> None:
        """Set `next_at` to the next arrival from `after` on."""
        for at in self._times:
            if at >= self.until:
                break
            height = min(1.0, (at - self._begin) / self._rise, (self.until - at) / self._rise)
            if self.draw.random() < height and at >= after:
                self.next_at = at
                return
        self.next_at = inf


class ClientPopulation:
    """The clients of all communities."""

    def __init__(self, load: Load, network: Network, proxies: Proxies, seed: int) -> None:
        self.load = load
        self._seed = seed
        self._seats = seats(network, proxies)
        self._all_zones = tuple(dict.fromkeys(seat.zone for seat in self._seats))
        self._not_admitting: set[str] = set()
        self._seats_by_zone: dict[str, list[Seat]] = {}
        self._assign()
        self._names = tuple(community.name for community in load.communities)
        total = sum(community.share for community in load.communities)
        self._shares = [community.share / total for community in load.communities]
        self._cumulative_shares = [*accumulate(self._shares)][:-1]
        self._refill = [share * load.rate * load.quota for share in self._shares]
        self._tokens = [max(1.0, rate * load.quota_s) for rate in self._refill]
        self._filled_at = [0.0] * len(self._names)
        self._keys, self._cumulative_key_shares = popularity(load, seed)
        self._ids = named(seed, "calls")
        self._first_count = 0
        self._last_at = 0.0
        self._bursts: list[Burst] = []
        self._burst_count = 0
        self._lockstep_until = -inf

    def tries(self) -> Iterator[Try]:
        """Yield first tries in order of time, without end."""
        random = Random(f"crowd/{self._seed}").random
        for at in arrivals(Random(f"times/{self._seed}"), self.load.rate, 0.0):
            while self._bursts:
                burst = min(self._bursts, key=attrgetter("next_at"))
                if burst.next_at >= at:
                    break
                yield self._first(burst.next_at, burst.community_index, burst.draw.random)
                burst.step(burst.next_at)
                if burst.next_at == inf:
                    self._bursts.remove(burst)
            yield self._first(at, bisect(self._cumulative_shares, random()), random)

    def retry(self, now: float, last: Try, status: int, retry_after: float = 0.0) -> Try | None:
        """Return the retry after `last` failed at `now`, or None if the client does not retry.

        `status` is 0 if the client abandoned the try or its connection ended; `retry_after` is the
        response's, in s."""
        policy = self.load.retries
        how = "lockstep" if now < self._lockstep_until else policy.how
        # Statuses that blame the request itself are not retried.
        is_permanent = 0 < status < 429
        if is_permanent or how == "none" or last.number >= policy.most:
            return None
        bits = mix(int(last.call, 16) ^ self._ids)
        at = now + retry_after if policy.heeds_retry_after else now
        if how == "wait":
            low, high = policy.wait_s
            at = max(at, now + low + (high - low) * part(bits))
        elif how == "lockstep":
            at = (floor(at / policy.beat_s) + 1) * policy.beat_s
        bits = mix(bits)
        seat = self._seat(last.zone, part(bits))
        number = last.number + 1
        call = f"{mix(int(last.first, 16) ^ number * 0xD1B54A32D192ED03):016x}"
        return last._replace(
            at=at,
            call=call,
            number=number,
            proxy=seat.name,
            budget_ms=self._wait_ms(part(mix(bits))),
            marked=policy.marked,
        )

    def disconnect(self, try_: Try) -> Disconnect | None:
        """Return how the client of this try disconnects while it waits, or None if it stays.

        Depends on the call id alone."""
        load = self.load
        if not load.leaving:
            return None
        bits = mix(int(try_.call, 16) ^ DISCONNECT_SALT)
        if part(bits) >= load.leaving:
            return None
        low, high = load.leave_s
        bits = mix(bits)
        after = low + (high - low) * part(bits)
        return Disconnect(after, part(mix(bits)) < load.leave_reset)

    def burst(self, now: float, community: str, times: float, until: float) -> None:
        """Raise a community's rate to `times` the usual until `until`. ValueError if it is unknown."""
        community_index = self._names.index(community)
        rate = self.load.rate * self._shares[community_index] * max(0.0, times - 1.0)
        draw = Random(f"burst/{self._seed}/{self._burst_count}")
        self._burst_count += 1
        begin = max(now, self._last_at)
        if begin < until:
            self._bursts.append(Burst(community_index, draw, rate, begin, until, self.load.burst_rise_s))

    def lockstep(self, now: float, until: float) -> None:
        """Synchronize all retries until `until`: they are sent at multiples of `beat_s`."""
        self._lockstep_until = max(self._lockstep_until, until)

    def admit(self, now: float, proxy: str, admits: bool) -> None:
        """Start or stop sending clients to this proxy, as the load balancer in front does."""
        (self._not_admitting.discard if admits else self._not_admitting.add)(proxy)
        self._assign()

    def _assign(self) -> None:
        """Assign clients to proxies of their zone that admit them, else any that do, else any at all."""
        admitting = [seat for seat in self._seats if seat.name not in self._not_admitting] or list(
            self._seats
        )
        self._seats_by_zone = {
            zone: [seat for seat in admitting if seat.zone == zone] or admitting for zone in self._all_zones
        }

    def _seat(self, zone: str, drawn: float) -> Seat:
        choice = self._seats_by_zone[zone]
        return choice[int(drawn * len(choice))]

    def _wait_ms(self, drawn: float) -> int:
        low, high = self.load.abandon
        return int(1e3 * self.load.deadline_s * (low + (high - low) * drawn))

    def _first(self, at: float, community_index: int, random: Callable[[], float]) -> Try:
        load = self.load
        self._last_at = at
        self._first_count += 1
        call = f"{mix(self._first_count * 0x9E3779B97F4A7C15 ^ self._ids):016x}"
        low, high = load.work_ms
        work = (low + (high - low) * random()) / 1e3
        hint = work * (1.0 + load.hint_error * (2.0 * random() - 1.0))
        zones = self._all_zones
        zone = zones[int(random() * len(zones))]
        seat = self._seat(zone, random())
        return Try(
            at, call, call, at, 0, seat.name, zone, self._names[community_index],
            self._keys[bisect(self._cumulative_key_shares, random())],
            work, int(hint * 1e6), 1.0 if self._take_quota(at, community_index) else load.over_share_worth,
            load.aim_s, self._wait_ms(random()), False,
        )  # fmt: skip

    def _take_quota(self, at: float, community_index: int) -> bool:
        """Take a token of the community's quota; return whether there was one."""
        rate = self._refill[community_index]
        tokens = self._tokens[community_index] + (at - self._filled_at[community_index]) * rate
        tokens = min(tokens, max(1.0, rate * self.load.quota_s))
        self._filled_at[community_index] = at
        self._tokens[community_index] = tokens - 1.0 if tokens >= 1.0 else tokens
        return tokens >= 1.0


def popularity(load: Load, seed: int) -> tuple[list[str], list[float]]:
    """Return the keys, most popular first, and their cumulative shares of all requests."""
    popular = min(load.popular, load.keys)
    rest = [1.0 / rank**load.popularity for rank in range(1, load.keys - popular + 1)]
    top = load.popular_share if rest else 1.0
    scale = (1.0 - top if popular else 1.0) / sum(rest) if rest else 0.0
    parts = [top / popular] * popular + [scale * weight for weight in rest]
    keys = [f"{mix(named(seed, 'keys') ^ rank):016x}" for rank in range(load.keys)]
    return keys, [*accumulate(parts)][:-1]
