"""The controller of a roll: asks places and proxies on a timer, and acts by its state machine.

Rules that hold here and nowhere else:

1. What the state machine wants kept is on disk before anything of that step is done. Where it cannot be
   written the controller ends: whoever starts next goes on from what is there.
2. Places are asked what is true before the first order. The roll's number is above all that they have heard,
   and each place hears it, under this controller's name, before anything else is said to it.
3. A place that has heard a higher number, or a course that is another's by now, ends the controller at once.
4. An order is said again until the place has it; what came of it is read from answers to later questions.
5. A comparison gets the blocks of one moment together. Whoever did not answer in time is left out of it.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any

from firvane.core.address import Address, parse_address
from firvane.proxy.rollout import measurements, supervisor_calls
from firvane.proxy.rollout.compare import Comparison, in_time_share
from firvane.proxy.rollout.event_log import Chronicle, Taken
from firvane.proxy.rollout.messages import (
    Action,
    Ask,
    Back,
    Before,
    Block,
    Compare,
    Down,
    Event,
    Found,
    Judged,
    Keep,
    Note,
    Observe,
    Operator,
    Replace,
    ReplaceFailed,
    Side,
    State,
    Stop,
    Tick,
    Tried,
    Try,
)
from firvane.proxy.rollout.plan import Place, Plan
from firvane.proxy.rollout.state_machine import RollStateMachine
from firvane.proxy.rollout.supervisor_calls import Command
from firvane.proxy.rollout.trial_start import try_version

TURN_S = 0.1  # from one look at time and calls to the next
ASK_S = 0.25  # from a place's answer to the next question
WAIT_S = 2.0  # for an answer
SILENT = 2  # questions without an answer, after which a place is down
FIRST_S = 3.0  # for which the places' first answers are waited for
MOST = 1 << 20  # bytes of an answer
BUSY = frozenset(("trying", "proving", "starting", "ending"))

Answered = Callable[[Event], None]


async def call(address: Address, line: str, wait: float = WAIT_S) -> str:
    """What a door answers to a line; `OSError` where it does not, or not to the end."""
    async with asyncio.timeout(wait):
        reader, writer = await asyncio.open_connection(*address, limit=MOST)
        try:
            writer.write(line.encode() + b"\n")
            said = await reader.read(MOST)
            while more := await reader.read(MOST):
                said += more
                if len(said) > MOST:
                    raise OSError("the answer has no end")
        finally:
            writer.transport.abort()
    one = said[:1] in (b"+", b"-") and said.endswith(b"\n")
    if not one and not said.endswith(b"\n.\n"):
        raise OSError("the answer was cut off" if said else "the call was closed")
    return said.decode(errors="replace")


class Site:
    """A place as the controller sees it."""

    def __init__(self, place: Place) -> None:
        self.place, self.name = place, place.name
        self.door, self.ops = parse_address(place.door), parse_address(place.ops)
        self.status: dict[str, str] = {}
        self.silent = 0
        self.claimed = False
        self.order: Replace | Back | None = None  # that the place does not have yet
        self.given: Replace | Back | None = None  # of which nothing is known yet
        self.sample: tuple[int, measurements.Sample] | None = None  # the last one and its moment

    def heard(self, status: dict[str, str]) -> None:
        self.status, self.silent = status, 0
        if ":" in status.get("ops", ""):
            self.ops = parse_address(status["ops"])

    @property
    def version(self) -> str:
        version = self.status.get("version", "-")
        return "" if version == "-" else version


class Controller:
    """One roll's. `say` hears each sentence of its course."""

    def __init__(
        self, plan: Plan, digest: str, chronicle: Chronicle, say: Callable[[str], None], waits: bool = True
    ) -> None:
        """`waits`: a pause is waited out, for as long as the plan says; else `run` returns at one. Raises
        `Damaged` or `OSError` where nobody can say where the roll is, `ValueError` for another plan's."""
        self.plan, self.chronicle, self.say, self.waits = plan, chronicle, say, waits
        self.loop = asyncio.get_running_loop()
        kept = chronicle.read()
        if kept and kept.plan != digest:
            raise ValueError(
                f"{chronicle.path}: is the course of another plan, or this one was changed since"
            )
        self.machine = RollStateMachine(plan, digest, self.loop.time(), kept)
        self.name = secrets.token_hex(4)
        self.sites = {place.name: Site(place) for place in plan.place}
        self.tasks: set[asyncio.Task[None]] = set()
        self.comparison: tuple[int, Comparison] | None = None
        self.observing: tuple[float, list[Block]] | None = None  # until when, and what was seen
        self.moments = 0
        self.over: asyncio.Future[None] = self.loop.create_future()

    async def run(self) -> State:
        """The roll until it ends, or pauses where that is not waited for; the state it is in then. Raises
        `Ended` where this controller cannot go on."""
        try:
            for site in self.sites.values():
                self._spawn(self._first(site))
            while self.tasks:
                await asyncio.wait(self.tasks)
            rolls = [int(site.status.get("roll", 0)) for site in self.sites.values()]
            self.machine.roll = max([self.machine.roll, *rolls])
            self._do(self.machine.begin(self.loop.time()))
            if not self.machine.ended:
                for site in self.sites.values():
                    self._spawn(self._visits(site))
                self._spawn(self._turns())
                self._spawn(self._measures())
                await self.over
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)
        return self.machine.state

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._is_done)

    def _is_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) and not self.over.done():
            self.over.set_exception(error)

    # The state machine

    def _hear(self, event: Event) -> None:
        if not self.over.done():
            self._do(self.machine.hear(event, self.loop.time()))
            if self.machine.ended:
                self.over.set_result(None)

    def _do(self, actions: Sequence[Action]) -> None:
        for action in actions:
            match action:
                case Keep(kept):
                    self.chronicle.keep(kept)
                case Note(text):
                    self.chronicle.mine()
                    self.chronicle.note(self._stamp({"note": text}))
                    self.say(text)
                case Replace(name) | Back(name):
                    site = self.sites[name]
                    site.order, site.given = action, None
                case Try(version):
                    self._spawn(self._try(version))
                case Observe(span):
                    self.observing = self.loop.time() + span, []
                case Compare():
                    made = Comparison(
                        self.plan.compare, action.alpha, action.soak_s, action.before, action.alone
                    )
                    self.comparison = action.number, made
                case Stop():
                    self.comparison = None
                case Ask():
                    pass  # all are asked all the time

    def _stamp(self, what: dict[str, Any]) -> dict[str, Any]:
        return {
            "at": round(time.time(), 3),
            "state": self.machine.state.value,
            "stage": self.machine.stage + 1,
            **what,
        }

    async def _turns(self) -> None:
        heard = False
        while True:
            self.chronicle.mine()
            if call := self.chronicle.said():
                self._hear(Operator(call))
                self.chronicle.heard()
            elif heard and not self.waits and self.machine.state is State.PAUSED and not self.over.done():
                self.over.set_result(None)
            heard = True
            self._hear(Tick())
            await asyncio.sleep(TURN_S)

    async def _try(self, version: str) -> None:
        how = self.plan.version.get(version)
        wrong = ""
        if how is None or "NODE_CONFIG" not in how.environment:
            self.say(f"{version} is not tried beside the fleet: the plan names no NODE_CONFIG for it")
        else:
            wrong = await try_version(how, self.plan.roll.ready_s, self.plan.roll.end_s)
        self._hear(Tried(wrong))

    # Places

    async def _first(self, site: Site) -> None:
        """What a place says before anything is said to it."""
        until = self.loop.time() + FIRST_S
        while not site.status and self.loop.time() < until:
            try:
                site.heard(
                    supervisor_calls.parse_status(
                        await call(site.door, supervisor_calls.format_call(Command.STATUS))
                    )
                )
            except (OSError, ValueError):
                await asyncio.sleep(ASK_S)

    async def _visits(self, site: Site) -> None:
        while True:
            try:
                await self._visit(site)
            except (OSError, ValueError):
                site.silent += 1
                if site.silent == SILENT:
                    self._hear(Down(site.name))
            await asyncio.sleep(ASK_S)

    async def _visit(self, site: Site) -> None:
        if not site.claimed:
            await self._told(site, supervisor_calls.format_call(Command.CLAIM, self.name, self.machine.roll))
            site.claimed = True
        if order := site.order:
            self.chronicle.mine()
            answer = await self._told(
                site, supervisor_calls.format_call(Command.REPLACE, order.version, order.roll)
            )
            if site.order is not order:
                return
            if answer.startswith("+OK"):
                site.order, site.given = None, order
            elif not answer.startswith("-ERR busy"):
                site.order = None
                self._hear(ReplaceFailed(site.name, answer.removeprefix("-ERR").strip()))
        given = site.given
        site.heard(
            supervisor_calls.parse_status(await call(site.door, supervisor_calls.format_call(Command.STATUS)))
        )
        if site.order:
            return  # what it said is from before that
        status, busy = site.status, site.status.get("state") in BUSY
        if given and given is site.given and not busy:
            site.given = None
            failed, roll, why = [*status.get("failed", "").split(" ", 2), "", "", ""][:3]
            if site.version != given.version and (failed, roll) == (given.version, str(given.roll)):
                self._hear(ReplaceFailed(site.name, why))
        self._hear(Found(site.name, site.version, busy))

    async def _told(self, site: Site, line: str) -> str:
        """A line that belongs to the roll, and its answer; `Taken` where the roll is another's by now."""
        answer = await call(site.door, line)
        if answer.startswith("-ERR roll "):
            raise Taken(f"{site.name} says: {answer.removeprefix('-ERR').strip()}")
        return answer

    # Measures

    async def _measures(self) -> None:
        """Blocks of one moment after the other, `block_s` apart."""
        step = self.plan.compare.block_s
        due = self.loop.time()
        while True:
            self.moments += 1
            found = await asyncio.gather(*(self._block(site, due) for site in self.sites.values()))
            self._moment([block for block in found if block], due)
            due += step
            if (late := self.loop.time() - due) > step:  # this process stood still: what it missed is over
                due += step * (late // step)
                self.moments += 1
            await asyncio.sleep(max(0.0, due - self.loop.time()))

    async def _block(self, site: Site, at: float) -> Block | None:
        moment, before = self.moments, site.sample
        version, pid = site.version, site.status.get("pid", "")
        try:
            sample = measurements.sample(
                await call(site.ops, "measures", min(WAIT_S, self.plan.compare.block_s))
            )
        except (OSError, ValueError):
            return None
        site.sample = moment, sample
        if before is None or before[0] != moment - 1 or pid != str(sample.pid):
            return None
        if version not in (self.plan.roll.version, self.plan.roll.old):
            return None
        side = Side.NEW if version == self.plan.roll.version else Side.OLD
        return measurements.block(before[1], sample, at, site.place.zone, side, site.name)

    def _moment(self, blocks: list[Block], at: float) -> None:
        for block in blocks:
            self.chronicle.note(self._stamp({"block": measurements.flat(block)}))
        if self.observing:
            until, seen = self.observing
            seen += blocks
            if at >= until:
                self.observing = None
                self._hear(Before(in_time_share(seen)))
        if self.comparison and blocks:
            number, comparison = self.comparison
            comparison.add(blocks)
            self._hear(Judged(comparison.verdict(), number))
