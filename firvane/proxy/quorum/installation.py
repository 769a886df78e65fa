"""Policy texts in one member: fetched when needed, and activated when their epoch begins."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf

from firvane.proxy.quorum.events import ActivatePolicy, FetchText
from firvane.proxy.quorum.member_state import HISTORY_LIMIT, MemberState
from firvane.proxy.quorum.messages import MAX_REASON_BYTES, CandidateReply
from firvane.proxy.quorum.outbox import Outbox


class Installation:
    """Fetches and activates the texts of one proxy."""

    def __init__(self, state: MemberState, outbox: Outbox) -> None:
        self.state = state
        self.outbox = outbox
        self.next_fetch_at = -inf

    def activate(self, now: float) -> None:
        """Activate the epoch that has begun, if its text is usable here."""
        state = self.state
        value = state.lease.next_value(now)
        if value and state.text_errors.get(value.digest) == "":
            state.lease.serving = value
            state.actions.append(ActivatePolicy(value))
            state.log("policy_activated", epoch=value.epoch, digest=value.digest.hex())

    def fetch_missing(self, now: float) -> None:
        """Fetch the missing text of the latest epoch, or else of an accepted value.

        This voter may have to complete the vote on its accepted value, for which it needs the text.
        """
        state = self.state
        value = state.lease.decided
        if value and value.digest not in state.text_errors:
            self._fetch(value.digest, value.voters, now)
            return
        accepted = state.acceptor.state.accepted if state.acceptor else None
        if accepted and accepted[1].digest not in state.text_errors:  # recovered from other voters
            self._fetch(accepted[1].digest, state.voters, now)

    def _fetch(self, digest: bytes, holders: tuple[int, ...], now: float) -> None:
        if now >= self.next_fetch_at:
            self.next_fetch_at = now + self.state.timing.renewal_interval_s
            others = tuple(holder for holder in holders if holder != self.state.me)
            self.state.actions.append(FetchText(digest, others))

    def on_text_checked(self, digest: bytes, reason: str, proposed: Iterable[bytes]) -> None:
        """Record that a text is available here.

        Args:
            digest: The digest of the text.
            reason: Why it is unusable; "" if it is usable.
            proposed: The digests of proposed texts, whose results are retained.
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

    def reply_to_candidate(self, digest: bytes, proposer: int, now: float) -> None:
        """Reply to a proposer whether this proxy is ready; fetch the text if it is missing."""
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
    """Return a reason as ASCII, truncated to `MAX_REASON_BYTES`."""
    return reason.encode("ascii", "replace")[:MAX_REASON_BYTES].decode()
