"""One proxy's part in the agreement: events in, actions out.

Rules that hold here and nowhere else:

1. A voter asks all other voters, any other proxy one, four times a lease; who gave no answer in time is
   passed over for the next one.
2. What a voter tells is all that it knows, from its own votes and from what other voters have told it, since
   the age that it tells with it covers all of that.
3. One change at a time is prepared: a voter keeps the first candidate until its holder has been silent for a
   lease. A vote that nobody finishes is finished by a voter that has it, each after a while of its own.
4. A proposal has failed where no acceptance of it was ever asked for, or another value took its epoch. Else
   it is open, then unknown, until the epoch is known.
5. A voter without memory asks twice: for the newest life of it that is known, and with the next one for where
   things stand. It votes once a majority of the others has answered both, and that is on disk.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from contextlib import suppress
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from firvane.quorum import messages
from firvane.quorum.gathering import Gathering, bits
from firvane.quorum.leases import Lease, majority_read
from firvane.quorum.messages import (
    Accept,
    Accepted,
    Ask,
    Candidate,
    Decided,
    Here,
    Message,
    Prepare,
    Promise,
    Told,
    Unread,
    Verdict,
    Who,
    ballot_of,
    value_of,
)
from firvane.quorum.proposing import Ballots, Out, Phase
from firvane.quorum.votes import Votes, majority, newest, recovered
from firvane.quorum.words import MOST_VOTERS, NO_BALLOT, Kept, Outcome, Times, Value, Window

REMEMBERED = 50  # epochs, proposals


# Events


class Heard(NamedTuple):
    """A datagram of a peer that begins with `messages.MARK`."""

    sender: int
    payload: bytes


class Tick(NamedTuple):
    """Time has passed."""


class Saved(NamedTuple):
    """That `Save` is on disk."""

    token: int


class Unsaved(NamedTuple):
    """That `Save` could not be written."""

    token: int


class Checked(NamedTuple):
    """A text is here, and on disk where this is a voter; `why` is "" where it can be used."""

    digest: bytes
    why: str = ""


class Propose(NamedTuple):
    """A change to a text that is `Checked`, or of the voters; None leaves them."""

    digest: bytes
    voters: tuple[int, ...] | None = None


class Abort(NamedTuple):
    """Give a proposal up."""

    digest: bytes


Event = Heard | Tick | Saved | Unsaved | Checked | Propose | Abort


# Actions


class Say(NamedTuple):
    """Bytes to a peer."""

    peer: int
    payload: bytes


class Save(NamedTuple):
    """On disk, then `Saved`; a later one goes before an earlier."""

    token: int
    kept: Kept


class Fetch(NamedTuple):
    """This text is wanted, then `Checked`; these proxies may have it."""

    digest: bytes
    holders: tuple[int, ...]


class Swap(NamedTuple):
    """New requests are decided by this policy from now on."""

    value: Value


class Note(NamedTuple):
    """A line in the log."""

    event: str
    fields: Mapping[str, str | int | float]


Action = Say | Save | Fetch | Swap | Note


@dataclass
class Proposal:
    """What was proposed here, and what has become of it."""

    value: Value
    outcome: Outcome = Outcome.OPEN
    why: str = "proxies are being asked whether they are prepared"
    given_up: bool = False  # before anybody was asked here to accept it


class Member:
    """One proxy."""

    def __init__(
        self,
        me: int,
        proxies: int,
        voters: tuple[int, ...],
        times: Times,
        seed: int,
        now: float,
        kept: Kept | None = None,
        has: Iterable[bytes] = (),
    ) -> None:
        """`voters` are the configured ones, until an epoch is known; `kept` is a voter's file; `has` are the
        texts that are here and usable."""
        self.me, self.proxies, self.configured, self.times = me, proxies, voters, times
        self.dice = random.Random(seed)
        self.start = now
        self.lease = Lease(times)
        self.votes = Votes(me, times, kept, now) if kept else None
        self.texts = dict.fromkeys(has, "")
        self.history: dict[int, Value] = {}
        self.proposals: dict[bytes, Proposal] = {}
        self.refused: dict[bytes, str] = {}  # why proposals were not begun here
        self.gathering: Gathering | None = None
        self.ballots: Ballots | None = None
        self.candidate: tuple[bytes, int, float] | None = None  # digest, holder, until when
        self.asked: dict[int, tuple[int, float]] = {}  # by nonce: whom, and when
        self.sent: dict[int, float] = {}  # by voter: when the question went out that it answered last
        self.told: dict[int, Told] = {}
        self.heard: dict[int, float] = {}  # by proxy: when it asked last, and was not deaf
        self.turn = self.dice.randrange(MOST_VOTERS)  # which voter is asked
        self.ask_at = now + self.dice.uniform(0, times.trip / 4)
        self.asked_at = self.who_at = self.fetch_at = self.finish_at = -inf
        self.life = 0  # of a voter that has lost its memory: its new one, once that is known
        self.tokens = 0
        self.saving: dict[int, Kept] = {}
        self.reborn: Votes | None = None  # once that is on disk
        self.asked_for: Kept | None = kept  # what the last Save was of
        self.held: list[tuple[int, int, Message]] = []  # to be said once that token is on disk
        self.limit = -inf
        self.actions: list[Action] = []
        self._sync(now)

    # What the driver asks

    @property
    def serving(self) -> Value | None:
        return self.lease.serving

    def holds(self, now: float) -> bool:
        """Whether a new request may be decided by the epoch in use."""
        return now < self.limit

    def until(self, now: float) -> float:
        """When to tick at the latest."""
        due = [self.lease.due(), self.ballots.due if self.ballots else inf]
        return min([now + self.times.ask / 4, *(at for at in due if at > now)])

    def handle(self, event: Event, now: float) -> list[Action]:
        """What follows from it."""
        self.actions = []
        match event:
            case Heard(sender, payload):
                if 0 <= sender < self.proxies and sender != self.me:
                    with suppress(Unread):
                        self._hear(sender, messages.unpack(payload), now)
            case Saved(token):
                self._saved(token, now)
            case Unsaved(token):
                self._unsaved(token)
            case Checked(digest, why):
                self._checked(digest, why)
            case Propose(digest, voters):
                self._propose(digest, voters, now)
            case Abort(digest):
                self._abort(digest, now)
            case Tick():
                pass
        self._advance(now)
        return self.actions

    # The way of things

    @property
    def voters(self) -> tuple[int, ...]:
        return self.lease.decided.voters if self.lease.decided else self.configured

    @property
    def quorum(self) -> int:
        return len(self.voters) // 2 + 1

    def _advance(self, now: float) -> None:
        self._sync(now)
        self._votes(now)
        self._sync(now)
        unanswered = self.lease.told < self.asked_at <= now - 2 * self.times.trip
        if now >= self.ask_at or (unanswered and self.me not in self.voters):
            self._ask(now)
        self._gather(now)
        if self.ballots:
            self._send(self.ballots.step(now), now)
        self._begin(now)
        self._ends(now)
        self._fetch(now)
        self._save()
        self.limit = self.lease.limit()

    def _sync(self, now: float) -> None:
        """What the votes here say is known to the lease, and the other way round."""
        lease, votes = self.lease, self.votes
        if votes is None:
            return
        decided = lease.decided
        if decided and decided.epoch > votes.kept.decided.epoch:
            window = lease.windows.get(decided.epoch, Window())
            settled = window.begins == -inf
            if window.begins == inf:
                window = Window(window.ends, now + self.times.lead + self.times.trip)
            votes.learn(decided, settled, Window() if settled else Window(window.ends, window.begins))
        kept = votes.kept
        self._learn(kept.decided, kept.settled)
        if kept.accepted or not kept.settled:
            window = lease.window(kept.decided.epoch + (1 if kept.settled else 0))
            window.ends = min(window.ends, votes.window.ends)
            if not kept.settled:
                window.begins = min(window.begins, votes.window.begins)

    def _learn(self, value: Value, settled: bool) -> None:
        if self.lease.learn(value, settled):
            self._known(value)

    def _known(self, value: Value) -> None:
        """A later epoch is decided."""
        self.history[value.epoch] = value
        if len(self.history) > REMEMBERED:
            del self.history[min(self.history)]
        self._note("policy_decided", epoch=value.epoch, digest=value.digest.hex())
        if self.ballots and self.ballots.decided.epoch < value.epoch:
            self.ballots = None
        if self.gathering and self.gathering.value.epoch <= value.epoch:
            self.gathering = None

    def _begin(self, now: float) -> None:
        """Use the epoch that has begun."""
        value = self.lease.next(now)
        if value and self.texts.get(value.digest) == "":
            self.lease.serving = value
            self.actions.append(Swap(value))
            self._note("policy_in_use", epoch=value.epoch, digest=value.digest.hex())

    # Questions and answers

    def _ask(self, now: float) -> None:
        self.ask_at = now + self.times.ask
        self.asked = {n: (v, at) for n, (v, at) in self.asked.items() if now - at < self.times.lease}
        others = [voter for voter in self.voters if voter != self.me]
        if self.me not in self.voters and others:
            if self.lease.told < self.asked_at:
                self.turn += 1  # the last one asked has not answered
            others = [others[self.turn % len(others)]]
        self.asked_at = now
        for voter in others:
            nonce = self.dice.getrandbits(32)
            self.asked[nonce] = (voter, now)
            life = self.life if self.votes is None and self.me in self.voters else 0
            self._say(voter, Ask(nonce=nonce, incarnation=life, deaf=self._is_deaf(now)), now)
        if not others:  # the only voter
            self._fresh(now)

    def _is_deaf(self, now: float) -> bool:
        """Whether what it asks is in vain: where the way is lost one way, it is heard and hears nothing."""
        return now >= max(self.lease.fresh, self.start) + self.times.lease

    def _fresh(self, now: float) -> None:
        """Renew the lease of a voter by what the others have answered."""
        votes = self.votes is not None
        self.lease.renew(majority_read(self.sent, self.voters, self.me, votes, now))

    def _answer(self, asker: int, message: Ask, now: float) -> None:
        """Tell all that is known here, once it is on disk."""
        if self.me not in self.voters:
            return
        if not message.deaf:
            self.heard[asker] = now
        votes = self.votes
        if votes and message.incarnation:
            votes.note(asker, message.incarnation)
        self._fresh(now)
        self._reply(asker, self._state(message.nonce, now), now)

    def _state(self, nonce: int, now: float) -> Told:
        votes, lease = self.votes, self.lease
        decided, settled, ends, begins = lease.decided, True, None, None
        if decided:
            window = lease.windows.get(decided.epoch)
            settled = window is None or window.begins == -inf
            coming = lease.windows.get(decided.epoch + 1) if settled else window
            ends = coming.ends - now if coming and coming.ends < inf else None
            begins = window.begins - now if not settled and window and window.begins < inf else None
        said = votes.said if votes else None
        same = said is not None and said.decided == decided
        candidate = self.candidate[:2] if self.candidate and now < self.candidate[2] else None
        return Told(
            nonce=nonce, age=now - lease.fresh if lease.fresh > -inf else -1.0, votes=votes is not None,
            decided=decided, settled=settled, ends=ends, begins=begins,
            promised=said.promised if said else NO_BALLOT, accepted=said.accepted if said and same else None,
            incarnation=said.incarnation if said else 0, lives=said.met if said else (), candidate=candidate,
        )  # fmt: skip

    def _heed(self, voter: int, told: Told, now: float) -> None:
        """A voter's answer."""
        whom, sent = self.asked.pop(told.nonce, (-1, 0.0))
        if whom != voter:
            return
        counts = self.lease.counts(told, sent, now)
        if self.lease.hear(told, sent, now) and self.lease.decided:
            self._known(self.lease.decided)
        if self.me in self.voters:
            if told.votes:
                if counts:
                    self.sent[voter] = max(sent, self.sent.get(voter, -inf))
                self.told[voter] = told
            self._fresh(now)
            self._recover(now)
        elif counts and told.age >= 0:
            self.lease.renew(sent - told.age * (1 + self.times.skew))
        self._consider(told.candidate, now)
        self._rival(voter, told.candidate)

    def _rival(self, voter: int, candidate: tuple[bytes, int] | None) -> None:
        """Which change a voter holds, while one is being prepared here."""
        if self.gathering:
            self.gathering.rivals.pop(voter, None)
            if candidate and candidate[0] != self.gathering.value.digest:
                self.gathering.rivals[voter] = candidate[1]

    def _recover(self, now: float) -> None:
        """A voter without memory: whether a majority of the others has told it where things stand."""
        if self.votes is not None or self.reborn is not None:
            return
        told = {voter: one for voter, one in self.told.items() if voter in self.voters and one.decided}
        if len(told) < self.quorum:
            return
        newer = newest(one.lives for one in told.values()).get(self.me, 0)
        if not self.life or newer > self.life:  # where that was begun before, with fewer of them
            self.life = newer + 1
            self.told.clear()  # what counts now is said by who knows of this life
        elif all(dict(one.lives).get(self.me) == self.life for one in told.values()):
            kept = recovered(self.me, self.life, told.values())
            if kept.decided == self.lease.decided:
                self.reborn = Votes(self.me, self.times, kept, now)
                self._write(kept)
        else:
            self.told = {v: one for v, one in told.items() if dict(one.lives).get(self.me) == self.life}

    # Messages

    def _hear(self, sender: int, message: Message, now: float) -> None:
        votes = self.votes
        match message:
            case Ask():
                self._answer(sender, message, now)
            case Told():
                self._heed(sender, message, now)
            case Prepare() if votes:
                if promise := votes.prepare(message, now):
                    self._reply(sender, promise, now)
            case Accept() if votes:
                if self.texts.get(message.value[1]) == "" and (yes := votes.accept(message, now)):
                    self._reply(sender, yes, now)
                else:
                    self._consider((message.value[1], sender), now)
            case Decided() if votes:
                votes.chosen(ballot_of(message.ballot), value_of(message.value), message.at, now)
            case Promise() if self.ballots:
                self._send(self.ballots.promised(sender, message, now), now)
            case Accepted() if self.ballots:
                if self.ballots.accepted(sender, message, now):
                    self._chosen(self.ballots, now)
            case Candidate():
                self._offered(sender, message, now)
            case Verdict() if self.gathering:
                self.gathering.verdict(sender, message)
            case Who() if self.me in self.voters:
                of_late = [proxy for proxy, at in self.heard.items() if now - at <= self.times.lease]
                asked = bits([*of_late, self.me], self.proxies)
                self._reply(sender, Here(nonce=message.nonce, since=now - self.start, bits=asked), now)
            case Here() if self.gathering:
                whom, sent = self.asked.pop(message.nonce, (-1, 0.0))
                if whom == sender:
                    self.gathering.here[sender] = (sent, message)
            case _:
                pass

    def _say(self, to: int, message: Message, now: float) -> None:
        if to == self.me:
            self._hear(self.me, message, now)
        else:
            self.actions.append(Say(to, messages.pack(message)))

    def _send(self, out: Out, now: float) -> None:
        for to, message in out:
            self._say(to, message, now)

    def _reply(self, to: int, message: Message, now: float) -> None:
        """Say it once all that was decided up to now is on disk."""
        self._save()
        if self.saving:
            self.held.append((self.tokens, to, message))
        else:
            self._say(to, message, now)

    # Disk

    def _save(self) -> None:
        if self.votes and self.votes.kept != self.asked_for:
            self._write(self.votes.kept)

    def _write(self, kept: Kept) -> None:
        self.tokens += 1
        self.asked_for = self.saving[self.tokens] = kept
        self.actions.append(Save(self.tokens, kept))

    def _saved(self, token: int, now: float) -> None:
        if token not in self.saving:
            return
        if self.reborn:
            self.votes, self.reborn = self.reborn, None
            self._note("policy_votes_again", epoch=self.votes.kept.decided.epoch, life=self.life)
        assert self.votes
        self.votes.saved(self.saving[token])
        self.saving = {later: kept for later, kept in self.saving.items() if later > token}
        ready = [entry for entry in self.held if entry[0] <= token]
        self.held = [entry for entry in self.held if entry[0] > token]
        for _, to, message in ready:
            self._say(to, self._state(message.nonce, now) if isinstance(message, Told) else message, now)

    def _unsaved(self, token: int) -> None:
        """Nothing of it has been said, and nothing is."""
        if token not in self.saving:
            return
        self.saving.clear()
        self.held.clear()
        self.reborn = None
        if self.votes:
            self.votes.unsaved()
            self.asked_for = self.votes.kept
        self._note("policy_vote_unwritten", token=token)

    # Votes

    def _votes(self, now: float) -> None:
        """What follows from the votes that are known."""
        votes = self.votes
        if votes is None:
            return
        if votes.due(now):
            votes.settle()
        states = {voter: told for voter, told in self.told.items() if told.decided == votes.kept.decided}
        states[self.me] = self._state(0, now)
        if vote := majority(states, votes.kept.decided.voters, votes.kept.decided.quorum):
            votes.chosen(*vote, None, now)
        value = self._begun(votes, now)
        if value is None:
            self.finish_at = -inf
        elif self.finish_at == -inf:
            self.finish_at = now + self.times.lease * self.dice.uniform(0.5, 1.5)
        elif now >= self.finish_at and self.ballots is None:
            self.ballots = self._made(value, now)
            self._note("policy_finishes", epoch=value.epoch, digest=value.digest.hex())

    def _begun(self, votes: Votes, now: float) -> Value | None:
        """What has been begun for the next epoch, and perhaps nobody will end: a vote, or an end alone,
        which a voter leaves that could not write its vote. Then the policy stays, under another number."""
        kept, said = votes.kept, votes.said
        if not kept.settled or said.decided != kept.decided:
            return None
        if said.accepted:
            return said.accepted[1]
        window = self.lease.windows.get(kept.decided.epoch + 1)
        if window is None or now < window.ends:
            return None
        return kept.decided._replace(epoch=kept.decided.epoch + 1)

    def _chosen(self, ballots: Ballots, now: float) -> None:
        """A majority has accepted what was proposed here."""
        assert ballots.value
        self._send(ballots.tell(), now)
        self._learn(ballots.value, False)
        window = self.lease.window(ballots.value.epoch)
        window.ends, window.begins = min(window.ends, ballots.at), min(window.begins, ballots.at)

    def _made(self, value: Value, now: float) -> Ballots:
        assert self.lease.decided
        highest = self.votes.kept.promised.round if self.votes else 0
        # Of its own nonce: what answers the ballots of an earlier change must not count for this one.
        nonce = self.dice.getrandbits(32)
        return Ballots(self.me, nonce, self.times, self.lease.decided, value, self.dice, now, highest=highest)

    # Changes

    def _propose(self, digest: bytes, voters: tuple[int, ...] | None, now: float) -> None:
        decided = self.lease.decided
        known = self.proposals.get(digest)
        if known and known.outcome in (Outcome.OPEN, Outcome.UNKNOWN):
            return  # the same once more
        new = tuple(sorted(set(voters))) if voters is not None else None
        value = Value(decided.epoch + 1 if decided else 0, digest, new or self.voters)
        if why := self._unready(value, now):
            self.proposals.pop(digest, None)
            self.refused[digest] = why
            if len(self.refused) > REMEMBERED:
                del self.refused[next(iter(self.refused))]
            return
        proposal = Proposal(value)
        if len(self.proposals) >= REMEMBERED:
            del self.proposals[next(iter(self.proposals))]
        self.proposals.pop(digest, None)
        self.refused.pop(digest, None)
        self.proposals[digest] = proposal
        if decided and decided.digest == digest and value.voters == decided.voters:
            proposal.value, proposal.why = decided, "it was decided before"  # `_ends` says the rest
        elif why := self._unfit(value):
            proposal.outcome, proposal.why = Outcome.FAILED, why
        else:
            self.gathering = Gathering(
                self.me, self.times, value, self.voters, self.quorum, now, yes={self.me}
            )
            self.who_at = -inf
            self._note("policy_proposed", epoch=value.epoch, digest=digest.hex())

    def _unready(self, value: Value, now: float) -> str:
        """Why nothing can be begun here now; "" where it can.

        Whether the same was begun before, in an earlier life of this proxy or elsewhere, is not known
        then, and nothing may be said of it."""
        if self.lease.decided is None or not self.holds(now):
            return "not proposed: this proxy has no lease; propose it again, here or elsewhere"
        if self.gathering or self.ballots or self.lease.due() < inf or self._voted(value):
            return "not proposed: another change is under way; propose it again after it"
        return ""

    def _doubted(self, value: Value, now: float) -> bool:
        """Whether there may be a vote for that epoch: there is, or what was said in an earlier life of this
        proxy may still be on its way."""
        spoken = self.start + self.times.lead - self.times.notice + self.times.trip
        return now < spoken or self._voted(value)

    def _voted(self, value: Value) -> bool:
        window = self.lease.windows.get(value.epoch)
        votes = self.votes is not None and self.votes.kept.accepted is not None
        return votes or (window is not None and window.ends < inf)

    def _unfit(self, value: Value) -> str:
        """Why it can never be proposed as it is; "" where it can."""
        assert self.lease.decided
        if (why := self.texts.get(value.digest, "its text is not here")) != "":
            return why
        if len(set(value.voters) ^ set(self.lease.decided.voters)) > 1:
            return "voters change one at a time"
        if not 1 <= len(value.voters) <= MOST_VOTERS or not all(0 <= v < self.proxies for v in value.voters):
            return f"there are 1 to {MOST_VOTERS} voters, each a proxy's number below {self.proxies}"
        return ""

    def _abort(self, digest: bytes, now: float) -> None:
        proposal = self.proposals.get(digest)
        if proposal is None or proposal.outcome is not Outcome.OPEN:
            return
        ballots = self.ballots
        gathers = self.gathering is not None and self.gathering.value == proposal.value
        if gathers or (ballots and ballots.wanted == proposal.value and not ballots.said):
            self._give_up(proposal, "it was aborted", now)

    def _give_up(self, proposal: Proposal, why: str, now: float) -> None:
        """No acceptance of it was ever asked for here.

        So it is in force nowhere, unless a vote for its epoch shows that the same may have been begun
        elsewhere."""
        doubted = self._doubted(proposal.value, now)
        proposal.outcome, proposal.why = (Outcome.UNKNOWN if doubted else Outcome.FAILED), why
        proposal.given_up = True
        self.gathering = self.ballots = None
        for voter in self.voters:
            if voter != self.me:
                self.actions.append(
                    Say(voter, messages.pack(Candidate(digest=proposal.value.digest, on=False)))
                )
        if self.candidate and self.candidate[0] == proposal.value.digest:
            self.candidate = None
        self._note("policy_failed", epoch=proposal.value.epoch, why=why)

    def _gather(self, now: float) -> None:
        gathering = self.gathering
        if gathering is None:
            return
        proposal = self.proposals[gathering.value.digest]
        if self.candidate and now < self.candidate[2]:
            self._rival(self.me, self.candidate[:2])
        if why := gathering.failed(now):
            self._give_up(proposal, why, now)
            return
        if now >= self.who_at:
            self.who_at = now + self.times.ask / 2
            for voter in self.voters:
                nonce = self.dice.getrandbits(32)
                self.asked[nonce] = (voter, now)
                self._say(voter, Candidate(digest=gathering.value.digest, on=True), now)
                self._say(voter, Who(nonce=nonce), now)
        awaited = gathering.awaited(now)
        if awaited:
            proposal.why = "not prepared yet: " + ", ".join(map(str, sorted(awaited)))
        if awaited is not None and not awaited and self.holds(now):
            self.gathering, self.ballots = None, self._made(gathering.value, now)
            proposal.why = "the voters are asked"

    def _offered(self, holder: int, message: Candidate, now: float) -> None:
        """A voter hears of a change that is being prepared."""
        if self.me not in self.voters:
            return
        mine = self.candidate
        if not message.on:
            if mine and mine[:2] == (message.digest, holder):
                self.candidate = None
        elif mine is None or now >= mine[2] or mine[:2] == (message.digest, holder):
            self.candidate = (message.digest, holder, now + self.times.lease)
            self._consider(self.candidate[:2], now)

    def _consider(self, candidate: tuple[bytes, int] | None, now: float) -> None:
        """Say whether this proxy is prepared; fetch the text where it is not here."""
        if candidate is None or candidate[1] == self.me or not 0 <= candidate[1] < self.proxies:
            return
        digest, holder = candidate
        why = self.texts.get(digest)
        if why is None:
            self._want(digest, (holder,), now)
        else:
            self._say(holder, Verdict(digest=digest, why=plain(why)), now)

    def _checked(self, digest: bytes, why: str) -> None:
        self.texts[digest] = why
        kept = {self.lease.decided.digest} if self.lease.decided else set()
        kept |= {digest, *self.proposals, *([self.candidate[0]] if self.candidate else [])}
        for old in [old for old in self.texts if old not in kept][:-REMEMBERED]:
            del self.texts[old]

    def _fetch(self, now: float) -> None:
        """The text of the epoch in force, and that of the vote that may have to be finished here, where they
        are not here."""
        value = self.lease.decided
        if value and value.digest not in self.texts:
            self._want(value.digest, value.voters, now)
        elif self.votes and (vote := self.votes.kept.accepted) and vote[1].digest not in self.texts:
            self._want(vote[1].digest, self.voters, now)  # told by others, after a loss of memory

    def _want(self, digest: bytes, holders: tuple[int, ...], now: float) -> None:
        if now >= self.fetch_at:
            self.fetch_at = now + self.times.ask
            self.actions.append(Fetch(digest, tuple(holder for holder in holders if holder != self.me)))

    # What has become of proposals

    def _ends(self, now: float) -> None:
        ballots, decided = self.ballots, self.lease.decided
        for proposal in self.proposals.values():
            if proposal.outcome not in (Outcome.OPEN, Outcome.UNKNOWN) or decided is None:
                continue
            epoch = proposal.value.epoch
            if epoch <= decided.epoch:
                self._decided(proposal, self.history.get(epoch), now)
            elif proposal.given_up:
                if now < self.lease.limit() and not self._doubted(proposal.value, now):
                    proposal.outcome = Outcome.FAILED
            elif ballots and ballots.wanted == proposal.value and ballots.phase is not Phase.CHOSEN:
                if now >= ballots.due and ballots.tries and not ballots.said and self._late(now):
                    self._give_up(proposal, "no majority of the voters answers", now)
                elif ballots.said and self._late(now):
                    proposal.outcome = Outcome.UNKNOWN
                    proposal.why = "no majority of the voters has answered yet; ask again"

    def _late(self, now: float) -> bool:
        """Whether this proxy has been without a lease for a while."""
        return now >= self.lease.fresh + 2 * self.times.lease

    def _decided(self, proposal: Proposal, value: Value | None, now: float) -> None:
        if value is None:
            proposal.outcome, proposal.why = Outcome.UNKNOWN, "its epoch passed while this proxy was away"
        elif value != proposal.value:
            proposal.outcome = Outcome.FAILED
            proposal.why = f"another change became epoch {value.epoch}"
        else:
            window = self.lease.windows.get(value.epoch)
            if window is None or now >= window.begins + self.times.slack:
                proposal.outcome, proposal.why = Outcome.IN_FORCE, f"epoch {value.epoch}"
            else:
                proposal.why = f"decided as epoch {value.epoch}, which begins in a moment"

    def outcome(self, digest: bytes) -> tuple[Outcome, str]:
        """What has become of a proposal, as far as this proxy knows."""
        proposal = self.proposals.get(digest)
        if proposal:
            return proposal.outcome, proposal.why
        decided = self.lease.decided
        if decided and decided.digest == digest:
            window = self.lease.windows.get(decided.epoch)
            if window is None or window.begins == -inf:
                return Outcome.IN_FORCE, f"epoch {decided.epoch}"
            return Outcome.OPEN, f"decided as epoch {decided.epoch}, which begins in a moment"
        unasked = "it was not proposed here; ask where it was, or propose it again"
        return Outcome.UNKNOWN, self.refused.get(digest, unasked)

    def status(self, now: float) -> dict[str, str]:
        """Words for operators."""
        lease, decided = self.lease, self.lease.decided
        usable = decided is not None and self.texts.get(decided.digest) == ""
        standing = lease.standing(now, usable)
        told = {
            "epoch": str(lease.serving.epoch) if lease.serving else "none",
            "digest": lease.serving.digest.hex() if lease.serving else "none",
            "standing": standing.value,
            "lease_s": f"{max(0.0, lease.fresh + self.times.lease - now):.2f}",
            "voters": ", ".join(map(str, self.voters)),
            "votes": "no" if self.me not in self.voters else "yes" if self.votes else "not yet: no memory",
        }
        if decided and (lease.serving is None or decided.epoch > lease.serving.epoch):
            told["decided"] = f"epoch {decided.epoch}, {decided.digest.hex()}"
            if decided.digest in self.texts and not usable:
                told["unusable"] = self.texts[decided.digest]
        if self.me in self.voters:
            late = [str(proxy) for proxy in range(self.proxies) if not self._has_asked(proxy, now)]
            told["not_heard_here"] = ", ".join(late) or "none"
        if self.gathering:
            told["proposed"] = self.gathering.value.digest.hex()
            told["prepared"] = ", ".join(map(str, sorted(self.gathering.yes)))
            awaited = self.gathering.awaited(now)
            told["awaited"] = "not known yet" if awaited is None else ", ".join(map(str, sorted(awaited)))
        return told

    def _has_asked(self, proxy: int, now: float) -> bool:
        return proxy == self.me or now - self.heard.get(proxy, -inf) <= self.times.lease

    def _note(self, event: str, **fields: str | int | float) -> None:
        self.actions.append(Note(event, fields))


def plain(why: str) -> str:
    """A reason that fits a message."""
    return why.encode("ascii", "replace")[: messages.WHY].decode()
