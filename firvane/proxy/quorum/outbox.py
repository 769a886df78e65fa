"""Outgoing messages and state writes of a member, in the order of their dependencies.

Invariants:

1. A reply is sent once the acceptor's state at the time of the reply is on disk; other messages are sent at
   once.
2. A delayed reply is created when it is sent, since its content may have changed in the meantime.
3. If a write fails, no message that depends on it has been sent or will be sent.
4. A message to this proxy itself is delivered at once, without being encoded.
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
    """A reply that is sent once the write with this token, or a later one, is on disk."""

    token: int
    receiver: int
    make: Callable[[float], Message]  # takes the send time


class Outbox:
    """The outgoing messages of one proxy, and the writes that its replies wait for."""

    def __init__(self, state: MemberState, deliver: Deliver, stored: VoterState | None) -> None:
        """Create an outbox with nothing pending.

        Args:
            state: The state of the member.
            deliver: Receives messages to this proxy itself.
            stored: The state on disk.
        """
        self.state = state
        self.deliver = deliver
        self.last_token = 0
        self.last_written = stored
        self.pending_writes: dict[int, VoterState] = {}  # by token
        self.pending_replies: list[PendingReply] = []

    # Messages

    def send(self, receiver: int, message: Message, now: float) -> None:
        """Send a message now."""
        if receiver == self.state.me:
            self.deliver(receiver, message, now)
        else:
            self.state.actions.append(SendMessage(receiver, messages.encode(message)))

    def send_all(self, out: Iterable[tuple[int, Message]], now: float) -> None:
        """Send each message to its receiver now."""
        for receiver, message in out:
            self.send(receiver, message, now)

    def reply(self, receiver: int, make: Callable[[float], Message], now: float) -> None:
        """Send the message that `make` returns, once the current state is on disk."""
        self.save()
        if self.pending_writes:
            self.pending_replies.append(PendingReply(self.last_token, receiver, make))
        else:
            self.send(receiver, make(now), now)

    # Disk

    def save(self) -> None:
        """Write the acceptor's state if it has changed since the last write was started."""
        acceptor = self.state.acceptor
        if acceptor and acceptor.state != self.last_written:
            self.write(acceptor.state)

    def write(self, state: VoterState) -> None:
        """Start a write, which ends with `on_saved` or `on_save_failed`."""
        self.last_token += 1
        self.last_written = self.pending_writes[self.last_token] = state
        self.state.actions.append(SaveState(self.last_token, state))

    def on_saved(self, token: int, now: float) -> None:
        """Handle the completion of a write and of all earlier ones: send the replies that waited for them."""
        if token not in self.pending_writes:
            return
        state = self.state
        if state.recovered_acceptor:
            state.acceptor, state.recovered_acceptor = state.recovered_acceptor, None
            epoch = state.acceptor.state.decided.epoch
            state.log("policy_voter_recovered", epoch=epoch, incarnation=state.new_incarnation)
        assert state.acceptor
        state.acceptor.on_saved(self.pending_writes[token])
        self.pending_writes = {
            later: written for later, written in self.pending_writes.items() if later > token
        }
        ready = [reply for reply in self.pending_replies if reply.token <= token]
        self.pending_replies = [reply for reply in self.pending_replies if reply.token > token]
        for reply in ready:
            self.send(reply.receiver, reply.make(now), now)

    def on_save_failed(self, token: int) -> None:
        """Handle a failed write: drop the replies that wait, and revert to the state on disk."""
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
