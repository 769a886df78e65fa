"""Whole runs of changes of policy in virtual time: promises kept under faults, and broken by mutants."""

from __future__ import annotations

from math import inf
from typing import Any

import pytest

from firvane.proxy.net.client_connection import ClientConnection
from firvane.proxy.quorum.driver import PolicyConsensus
from firvane.proxy.quorum.events import StateSaved
from firvane.proxy.quorum.leases import Lease
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.types import ProposalOutcome
from firvane.simulation.emulation.records import InUse, Record, Said
from firvane.simulation.emulation.scenario import Boxes, Load, Proxies, Scenario, Trouble
from firvane.simulation.emulation.verdict import Rule
from firvane.simulation.runner.result import Result, Witness
from firvane.simulation.runner.run import play_virtual

CHANGE = Trouble(kind="change", at_s=3.0, proxy=0, attempts=1, deadline_s=1.5, quota=1.1)
AGAIN = Trouble(kind="change", at_s=12.0, proxy=1, aim_s=0.4)
PROMISES = {Rule.TWO_EPOCHS, Rule.OLDER, Rule.FAILED_CAME, Rule.TAKEN_BACK, Rule.ENDLESS}


def day(*troubles: Trouble, **more: Any) -> Scenario:
    limits = {"count": 3, "voters": 3, "back_s": 1.0, **more}
    return Scenario(
        name="policy", seconds=20.0, warm_up_s=1.0, boxes=Boxes(count=4),
        load=Load(rate=60.0, keys=200, body_bytes=60), proxies=Proxies(**limits), troubles=troubles,
    )  # fmt: skip


def played(scenario: Scenario, seed: int = 2) -> tuple[Result, list[Record]]:
    witness, records = Witness(scenario, seed, "virtual"), list[Record]()

    def see(record: Record) -> None:
        records.append(record)
        witness.see(record)

    play_virtual(scenario, seed, see)
    return witness.result(), records


def outcomes(records: list[Record]) -> list[tuple[str, int]]:
    return [(one.outcome, one.epoch) for one in records if isinstance(one, Said) and one.outcome != "open"]


STALLED = Trouble(kind="stall", at_s=4.0, for_s=7.0, proxy=1)
KILLED = Trouble(kind="kill", at_s=4.5, proxy=0)
LOST = Trouble(kind="kill", at_s=8.0, proxy=2, memory="lost")
POWER = Trouble(kind="power", at_s=5.0, for_s=1.0, part=1.0, strikes="proxies")
DEAF = Trouble(kind="link", at_s=2.0, for_s=9.0, proxy=2, way="in")
ALONE = Trouble(kind="link", at_s=2.0, for_s=12.0, proxy=2)
CUT = Trouble(kind="cut", at_s=3.5, for_s=6.0, zone="ikeja")
CLOCK = Trouble(kind="clock", at_s=5.0, step_s=3600.0, proxy=2)


@pytest.mark.parametrize(
    "troubles",
    [(), (STALLED,), (KILLED,), (LOST,), (POWER,), (DEAF,), (CUT,), (CLOCK,)],
    ids=["calm", "stalled", "killed", "disk lost", "power", "deaf", "cut", "clock"],
)
def test_changes_keep_the_promises_whatever_is_down(troubles: tuple[Trouble, ...]) -> None:
    result, records = played(day(CHANGE, AGAIN, *troubles))
    assert not PROMISES & {breach.rule for breach in result.broken_rules}, result.broken_rules
    made = [epoch for outcome, epoch in outcomes(records) if outcome == "in force"]
    assert made and made == sorted({*made})
    last = {one.proxy: one.epoch for one in records if isinstance(one, InUse)}
    assert set(last.values()) == {made[-1]} and len(last) == 3
    if troubles in ((), (CLOCK,)):
        assert made == [2, 3] and not result.broken_counts and result.service > 0.99


def test_two_runs_are_alike_to_the_last_bit() -> None:
    scenario = day(CHANGE, KILLED, STALLED)
    assert len({played(scenario)[0].result_hash for _ in range(2)}) == 1


def test_files_and_signals_leave_the_older_policy_at_work() -> None:
    result, _ = played(day(CHANGE, STALLED, voters=0, change_by="files"))
    assert not result.broken_counts  # what stands still takes the new one up as soon as it goes on
    away = Trouble(kind="cut", at_s=2.5, for_s=12.0, zone="lekki")
    result, _ = played(day(CHANGE, away, voters=0, change_by="files"))
    assert set(result.broken_counts) == {Rule.OLDER.value}


def leases_without_end(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Lease, "expires_at", lambda self: inf)


def requests_that_ask_nobody(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(PolicyConsensus, "may_accept", lambda self: self.value is not None)


def votes_that_are_not_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    """All start anew with what they were founded with."""
    monkeypatch.setattr(PolicyConsensus, "_save", lambda self, action: self._handle(StateSaved(action.token)))


def silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """What became of a proposal is never said."""
    monkeypatch.setattr(Member, "outcome", lambda self, digest: (ProposalOutcome.OPEN, "who knows"))
    monkeypatch.setattr("firvane.simulation.runner.result.CHANGE_S", 12.0)


def words_of_failure(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Member, "outcome", lambda self, digest: (ProposalOutcome.FAILED, "it is late"))


def heads_that_tell_of_now(monkeypatch: pytest.MonkeyPatch) -> None:
    """By which policy is told as of when the answer goes out."""
    whole = ClientConnection._respond

    def respond(self: Any, *args: Any) -> None:
        if self.policy_field and self.context.policy_lease:
            self.policy_field = self.context.policy_lease.epoch_header
        whole(self, *args)

    monkeypatch.setattr(ClientConnection, "_respond", respond)


STOOD = Trouble(kind="stall", at_s=3.1, for_s=8.0, proxy=1)
OFF = Trouble(kind="power", at_s=12.0, for_s=1.0, part=1.0, strikes="proxies")
SLOW = Trouble(kind="slow", at_s=6.0, for_s=3.0, part=1.0, part_speed=0.3)
BREAKS = (SLOW, *(Trouble(kind="reset", at_s=7.0 + 0.14 * n, part=1.0) for n in range(8)))
MUTANTS = [
    (heads_that_tell_of_now, (CHANGE, *BREAKS), Rule.TWO_EPOCHS),
    (leases_without_end, (CHANGE, ALONE), Rule.OLDER),
    (requests_that_ask_nobody, (CHANGE, STOOD), Rule.OLDER),
    (words_of_failure, (CHANGE,), Rule.FAILED_CAME),
    (votes_that_are_not_kept, (CHANGE, OFF), Rule.TAKEN_BACK),
    (silence, (CHANGE,), Rule.ENDLESS),
]


@pytest.mark.parametrize(("mutant", "troubles", "rule"), MUTANTS, ids=[one[0].__name__ for one in MUTANTS])
def test_a_proxy_that_breaks_a_promise_is_found(
    monkeypatch: pytest.MonkeyPatch, mutant: Any, troubles: tuple[Trouble, ...], rule: Rule
) -> None:
    scenario = day(*troubles)
    if rule is not Rule.ENDLESS:
        assert rule not in {breach.rule for breach in played(scenario)[0].broken_rules}
    mutant(monkeypatch)
    assert rule in {breach.rule for breach in played(scenario)[0].broken_rules}
