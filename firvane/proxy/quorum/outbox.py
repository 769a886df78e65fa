"""Messages to send and state to write, in the order in which they depend on one another.

Invariants:

1. A reply is sent once all that was decided up to it is on disk; what is not a reply is sent at once.
2. A reply that has waited is made when it is sent, since its content may have changed in the meantime.
3. Where a write fails, nothing that depends on it has been sent, and nothing is.
4. A message to this proxy itself is delivered at once, and never encoded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.events import SaveState, SendMessage
from firvane.proxy.quorum.member_state import MemberState
from firvane.proxy.quorum.messages import Message
from firvane.proxy.quorum.types import VoterState

Deliver = Callable[[int, Message, float], None]  # sender, message, now


class PendingReply(NamedTuple):
    """A reply that is sent once the write of that token, or a later one, is on disk."""

    token: int
    receiver: int
    make: Callable[[float], Message]  # of the time at which it is sent


class Outbox:
    """What one proxy sends, and the writes that its replies wait for."""

    def __init__(self, state: MemberState, deliver: Deliver, stored: VoterState | None) -> None:
        """Begin with nothing pending.

        Args:
            state: The state of the member.
            deliver: Takes messages to this proxy itself.
            stored: What is on disk.
        """
        self.state = state
        self.deliver = deliver
        self.last_token = 0
        self.last_written = stored
        self.pending_writes: dict[int, VoterState] = {}  # by token
        self.pending_replies: list[PendingReply] = []

    # Messages

    def send(self, receiver: int, message: Message, now: float) -> None:
        """Send it now."""
        if receiver == self.state.me:
            self.deliver(receiver, message, now)
        else:
            self.state.actions.append(SendMessage(receiver, messages.encode(message)))

    def send_all(self, out: Iterable[tuple[int, Message]], now: float) -> None:
        """Send each message to its receiver, now."""
        for receiver, message in out:
            self.send(receiver, message, now)

    def reply(self, receiver: int, make: Callable[[float], Message], now: float) -> None:
        """Send what `make` returns once all that was decided up to now is on disk."""
        self.save()
        if self.pending_writes:
            self.pending_replies.append(PendingReply(self.last_token, receiver, make))
        else:
            self.send(receiver, make(now), now)

    # Disk

    def save(self) -> None:
        """Write the acceptor's state where it has changed since the last write was begun."""
        acceptor = self.state.acceptor
        if acceptor and acceptor.state != self.last_written:
            self.write(acceptor.state)

    def write(self, state: VoterState) -> None:
        """Begin a write, which ends with `on_saved` or `on_save_failed`."""
        self.last_token += 1
        self.last_written = self.pending_writes[self.last_token] = state
        self.state.actions.append(SaveState(self.last_token, state))

    def on_saved(self, token: int, now: float) -> None:
        """That write is on disk, and those before it."""
        if token not in self.pending_writes:
            return
        state = self.state
        if state.recovered_acceptor:
            state.acceptor, state.recovered_acceptor = state.recovered_acceptor, None
            epoch = state.acceptor.state.decided.epoch
            state.log("policy_voter_recovered", epoch=epoch, incarnation=state.new_incarnation)
        assert state.acceptor
        state.acceptor.on_saved(self.pending_writes[token])
        self.pending_writes = {later: kept for later, kept in self.pending_writes.items() if later > token}
        ready = [reply for reply in self.pending_replies if reply.token <= token]
        self.pending_replies = [reply for reply in self.pending_replies if reply.token > token]
        for reply in ready:
            self.send(reply.receiver, reply.make(now), now)

    def on_save_failed(self, token: int) -> None:
        """That write has failed: whatever is not on disk has not been decided."""
        if token not in self.pending_writes:
            return
        state = self.state
        self.pending_writes.clear()
        self.pending_replies.clear()
        state.recovered_acceptor = None
        if state.acceptor:
            state.acceptor.on_save_failed()
            self.last_written = state.acceptor.state
        state.log("policy_state_save_failed", token=token)
