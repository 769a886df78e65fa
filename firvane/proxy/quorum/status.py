"""What an operator is told of a proxy's member of the agreement."""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.member_state import MemberState


def status(state: MemberState, now: float) -> dict[str, str]:
    """Its epoch, lease and votes, and the change that is being prepared there, in words."""
    lease, decided = state.lease, state.lease.decided
    usable = decided is not None and state.texts.get(decided.digest) == ""
    lines = {
        "epoch": str(lease.serving.epoch) if lease.serving else "none",
        "digest": lease.serving.digest.hex() if lease.serving else "none",
        "standing": lease.standing(now, usable).value,
        "lease_s": f"{max(0.0, lease.fresh + state.times.lease - now):.2f}",
        "voters": ", ".join(map(str, state.voters)),
        "votes": "no" if not state.is_voter else "yes" if state.votes else "not yet: no memory",
    }
    if decided and (lease.serving is None or decided.epoch > lease.serving.epoch):
        lines["decided"] = f"epoch {decided.epoch}, {decided.digest.hex()}"
        if decided.digest in state.texts and not usable:
            lines["unusable"] = state.texts[decided.digest]
    if state.is_voter:
        late = [str(proxy) for proxy in range(state.proxies) if not _has_asked(state, proxy, now)]
        lines["not_heard_here"] = ", ".join(late) or "none"
    if state.gathering:
        lines["proposed"] = state.gathering.value.digest.hex()
        lines["prepared"] = ", ".join(map(str, sorted(state.gathering.yes)))
        awaited = state.gathering.awaited(now)
        lines["awaited"] = "not known yet" if awaited is None else ", ".join(map(str, sorted(awaited)))
    return lines


def _has_asked(state: MemberState, proxy: int, now: float) -> bool:
    return proxy == state.me or now - state.last_asked.get(proxy, -inf) <= state.times.lease
