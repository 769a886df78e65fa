"""The program with one promise taken out of it, as a process: `python -m tests.together.mutants NAME`.

What is changed is changed in this process alone, before the program starts as it always does.
"""

from __future__ import annotations

import runpy
import sys
from collections.abc import Callable

from firvane.proxy import native

native.activate()  # before anything that is compiled is imported

from firvane.proxy.quorum import leases, proposals, store  # noqa: E402
from firvane.proxy.quorum.types import ProposalOutcome  # noqa: E402


def heeds_no_lease() -> None:
    """(b): serves on by what it knew last, however long ago that was."""
    leases.Lease.expires_at = lambda self: float("inf")  # type: ignore[method-assign]


def swaps_at_once() -> None:
    """(b): uses an epoch as soon as it hears of it, and not at the moment that was agreed on."""
    leases.Lease.next_value = lambda self, now: (  # type: ignore[method-assign]
        self.decided if self.serving is None or self.serving != self.decided else None
    )
    leases.Lease.expires_at = lambda self: self.fresh_at + self.timing.lease_s  # type: ignore[method-assign]


def says_failed_too_early() -> None:
    """(c): an abort is said to have worked whatever the voters have been asked."""

    def abort(self: proposals.Proposals, digest: bytes, now: float) -> None:
        if proposal := self.by_digest.get(digest):
            proposal.outcome, proposal.reason = ProposalOutcome.FAILED, "it was aborted"

    proposals.Proposals.abort = abort  # type: ignore[method-assign]


def keeps_no_votes() -> None:
    """(d): votes are said and never written."""
    store.Store.save_state = lambda self, state, on_saved, on_failed: self.call_on_loop(on_saved)  # type: ignore[method-assign]


MUTANTS: dict[str, Callable[[], None]] = {
    one.__name__: one for one in (heeds_no_lease, swaps_at_once, says_failed_too_early, keeps_no_votes)
}

if __name__ == "__main__":
    MUTANTS[sys.argv.pop(1)]()
    runpy.run_module("firvane", run_name="__main__")
