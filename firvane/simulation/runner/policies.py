"""Policies in a rehearsal: their texts, the disks on which proxies keep them, and operators that change them.

Rules that hold here and nowhere else:

1. A change is the scenario's own policy with what its trouble says; changes do not add up.
2. An operator puts a text at a door, proposes it and asks four times a second what became of it. Where that
   door is silent or does not know for 3 s, it does the same at the next proxy's.
3. The way of today is a script that goes from proxy to proxy, writes its file and sends SIGHUP: three tries,
   2 s apart, where a proxy is down or cut off. A proxy that stands still gets its signal when it goes on.
4. A folder comes back from a loss of power as it is, not at all, with its votes cut off in the middle, or as
   it was when its proxy started.
"""

from __future__ import annotations

import asyncio
import shutil
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import msgspec

from firvane.proxy.admin_api.calls import format_put_calls
from firvane.proxy.policy_text import digest_of
from firvane.simulation.emulation.records import Proposed, Said
from firvane.simulation.emulation.scenario import Scenario
from firvane.simulation.runner.backends import Sink
from firvane.simulation.runner.clock import Clock
from firvane.simulation.runner.plan import ATTEMPTS, Address
from firvane.simulation.runner.state_poller import Question

POLL_S, HANGS_S, ELSEWHERE_S = (
    0.25,
    1.0,
    3.0,
)  # between questions; for an answer; at a door that does not know
HOP_S, AGAIN_S, TRIES = 0.1, 2.0, 3  # of the script: from proxy to proxy, from try to try, and how often
VOTES = "votes"  # the file of them
PUT_BACK = ".before"  # what a folder was when its proxy started


def changed(scenario: Scenario, number: int) -> Scenario:
    """The scenario by whose figures proxies decide after the trouble of that number; below 0: at first."""
    if number < 0:
        return scenario
    trouble, load = scenario.troubles[number], scenario.load
    load = msgspec.structs.replace(
        load,
        aim_s=trouble.aim_s or load.aim_s,
        deadline_s=trouble.deadline_s or load.deadline_s,
        quota=trouble.quota or load.quota,
    )
    return msgspec.structs.replace(scenario, load=load)


def attempts(scenario: Scenario, number: int) -> int:
    """The most that a request may have then."""
    return (scenario.troubles[number].attempts if number >= 0 else 0) or ATTEMPTS


def text(scenario: Scenario, number: int) -> bytes:
    """The policy after the trouble of that number; below 0: the one in which the fleet is founded."""
    load = changed(scenario, number).load
    lines = [
        f"# {number}",
        f"limits.attempts = {attempts(scenario, number)}",
        "[[classes]]",
        f'name = "{load.request_class}"',
        f"aim_ms = {1000 * load.aim_s!r}",
        f"deadline_ms = {1000 * load.deadline_s!r}",
        f'repeat = "{"safe" if load.may_repeat else "unsafe"}"',
    ]
    for one in load.communities:
        quota = round(one.share * load.rate * load.quota, 1)
        lines += ["[[tenants]]", f'name = "{one.name}"', f"share = {one.share!r}", f"quota_rps = {quota!r}"]
    return ("\n".join(lines) + "\n").encode()


def changes(scenario: Scenario) -> list[int]:
    """The numbers of the troubles that are changes of the policy."""
    return [number for number, trouble in enumerate(scenario.troubles) if trouble.kind == "change"]


def allowed(scenario: Scenario) -> dict[str, int]:
    """The most attempts of a request, by the digest of the policy."""
    return {digest_of(text(scenario, n)).hex(): attempts(scenario, n) for n in (-1, *changes(scenario))}


# Disks


def folder(disk: str | Path, name: str) -> Path:
    """Where a proxy keeps policies and votes."""
    return Path(disk) / f"{name}.policy"


def found(disk: Path, scenario: Scenario, names: Sequence[str]) -> None:
    """Make the voters' first files, before the fleet starts."""
    from firvane.proxy.quorum import store

    voters = range(scenario.proxies.voters)
    for voter in voters:
        shutil.rmtree(folder(disk, names[voter]), ignore_errors=True)  # of an earlier run there
        store.bootstrap(folder(disk, names[voter]), text(scenario, -1), voters)


def keep(place: Path) -> None:
    """Keep what there is at a proxy's start, to be put back."""
    before = place.with_suffix(PUT_BACK)
    shutil.rmtree(before, ignore_errors=True)
    if place.exists():
        shutil.copytree(place, before)


