"""The agreement at work in one proxy: its member, the disk, the texts, and what the door is asked.

Rules that hold here and nowhere else:

1. Time is read where it counts, from a clock that nobody sets: at each event, and at each request in `may`.
   What is due by then is done before the request is decided, so that no request goes by an epoch that is
   over, and a process that stood still decides nothing by what it knew before.
2. Events are handled one after the other; what follows from one that comes meanwhile waits for its turn.
3. A text is used only where it is whole, of its digest, checked as `firvane check` does and against this
   proxy's own settings, and on disk; on a proxy that is no voter a full disk keeps nobody from using it.
4. What is on this proxy's disk, or in its file, never decides which policy is in force: the members do. Only
   where `without_lease` says serve, and nobody answers, it goes on by what it last knew, and says so.
5. A swap is done in one call: no request is decided by parts of two policies.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, NamedTuple

from firvane.core import interface as api
from firvane.core.validation import ValidationError
from firvane.proxy.admin_api import calls
from firvane.proxy.admin_api.calls import Asked, Call
from firvane.proxy.config import policy as policies
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum import events
from firvane.proxy.quorum.events import Event
from firvane.proxy.quorum.fetch import Fetching
from firvane.proxy.quorum.host import Host
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.messages import MARK
from firvane.proxy.quorum.store import REMEMBERED, Aside, Past, Store
from firvane.proxy.quorum.types import Outcome, Times, Value
from firvane.proxy.quorum.uploads import Uploads, Useless

MOST_FETCHES = 4  # texts being got at once
MOST_TEXTS = REMEMBERED + 14  # kept: those of the history, and the last that were proposed
MOST_UNKEPT = 16  # texts that are tried again where a disk had no room
RETRY = 5.0  # s from one try to keep a text on a full disk to the next
SHORTEST, BEHIND = 0.001, 0.02  # s to the next tick at the least; where something is due that cannot be done
WHY = 120  # characters of a reason that go to another proxy
SILENT = b""


class Checked(NamedTuple):
    """What a text's check has found."""

    why: str  # "": it is usable
    settings: api.Settings | None = None
    voters: tuple[int, ...] | None = None  # that the text itself names


