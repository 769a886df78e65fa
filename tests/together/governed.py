"""Proxies that agree on a policy, each a process; clients that note which epoch answered; and the judge.

Each proxy has askers of its own, one request at a time, whether it says that it is ready or not: what it
answers after it should have stopped is what is looked for. What doors say of changes is written down where it
is read. `governed` ends with the judge's verdict.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import shutil
import signal
from collections import Counter
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

from msgspec.structs import replace

from firvane.proxy.admin_api import calls
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum.messages import MESSAGE_PREFIX, Message, decode
from firvane.proxy.quorum.types import Timing
from firvane.simulation.emulation.epochs import Epochs
from firvane.simulation.emulation.records import Abandoned, Asked, Decided, Proposed, ProxyState, Record, Said
from firvane.simulation.emulation.verdict import Findings, Grade, Rule
from firvane.simulation.runner import policies
from firvane.simulation.runner.steps import seals
from tests.together.harness import DEADLINE, Together, small, together

TIMING = Timing(lease_s=1.0, round_trip_s=0.25)  # trips as wide as a lease allows: the machine may be busy
ASKERS, PAUSE = 2, 0.025  # of each proxy; s from an answer to the next request
ENDS = ("in force", "failed")
# Why a change may fail of which nothing is wrong, on a machine that has no time for it or by what was before.
AGAIN = "another change|has no lease|no majority|not prepared in time|has not told"


def text(number: int) -> bytes:
    """A policy like no other."""
    return b"over_share_worth = %.4f\n" % (number / 1000)


class Governed(Together):
    """`own` goes into the configuration of the proxies of these numbers, `off` have no [policy]."""

    def __init__(
        self, *args: Any, mutant: str, off: tuple[int, ...], own: dict[int, Any],
        timing: Timing,
    ) -> None:  # fmt: skip
        super().__init__(*args)
        self.timing, self.off_by, self.own = timing, off, own
        if mutant:
            self.machines.program = ["-m", "tests.together.mutants", mutant]
        self.findings = Findings()
        voters = self.names[: self.scenario.proxies.voters]
        self.judge = Epochs(self.findings, voters, timing.activation_tolerance_s, DEADLINE)
        self.first = policies.text(self.scenario, -1)
        self.calls = 0
        self.decided: Counter[tuple[int, int]] = Counter()  # by proxy and epoch; 0: refusals
        self.last: dict[tuple[int, bytes], str] = {}  # what doors said last of changes
        self.drops: Callable[[int, int, Message], bool] = lambda sender, receiver, message: False
        self._carry, self.fleet.relay.carry = self.fleet.relay.carry, self._carried  # type: ignore[method-assign]
        self.seals = seals(self.scenario, 1)
        self.tasks: list[asyncio.Task[None]] = []

    def disk(self, number: int) -> Path:
        return policies.folder(self.folder, self.names[number])

    def configured(self, number: int, told: dict[str, Any]) -> dict[str, Any]:
        told = super().configured(number, told)
        told["policy"] |= {"trip_ms": 1000 * self.timing.round_trip_s}
        if number in self.off_by:
            del told["policy"]
        return {**told, **self.own.get(number, {})}

    def _see(self, record: Record) -> None:
        super()._see(record)
        self.judge.see(record)

    def _carried(self, sender: int, receiver: int, data: bytes) -> None:
        if data[:1] != MESSAGE_PREFIX or not self.drops(sender, receiver, decode(data)):
            self._carry(sender, receiver, data)

    # Clients

    def watch(self) -> None:
        """Ask every proxy from now on."""
        for number in range(len(self.names)):
            self.tasks += [asyncio.create_task(self._ask_on(number)) for _ in range(ASKERS)]

    async def _ask_on(self, number: int) -> None:
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(*self.plan.listen(number))
                with contextlib.closing(writer):
                    while True:
                        await self._ask_once(number, reader, writer)
                        await asyncio.sleep(PAUSE)
            await asyncio.sleep(PAUSE)

    async def _ask_once(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.calls += 1
        call, name = f"{1 << 63 | self.calls:016x}", self.names[number]
        path = self.seals.path(call.encode(), "key", 0.005)
        now = self.clock.now()
        self._see(Asked(now, call, call, now, name, "", "", "key", 0.005, 1.0, 1.0, now + 2.0, False))
        writer.write(
            b"GET %s HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Caller: %s\r\nX-Route-Hash: key\r\n"
            b"X-Budget-Ms: 2000\r\nX-Call-Cost: 5000\r\n\r\n"
            % (path, call.encode(), self.scenario.load.communities[0].name.encode())
        )
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).lower().split(b"\r\n")
            fields = dict(line.split(b": ", 1) for line in head[1:] if line)
            await reader.readexactly(int(fields.get(b"content-length", 0)))
        except (OSError, asyncio.IncompleteReadError):
            self._see(Abandoned(self.clock.now(), call, name))
            raise
        epoch = int(fields.get(b"x-policy-epoch", 0))
        if not epoch or head[0].split()[1] == b"200":
            self.decided[number, epoch] += 1
        self._see(Decided(self.clock.now(), call, name, epoch))

    async def answer(self, epoch: int, *proxies: int, more: int = 4) -> None:
        """Each of them gives so many more answers by that epoch; 0 is for refusals, or none told."""
        wanted = {number: self.decided[number, epoch] + more for number in proxies}
        for number, count in wanted.items():
            what = f"{more} answers by epoch {epoch} from {self.names[number]}, {dict(self.decided)}"
            await self.until(what, lambda n=number, c=count: self.decided[n, epoch] >= c)

    # Doors

    async def says(self, number: int, line: str, start: str) -> str:
        """What its door says, once it says something that begins so."""

        async def found() -> str:
            said = await self.ask(number, line)
            return said if said.startswith(start) else ""

        what = f"{start} for {line} at {self.names[number]}"
        return await self.until(what, found)  # type: ignore[no-any-return]

    async def policy(self, number: int) -> dict[str, str]:
        """What its door says of the policy there."""
        said = await self.says(number, "policy-status", "")
        lines = (line.partition(" ") for line in said.splitlines())
        return {name: value for name, _, value in lines}

    async def takes(self, epoch: int, *proxies: int) -> None:
        """Each of them has that epoch in use with a lease, and answers by it."""
        for number in proxies:

            async def found(number: int = number) -> bool:
                status = await self.policy(number)
                return status.get("epoch") == str(epoch) and status["standing"].startswith("holds")

            await self.until(f"epoch {epoch} in use at {self.names[number]}", found)
        await self.answer(epoch, *proxies)

    async def propose(self, number: int, policy: bytes, voters: str = "") -> str:
        """What the door says to it, which is the end of it where it says no."""
        digest = digest_of(policy)
        for line in calls.format_put_calls(digest, policy):
            await self.says(number, line, "+OK")
        self.expect(number, policy)
        said = await self.ask(number, f"policy-propose {digest.hex()} {voters}".strip())
        if said.startswith("-ERR"):
            self._see(Said(self.clock.now(), self.names[number], digest.hex(), "failed"))
        return said

    def expect(self, number: int, policy: bytes) -> None:
        """It is being proposed there."""
        digest = digest_of(policy)
        self._see(Proposed(self.clock.now(), self.names[number], digest.hex()))
        self.last.pop((number, digest), None)

    async def outcome(self, number: int, policy: bytes, call: str = "policy-outcome") -> tuple[str, str]:
        """What its door says of the change, and why; written down where that is new."""
        digest = digest_of(policy)
        said = await self.ask(number, f"{call} {digest.hex()}")
        word, _, why = said.removeprefix("+OK ").strip().partition(": ")
        if said.startswith("+OK") and self.last.get((number, digest)) != word:
            self.last[number, digest] = word
            epoch = int(why.split()[1]) if word == "in force" else 0
            self._see(Said(self.clock.now(), self.names[number], digest.hex(), word, epoch))
        return word, why

    async def ends(self, number: int, policy: bytes) -> tuple[str, str]:
        """How the change has ended, by that proxy's door, or why nothing was begun there."""

        async def found() -> tuple[str, str] | None:
            end = await self.outcome(number, policy)
            return end if end[0] in ENDS or end[1].startswith("not proposed") else None

        return await self.until(f"the end of a change at {self.names[number]}", found)  # type: ignore[no-any-return]

    async def in_force(self, number: int, policy: bytes, voters: str = "") -> int:
        """Propose it there until it is in force; the epoch that it has."""
        while True:
            said = await self.propose(number, policy, voters)
            assert said.startswith("+OK"), said
            end, why = await self.ends(number, policy)
            if end == "in force":
                return int(why.split()[1])
            assert re.search(AGAIN, why), why

    async def past(self, number: int) -> dict[int, str]:
        """What its door says has been in use there: digests by epochs."""
        lines = (await self.says(number, "policy-history", "")).splitlines()
        return {int(line.split()[0]): line.split()[1] for line in lines if line[:1].isdigit()}

    # Faults

    def stop(self, number: int) -> None:
        """It stands still."""
        self.machines.stall(number)
        self._see(ProxyState(self.clock.now(), self.names[number], "stalled"))

    def go(self, number: int) -> None:
        self._see(ProxyState(self.clock.now(), self.names[number], "on"))
        self.machines.go_on(number)

    def hang_up(self, number: int) -> None:
        self.machines.processes[number].send_signal(signal.SIGHUP)

    def lose(self, *proxies: int) -> None:
        """The disks of these, which are down."""
        for number in proxies:
            shutil.rmtree(self.disk(number))

    def put_back(self, number: int) -> Callable[[], None]:
        """Keep a copy of its disk as it is now; what is returned puts that in its place."""
        copy = self.folder / f"copy-{number}"
        shutil.copytree(self.disk(number), copy)

        def put() -> None:
            self.lose(number)
            shutil.copytree(copy, self.disk(number))

        return put

    def broken(self) -> list[Rule]:
        self.judge.end(self.clock.now())
        return [one.rule for one in self.findings.of(Grade.BROKEN)]


@contextlib.asynccontextmanager
async def governed(
    folder: Path,
    proxies: int = 3,
    mutant: str = "",
    off: tuple[int, ...] = (),
    own: dict[int, Any] | None = None,
    timing: Timing = TIMING,
    **changes: Any,
) -> AsyncIterator[Governed]:
    """Proxies that serve by epoch 1, until the test is over, and then the verdict: none of the promises is
    broken, or, for a mutant, the test itself says which."""
    scenario = small(proxies, recovery=False, snapshots=False, voters=3, lease_s=timing.lease_s)
    scenario = replace(scenario, load=replace(scenario.load, rate=2.0))

    def kind(*args: Any) -> Governed:
        return Governed(*args, mutant=mutant, off=off, own=own or {}, timing=timing)

    async with together(folder, scenario, kind=kind, **changes) as fleet:
        fleet.watch()
        try:
            on = [number for number in range(proxies) if number not in off]
            await fleet.takes(1, *on)
            yield fleet
            broken = fleet.broken()
            assert mutant or not broken, fleet.findings.of(Grade.BROKEN)[:3]
        finally:
            for task in fleet.tasks:
                task.cancel()
            await asyncio.gather(*fleet.tasks, return_exceptions=True)
