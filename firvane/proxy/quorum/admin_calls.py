"""Policy calls of the admin API of one proxy; the texts of the answers are part of that API."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from datetime import UTC, datetime

from firvane.proxy.admin_api import calls
from firvane.proxy.admin_api.calls import AdminCall, Call
from firvane.proxy.quorum import events
from firvane.proxy.quorum.errors import UploadError
from firvane.proxy.quorum.events import Event
from firvane.proxy.quorum.member import Member
from firvane.proxy.quorum.store import HISTORY_LIMIT, HistoryEntry
from firvane.proxy.quorum.text_library import TextLibrary
from firvane.proxy.quorum.types import ProposalOutcome


class AdminCalls:
    """Answers policy calls, and holds the proposals whose texts are still being written."""

    def __init__(
        self,
        member: Member,
        library: TextLibrary,
        clock: Callable[[], float],
        handle: Callable[[Event], None],
        history: Callable[[], Iterable[HistoryEntry]],
        serves_without_lease: bool,
    ) -> None:
        """Create the calls without pending proposals.

        Args:
            member: The consensus member of this proxy.
            library: The policy texts of this proxy.
            clock: Returns seconds on the member's monotonic clock.
            handle: Passes an event to the member.
            history: Returns the policies that this proxy has used, the newest last.
            serves_without_lease: Whether the proxy serves requests without a lease.
        """
        self.member = member
        self.library = library
        self.clock = clock
        self.handle = handle
        self.history = history
        self.serves_without_lease = serves_without_lease
        self.pending: dict[
            bytes, tuple[int, ...] | None
        ] = {}  # voters of the proposals whose texts are being written, by digest
        self.failed: dict[bytes, str] = {}  # why proposals ended before reaching the member, by digest
        self.handlers: dict[Call, Callable[..., bytes]] = {
            Call.POLICY_STATUS: self._status,
            Call.POLICY_HISTORY: self._history,
            Call.POLICY_PUT: self._put,
            Call.POLICY_GET: self._get,
            Call.POLICY_PROPOSE: self._propose,
            Call.POLICY_OUTCOME: self._outcome,
            Call.POLICY_ABORT: self._abort,
        }

    def answer(self, request: AdminCall) -> bytes:
        """Return the answer to a call."""
        handler = self.handlers[request.call]
        return handler() if request.arguments is None else handler(request.arguments)

    # Proposals whose texts are being written

    def on_text_available(self, digest: bytes) -> None:
        """Pass the pending proposal of a text, if any, to the member."""
        if digest in self.pending:
            self.handle(events.Propose(digest, self.pending.pop(digest)))

    def on_text_save_failed(self, digest: bytes, reason: str) -> bool:
        """End the pending proposal of a text that cannot be written; return whether there was one."""
        if digest not in self.pending:
            return False
        del self.pending[digest]
        self._add_failed(digest, reason)
        return True

    def _add_failed(self, digest: bytes, reason: str) -> None:
        if len(self.failed) >= HISTORY_LIMIT:
            del self.failed[next(iter(self.failed))]
        self.failed[digest] = reason

    # Calls

    def _status(self) -> bytes:
        status = self.member.status(self.clock())
        status["without_lease"] = "serve" if self.serves_without_lease else "refuse"
        return calls.format_block("\n".join(f"{name} {value}" for name, value in status.items()))

    def _history(self) -> bytes:
        def line(entry: HistoryEntry) -> str:
            activated_at = datetime.fromtimestamp(entry.activated_at, UTC).isoformat(timespec="seconds")
            voters = ",".join(map(str, entry.value.voters))
            return f"{entry.value.epoch} {entry.value.digest.hex()} {voters} {activated_at}"

        return calls.format_block("\n".join(map(line, self.history())))

    def _put(self, given: calls.PutText) -> bytes:
        if given.digest in self.library.texts:
            return calls.format_ok("it is here")
        try:
            complete = self.library.uploads.add_chunk(
                given.digest, given.length, given.offset, given.data, self.clock()
            )
        except UploadError as error:
            return calls.format_error(str(error))
        return calls.format_ok("it is here" if complete else "")

    def _get(self, given: calls.GetText) -> bytes:
        text = self.library.get(given.digest)
        return calls.format_chunk(text, given.offset) if text else calls.format_error("its text is not here")

    def _propose(self, given: calls.ProposePolicy) -> bytes:
        digest = given.digest
        if digest not in self.library.texts and self.library.uploads.get(digest) is None:
            return calls.format_error("its text is not here: put it first")
        check = self.library.check(digest)
        if check.reason:
            return calls.format_error(" ".join(check.reason.split()))
        voters = check.voters if given.voters is None else given.voters
        self.failed.pop(digest, None)
        if digest in self.library.texts:
            self.handle(events.TextChecked(digest))
            self.handle(events.Propose(digest, voters))
        else:
            self.pending[digest] = voters
            self.library.save(self.library.uploads.get(digest) or b"")
        return calls.format_ok(ProposalOutcome.OPEN.value)

    def _outcome(self, given: calls.PolicyReference) -> bytes:
        if given.digest in self.pending:
            return calls.format_ok(f"{ProposalOutcome.OPEN.value}: its text is being written")
        if given.digest in self.failed:
            return calls.format_ok(f"{ProposalOutcome.FAILED.value}: {self.failed[given.digest]}")
        outcome, reason = self.member.outcome(given.digest)
        return calls.format_ok(f"{outcome.value}: {reason}")

    def _abort(self, given: calls.PolicyReference) -> bytes:
        if given.digest in self.pending:
            del self.pending[given.digest]
            self._add_failed(given.digest, "it was aborted")
        self.handle(events.Abort(given.digest))
        outcome, reason = self.member.outcome(given.digest)
        if given.digest in self.failed or outcome is ProposalOutcome.FAILED:
            return self._outcome(given)
        return calls.format_error(f"{outcome.value}: {reason}")