class Policies:
    """One proxy's part in the agreement. `clock` tells seconds on a clock that nobody sets, at the loop's own
    rate; `aside` is where disk writes run, without one they have a thread of their own."""

    def __init__(
        self, host: Host, aside: Aside | None = None, clock: Callable[[], float] = time.monotonic
    ) -> None:
        told = host.config.policy
        assert told  # without it none is made
        self.host, self.told, self.clock, self.loop, self.log = host, told, clock, host.loop, host.log
        self.base = host.config.settings  # what a policy leaves out
        self.me = self.base.me
        self.times = Times(lease=told.lease, trip=told.trip, gather=max(Times.gather, 5 * told.lease))
        self.store = Store(told.folder, host.log, host.loop.call_soon_threadsafe, aside)
        self.member: Member | None = None
        self.value: Value | None = None  # whose policy is in use here
        self.epoch, self.stamp = 0, SILENT  # of it; what answers carry of it
        self.used = asyncio.Event()  # once, with a lease
        self.texts: dict[bytes, bytes] = {}
        self.checked: dict[bytes, Checked] = {}
        self.writing: set[bytes] = set()  # texts on their way to the disk
        self.asked: dict[bytes, tuple[int, ...] | None] = {}  # proposals that wait for it, and their voters
        self.failed: dict[bytes, str] = {}  # proposals that ended there
        self.unkept: dict[bytes, bytes] = {}  # texts that a voter's disk had no room for
        self.uploads = Uploads()
        self.fetching: dict[bytes, Fetching] = {}
        self.history: list[Past] = []
        self.events: deque[Event] = deque()
        self.busy = self.closed = self.held = False
        self.due = 0.0  # when the next tick is
        self.timer: asyncio.TimerHandle | None = None
        self.does: dict[type[Any], Callable[[Any], None]] = {
            events.Say: lambda action: host.peers.tell(action.peer, action.payload),
            events.Save: self._save,
            events.Fetch: self._fetch,
            events.Swap: lambda action: self._swap(action.value),
            events.Note: lambda action: self.log.info(action.event, **action.fields),
        }
        self.calls: dict[Call, Callable[..., bytes]] = {
            Call.POLICY_STATUS: self._status,
            Call.POLICY_HISTORY: self._history,
            Call.POLICY_PUT: self._put,
            Call.POLICY_GET: self._get,
            Call.POLICY_PROPOSE: self._propose,
            Call.POLICY_OUTCOME: self._outcome,
            Call.POLICY_ABORT: self._abort,
        }

    # What the proxy asks

    async def start(self) -> None:
        """Returns when the policy in force is in use here, or, where `without_lease` says serve, when nobody
        has answered for a lease; `OSError` where the folder cannot be had."""
        found = self.store.read()
        self.texts = dict(found.texts)
        self.history = list(found.history)
        kept = found.kept
        known = {past.value.digest for past in self.history[-1:]}
        if kept:
            known |= {kept.decided.digest} | ({kept.accepted[1].digest} if kept.accepted else set())
        has = [its for its in sorted(known) if its in self.texts and not self._check(its).why]
        # A nonce of an earlier life must not come again, whatever seed the configuration names.
        drawn = f"{self.host.config.seed}:{self.host.wall():.9f}:{self.clock():.9f}"
        seed = random.Random(drawn).getrandbits(64)
        self.member = Member(
            self.me, self.base.proxies, self.told.voters, self.times, seed, self.clock(), kept, has
        )
        self.log.info("policy_begins", votes=kept is not None, texts=len(self.texts), folder=self.told.folder)
        self._give(events.Tick())
        try:
            async with asyncio.timeout(self.times.lease):
                await self.used.wait()
        except TimeoutError:
            last = kept.decided if kept else self.history[-1].value if self.history else None
            if self.told.serve_without and last and not self._check(last.digest).why:
                self._use(last)
            said = self.member.status(self.clock())
            self.log.warning(
                "policy_unheard", serves_by=self.epoch, standing=said["standing"], votes=said["votes"]
            )
            if not self.told.serve_without:
                await self.used.wait()

    def heard(self, sender: int, payload: bytes) -> bool:
        """Whether a datagram was for the agreement."""
        if payload[:1] != MARK:
            return False
        if self.member:
            self._give(events.Heard(sender, payload))
        return True

    def may(self) -> bool:
        """Whether a new request may be decided now, by the settings in use."""
        member = self.member
        if member is None or self.closed:
            return False
        now = self.clock()
        if now >= self.due:
            self._give(events.Tick())
        if self.told.serve_without:
            return True
        return member.holds(now) and self.value == member.serving

    def call(self, asked: Asked) -> bytes:
        """The answer to a call at the operators' door."""
        if self.member is None:
            return calls.no("starting: what is on disk has not been read yet")
        does = self.calls[asked.call]
        return does() if asked.given is None else does(asked.given)

    def close(self) -> None:
        """Take no part any more; what was being written is on disk when this returns."""
        self.closed = True
        if self.timer:
            self.timer.cancel()
        for fetching in self.fetching.values():
            fetching.close()
        self.store.close()

    # Events and what follows

    def _give(self, event: Event) -> None:
        self.events.append(event)
        member = self.member
        if self.busy or self.closed or member is None:
            return
        self.busy = True
        try:
            while self.events:
                for action in member.handle(self.events.popleft(), self.clock()):
                    self.does[type(action)](action)
        finally:
            self.busy = False
        self._arm(member)
        if self.held is not (held := member.holds(self.clock())):
            self.held = held
            if held:
                self.used.set()
                self.log.info("policy_lease", epoch=self.epoch)
            elif self.used.is_set():  # before, it has never had one
                does = "serves on" if self.told.serve_without else "refuses"
                self.log.warning("policy_no_lease", epoch=self.epoch, does=does)

    def _arm(self, member: Member) -> None:
        """Tick when something is due by itself."""
        now = self.clock()
        due = min(member.until(now), now + self.times.ask / 4)
        due = max(due, now + SHORTEST) if due > now else now + BEHIND
        if self.timer and now < self.due <= due:
            return  # early enough
        if self.timer:
            self.timer.cancel()
        self.due = due
        self.timer = self.loop.call_later(due - now, self._tick)

    def _tick(self) -> None:
        self.timer = None
        self.uploads.sweep(self.clock())
        self._give(events.Tick())

    def _save(self, action: events.Save) -> None:
        self.store.votes(
            action.kept,
            lambda: self._give(events.Saved(action.token)),
            lambda why: self._give(events.Unsaved(action.token)),
        )

    def _swap(self, value: Value) -> None:
        self._use(value)
        if not self.history or self.history[-1].value.epoch < value.epoch:
            self.history = [*self.history, Past(value, self.host.wall())][-REMEMBERED:]
            self.store.history(self.history)
        self._tidy()

    def _use(self, value: Value) -> None:
        settings = self._check(value.digest).settings
        if settings is None:
            self.log.error("policy_text_missing", epoch=value.epoch, digest=value.digest.hex())
            return
        if self.value is None or self.value.digest != value.digest:
            self.host.adopt(settings)
        self.value, self.epoch = value, value.epoch
        self.stamp = b"X-Policy-Epoch: %d\r\n" % value.epoch if self.told.tell else SILENT

    # Texts

    def _check(self, digest: bytes) -> Checked:
        """What is to be said of a text that is here, as of its first check."""
        known = self.checked.get(digest)
        if known is None:
            text = self.texts.get(digest) or self.uploads.get(digest)
            if text is None:
                return Checked("its text is not here")
            known = self._judged(text)
            if len(self.checked) >= MOST_TEXTS:
                del self.checked[next(iter(self.checked))]
            self.checked[digest] = known
        return known

    def _judged(self, text: bytes) -> Checked:
        try:
            policy = policies.parse(text)
            settings = policies.settings(policy, self.base)
        except ValidationError as error:
            return Checked("; ".join(error.lines()))
        why = self.host.fits(settings)
        return Checked(why) if why else Checked("", settings, policy.voters)

    def _fetch(self, action: events.Fetch) -> None:
        """A text is wanted."""
        wanted = action.digest
        if wanted in self.texts:
            self._is_here(wanted)
        elif text := self.uploads.get(wanted):
            self._keep(text)
        elif wanted in self.fetching:
            self.fetching[wanted].more(action.holders)
        elif len(self.fetching) < MOST_FETCHES:
            # Not all of a tier should ask the same one first.
            at = self.me % len(action.holders) if action.holders else 0
            self.fetching[wanted] = Fetching(
                self.loop,
                self.host.dialer,
                self.told.doors,
                wanted,
                action.holders[at:] + action.holders[:at],
                lambda text, why: self._fetched(wanted, text, why),
            )

    def _fetched(self, wanted: bytes, text: bytes | None, why: str) -> None:
        del self.fetching[wanted]
        if text is None:
            self.log.info("policy_text_unfetched", digest=wanted.hex(), why=why)
        else:
            self._keep(text)

    def _keep(self, text: bytes) -> None:
        """Put it on disk, where it is not yet; then it is here."""
        its = digest_of(text)
        if its in self.texts or its in self.writing:
            return

        def here() -> None:
            self.writing.discard(its)
            self.texts[its] = text
            self._is_here(its)

        def failed(why: str) -> None:
            if not self._votes():
                here()
                return
            self.writing.discard(its)
            self._is_not_kept(its, why)
            if not self.unkept:
                self.loop.call_later(RETRY, self._again)
            self.unkept[its] = text  # it may be the one in force
            while len(self.unkept) > MOST_UNKEPT:
                del self.unkept[next(iter(self.unkept))]

        self.writing.add(its)
        self.store.text(text, here, failed)

    def _again(self) -> None:
        unkept, self.unkept = self.unkept, {}
        if not self.closed:
            for text in unkept.values():
                self._keep(text)

    def _votes(self) -> bool:
        serving = self.member.serving if self.member else None
        return self.me in (serving.voters if serving else self.told.voters)

    def _is_here(self, its: bytes) -> None:
        self._give(events.Checked(its, self._check(its).why[:WHY]))
        if its in self.asked:
            self._give(events.Propose(its, self.asked.pop(its)))

    def _is_not_kept(self, its: bytes, why: str) -> None:
        why = f"a voter cannot keep its text: {why}"
        if its in self.asked:
            del self.asked[its]
            self._note_failed(its, why)
        else:
            self._give(events.Checked(its, why[:WHY]))

    def _note_failed(self, its: bytes, why: str) -> None:
        if len(self.failed) >= REMEMBERED:
            del self.failed[next(iter(self.failed))]
        self.failed[its] = why

    def _tidy(self) -> None:
        """Forget the oldest texts beyond what is kept; what was in force goes last."""
        in_force = {past.value.digest for past in self.history}
        old = [its for its in self.texts if its not in in_force]
        for its in old[: max(0, len(self.texts) - MOST_TEXTS)]:
            del self.texts[its]
            self.store.drop(its)

    # The door

    def _status(self) -> bytes:
        assert self.member
        told = self.member.status(self.clock())
        told["without_lease"] = "serve" if self.told.serve_without else "refuse"
        return calls.lines("\n".join(f"{name} {value}" for name, value in told.items()))

    def _history(self) -> bytes:
        def line(past: Past) -> str:
            since = datetime.fromtimestamp(past.since, UTC).isoformat(timespec="seconds")
            voters = ",".join(map(str, past.value.voters))
            return f"{past.value.epoch} {past.value.digest.hex()} {voters} {since}"

        return calls.lines("\n".join(map(line, self.history)))

    def _put(self, given: calls.Put) -> bytes:
        if given.digest in self.texts:
            return calls.yes("it is here")
        try:
            whole = self.uploads.put(given.digest, given.length, given.offset, given.data, self.clock())
        except Useless as useless:
            return calls.no(str(useless))
        return calls.yes("it is here" if whole else "")

    def _get(self, given: calls.Get) -> bytes:
        text = self.texts.get(given.digest) or self.uploads.get(given.digest)
        return calls.piece(text, given.offset) if text else calls.no("its text is not here")

    def _propose(self, given: calls.Propose) -> bytes:
        its = given.digest
        if its not in self.texts and self.uploads.get(its) is None:
            return calls.no("its text is not here: put it first")
        checked = self._check(its)
        if checked.why:
            return calls.no(" ".join(checked.why.split()))
        voters = checked.voters if given.voters is None else given.voters
        self.failed.pop(its, None)
        if its in self.texts:
            self._give(events.Checked(its))
            self._give(events.Propose(its, voters))
        else:
            self.asked[its] = voters
            self._keep(self.uploads.get(its) or b"")
        return calls.yes(Outcome.OPEN.value)

    def _outcome(self, given: calls.Named) -> bytes:
        assert self.member
        if given.digest in self.asked:
            return calls.yes(f"{Outcome.OPEN.value}: its text is being written")
        if given.digest in self.failed:
            return calls.yes(f"{Outcome.FAILED.value}: {self.failed[given.digest]}")
        outcome, why = self.member.outcome(given.digest)
        return calls.yes(f"{outcome.value}: {why}")

    def _abort(self, given: calls.Named) -> bytes:
        assert self.member
        if given.digest in self.asked:  # its text is still being written
            del self.asked[given.digest]
            self._note_failed(given.digest, "it was aborted")
        self._give(events.Abort(given.digest))
        outcome, why = self.member.outcome(given.digest)
        if given.digest in self.failed or outcome is Outcome.FAILED:
            return self._outcome(given)
        return calls.no(f"{outcome.value}: {why}")
