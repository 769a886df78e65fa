"""The texts of policies in one member: fetched where needed, and activated once their epoch begins."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from firvane.proxy.quorum.events import ActivatePolicy, FetchText
from firvane.proxy.quorum.member_state import HISTORY_LIMIT, MemberState
from firvane.proxy.quorum.messages import MAX_REASON_BYTES, CandidateReply
from firvane.proxy.quorum.outbox import Outbox


class Installation:
    """The texts of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox
        self.next_fetch_at = -inf

    def activate(self, now: float) -> None:
        """Use the epoch that has begun, where its text is here and usable."""
        state = self.state
        value = state.lease.next_value(now)
        if value and state.text_errors.get(value.digest) == "":
            state.lease.serving = value
            state.actions.append(ActivatePolicy(value))
            state.log("policy_activated", epoch=value.epoch, digest=value.digest.hex())

    def fetch_missing(self, now: float) -> None:
        """Fetch the text of the latest epoch, or else that of a vote that may have to be completed here."""
        state = self.state
        value = state.lease.decided
        if value and value.digest not in state.text_errors:
            self._fetch(value.digest, value.voters, now)
            return
        accepted = state.acceptor.state.accepted if state.acceptor else None
        if accepted and accepted[1].digest not in state.text_errors:  # from others, after a loss of the state
            self._fetch(accepted[1].digest, state.voters, now)

    def _fetch(self, digest: bytes, holders: tuple[int, ...], now: float) -> None:
        if now >= self.next_fetch_at:
            self.next_fetch_at = now + self.state.timing.renewal_interval_s
            others = tuple(holder for holder in holders if holder != self.state.me)
            self.state.actions.append(FetchText(digest, others))

    def on_text_checked(self, digest: bytes, reason: str, proposed: Iterable[bytes]) -> None:
        """Record a text that is here.

        Args:
            digest: The digest of the text.
            reason: Why it cannot be used, "" where it can.
            proposed: Digests of texts that are not forgotten.
        """
        state = self.state
        state.text_errors[digest] = reason
        retained = {digest, *proposed}
        if state.lease.decided:
            retained.add(state.lease.decided.digest)
        if state.candidate:
            retained.add(state.candidate.digest)
        for old in [old for old in state.text_errors if old not in retained][:-HISTORY_LIMIT]:
            del state.text_errors[old]

    def answer_candidate(self, digest: bytes, proposer: int, now: float) -> None:
        """Reply to a proposer whether this proxy is ready; fetch the text where it is not here."""
        state = self.state
        if proposer == state.me or not 0 <= proposer < state.proxy_count:
            return
        reason = state.text_errors.get(digest)
        if reason is None:
            self._fetch(digest, (proposer,), now)
        else:
            reply = CandidateReply(digest=digest, reason=ascii_reason(reason))
            self.outbox.send(proposer, reply, now)


def ascii_reason(reason: str) -> str:
    """Return a reason as ASCII, cut to the size that fits a message."""
    return reason.encode("ascii", "replace")[:MAX_REASON_BYTES].decode()
