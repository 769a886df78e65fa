"""Dissemination as a state machine: push, forward once, compare digests. Does no I/O.

1. A published item is pushed at once to a few peers, one in each other zone first; a process that learns
   something new forwards it once. Payloads above `MAX_PUSH_BYTES` are announced instead, and each receiver
   fetches them once.
2. Every second, and twice as often after a change, the checksum of the versions goes to a random peer; peers
   whose checksums differ exchange their versions, and repair in both directions (anti-entropy). Of a process
   that has something to report, one of `DIGESTS_PER_REPORT` goes to one of the controllers in turn.
3. A repaired item is forwarded only by a process that had an older version: its neighbours may lack it as
   well. A process that has just joined has nothing new to others.
4. A version never goes back.
5. Items that `is_withheld` names are offered to nobody, neither in digests nor as repairs or on request,
   since this process cannot know how old they are. What is newly learned is forwarded all the same.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable, Sequence

from msgspec import Struct, field

from firvane.core.address import Address
from firvane.fleet.dissemination.codec import (
    Kind,
    Message,
    Version,
    decode_message,
    encode_message,
    item_size,
)
from firvane.fleet.dissemination.items import Item, ItemStore
from firvane.fleet.dissemination.peers import PeerSet
from firvane.fleet.dissemination.requests import Request, Requests
from firvane.fleet.dissemination.uploads import Uploads

MAX_PUSH_BYTES = 1100
"""Of an item, and of a message with several; larger payloads are announced."""
DIGEST_INTERVAL_S = 1.0
BUSY_DIGEST_INTERVAL_S = 0.5
"""Between two digests after a change."""
BUSY_DURATION_S = 5.0
"""After a change, during which digests are more frequent."""

DIGESTS_PER_REPORT = 4
"""Of so many digests one goes to a controller."""
INITIAL_TURNS = 64
"""Range of the turn with which a process starts, so that not all start with the same controller."""


class Send(Struct, frozen=True):
    """A message to send."""

    to: Address
    payload: bytes
    is_summary: bool = False
    """Whether it is the regular checksum, to which other planes add what they compare."""


class Output(Struct):
    """What an input causes."""

    sends: list[Send] = field(default_factory=list)
    learned: list[Item] = field(default_factory=list)


def offer_everything(key: bytes) -> bool:
    """Withhold no item: the rule of every process without control state."""
    return False


class Dissemination:
    """The items of one process. Methods that take `now` (monotonic seconds) return what to do."""

    def __init__(
        self, rng: random.Random, now: float, is_withheld: Callable[[bytes], bool] = offer_everything
    ) -> None:
        """`is_withheld` returns whether the item of a key is not to be offered at this moment."""
        self._rng = rng
        self._is_withheld = is_withheld
        self._store = ItemStore()
        self._requests = Requests()
        self._uploads = Uploads()
        self._peers = PeerSet("", (), None)
        self._digest_due = now
        self._changed_at = float("-inf")
        self._reports = False
        self._digests = 0

    def item(self, key: bytes) -> Item | None:
        """The newest known item of a key, or None."""
        return self._store.get(key)

    def set_peers(self, peers: PeerSet) -> None:
        """Replace the live members."""
        self._peers = peers

    def report_to_controllers(self) -> None:
        """Send every so many digests to the controllers, in turn, from now on."""
        if not self._reports:
            self._reports = True
            self._digests = self._rng.randrange(DIGESTS_PER_REPORT * INITIAL_TURNS)

    def deadline(self) -> float:
        """When `tick` is due next."""
        return min(self._digest_due, self._requests.deadline())

    def summary_message(self) -> bytes:
        """The checksum of the versions, for the heartbeats of membership."""
        return encode_message(Message(Kind.SUMMARY, summary=self._store.summary()))

    def digest_message(self) -> bytes:
        """All versions; the receiver sends what is missing. For a process that joins."""
        versions = tuple(
            Version(key, version) for key, version in self._store.versions() if not self._is_withheld(key)
        )
        return encode_message(Message(Kind.DIGEST, versions))

    def publish(self, item: Item, now: float) -> Output:
        """Store an own item and push it; nothing happens if it is not newer than what is known."""
        output = Output()
        if self._store.put(item):
            result = self._requests.complete(item.key, item.version)
            self._record_change(now)
            self._push([item], self._peers.for_publisher(self._rng), output)
            self._upload(item, result.waiters, now, output)
        return output

    def tick(self, now: float) -> Output:
        """Do what is due."""
        output = Output()
        for request in self._requests.overdue(now):
            self._send_request(request, output)
        if now >= self._digest_due:
            self._send_summary(now, output)
        return output

    def receive(self, sender: Address, payload: bytes, now: float) -> Output:
        """Handle a message.

        Raises:
            MessageError: The payload is no message.
        """
        message = decode_message(payload)
        output = Output()
        match message.kind:
            case Kind.SUMMARY:
                if message.summary != self._store.summary():
                    output.sends.append(Send(sender, self.digest_message()))
            case Kind.DIGEST:
                self._repair(sender, message.versions, now, output)
            case Kind.PUSH | Kind.REPAIR:
                self._receive_items(sender, message, now, output)
            case Kind.ANNOUNCE:
                self._fetch(sender, message.versions, now, output)
                self._forward_early(sender, message.versions, output)
            case Kind.REQUEST:
                self._serve_requests(sender, message.versions, now, output)
            case Kind.ACCEPT | Kind.REJECT:
                self._receive_replies(sender, message, now, output)
        return output

    def _receive_replies(self, sender: Address, message: Message, now: float, output: Output) -> None:
        """Handle the replies to own requests."""
        for version in message.versions:
            if message.kind is Kind.ACCEPT:
                self._requests.accepted(version, sender, now)
            elif request := self._requests.rejected(version, sender, now):
                self._send_request(request, output)

    def _record_change(self, now: float) -> None:
        self._changed_at = now
        self._digest_due = min(self._digest_due, now + BUSY_DIGEST_INTERVAL_S)

    def _send_summary(self, now: float, output: Output) -> None:
        is_busy = now - self._changed_at < BUSY_DURATION_S
        period = BUSY_DIGEST_INTERVAL_S if is_busy else DIGEST_INTERVAL_S
        self._digest_due += period
        if self._digest_due <= now:
            self._digest_due = now + period
        peer = self._next_digest_peer()
        if peer is not None:
            output.sends.append(Send(peer, self.summary_message(), is_summary=True))

    def _next_digest_peer(self) -> Address | None:
        if not self._reports:
            return self._peers.for_digest(self._rng)
        self._digests += 1
        turn, rest = divmod(self._digests, DIGESTS_PER_REPORT)
        reporting = self._peers.for_report(turn) if rest == 0 else None
        return reporting or self._peers.for_digest(self._rng)

    def _repair(self, sender: Address, theirs: Sequence[Version], now: float, output: Output) -> None:
        """Send what the sender lacks, and request what is missing here."""
        known = {version.key: version.version for version in theirs}
        newer = [
            item
            for item in self._store
            if item.version > known.get(item.key, -1) and not self._is_withheld(item.key)
        ]
        self._push(newer, [sender], output, Kind.REPAIR)
        self._fetch(sender, theirs, now, output)

    def _receive_items(self, sender: Address, message: Message, now: float, output: Output) -> None:
        updates = []
        for item in message.items:
            is_update = message.kind is Kind.PUSH or self._store.get(item.key) is not None
            result = self._requests.complete(item.key, item.version)
            if self._store.put(item):
                output.learned.append(item)
                if is_update and not result.is_forwarded:
                    updates.append(item)
            self._upload(item, result.waiters, now, output)
        if output.learned:
            self._record_change(now)
        if updates:
            self._push(updates, self._peers.for_relay(self._rng, sender), output)

    def _fetch(self, sender: Address, versions: Iterable[Version], now: float, output: Output) -> None:
        for version in versions:
            if version.version > self._store.version(version.key):
                source = self._peers.source(self._rng)
                request = self._requests.add_announcement(version, sender, source, now)
                if request is not None:
                    self._send_request(request, output)

    def _forward_early(self, sender: Address, versions: Iterable[Version], output: Output) -> None:
        """Forward announcements before the payload has come, if peers will fetch it from elsewhere."""
        if not self._peers.has_source:
            return
        updates = tuple(self._requests.take_unforwarded(versions))
        if updates:
            message = encode_message(Message(Kind.ANNOUNCE, updates))
            output.sends += [
                Send(to, message) for to in self._peers.for_relay(self._rng, sender, is_early=True)
            ]

    @staticmethod
    def _send_request(request: Request, output: Output) -> None:
        message = encode_message(Message(Kind.REQUEST, (request.version,)))
        output.sends.append(Send(request.to, message))

    def _serve_requests(
        self, sender: Address, versions: Iterable[Version], now: float, output: Output
    ) -> None:
        """Send the requested payloads, whatever their size."""
        for version in versions:
            item = self._store.get(version.key)
            is_stored = item is not None and item.version >= version.version
            if item is not None and is_stored and not self._is_withheld(item.key):
                kind, size = Kind.ACCEPT, len(item.payload)
                self._upload(item, [sender], now, output)
            else:
                is_waiting = not is_stored and self._requests.add_waiter(version, sender)
                kind, size = Kind.ACCEPT if is_waiting else Kind.REJECT, version.size
            answer = Message(kind, (Version(version.key, version.version, size),))
            output.sends.append(Send(sender, encode_message(answer)))

    def _upload(self, item: Item, requesters: Sequence[Address], now: float, output: Output) -> None:
        """Send a payload whatever its size, unless it is in flight already."""
        targets = [to for to in requesters if self._uploads.start(to, item, now)]
        if targets:
            message = encode_message(Message(Kind.PUSH, items=(item,)))
            output.sends += [Send(target, message) for target in targets]

    @staticmethod
    def _push(
        items: Iterable[Item], targets: Sequence[Address], output: Output, kind: Kind = Kind.PUSH
    ) -> None:
        """Send small items, several to a message, and announce large ones."""
        messages = _messages(items, kind)
        output.sends += [Send(target, message) for target in targets for message in messages]


def _messages(items: Iterable[Item], kind: Kind) -> list[bytes]:
    messages: list[Message] = []
    batch: list[Item] = []
    size = 0
    large = []
    for item in items:
        if item_size(item) > MAX_PUSH_BYTES:
            large.append(Version(item.key, item.version, len(item.payload)))
            continue
        if batch and size + item_size(item) > MAX_PUSH_BYTES:
            messages.append(Message(kind, items=tuple(batch)))
            batch, size = [], 0
        batch.append(item)
        size += item_size(item)
    if batch:
        messages.append(Message(kind, items=tuple(batch)))
    if large:
        messages.append(Message(Kind.ANNOUNCE, tuple(large)))
    return [encode_message(message) for message in messages]
