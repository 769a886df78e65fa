"""Status of a consensus member for operators; the names and texts are part of the admin API."""

from __future__ import annotations

from math import inf

from firvane.proxy.quorum.member_state import MemberState


def describe_status(state: MemberState, now: float) -> dict[str, str]:
    """Return the epoch, the lease and the voter status of a member, and the proposal that it prepares."""
    lease, decided = state.lease, state.lease.decided
    usable = decided is not None and state.text_errors.get(decided.digest) == ""
    lines = {
        "epoch": str(lease.serving.epoch) if lease.serving else "none",
        "digest": lease.serving.digest.hex() if lease.serving else "none",
        "standing": lease.status(now, usable).value,
        "lease_s": f"{max(0.0, lease.fresh_at + state.timing.lease_s - now):.2f}",
        "voters": ", ".join(map(str, state.voters)),
        "votes": "no" if not state.is_voter else "yes" if state.acceptor else "not yet: no memory",
    }
    if decided and (lease.serving is None or decided.epoch > lease.serving.epoch):
        lines["decided"] = f"epoch {decided.epoch}, {decided.digest.hex()}"
        if decided.digest in state.text_errors and not usable:
            lines["unusable"] = state.text_errors[decided.digest]
    if state.is_voter:
        inactive = [str(proxy) for proxy in range(state.proxy_count) if not _is_active(state, proxy, now)]
        lines["not_heard_here"] = ", ".join(inactive) or "none"
    if state.readiness:
        lines["proposed"] = state.readiness.value.digest.hex()
        lines["prepared"] = ", ".join(map(str, sorted(state.readiness.ready)))
        awaited = state.readiness.awaited(now)
        lines["awaited"] = "not known yet" if awaited is None else ", ".join(map(str, sorted(awaited)))
    return lines


def _is_active(state: MemberState, proxy: int, now: float) -> bool:
    requested_at = state.lease_requested_at.get(proxy, -inf)
    return proxy == state.me or now - requested_at <= state.timing.lease_s
