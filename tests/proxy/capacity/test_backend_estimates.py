"""What is believed of boxes: properties of the account of attempts, and a small world where some are lost."""

from __future__ import annotations

import random
import struct

import pytest
from hypothesis import given
from hypothesis import strategies as st

from benchmarks.small_world import SITUATIONS, Situation, World
from firvane.core import interface as api
from firvane.core.balancing.records import Backend, OpenRequest
from firvane.core.balancing.rows import decode_row, encode_row
from firvane.proxy.capacity import class_counts, tenant_admission
from firvane.proxy.capacity.backend_estimates import (
    LATE_DURATIONS,
    LATE_TARGET_FRACTION,
    LIGHT_WORK_FRACTION,
    LONG_DURATIONS,
    MIN_LOSS_RATE,
    PACE_MARGIN,
    BackendEstimates,
)
from firvane.proxy.capacity.excluded_servers import skipped
from firvane.proxy.capacity.slow_start import refill
from tests.helpers import RULES, SAFE, server, settings, started
from tests.proxy.net.helpers import seeded
from tests.proxy.routing.samples import KEYS


def evidence() -> tuple[BackendEstimates, Backend]:
    return BackendEstimates(settings(), random.Random(1), 90.0), Backend(
        server("a"), 1, 1.0, None, response_gap=0.05
    )


RESULTS = [api.Result.OK, api.Result.ERROR, api.Result.OVERLOADED, api.Result.RESET, api.Result.TIMEOUT,
           api.Result.CANCELLED, api.Result.CONNECT_FAILED]  # fmt: skip


@seeded
@given(st.lists(st.tuples(st.integers(0, 2), st.integers(0, 30), st.sampled_from(RESULTS)), max_size=80))
def test_an_attempt_counts_until_it_leaves_and_leaves_once(steps: list[tuple[int, int, api.Result]]) -> None:
    made, box = evidence()
    out, lost, now = dict[int, bool](), 0, 100.0
    for n, (kind, which, result) in enumerate(steps):
        now += 0.05
        if kind == 0:
            made.on_attempt_sent(box, 0, None, (n, 0), now)
            out[n] = False
        elif out and kind == 1:
            key = list(out)[which % len(out)]
            if not out[key] and made.is_attempt_lost(made.in_flight[key, 0], now):
                made.mark_lost(made.in_flight[key, 0], box)
                out[key] = True
                lost += 1
        elif out:
            key = list(out)[which % len(out)]
            made.on_attempt_ended(
                box, api.Request(key, 0, 1.0), api.Outcome(key, 0, "a", result, 0.1, True), now
            )
            made.on_attempt_ended(box, None, api.Outcome(key, 0, "a", result, 0.1, True), now)  # said twice
            del out[key]
        assert box.in_flight == sum(not gone for gone in out.values()) == len(box.attempts)
        assert len(made.in_flight) == len(out) and box.capacity >= 1.0 and 0.0 <= made.loss_rate <= 1.0


def answer(
    made: BackendEstimates, box: Backend, n: int, result: api.Result, now: float, finished: bool = False
) -> None:
    made.on_attempt_sent(box, 0, None, (n, 0), now)
    made.on_attempt_ended(box, api.Request(n, 0, 1.0), api.Outcome(n, 0, "a", result, 0.01, finished), now)


def test_a_box_that_mostly_fails_is_left_alone_and_tried_until_it_serves() -> None:
    # Guards against a box that draws all requests since it says so quickly that it has failed.
    made, box = evidence()
    for n in range(3):
        answer(made, box, n, api.Result.ERROR, 100.0 + n / 10)
    assert box.retry_at <= 100.3  # some errors say nothing yet
    for n in range(3, 8):
        answer(made, box, n, api.Result.ERROR, 100.0 + n / 10)
    assert box.retry_at > 101.0 and skipped([box], 100.8) == 1
    now = 102.0
    for n in range(8, 14):
        answer(made, box, n, api.Result.OK, now)
        now = max(now + 0.01, box.retry_at)
    assert box.retry_at < now and box.error_rate < 0.5 and not skipped([box], now)


