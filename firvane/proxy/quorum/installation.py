"""The texts of policies: fetched where they are wanted, judged, and put to use once their epoch begins."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from firvane.proxy.quorum import messages
from firvane.proxy.quorum.events import Fetch, Swap
from firvane.proxy.quorum.member_state import REMEMBERED, MemberState
from firvane.proxy.quorum.messages import Verdict
from firvane.proxy.quorum.outbox import Outbox


class Installation:
    """The texts of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state, self.outbox = state, outbox
        self.fetch_at = -inf  # not before then

    def begin(self, now: float) -> None:
        """Use the epoch that has begun, where its text is here and usable."""
        state = self.state
        value = state.lease.next(now)
        if value and state.texts.get(value.digest) == "":
            state.lease.serving = value
            state.actions.append(Swap(value))
            state.note("policy_in_use", epoch=value.epoch, digest=value.digest.hex())

    def fetch(self, now: float) -> None:
        """The text of the epoch in force, and that of the vote that may have to be finished here, where they
        are not here."""
        state = self.state
        value = state.lease.decided
        if value and value.digest not in state.texts:
            self._want(value.digest, value.voters, now)
        elif state.votes and (vote := state.votes.kept.accepted) and vote[1].digest not in state.texts:
            self._want(vote[1].digest, state.voters, now)  # told by others, after a loss of memory

    def _want(self, digest: bytes, holders: tuple[int, ...], now: float) -> None:
        if now >= self.fetch_at:
            self.fetch_at = now + self.state.times.ask
            others = tuple(holder for holder in holders if holder != self.state.me)
            self.state.actions.append(Fetch(digest, others))

    def checked(self, digest: bytes, why: str, proposed: Iterable[bytes]) -> None:
        """A text is here; `why` it cannot be used, "" where it can. Those that are `proposed` are kept."""
        state = self.state
        state.texts[digest] = why
        kept = {digest, *proposed}
        if state.lease.decided:
            kept.add(state.lease.decided.digest)
        if state.candidate:
            kept.add(state.candidate[0])
        for old in [old for old in state.texts if old not in kept][:-REMEMBERED]:
            del state.texts[old]

    def respond(self, digest: bytes, holder: int, now: float) -> None:
        """Tell the holder of a change whether this proxy is prepared for it; fetch its text where it is not
        here."""
        state = self.state
        if holder == state.me or not 0 <= holder < state.proxies:
            return
        why = state.texts.get(digest)
        if why is None:
            self._want(digest, (holder,), now)
        else:
            self.outbox.send(holder, Verdict(digest=digest, why=plain(why)), now)


def plain(why: str) -> str:
    """A reason that fits a message."""
    return why.encode("ascii", "replace")[: messages.WHY].decode()
