"""Dissemination as a state machine: gossip of new items, and anti-entropy by digests. Does no I/O.

1. A published item is pushed immediately to a few peers, first to one in each other zone. A process forwards
   an item that is new to it once. Payloads above `MAX_PUSH_BYTES` are announced instead, and each receiver
   fetches them once.
2. Every second, and twice as often after a change, the checksum of the versions is sent to a random peer.
   Peers whose checksums differ exchange their versions, and send each other the newer items (anti-entropy).
   A process that reports to the controllers sends one of `DIGESTS_PER_REPORT` checksums to them in turn.
3. An item received as a repair is forwarded only by a process that had an older version of it, since its
   neighbours may lack the item as well. Items that a process receives on joining are not new to the others.
4. The version of a key never decreases.
5. Items for which `is_withheld` returns true are not offered to other processes, neither in digests nor as
   repairs nor on request, since this process cannot know how old they are. Newly received items are forwarded
   even if they are withheld.
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
"""Maximum bytes of an item, and of a message with several items; larger items are announced."""
DIGEST_INTERVAL_S = 1.0
BUSY_DIGEST_INTERVAL_S = 0.5
"""Seconds between two digests after a change."""
BUSY_DURATION_S = 5.0
"""Seconds after a change during which digests are more frequent."""

DIGESTS_PER_REPORT = 4
"""Of this number of digests, one goes to a controller."""
INITIAL_TURN_RANGE = 64
"""Range of the random first turn, so that not all processes report to the same controller first."""


class Send(Struct, frozen=True):
    """A message to send."""

    to: Address
    payload: bytes
    is_summary: bool = False
    """Whether it is the regular checksum, with which other sections are sent in the same datagram."""


class Output(Struct):
    """The messages and newly learned items that an input causes."""

    sends: list[Send] = field(default_factory=list)
    learned: list[Item] = field(default_factory=list)


def never_withheld(key: bytes) -> bool:
    """Return False for every key: a process without control state withholds no item."""
    return False


class Dissemination:
    """The items of one process. Methods that take `now` (monotonic seconds) return their effects."""

    def __init__(
        self, rng: random.Random, now: float, is_withheld: Callable[[bytes], bool] = never_withheld
    ) -> None:
        """`is_withheld` returns whether the item of a key must not be offered to others at this moment."""
        self._rng = rng
        self._is_withheld = is_withheld
        self._store = ItemStore()
        self._requests = Requests()
        self._uploads = Uploads()
        self._peers = PeerSet("", (), None)
        self._digest_due = now
        self._changed_at = float("-inf")
        self._is_reporting = False
        self._digest_count = 0

    def item(self, key: bytes) -> Item | None:
        """Return the newest known item of a key, or None."""
        return self._store.get(key)

    def set_peers(self, peers: PeerSet) -> None:
        """Replace the live members to which messages are sent."""
        self._peers = peers

    def report_to_controllers(self) -> None:
        """From now on, send one of `DIGESTS_PER_REPORT` digests to the controllers in turn."""
        if not self._is_reporting:
            self._is_reporting = True
            self._digest_count = self._rng.randrange(DIGESTS_PER_REPORT * INITIAL_TURN_RANGE)

    def deadline(self) -> float:
        """Return when `tick` is due next."""
        return min(self._digest_due, self._requests.deadline())

    def summary_message(self) -> bytes:
        """Return a message with the checksum of the versions, to be sent with membership's heartbeats."""
        return encode_message(Message(Kind.SUMMARY, summary=self._store.summary()))

    def digest_message(self) -> bytes:
        """Return a message with all versions, for which the receiver sends newer items; sent on joining."""
        versions = tuple(
            Version(key, version) for key, version in self._store.versions() if not self._is_withheld(key)
        )
        return encode_message(Message(Kind.DIGEST, versions))

    def publish(self, item: Item, now: float) -> Output:
        """Store an item of this process and push it, unless it is not newer than the stored one."""
        output = Output()
        if self._store.put(item):
            result = self._requests.complete(item.key, item.version)
            self._record_change(now)
            self._push([item], self._peers.publish_targets(self._rng), output)
            self._upload(item, result.waiters, now, output)
        return output

    def tick(self, now: float) -> Output:
        """Repeat overdue requests, and send the regular checksum if it is due."""
        output = Output()
        for request in self._requests.overdue(now):
            self._send_request(request, output)
        if now >= self._digest_due:
            self._send_summary(now, output)
        return output

    def receive(self, sender: Address, payload: bytes, now: float) -> Output:
        """Handle a message.

        Raises:
            MessageError: The payload is not a message.
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
        """Handle replies to requests of this process."""
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
        if not self._is_reporting:
            return self._peers.digest_target(self._rng)
        self._digest_count += 1
        turn, remainder = divmod(self._digest_count, DIGESTS_PER_REPORT)
        controller = self._peers.report_target(turn) if remainder == 0 else None
        return controller or self._peers.digest_target(self._rng)

    def _repair(
        self, sender: Address, sender_versions: Sequence[Version], now: float, output: Output
    ) -> None:
        """Send the items that the sender lacks, and request the versions that this process lacks."""
        known = {version.key: version.version for version in sender_versions}
        newer = [
            item
            for item in self._store
            if item.version > known.get(item.key, -1) and not self._is_withheld(item.key)
        ]
        self._push(newer, [sender], output, Kind.REPAIR)
        self._fetch(sender, sender_versions, now, output)

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
            self._push(updates, self._peers.forward_targets(self._rng, sender), output)

    def _fetch(self, sender: Address, versions: Iterable[Version], now: float, output: Output) -> None:
        for version in versions:
            if version.version > self._store.version(version.key):
                source = self._peers.fetch_source(self._rng)
                request = self._requests.add_announcement(version, sender, source, now)
                if request is not None:
                    self._send_request(request, output)

    def _forward_early(self, sender: Address, versions: Iterable[Version], output: Output) -> None:
        """Forward announcements before the payload arrives, if peers fetch it from another source."""
        if not self._peers.has_source:
            return
        updates = tuple(self._requests.mark_forwarded(versions))
        if updates:
            message = encode_message(Message(Kind.ANNOUNCE, updates))
            output.sends += [
                Send(to, message) for to in self._peers.forward_targets(self._rng, sender, is_early=True)
            ]

    @staticmethod
    def _send_request(request: Request, output: Output) -> None:
        message = encode_message(Message(Kind.REQUEST, (request.version,)))
        output.sends.append(Send(request.to, message))

    def _serve_requests(
        self, sender: Address, versions: Iterable[Version], now: float, output: Output
    ) -> None:
        """Send the requested payloads, whatever their size, or accept or reject the requests."""
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
        """Send a payload, whatever its size, to the requesters to which it is not in flight already."""
        targets = [to for to in requesters if self._uploads.start(to, item, now)]
        if targets:
            message = encode_message(Message(Kind.PUSH, items=(item,)))
            output.sends += [Send(target, message) for target in targets]

    @staticmethod
    def _push(
        items: Iterable[Item], targets: Sequence[Address], output: Output, kind: Kind = Kind.PUSH
    ) -> None:
        """Send small items, several in a message, and announce large ones."""
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