def test_requests_that_are_at_fault_themselves_keep_no_box_out() -> None:
    # Guards against one hostile client that sends what every box turns down.
    made, box = evidence()
    for n in range(30):
        answer(made, box, n, api.Result.ERROR, 100.0 + n / 10, finished=True)
    assert not box.error_rate and not skipped([box], 103.0)


def test_only_what_is_late_and_overtaken_or_late_among_losses_is_lost() -> None:
    made, box = evidence()
    made.typical_duration[0] = 0.1
    mark = made.on_attempt_sent(box, 0, None, (1, 0), 100.0)
    late, long = 100.0 + LATE_DURATIONS * 0.1, 100.0 + LONG_DURATIONS * 0.1
    assert not made.is_attempt_lost(
        mark, long + 9.0
    )  # slow, or its box is silent: nothing tells it from that
    mark.overtaken_by = 1
    assert not made.is_attempt_lost(mark, long - 0.01) and made.is_attempt_lost(mark, long)
    mark.overtaken_by = 2
    assert not made.is_attempt_lost(mark, late - 0.01) and made.is_attempt_lost(mark, late)
    mark.overtaken_by, made.loss_rate = 0, MIN_LOSS_RATE
    assert not made.is_attempt_lost(mark, long - 0.01) and made.is_attempt_lost(mark, long)


def test_a_later_answer_passes_only_what_was_sent_before_it() -> None:
    made, box = evidence()
    marks = [made.on_attempt_sent(box, 0, None, (n, 0), 100.0 + n) for n in range(3)]
    made.on_attempt_ended(box, None, api.Outcome(1, 0, "a", api.Result.OK, 0.1, True), 103.0)
    assert [mark.overtaken_by for mark in marks] == [1, 0, 0]
    made.on_attempt_ended(box, None, api.Outcome(2, 0, "a", api.Result.OVERLOADED, 0.1, True), 103.1)
    assert marks[0].overtaken_by == 1  # a turn-away waits behind nobody


def test_a_box_is_silent_only_where_chance_does_not_explain_it() -> None:
    made, box = evidence()
    made.typical_duration[0], box.last_response_at = 0.1, 99.9
    first = made.on_attempt_sent(box, 0, None, (0, 0), 100.0)
    assert made.is_silent(first, box, 101.0)
    made.loss_rate = 0.17  # one in six is lost: one or two of them are no silence
    assert not made.is_silent(first, box, 101.0)
    for n in (1, 2):
        made.on_attempt_sent(box, 0, None, (n, 0), 100.0 + n / 10)
    assert made.is_silent(first, box, 101.0) and not made.is_silent(first, box, 100.3)
    box.last_response_at = 100.5
    assert not made.is_silent(first, box, 101.0)


def test_a_lost_attempt_says_nothing_of_its_box() -> None:
    made, box = evidence()
    box.attempts.clear()
    mark = made.on_attempt_sent(box, 0, 0.1, (1, 0), 100.0)
    mark.overtaken_by = 9
    made.mark_lost(mark, box)
    before = (
        box.relative_latency,
        box.capacity,
        box.failures,
        dict(made.work_pace),
        list(made.typical_duration),
    )
    asked = api.Request(1, 0, 1.0, work=0.1)
    made.on_attempt_ended(box, asked, api.Outcome(1, 0, "a", api.Result.TIMEOUT, 2.0, True), 102.0)
    assert (
        box.relative_latency,
        box.capacity,
        box.failures,
        dict(made.work_pace),
        list(made.typical_duration),
    ) == before


