"""One proxy's part in the agreement: events in, actions out.

Its parts, each in a file of its own, share a `MemberState`: `renewal` (questions and answers, leases),
`elections` (votes), `proposals` (changes proposed here), `installation` (texts) and `outbox` (messages,
writes). Here is only what an event means to which of them, and in which order they have their turn.
"""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from math import inf

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.elections import Elections
from firvane.proxy.quorum.events import Abort, Action, Checked, Event, Heard, Propose, Saved, Tick, Unsaved
from firvane.proxy.quorum.installation import Installation
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import (
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
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.proposals import Proposals
from firvane.proxy.quorum.renewal import LeaseRenewal
from firvane.proxy.quorum.status import status
from firvane.proxy.quorum.types import Kept, Outcome, Times, Value


class Member:
    """One proxy. All times are seconds on its monotonic clock."""

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
        self.state = MemberState(me, proxies, voters, times, seed, now, kept, has)
        self.outbox = Outbox(self.state, self._receive, kept)
        self.renewal = LeaseRenewal(self.state, self.outbox, now)
        self.elections = Elections(self.state, self.outbox)
        self.proposals = Proposals(self.state, self.outbox)
        self.installation = Installation(self.state, self.outbox)
        self.state.synchronize(now)

    # What the driver asks

    @property
    def serving(self) -> Value | None:
        """The epoch in use."""
        return self.state.lease.serving

    @property
    def limit(self) -> float:
        """Until when new requests may be decided by the epoch in use."""
        return self.state.limit

    def holds(self, now: float) -> bool:
        """Whether a new request may be decided by the epoch in use."""
        return self.state.holds(now)

    def until(self, now: float) -> float:
        """When to tick at the latest."""
        state = self.state
        due = [state.lease.due(), state.ballots.due if state.ballots else inf]
        return min([now + state.times.ask / 4, *(at for at in due if at > now)])

    def outcome(self, digest: bytes) -> tuple[Outcome, str]:
        """What has become of a proposal, as far as this proxy knows, and why."""
        return self.proposals.outcome(digest)

    def status(self, now: float) -> dict[str, str]:
        """Words for operators."""
        return status(self.state, now)

    # Events

    def handle(self, event: Event, now: float) -> list[Action]:
        """What follows from it."""
        state = self.state
        state.actions = []
        match event:
            case Heard(sender, payload):
                self._receive_bytes(sender, payload, now)
            case Saved(token):
                self.outbox.saved(token, now)
            case Unsaved(token):
                self.outbox.unsaved(token)
            case Checked(digest, why):
                self.installation.checked(digest, why, self.proposals.known)
            case Propose(digest, voters):
                self.proposals.propose(digest, voters, now)
            case Abort(digest):
                self.proposals.abort(digest, now)
            case Tick():
                pass
        self._advance(now)
        return state.actions

    def _advance(self, now: float) -> None:
        """What is due by now, whatever the event was."""
        state = self.state
        state.synchronize(now)
        self.elections.step(now)
        state.synchronize(now)
        if self.renewal.due(now):
            self.renewal.ask(now)
        self.proposals.prepare(now)
        if state.ballots:
            self.outbox.send_all(state.ballots.step(now), now)
        self.installation.begin(now)
        self.proposals.update(now)
        self.installation.fetch(now)
        self.outbox.save()
        state.limit = state.lease.limit()

    # Messages

    def _receive_bytes(self, sender: int, payload: bytes, now: float) -> None:
        state = self.state
        if 0 <= sender < state.proxies and sender != state.me:
            with suppress(Unread):
                self._receive(sender, messages.unpack(payload), now)

    def _receive(self, sender: int, message: Message, now: float) -> None:
        state = self.state
        match message:
            case Ask():
                self.renewal.answer(sender, message, now)
            case Told():
                self._receive_answer(sender, message, now)
            case Who() if state.is_voter:
                self.renewal.answer_who(sender, message, now)
            case Candidate():
                if self.proposals.receive_candidate(sender, message, now):
                    self.installation.respond(message.digest, sender, now)
            case Verdict() if state.gathering:
                state.gathering.verdict(sender, message)
            case Here() if state.gathering:
                self.proposals.receive_here(sender, message, state.gathering)
            case _:
                self._receive_ballot(sender, message, now)

    def _receive_answer(self, voter: int, told: Told, now: float) -> None:
        if not self.renewal.receive(voter, told, now):
            return
        if self.state.is_voter:
            self.elections.recover(now)
        if told.candidate:
            self.installation.respond(*told.candidate, now)
        self.proposals.note_rival(voter, told.candidate)

    def _receive_ballot(self, sender: int, message: Message, now: float) -> None:
        state, votes = self.state, self.state.votes
        match message:
            case Prepare() if votes:
                self.elections.prepare(sender, message, votes, now)
            case Accept() if votes:
                if not self.elections.accept(sender, message, votes, now):
                    self.installation.respond(message.value[1], sender, now)
            case Decided() if votes:
                votes.chosen(ballot_of(message.ballot), value_of(message.value), message.at, now)
            case Promise() if state.ballots:
                self.outbox.send_all(state.ballots.promised(sender, message, now), now)
            case Accepted() if state.ballots:
                if state.ballots.accepted(sender, message, now):
                    self.elections.chosen(state.ballots, now)
            case _:
                pass
