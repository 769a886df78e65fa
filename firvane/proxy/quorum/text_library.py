"""Policy texts of one proxy: uploaded, fetched, validated and stored on disk.

A text is available once it is complete, matches its digest, and is on disk. On a non-voter it is available
even if it cannot be written, for example because the disk is full. A text is usable if it also passes the
validation of `firvane check` and fits this proxy's own settings.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import NamedTuple

from firvane.core import interface as api
from firvane.core.validation import ValidationError
from firvane.proxy.config import policy as policies
from firvane.proxy.config.proxy_config import PolicyOptions
from firvane.proxy.policy_text import digest_of
from firvane.proxy.quorum.host import Host
from firvane.proxy.quorum.store import HISTORY_LIMIT, Store
from firvane.proxy.quorum.text_fetch import TextFetch
from firvane.proxy.quorum.uploads import Uploads

MAX_FETCHES = 4  # in parallel
MAX_TEXTS = HISTORY_LIMIT + 14  # those of the history, and the latest proposed ones
MAX_UNSAVED_TEXTS = 16  # texts whose write is retried
SAVE_RETRY_INTERVAL_S = 5.0  # between two attempts to write a text to a full disk


class PolicyCheck(NamedTuple):
    """The result of validating a text."""

    reason: str  # why the text is unusable; "" if it is usable
    settings: api.Settings | None = None
    voters: tuple[int, ...] | None = None  # the voters that the text specifies


class TextLibrary:
    """The texts that are available to this proxy or being transferred."""

    def __init__(
        self,
        host: Host,
        config: PolicyOptions,
        store: Store,
        is_voter: Callable[[], bool],
        on_available: Callable[[bytes], None],
        on_save_failed: Callable[[bytes, str], None],
    ) -> None:
        """Create a library without texts.

        Args:
            host: The proxy that the library runs in.
            config: The settings of the consensus.
            store: Writes the texts to disk.
            is_voter: Returns whether this proxy is a voter.
            on_available: Called with the digest of a text that has become available.
            on_save_failed: Called on a voter with the digest of a text that cannot be written, and why.
        """
        self.host = host
        self.config = config
        self.store = store
        self.is_voter = is_voter
        self.on_available = on_available
        self.on_save_failed = on_save_failed
        self.base_settings = host.config.settings  # defaults for settings that a policy omits
        self.texts: dict[bytes, bytes] = {}
        self.checks: dict[bytes, PolicyCheck] = {}
        self.saving: set[bytes] = set()
        self.unsaved: dict[bytes, bytes] = {}  # texts whose write is retried, by digest
        self.uploads = Uploads()
        self.fetches: dict[bytes, TextFetch] = {}
        self.closed = False

    def close(self) -> None:
        """Cancel all downloads."""
        self.closed = True
        for fetch in self.fetches.values():
            fetch.close()

    def get(self, digest: bytes) -> bytes | None:
        """Return a text that is available or completely uploaded; None if there is none."""
        return self.texts.get(digest) or self.uploads.get(digest)

    # Validation

    def check(self, digest: bytes) -> PolicyCheck:
        """Return the result of validating a text; the text is validated once, and the result is cached."""
        checked = self.checks.get(digest)
        if checked is None:
            text = self.get(digest)
            if text is None:
                return PolicyCheck("its text is not here")
            checked = self._validate(text)
            if len(self.checks) >= MAX_TEXTS:
                del self.checks[next(iter(self.checks))]
            self.checks[digest] = checked
        return checked

    def _validate(self, text: bytes) -> PolicyCheck:
        try:
            policy = policies.parse(text)
            settings = policies.settings(policy, self.base_settings)
        except ValidationError as error:
            return PolicyCheck("; ".join(error.lines()))
        reason = self.host.unfit_reason(settings)
        return PolicyCheck(reason) if reason else PolicyCheck("", settings, policy.voters)

    # Fetching

    def fetch(self, digest: bytes, holders: tuple[int, ...]) -> None:
        """Make a text available; download it from `holders`, proxies that may have it, if it is missing."""
        if digest in self.texts:
            self.on_available(digest)
        elif text := self.uploads.get(digest):
            self.save(text)
        elif digest in self.fetches:
            self.fetches[digest].add_holders(holders)
        elif len(self.fetches) < MAX_FETCHES:
            # Different proxies start with different holders, which spreads the load.
            first = self.base_settings.me % len(holders) if holders else 0
            self.fetches[digest] = TextFetch(
                self.host.loop,
                self.host.dialer,
                self.config.admin_addresses,
                digest,
                holders[first:] + holders[:first],
                lambda text, error: self._on_fetched(digest, text, error),
            )

    def _on_fetched(self, digest: bytes, text: bytes | None, error: str) -> None:
        del self.fetches[digest]
        if text is None:
            self.host.log.info("policy_text_fetch_failed", digest=digest.hex(), reason=error)
        else:
            self.save(text)

    # Disk

    def save(self, text: bytes) -> None:
        """Write a text to disk, if it is not there yet, and then make it available."""
        digest = digest_of(text)
        if digest in self.texts or digest in self.saving:
            return

        def on_saved() -> None:
            self.saving.discard(digest)
            self.texts[digest] = text
            self.on_available(digest)

        def on_failed(reason: str) -> None:
            if not self.is_voter():
                on_saved()
                return
            self.saving.discard(digest)
            self.on_save_failed(digest, reason)
            self._retry_later(digest, text)

        self.saving.add(digest)
        self.store.save_text(text, on_saved, on_failed)

    def _retry_later(self, digest: bytes, text: bytes) -> None:
        if not self.unsaved:
            self.host.loop.call_later(SAVE_RETRY_INTERVAL_S, self._retry)
        self.unsaved[digest] = text  # retried, since it may be the text in force
        while len(self.unsaved) > MAX_UNSAVED_TEXTS:
            del self.unsaved[next(iter(self.unsaved))]

    def _retry(self) -> None:
        unsaved, self.unsaved = self.unsaved, {}
        if not self.closed:
            for text in unsaved.values():
                self.save(text)

    def discard_old(self, retained: Collection[bytes]) -> None:
        """Delete the oldest texts above `MAX_TEXTS`, except the `retained` ones."""
        discardable = [digest for digest in self.texts if digest not in retained]
        for digest in discardable[: max(0, len(self.texts) - MAX_TEXTS)]:
            del self.texts[digest]
            self.store.delete_text(digest)