def test_a_cold_box_is_thought_able_to_what_the_rules_allow_for_or_to_more_where_that_shows() -> None:
    made, _ = evidence()
    cold, warm = Backend(server("a"), 1, 1.0, 100.0), Backend(server("b"), 2, 1.0, None)
    steps = [made.slow_start_fraction(cold, 100.0 + RULES.slow_start * part) for part in (0.0, 0.5, 1.0, 2.0)]
    sure = RULES.start_capacity
    assert steps == pytest.approx([sure, (1 + sure) / 2, 1.0, 1.0])

    def answer(box: Backend, n: int, took: float) -> None:
        made.on_attempt_sent(box, 0, 0.1, (n, 0), 100.0)
        asked, done = api.Request(n, 0, 1.0, work=0.1), api.Outcome(n, 0, "x", api.Result.OK, took, True)
        made.on_attempt_ended(box, asked, done, 100.1)

    for n in range(20):
        answer(warm, n, 0.1)
    answer(cold, 90, 0.1)
    assert made.slow_start_fraction(cold, 100.0) == pytest.approx(sure)  # one answer shows nothing
    for n in range(100, 110):
        answer(cold, n, 0.1)
    assert made.slow_start_fraction(cold, 100.0) == pytest.approx(
        PACE_MARGIN
    )  # as quick as the warm ones, less the margin
    for n in range(200, 230):
        answer(cold, n, 0.5)
    assert sure <= made.slow_start_fraction(cold, 100.0) < 0.4


def test_a_kind_does_what_its_warm_servers_answer_to_all_proxies() -> None:
    made, warm = evidence()
    cold = Backend(server("b"), 2, 1.0, 99.0)
    warm.in_flight, warm.peers_in_flight, rates = 2, 4, []
    for window in range(40):
        for n in range(10):
            for box, number in ((warm, n), (cold, n + 20)):
                made.on_attempt_sent(box, 0, None, (window, number), 100.0)
                done = api.Outcome(window, number, "x", api.Result.OK, 0.05, True)
                made.on_attempt_ended(box, None, done, 100.0)
        made.update_rates([warm], 40.0, 1.0, 0.25)
        rates.append(made.best_rate[0])
    assert rates[0] == rates[1] == 0.0  # too few answers tell nothing
    assert rates[-1] == pytest.approx(10 / 0.25 * 3, rel=0.02)  # those of the cold one don't count
    made.update_rates([], 40.0, 1.0, 0.25)
    assert made.best_rate[0] == pytest.approx(rates[-1], rel=0.02)  # no warm one is left: it stays known


def test_in_a_large_fleet_the_rate_of_a_kind_is_that_of_all_answers_told() -> None:
    # Of 40 proxies each has some 6 answers a second of 30 small boxes, too few to tell their rate: they were
    # given as many keys as boxes that do four times as much, and turned away three in four.
    made, warm = (
        BackendEstimates(settings(proxies=40), random.Random(1), 100.0),
        Backend(server("a"), 1, 1.0, None),
    )
    for window in range(80):
        now = 100.0 + window / 4
        if window % 10 == 0:
            made.on_attempt_sent(warm, 0, None, (window, 0), now)
            made.on_attempt_ended(warm, None, api.Outcome(window, 0, "a", api.Result.OK, 0.05, True), now)
        if window % 2 == 0:
            for peer in range(1, 5):
                assert made.on_peer_message(peer, class_counts.pack({0: 1000 * peer + 5 * window}, now))
        made.update_rates([warm], 80.0, 1.0, 0.25)
    assert made.best_rate[0] == pytest.approx(4 * 5 / 0.25, rel=0.1)


@pytest.mark.parametrize("first", [True, False], ids=["no longer", "from now on"])
def test_answers_are_those_of_all_only_while_proxies_tell_each_other_of_theirs(first: bool) -> None:
    # Guards a SIGHUP that changes `peers`: of 40 proxies what all answered passed for what one did, a rate 40
    # times too high, and the other way round the rate that was known was only forgotten.
    def rate(made: BackendEstimates, begin: int) -> float:
        for window in range(begin, begin + 100):
            now = 100.0 + window / 4
            for n in range(11):  # the first of them is out there while it is looked at
                made.on_attempt_sent(warm, 0, None, (window, n), now)
                if n:
                    made.on_attempt_ended(
                        warm, None, api.Outcome(window, n, "a", api.Result.OK, 0.05, True), now
                    )
            made.on_peer_message(
                1, class_counts.pack({0: 390 * window}, now)
            )  # heard where proxies hear one another
            made.update_rates([warm], 1600.0, 1.0, 0.25)
            made.on_attempt_ended(
                warm, None, api.Outcome(window, 0, "a", api.Result.CANCELLED, 0.05, True), now
            )
        return made.best_rate[0]

    limits = [api.Limits(max_attempts=4, peers=peers) for peers in (first, not first)]
    made = BackendEstimates(settings(proxies=40, limits=limits[0]), random.Random(1), 100.0)
    warm = Backend(server("a"), 1, 1.0, None)
    assert rate(made, 0) == pytest.approx(1600.0, rel=0.1)
    made.apply_settings(settings(proxies=40, limits=limits[1]))
    assert rate(made, 100) == pytest.approx(1600.0, rel=0.1)


