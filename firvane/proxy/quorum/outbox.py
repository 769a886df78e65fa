"""Messages out and votes to disk, in that order of dependence.

Rules that hold here and nowhere else:

1. A reply is sent once all that was decided up to it is on disk; what is not a reply is sent at once.
2. A reply that waited is made when it is sent, since what it tells may have changed in the meantime.
3. Where a write fails, nothing of it has been sent, and nothing is.
4. A message to this proxy itself is delivered at once, and never becomes bytes.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.events import Save, Say
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import Message
from firvane.proxy.quorum.types import Kept

Deliver = Callable[[int, Message, float], None]  # sender, message, now


class WaitingReply(NamedTuple):
    """A reply that is sent once the write of that token, or a later one, is on disk."""

    token: int
    to: int
    make: Callable[[float], Message]  # of the time at which it is sent


class Outbox:
    """What one proxy sends, and the writes that its replies wait for."""

    def __init__(self, state: MemberState, deliver: Deliver, kept: Kept | None) -> None:
        """`deliver` takes messages to this proxy itself; `kept` is what is on disk."""
        self.state, self.deliver = state, deliver
        self.last_token = 0
        self.last_written = kept
        self.unconfirmed: dict[int, Kept] = {}  # writes by token
        self.waiting: list[WaitingReply] = []

    # Messages

    def send(self, to: int, message: Message, now: float) -> None:
        """Send it now."""
        if to == self.state.me:
            self.deliver(to, message, now)
        else:
            self.state.actions.append(Say(to, messages.pack(message)))

    def send_all(self, out: Iterable[tuple[int, Message]], now: float) -> None:
        """Send each to its receiver, now."""
        for to, message in out:
            self.send(to, message, now)

    def reply(self, to: int, make: Callable[[float], Message], now: float) -> None:
        """Send what `make` makes once all that was decided up to now is on disk."""
        self.save()
        if self.unconfirmed:
            self.waiting.append(WaitingReply(self.last_token, to, make))
        else:
            self.send(to, make(now), now)

    # Disk

    def save(self) -> None:
        """Write the votes where they have changed since the last write was begun."""
        votes = self.state.votes
        if votes and votes.kept != self.last_written:
            self.write(votes.kept)

    def write(self, kept: Kept) -> None:
        """Begin a write; `saved` or `unsaved` tells how it ended."""
        self.last_token += 1
        self.last_written = self.unconfirmed[self.last_token] = kept
        self.state.actions.append(Save(self.last_token, kept))

    def saved(self, token: int, now: float) -> None:
        """That write is on disk, and those before it."""
        if token not in self.unconfirmed:
            return
        state = self.state
        if state.reborn:
            state.votes, state.reborn = state.reborn, None
            state.note("policy_votes_again", epoch=state.votes.kept.decided.epoch, life=state.life)
        assert state.votes
        state.votes.saved(self.unconfirmed[token])
        self.unconfirmed = {later: kept for later, kept in self.unconfirmed.items() if later > token}
        ready = [reply for reply in self.waiting if reply.token <= token]
        self.waiting = [reply for reply in self.waiting if reply.token > token]
        for reply in ready:
            self.send(reply.to, reply.make(now), now)

    def unsaved(self, token: int) -> None:
        """That write failed: what was not on disk has not been decided."""
        if token not in self.unconfirmed:
            return
        state = self.state
        self.unconfirmed.clear()
        self.waiting.clear()
        state.reborn = None
        if state.votes:
            state.votes.unsaved()
            self.last_written = state.votes.kept
        state.note("policy_vote_unwritten", token=token)