def spoil(place: Path, memory: str) -> None:
    """What a loss of power does to a folder: "kept", "lost", "torn" in the middle, or "old", put back."""
    if memory in ("lost", "old"):
        shutil.rmtree(place, ignore_errors=True)
    if memory == "old" and (before := place.with_suffix(PUT_BACK)).exists():
        shutil.copytree(before, place)
    if memory == "torn" and (votes := place / VOTES).exists():
        whole = votes.read_bytes()
        votes.write_bytes(whole[: len(whole) // 2])


# Operators


class Operator:
    """Brings about one change at doors that may be silent."""

    def __init__(
        self, clock: Clock, doors: Sequence[tuple[str, Address]], wanted: bytes, first: int, sink: Sink
    ) -> None:
        """`doors` are all proxies' names and doors; `first` is asked first."""
        self.clock, self.doors, self.text, self.sink = clock, doors, wanted, sink
        self.at, self.digest = first, digest_of(wanted).hex()
        self.left: list[str] = []  # lines still to be said, before the question what became of it
        self.known = 0.0  # when this door last knew of it
        self.said = ""
        self.asks: set[asyncio.Task[None]] = set()
        self.closed = False

    def begin(self, now: float) -> None:
        """At the door whose turn it is."""
        self.left = [*format_put_calls(digest_of(self.text), self.text), f"policy-propose {self.digest}"]
        self.known = now
        self.said = ""
        self._next(now)

    @property
    def proxy(self) -> str:
        return self.doors[self.at][0]

    def _next(self, now: float) -> None:
        if self.closed:
            return
        line = self.left[0] if self.left else f"policy-outcome {self.digest}"
        if line.startswith("policy-propose"):
            self.sink(Proposed(now, self.proxy, self.digest))
        ask = self.clock.loop.create_task(self._ask(line))
        self.asks.add(ask)
        ask.add_done_callback(self.asks.discard)

    async def _ask(self, line: str) -> None:
        answered = self.clock.loop.create_future()

        def heard(answer: bytes) -> None:
            if not answered.done():
                answered.set_result(answer.decode("latin-1").strip())

        transport = None
        try:
            async with asyncio.timeout(HANGS_S):
                made = self.clock.loop.create_connection(
                    lambda: Question(line, heard), *self.doors[self.at][1]
                )
                transport, _ = await made
                answer = await answered
        except OSError:  # a time-out among them
            answer = ""
        if transport:
            transport.abort()
        self._heard(line, answer)

    def _heard(self, line: str, answer: str) -> None:
        now = self.clock.now()
        if line.startswith("policy-outcome"):
            outcome, _, why = answer.removeprefix("+OK ").partition(":")
        else:
            outcome, why = ("open" if answer.startswith("+OK") else "failed" if answer else ""), answer
            self.left = self.left[1:]
        if outcome in ("open", "failed", "in force"):
            self.known = now
        if outcome and outcome != self.said and not line.startswith("policy-put"):
            self.said = outcome
            epoch = why.removeprefix(" epoch ") if outcome == "in force" else "0"
            self.sink(Said(now, self.proxy, self.digest, outcome, int(epoch) if epoch.isdigit() else 0))
        if outcome in ("failed", "in force"):
            return
        if (not outcome and self.left) or now > self.known + ELSEWHERE_S:
            self.at = (self.at + 1) % len(self.doors)
            self.clock.call_at(now + POLL_S, self.begin)
        elif self.left:
            self._next(now)
        else:
            self.clock.call_at(now + POLL_S, self._next)

    def close(self) -> None:
        self.closed = True
        for ask in self.asks:
            ask.cancel()


class Script:
    """Writes a file for each proxy and tells it to read that, as it is done today.

    `reload` is called with a proxy's number and the change's, and says whether the proxy's machine was there.
    """

    def __init__(self, clock: Clock, proxies: int, reload: Callable[[int, int], bool]) -> None:
        self.clock, self.proxies, self.reload = clock, proxies, reload

    def begin(self, now: float, change: int) -> None:
        for proxy in range(self.proxies):
            self.clock.call_at(now + proxy * HOP_S, partial(self._try, proxy, change, TRIES))

    def _try(self, proxy: int, change: int, left: int, now: float) -> None:
        if not self.reload(proxy, change) and left > 1:
            self.clock.call_at(now + AGAIN_S, partial(self._try, proxy, change, left - 1))