def test_a_box_without_a_place_for_a_connection_is_left_to_those_who_have_one() -> None:
    # Small boxes hold 33 connections, and 40 proxies dialled them again and again: up to 400 handshakes a
    # second for nothing, each one of a request's three attempts.
    made, box = evidence()
    pauses = list[float]()
    for n in range(6):
        now = 100.0 + 20 * n
        made.on_attempt_sent(box, 0, None, (n, 0), now)
        made.on_attempt_ended(
            box, None, api.Outcome(n, 0, "a", api.Result.CONNECTIONS_FULL, 0.01, False), now
        )
        pauses.append(box.retry_at - now)
    assert all(0.7 * x < pause < 1.3 * x for x, pause in zip((1, 2, 4, 8, 8, 8), pauses, strict=True))
    # With connections there it is not left alone, and gets as many at once as these carry.
    box.retry_at = 0.0
    for n in (10, 11, 12):
        made.on_attempt_sent(box, 0, None, (n, 0), 300.0)
    made.on_attempt_ended(box, None, api.Outcome(12, 0, "a", api.Result.CONNECTIONS_FULL, 0.01, False), 300.0)
    assert box.retry_at == 0.0 and box.capacity == box.in_flight == 2 and not box.failures
    made.on_attempt_ended(box, None, api.Outcome(11, 0, "a", api.Result.OK, 0.1, True), 300.1)
    assert box.rejected_first_connections == 0


@pytest.mark.parametrize("peers", [True, False])
def test_the_trials_of_a_large_fleet_at_a_box_that_is_gone_are_spread(peers: bool) -> None:
    # Boxes that came back fell over within a second, before any answer and before the list said that they had
    # started: forty proxies had each sent a trial.
    back, waited, limits = list[float](), 0.25, api.Limits(max_attempts=4, peers=peers)
    for me in range(40):
        made = BackendEstimates(settings(proxies=40, limits=limits), random.Random(me), 90.0)
        box = Backend(server("a"), 1, 1.0, None)
        made.on_attempt_sent(box, 0, None, (1, 0), 100.0)
        made.on_attempt_ended(
            box, None, api.Outcome(1, 0, "a", api.Result.CONNECT_FAILED, waited, False), 100.25
        )
        back.append(box.retry_at - 100.25)
    firsts = max(sum(at <= other < at + 1.0 for other in back) for at in back)
    assert firsts <= 18 and min(back) > 5.0 and max(back) < 12.0


@pytest.mark.parametrize("peers", [True, False])
@pytest.mark.parametrize(("proxies", "failures", "cold"), [(40, 1, True), (3, 1, False), (3, 4, True)])
def test_a_box_that_was_down_is_cold_to_each_of_many_proxies(
    proxies: int, failures: int, cold: bool, peers: bool
) -> None:
    # 26 boxes came back cold before the list said so. Of forty proxies hardly one had met four failures of a
    # box, so all sent as to a warm one: three fell over, sent 3.7 to 4 times what they could do.
    limits = api.Limits(max_attempts=4, peers=peers)  # how many there are does not hang on what they tell
    made = BackendEstimates(settings(proxies=proxies, limits=limits), random.Random(1), 90.0)
    box = Backend(server("a"), 1, 1.0, None)
    for n in range(failures):
        made.on_attempt_sent(box, 0, None, (n, 0), 100.0 + n / 10)
        made.on_attempt_ended(
            box, None, api.Outcome(n, 0, "a", api.Result.CONNECT_FAILED, 0.01, False), 100.0 + n / 10
        )
    made.on_attempt_sent(box, 0, None, (9, 0), 102.0)
    made.on_attempt_ended(box, None, api.Outcome(9, 0, "a", api.Result.OK, 0.1, True), 102.1)
    assert made.is_in_slow_start(box, 102.2) is cold and not box.failures and not box.connection_failures
    # Doubt alone, without a connection that ended, makes none cold.
    made.on_silence(box, 120.0)
    made.on_attempt_sent(box, 0, None, (10, 0), 125.0)
    made.on_attempt_ended(box, None, api.Outcome(10, 0, "a", api.Result.OK, 0.1, True), 125.1)
    assert not made.is_in_slow_start(box, 125.2)


