"""Tests of the emulated clients: open loop, shares and keys, bursts, retries, and choice of proxies."""

from __future__ import annotations

from collections import Counter
from hashlib import sha256
from itertools import islice, takewhile

import pytest
from hypothesis import given
from hypothesis import strategies as st
from msgspec.structs import replace

from firvane.simulation.emulation.clients import ClientPopulation, Try
from firvane.simulation.emulation.scenario import Load, Network, Proxies, Retries
from tests.proxy.net.helpers import seeded


def population(load: Load | None = None, seed: int = 1, proxies: int = 3) -> ClientPopulation:
    return ClientPopulation(load or Load(), Network(), Proxies(count=proxies), seed)


def upto(seconds: float, of: ClientPopulation) -> list[Try]:
    return list(takewhile(lambda one: one.at < seconds, of.tries()))


def test_tries_are_poisson_with_the_shares_and_keys_that_the_scenario_says() -> None:
    tries = upto(50.0, population())
    each = Counter(int(one.at) for one in tries)
    mean = len(tries) / 50
    assert mean == pytest.approx(710, rel=0.02)
    assert sum((count - mean) ** 2 for count in each.values()) / 50 == pytest.approx(mean, rel=0.5)
    asked = Counter(one.community for one in tries)
    assert asked == pytest.approx({c.name: c.share * len(tries) for c in Load().communities}, rel=0.06)
    keys = Counter(one.key for one in tries).most_common()
    assert sum(count for _, count in keys[:5]) / len(tries) > 0.1  # four far ahead, and the first of the rest
    assert 1900 < len(keys) <= 2000
    assert all(0.030 <= one.work <= 0.054 and abs(one.hint_us / 1e6 / one.work - 1) < 0.201 for one in tries)
    assert all(850 <= one.budget_ms <= 2500 and one.worth == 1.0 and not one.marked for one in tries)
    # The same on every machine.
    text = "".join(f"{one.at:.9f}{one.call}{one.key}{one.hint_us}{one.proxy}" for one in tries[:999])
    assert sha256(text.encode()).hexdigest()[:16] == "fc35ef9832dca12e"


def test_a_burst_adds_to_the_usual_load_and_is_worth_little_beyond_the_quota() -> None:
    def plain(tries: list[Try]) -> set[tuple[float, str, str, float]]:
        return {(one.at, one.community, one.key, one.work) for one in tries}

    loud = population()
    loud.burst(10.0, "lagos", 4.0, 20.0)
    loud.burst(12.0, "lagos", 2.0, 14.0)  # both count while both are on
    quiet, tries = plain(upto(22.0, population())), upto(22.0, loud)
    assert quiet <= plain(tries) and [one.at for one in tries] == sorted(one.at for one in tries)
    extra = plain(tries) - quiet
    assert all(community == "lagos" and 10.0 < at < 20.0 for at, community, *_ in extra)
    # A second goes in each rise and fall, of which half counts.
    assert len(extra) == pytest.approx(710 * 0.28 * (3 * 9 + 1 * 1), rel=0.05)
    height = [one.worth for one in tries if 14 < one.at < 19 and one.community == "lagos"]
    assert height.count(1.0) / len(height) == pytest.approx(1.25 / 4, rel=0.1) and min(height) == 0.1
    full = sum(one.worth == 1.0 for one in tries if one.community == "lagos" and 10 < one.at < 20)
    assert full < 710 * 0.28 * 1.25 * 11  # unused quota accumulates for a second at most
    assert all(one.worth == 1.0 for one in tries if one.community != "lagos" or one.at < 10)
    late = population()
    coming = late.tries()
    handed = list(islice(coming, 300))
    late.burst(0.0, "lagos", 50.0, 5.0)
    assert next(coming).at > handed[-1].at


def test_clients_retry_by_their_retry_policy() -> None:
    def retry(status: int, wait: float = 0.0, **habits: object) -> Try | None:
        load = replace(Load(), retries=Retries(**habits))  # type: ignore[arg-type]
        return population(load).retry(5.3, first, status, wait)

    first = next(population().tries())
    assert retry(503, how="none") is retry(503, most=0) is retry(400) is retry(200) is None
    at_once = retry(503, 0.5, how="at-once", heeds_retry_after=False, marked=False)
    heeded = retry(429, 0.5, how="at-once")
    beat = retry(500, 0.9, how="lockstep", beat_s=0.5)
    assert at_once and heeded and beat and (at_once.at, heeded.at, beat.at) == (5.3, 5.8, 6.5)
    assert (at_once.marked, heeded.marked) == (False, True)
    waits = retry(0)
    assert waits and 5.4 <= waits.at <= 5.9
    same = ("first", "first_at", "community", "key", "work", "worth", "aim", "zone", "hint_us")
    assert all(getattr(waits, name) == getattr(first, name) for name in same)
    stepped = population(replace(Load(), retries=Retries(how="none")))
    stepped.lockstep(5.0, 6.0)
    last = stepped.retry(5.9, first, 0)
    assert last and last.at == 6.0 and stepped.retry(6.0, first, 0) is None


@seeded
@given(st.integers(0, 2**63), st.integers(0, 3))
def test_every_call_has_an_id_of_its_own_and_tries_end_whatever_their_order(seed: int, most: int) -> None:
    members = population(replace(Load(keys=50), retries=Retries(most=most, how="at-once")), seed)
    chains = [[first] for first in islice(members.tries(), 50)]
    for chain in reversed(chains):
        while after := members.retry(chain[-1].deadline, chain[-1], 0):
            chain.append(after)
    assert {len(chain) for chain in chains} == {most + 1}
    assert len({one.call for chain in chains for one in chain}) == 50 * (most + 1)
    first = chains[0][0]
    assert population(members.load, seed).retry(first.deadline, first, 0) == (chains[0][1] if most else None)


def test_clients_are_assigned_to_admitting_proxies_of_their_zone() -> None:
    members = population(proxies=4)  # of which 0 and 3 are in ikeja
    tries = members.tries()

    def seen(zone: str) -> set[str]:
        return {one.proxy for one in islice(tries, 300) if one.zone == zone}

    assert (seen("ikeja"), seen("lekki")) == ({"proxy-0", "proxy-3"}, {"proxy-1"})
    members.admit(0.0, "proxy-0", False)
    assert seen("ikeja") == {"proxy-3"}
    members.admit(0.0, "proxy-3", False)
    assert seen("ikeja") == {"proxy-1", "proxy-2"}  # none is left there
    members.admit(0.0, "proxy-0", True)
    assert (seen("ikeja"), seen("yaba")) == ({"proxy-0"}, {"proxy-2"})
