"""Changes that are proposed here: prepared, put to the vote, given up, and what has become of each.

Rules that hold here and nowhere else:

1. One change at a time is prepared: a voter keeps the first candidate until its holder has been silent for a
   lease.
2. A proposal has failed where no acceptance of it was ever asked for, or another value took its epoch. Else
   it is open, then unknown, until the epoch is known.
"""

from __future__ import annotations

from dataclasses import dataclass
from math import inf

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.ballots import Phase
from firvane.proxy.quorum.events import Say
from firvane.proxy.quorum.gathering import Gathering
from firvane.proxy.quorum.member_state import REMEMBERED, MemberState
from firvane.proxy.quorum.messages import Candidate, Here, Who
from firvane.proxy.quorum.outbox import Outbox
from firvane.proxy.quorum.types import MOST_VOTERS, Outcome, Value


@dataclass
class Proposal:
    """What was proposed here, and what has become of it."""

    value: Value
    outcome: Outcome = Outcome.OPEN
    why: str = "proxies are being asked whether they are prepared"
    given_up: bool = False  # before anybody was asked here to accept it


class Proposals:
    """The proposals of one proxy, and the candidate that it keeps as a voter."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state, self.outbox = state, outbox
        self.known: dict[bytes, Proposal] = {}  # by digest
        self.refused: dict[bytes, str] = {}  # why proposals were not begun here, by digest
        self.offer_at = -inf  # when the change that is being prepared is offered again

    # Begin

    def propose(self, digest: bytes, voters: tuple[int, ...] | None, now: float) -> None:
        """Begin a change to that text, or of the voters; None leaves these as they are."""
        state = self.state
        decided = state.lease.decided
        known = self.known.get(digest)
        if known and known.outcome in (Outcome.OPEN, Outcome.UNKNOWN):
            return  # the same once more
        new = tuple(sorted(set(voters))) if voters is not None else None
        value = Value(decided.epoch + 1 if decided else 0, digest, new or state.voters)
        if why := self._unready(value, now):
            self._refuse(digest, why)
            return
        proposal = self._record(digest, value)
        if decided and decided.digest == digest and value.voters == decided.voters:
            proposal.value, proposal.why = decided, "it was decided before"  # `update` says the rest
        elif why := self._unfit(value):
            proposal.outcome, proposal.why = Outcome.FAILED, why
        else:
            state.gathering = Gathering(
                state.me, state.times, value, state.voters, state.quorum, now, yes={state.me}
            )
            self.offer_at = -inf
            state.note("policy_proposed", epoch=value.epoch, digest=digest.hex())

    def _refuse(self, digest: bytes, why: str) -> None:
        self.known.pop(digest, None)
        self.refused[digest] = why
        if len(self.refused) > REMEMBERED:
            del self.refused[next(iter(self.refused))]

    def _record(self, digest: bytes, value: Value) -> Proposal:
        proposal = Proposal(value)
        if len(self.known) >= REMEMBERED:
            del self.known[next(iter(self.known))]
        self.known.pop(digest, None)
        self.refused.pop(digest, None)
        self.known[digest] = proposal
        return proposal

    def _unready(self, value: Value, now: float) -> str:
        """Why nothing can be begun here now; "" where it can.

        Whether the same was begun before, in an earlier life of this proxy or elsewhere, is not known
        then, and nothing may be said of it."""
        state = self.state
        if state.lease.decided is None or not state.holds(now):
            return "not proposed: this proxy has no lease; propose it again, here or elsewhere"
        if state.gathering or state.ballots or state.lease.due() < inf or self._voted(value):
            return "not proposed: another change is under way; propose it again after it"
        return ""

    def _doubted(self, value: Value, now: float) -> bool:
        """Whether there may be a vote for that epoch: there is, or what was said in an earlier life of this
        proxy may still be on its way."""
        times = self.state.times
        spoken = self.state.start + times.lead - times.notice + times.trip
        return now < spoken or self._voted(value)

    def _voted(self, value: Value) -> bool:
        window = self.state.lease.windows.get(value.epoch)
        votes = self.state.votes is not None and self.state.votes.kept.accepted is not None
        return votes or (window is not None and window.ends < inf)

    def _unfit(self, value: Value) -> str:
        """Why it can never be proposed as it is; "" where it can."""
        state = self.state
        assert state.lease.decided
        if (why := state.texts.get(value.digest, "its text is not here")) != "":
            return why
        if len(set(value.voters) ^ set(state.lease.decided.voters)) > 1:
            return "voters change one at a time"
        if not 1 <= len(value.voters) <= MOST_VOTERS or not all(0 <= v < state.proxies for v in value.voters):
            return f"there are 1 to {MOST_VOTERS} voters, each a proxy's number below {state.proxies}"
        return ""

    # Give up

    def abort(self, digest: bytes, now: float) -> None:
        """Give a proposal up, where nobody has been asked to accept it."""
        state = self.state
        proposal = self.known.get(digest)
        if proposal is None or proposal.outcome is not Outcome.OPEN:
            return
        ballots = state.ballots
        gathers = state.gathering is not None and state.gathering.value == proposal.value
        if gathers or (ballots and ballots.wanted == proposal.value and not ballots.said):
            self._give_up(proposal, "it was aborted", now)

    def _give_up(self, proposal: Proposal, why: str, now: float) -> None:
        """No acceptance of it was ever asked for here.

        So it is in force nowhere, unless a vote for its epoch shows that the same may have been begun
        elsewhere."""
        state = self.state
        doubted = self._doubted(proposal.value, now)
        proposal.outcome, proposal.why = (Outcome.UNKNOWN if doubted else Outcome.FAILED), why
        proposal.given_up = True
        state.gathering = state.ballots = None
        withdrawal = messages.pack(Candidate(digest=proposal.value.digest, on=False))
        state.actions += [Say(voter, withdrawal) for voter in state.voters if voter != state.me]
        if state.candidate and state.candidate[0] == proposal.value.digest:
            state.candidate = None
        state.note("policy_failed", epoch=proposal.value.epoch, why=why)

    # Prepare

    def prepare(self, now: float) -> None:
        """Offer the change that is being prepared; put it to the vote once nobody is waited for."""
        state, gathering = self.state, self.state.gathering
        if gathering is None:
            return
        proposal = self.known[gathering.value.digest]
        if state.candidate and now < state.candidate[2]:
            self.note_rival(state.me, state.candidate[:2])
        if why := gathering.failed(now):
            self._give_up(proposal, why, now)
            return
        if now >= self.offer_at:
            self._offer(gathering, now)
        awaited = gathering.awaited(now)
        if awaited:
            proposal.why = "not prepared yet: " + ", ".join(map(str, sorted(awaited)))
        if awaited is not None and not awaited and state.holds(now):
            state.gathering, state.ballots = None, state.new_ballots(gathering.value, now)
            proposal.why = "the voters are asked"

    def _offer(self, gathering: Gathering, now: float) -> None:
        state = self.state
        self.offer_at = now + state.times.ask / 2
        for voter in state.voters:
            nonce = state.nonce(voter, now)
            self.outbox.send(voter, Candidate(digest=gathering.value.digest, on=True), now)
            self.outbox.send(voter, Who(nonce=nonce), now)

    def receive_here(self, voter: int, message: Here, gathering: Gathering) -> None:
        """A voter tells which proxies have asked it of late."""
        sent = self.state.asked_at(message.nonce, voter)
        if sent is not None:
            gathering.here[voter] = (sent, message)

    def note_rival(self, voter: int, candidate: tuple[bytes, int] | None) -> None:
        """Which change a voter keeps, while one is being prepared here."""
        gathering = self.state.gathering
        if gathering:
            gathering.rivals.pop(voter, None)
            if candidate and candidate[0] != gathering.value.digest:
                gathering.rivals[voter] = candidate[1]

    def receive_candidate(self, holder: int, message: Candidate, now: float) -> bool:
        """A voter hears of a change that is being prepared; whether it keeps that one."""
        state = self.state
        if not state.is_voter:
            return False
        mine = state.candidate
        if not message.on:
            if mine and mine[:2] == (message.digest, holder):
                state.candidate = None
            return False
        if mine is not None and now < mine[2] and mine[:2] != (message.digest, holder):
            return False
        state.candidate = (message.digest, holder, now + state.times.lease)
        return True

    # What has become of them

    def update(self, now: float) -> None:
        """Work out what has become of each proposal by now."""
        decided = self.state.lease.decided
        for proposal in self.known.values():
            if proposal.outcome not in (Outcome.OPEN, Outcome.UNKNOWN) or decided is None:
                continue
            epoch = proposal.value.epoch
            if epoch <= decided.epoch:
                self._decided(proposal, self.state.history.get(epoch), now)
            elif proposal.given_up:
                if now < self.state.lease.limit() and not self._doubted(proposal.value, now):
                    proposal.outcome = Outcome.FAILED
            else:
                self._undecided(proposal, now)

    def _undecided(self, proposal: Proposal, now: float) -> None:
        ballots = self.state.ballots
        if ballots is None or ballots.wanted != proposal.value or ballots.phase is Phase.CHOSEN:
            return
        if now >= ballots.due and ballots.tries and not ballots.said and self._late(now):
            self._give_up(proposal, "no majority of the voters answers", now)
        elif ballots.said and self._late(now):
            proposal.outcome = Outcome.UNKNOWN
            proposal.why = "no majority of the voters has answered yet; ask again"

    def _late(self, now: float) -> bool:
        """Whether this proxy has been without a lease for a while."""
        return now >= self.state.lease.fresh + 2 * self.state.times.lease

    def _decided(self, proposal: Proposal, value: Value | None, now: float) -> None:
        state = self.state
        if value is None:
            proposal.outcome, proposal.why = Outcome.UNKNOWN, "its epoch passed while this proxy was away"
        elif value != proposal.value:
            proposal.outcome = Outcome.FAILED
            proposal.why = f"another change became epoch {value.epoch}"
        else:
            window = state.lease.windows.get(value.epoch)
            if window is None or now >= window.begins + state.times.slack:
                proposal.outcome, proposal.why = Outcome.IN_FORCE, f"epoch {value.epoch}"
            else:
                proposal.why = f"decided as epoch {value.epoch}, which begins in a moment"

    def outcome(self, digest: bytes) -> tuple[Outcome, str]:
        """What has become of a proposal, as far as this proxy knows."""
        proposal = self.known.get(digest)
        if proposal:
            return proposal.outcome, proposal.why
        decided = self.state.lease.decided
        if decided and decided.digest == digest:
            window = self.state.lease.windows.get(decided.epoch)
            if window is None or window.begins == -inf:
                return Outcome.IN_FORCE, f"epoch {decided.epoch}"
            return Outcome.OPEN, f"decided as epoch {decided.epoch}, which begins in a moment"
        unasked = "it was not proposed here; ask where it was, or propose it again"
        return Outcome.UNKNOWN, self.refused.get(digest, unasked)