@seeded
@given(st.binary(max_size=64), st.booleans())
def test_counts_that_are_none_are_refused_and_change_nothing(payload: bytes, marked: bool) -> None:
    heard = class_counts.Heard()
    if marked:
        payload = class_counts.MARK + payload
    try:
        heard.more(1, payload)
    except (ValueError, struct.error):
        assert not heard.last


def test_counts_lost_late_or_begun_anew_add_up() -> None:
    heard = class_counts.Heard()
    assert heard.more(1, class_counts.pack({0: 50, 1: 5}, 1.0)) == {0: 0, 1: 0}  # long ago, for all one knows
    assert heard.more(1, class_counts.pack({0: 70, 1: 6}, 3.0)) == {0: 20, 1: 1}  # one in between was lost
    assert heard.more(1, class_counts.pack({0: 60, 1: 6}, 2.0)) == {}  # and comes late
    assert heard.more(1, class_counts.pack({0: 4}, 4.0)) == {0: 4}  # it has started anew
    assert heard.more(1, class_counts.pack({n: n for n in range(300)}, 5.0)).keys() == set(
        range(class_counts.MOST)
    )


def test_keys_go_to_kinds_by_what_these_can_do_and_move_seldom() -> None:
    balancer, owners = started("abcd"), list[Backend]()
    for name in "ab":
        balancer.servers[name].entry = server(name, kind=1)

    def part(rate: float) -> float:
        balancer.estimates.best_rate = {0: 100.0, 1: rate}
        balancer.estimates.update_rates([], 400.0, 4.0, 0.0)
        if balancer.estimates.kind_sizes != balancer.kind_sizes:
            balancer.resize_kinds()
        owners[:] = [owner for key in KEYS if (owner := balancer.ring.owner(key))]
        return len([s for s in owners if s.entry.kind == 1]) / len(KEYS)

    assert part(100.0) == pytest.approx(0.5, rel=0.15)
    assert part(30.0) == pytest.approx(0.3 / 1.3, rel=0.15)
    before = list(owners)
    assert part(33.0) and owners == before
    assert part(1.0) > 0.1  # a kind that seems to do nothing keeps some keys: else it could never show more


def test_answers_that_come_too_late_to_be_of_use_cut_the_room_unless_the_work_explains_them() -> None:
    made, box = evidence()
    box.capacity, now = 1.3, 200.0

    def answer(number: int, work: float, took: float) -> float:
        made.on_attempt_sent(box, 0, work, (number, 0), now)
        asked = api.Request(number, 0, 1.0, work=work)
        made.on_attempt_ended(box, asked, api.Outcome(number, 0, "a", api.Result.OK, took, True), now)
        return box.capacity

    aim = made.settings.classes[0].latency_target
    room = answer(1, LIGHT_WORK_FRACTION * aim / 2, LATE_TARGET_FRACTION * aim / 2)
    assert room > 1.3
    cut = answer(2, LIGHT_WORK_FRACTION * aim / 2, LATE_TARGET_FRACTION * aim * 1.1)
    assert (
        cut < room and answer(3, LIGHT_WORK_FRACTION * aim / 2, LATE_TARGET_FRACTION * aim * 1.1) == cut
    )  # late answers come in bunches
    assert answer(4, LIGHT_WORK_FRACTION * aim * 2, LATE_TARGET_FRACTION * aim * 1.1) > cut


def test_a_cold_server_gets_no_more_than_its_room_however_large_its_budget() -> None:
    balancer = started("ab", 100.0, key_affinity=False)
    cold = balancer.servers["a"]
    cold.started_at, cold.capacity, cold.in_flight, cold.tokens, cold.tokens_at = 105.0, 3.0, 2, 50.0, 109.0
    job = OpenRequest(api.Request(1, 0, 2.0), balancer.settings.classes[0], 120.0, 120.0, 5)
    balancer.estimates.fleet_rate = 1e6
    among = balancer.up
    assert balancer.pick_by_scan(job, None, among, 110.0, 1.0) is cold
    cold.in_flight = 3
    assert balancer.pick_by_scan(job, None, among, 110.0, 1.0) is balancer.servers["b"]


def test_a_proxy_that_has_just_started_takes_nobody_s_requests_for_beyond_a_share() -> None:
    tenants = (api.Tenant("lagos", quota_rps=100.0),)
    balancer = started("ab", proxies=3, classes=(SAFE,), tenants=tenants, over_quota_value=0.1)
    for n in range(3):
        balancer.handle(api.Request(n, 0, 2.0, tenant=0), 100.01)
    assert {balancer.capacity_fraction(job) for job in balancer.open_requests.values()} == {1.0}


@pytest.mark.parametrize("proxies", [3, 40])
def test_proxies_that_hear_no_peer_give_a_cold_box_together_what_it_can_do(proxies: int) -> None:
    # Guards against each taking its own answers for those of all: the box then gets a part of its budget.
    limits, fleet, asked = (
        api.Limits(max_attempts=4),
        list[tuple[BackendEstimates, Backend]](),
        60.0 / proxies,
    )
    for me in range(proxies):
        made = BackendEstimates(settings(proxies=proxies, limits=limits), random.Random(me), 90.0)
        made.update_rates(
            [], asked * made.represented_proxies, 2.0, 0.0
        )  # two boxes, 30 answers a second each
        fleet.append((made, Backend(server("a", up_since=100.0), 1, 1.0, 100.0)))
    sent = list[int]()
    for step in range(301):  # each has a token to begin with
        ready = [box for made, box in fleet if refill(made, box, proxies, 100.0 + step / 100, made.rng)]
        for box in ready:
            box.tokens -= 1
        sent.append(len(ready))
    able = 3 * RULES.start_capacity * 30.0
    assert sent[0] == proxies and able <= sum(sent[1:]) <= 2 * able


@pytest.mark.parametrize(("here", "expected"), [(5.0, 0.1), (10.0, 0.1), (30.0, 0.3)])
def test_a_share_is_granted_in_parts_where_proxies_hear_no_other(here: float, expected: float) -> None:
    # Guards against ten proxies that each grant a tenant the whole of its share.
    tenants = (api.Tenant("lagos", quota_rps=60.0), api.Tenant("abuja", quota_rps=40.0))
    alone = settings(proxies=10, tenants=tenants, limits=api.Limits(max_attempts=4))
    rows = {0: decode_row(encode_row(0, 0, 1.0, (0, 1.0, here / 4, here / 4, here), []), 1.0)}
    assert tenant_admission.part(alone, rows, here) == pytest.approx(expected)
    heard = settings(proxies=10, tenants=tenants)
    assert tenant_admission.part(heard, rows | {1: rows[0]}, here) == 0.5
    assert tenant_admission.part(settings(proxies=4, limits=alone.limits), rows, here) == 0.25


@pytest.mark.parametrize("what", SITUATIONS, ids=lambda what: what.name)
def test_what_goes_wrong_costs_little_service_and_few_copies(what: Situation) -> None:
    least = {"one in six lost everywhere": 0.97, "one box silent, one in six lost": 0.96}
    least |= {"all boxes cold": 0.0, "three proxies, a flood": 0.7}
    seen = World(what).run(1600)
    assert seen.served >= least.get(what.name, 0.99)
    assert seen.copies <= 0.02 + 1.2 * what.lost  # no storm: a copy stands for what was lost
    assert seen.rate <= 1.1  # no evidence, no optimism
    if not what.fresh and what.flood == 1.0:
        assert seen.refused <= 0.005 + what.lost / 10
