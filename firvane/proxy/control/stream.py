"""The xDS state of one receiver: its subscriptions, what it has, and its next response.

Invariants:

1. The next response is computed when it can be sent, from the newest snapshot: nothing is queued, and a slow
   receiver skips intermediate snapshots.
2. One response of a type is unacknowledged at a time. The next waits for its ACK or NACK, unless it removes a
   backend: that is sent at once, up to `MAX_UNACKNOWLEDGED` responses ahead; a receiver that acknowledges
   none of them is disconnected.
3. A rejected resource (NACK) is not sent again until it changes; the receiver keeps its last version, and
   other resources go on. After a NACK of several resources each is sent once more alone, to find the bad
   one. A request that answers an older response than the last has no effect.
4. Make before break: types go in the order of `ResourceType`. A cluster to which the receiver's routes still
   refer is not removed, and routes are sent only when their clusters are acknowledged.
5. A version is the version of the server list and a digest: the list version orders snapshots of different
   control services (`known_list_version`), the digest shows that a receiver already has a resource.
6. A subscribed resource that does not exist is reported as removed in the delta protocol; the
   state-of-the-world protocol cannot express it.
7. Both protocols, state of the world and delta, follow these rules; they differ in the encoding.

See the Envoy documentation, "xDS REST and gRPC protocol".
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from firvane.proxy.control import ControlError
from firvane.proxy.control.types import Resource, ResourceType, Snapshot

MAX_UNACKNOWLEDGED = 8  # responses of one type
MAX_NAMES = 10_000  # that a receiver may subscribe to, of one type
MAX_VERSION_DIGITS = 18
WILDCARD = "*"


class Response(NamedTuple):
    """One discovery response; `removed` are names of resources, in the delta protocol only."""

    kind: ResourceType
    number: int  # version of the server list
    version: str  # digest of all resources of the type
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()
    urgent: bool = False  # whether a backend is removed


def write_version(number: int, digest: str) -> str:
    """Encode a version."""
    return f"{number}.{digest}"


class Version(NamedTuple):
    """A decoded version; `number` is -1 if it is not of a control service."""

    number: int
    digest: str


def read_version(text: str) -> Version:
    """Decode a version of a resource or a response."""
    number, dot, digest = text.partition(".")
    known = dot and number.isascii() and number.isdigit() and len(number) <= MAX_VERSION_DIGITS
    return Version(int(number), digest) if known else Version(-1, text)


class ReceiverLimitError(ControlError, ValueError):
    """A receiver subscribes to too much, acknowledges nothing, or does not identify itself."""


class Subscription:
    """A receiver's subscription to one resource type, and what it has of it."""

    def __init__(self) -> None:
        self.wildcard = False
        self.names: set[str] = set()
        self.sent: dict[str, Resource] = {}  # as last sent
        self.initial_versions: dict[str, str] = {}  # that it had when the stream began
        self.reported_missing: set[str] = set()
        self.rejected: dict[str, str] = {}  # versions, by name
        self.suspects: deque[str] = deque()  # of a rejected response: sent again one by one
        self.unacknowledged: deque[Response] = deque()  # neither ACKed nor NACKed
        self.last_nonce = ""  # of the last response that it has answered
        self.nack_reason = ""  # of a rejected resource that it still lacks
        self.response_due = True  # whether a request of this type has had no response
        self.urgent = -1  # `urgent` of the last snapshot that was sent

    def wants(self, resource: Resource) -> bool:
        """Whether the receiver subscribes to a resource."""
        return resource.name in self.names or (self.wildcard and not resource.on_demand)

    def add(self, names: set[str]) -> None:
        """Subscribe to names (delta); names that were subscribed already are sent again."""
        for name in names:
            if name in self.names or self.wildcard:
                self.sent.pop(name, None)  # subscribed again: the receiver has lost it
            self.reported_missing.discard(name)
            self.rejected.pop(name, None)
        self.names |= names

    def remove(self, names: set[str]) -> None:
        """Unsubscribe from names (delta)."""
        self.names -= names
        for name in names:
            self.initial_versions.pop(name, None)
            self.reported_missing.discard(name)
            if not (self.wildcard and name in self.sent):
                self.sent.pop(name, None)


class Stream:
    """The subscriptions of one receiver's stream: takes requests, and makes responses."""

    def __init__(self, delta: bool = False) -> None:
        self.delta = delta
        self.subscriptions: dict[ResourceType, Subscription] = {}
        self.responses_sent = 0
        self.nacks = 0
        self.known_list_version = -1  # of the server list, from this or another control service
        self._nonce = 0

    # Requests

    def on_request(
        self, kind: ResourceType, names: Iterable[str], version: str, nonce: str, error: str | None
    ) -> bool:
        """Take a state-of-the-world request, with all subscribed names; none at first, or `*`: wildcard.

        `error` is the reason of a NACK of the response `nonce`. Returns whether the request had an effect.
        """
        subscription = self.subscriptions.get(kind)
        wanted = set(names)
        first = False
        if subscription is None:
            subscription = self.subscriptions.setdefault(kind, Subscription())
            first = True
            self.known_list_version = max(self.known_list_version, read_version(version).number)
        if not first and nonce and not self._on_answered(subscription, nonce, error):
            return False
        self._check_limit(wanted)
        if kind.is_full_state:
            subscription.wildcard = WILDCARD in wanted or (not wanted and (first or subscription.wildcard))
        wanted.discard(WILDCARD)
        if wanted - subscription.names and not first:
            subscription.response_due = True
            for name in wanted - subscription.names:
                subscription.sent.pop(name, None)
                subscription.rejected.pop(name, None)
        for name in subscription.names - wanted:
            subscription.sent.pop(name, None)
        subscription.names = wanted
        return True

    def on_delta_request(
        self,
        kind: ResourceType,
        subscribe: Iterable[str],
        unsubscribe: Iterable[str],
        versions: Mapping[str, str],
        nonce: str,
        error: str | None,
    ) -> bool:
        """Take a delta request: names to subscribe and unsubscribe, and the initial versions of resources."""
        subscription = self.subscriptions.get(kind)
        added = set(subscribe)
        dropped = set(unsubscribe)
        if subscription is None:
            subscription = self._begin_delta(kind, versions)
            subscription.wildcard = not added and kind.is_full_state
        elif nonce:
            self._on_answered(subscription, nonce, error)  # names have effect in any case: each is sent once
        if WILDCARD in added:
            subscription.wildcard = True
        if WILDCARD in dropped:
            subscription.wildcard = False
        self._check_limit(subscription.names | added)
        subscription.add(added - {WILDCARD})
        subscription.remove(dropped)
        if added:
            subscription.response_due = True
        return True

    def _begin_delta(self, kind: ResourceType, versions: Mapping[str, str]) -> Subscription:
        subscription = self.subscriptions.setdefault(kind, Subscription())
        self._check_limit(versions)
        for name, version in versions.items():
            number, subscription.initial_versions[name] = read_version(version)
            self.known_list_version = max(self.known_list_version, number)
        return subscription

    def _check_limit(self, names: Collection[str]) -> None:
        if len(names) > MAX_NAMES:
            raise ReceiverLimitError(f"asks for {len(names)} names, and {MAX_NAMES} are the most")

    def _on_answered(self, subscription: Subscription, nonce: str, error: str | None) -> bool:
        """Take an ACK or a NACK, also of all responses before; returns whether it is of the last response."""
        index = next((i for i, push in enumerate(subscription.unacknowledged) if push.nonce == nonce), None)
        if index is None:
            # A nonce that was answered before comes with changed names; an unknown nonce has no effect.
            return not subscription.unacknowledged and nonce == subscription.last_nonce
        push = subscription.unacknowledged[index]
        for _ in range(index + 1):
            subscription.unacknowledged.popleft()
        subscription.last_nonce = push.nonce
        if error is None:
            for one in push.resources:
                subscription.rejected.pop(one.name, None)
            subscription.nack_reason = (
                subscription.nack_reason if subscription.rejected or subscription.suspects else ""
            )
        else:
            self.nacks += 1
            subscription.nack_reason = error
            if len(push.resources) > 1 and (self.delta or not push.kind.is_full_state):
                subscription.suspects.extend(one.name for one in push.resources)
            else:
                subscription.rejected.update((one.name, one.version) for one in push.resources)
        return not subscription.unacknowledged

    # Responses

    def next_response(self, state: Snapshot) -> Response | None:
        """The response that is due, which counts as sent; None if there is none."""
        for kind in ResourceType:
            subscription = self.subscriptions.get(kind)
            if subscription is None or not self._may_send(kind, subscription, state):
                continue
            push = self._isolate_suspect(kind, subscription, state)
            if push is None:
                push = (self._delta_response if self.delta else self._full_response)(
                    kind, subscription, state
                )
                subscription.urgent = state.urgent
            if push:
                subscription.unacknowledged.append(push)
                subscription.response_due = False
                for one in push.resources:
                    subscription.sent[one.name] = one
                for name in push.removed:
                    subscription.sent.pop(name, None)
                self.responses_sent += 1
                return push
        return None

    def is_urgent(self, state: Snapshot) -> bool:
        """Whether a snapshot removes a backend that was sent before."""
        subscription = self.subscriptions.get(ResourceType.ENDPOINTS)
        return subscription is not None and 0 <= subscription.urgent < state.urgent

    def converged(self, state: Snapshot) -> bool:
        """Whether the receiver has acknowledged, or rejected, all subscribed resources of a snapshot."""
        return all(
            not subscription.unacknowledged
            and not subscription.suspects
            and all(
                (name in subscription.sent and subscription.sent[name].version == one.version)
                or subscription.initial_versions.get(name) == one.version
                or subscription.rejected.get(name) == one.version
                for name, one in state.resources[kind].items()
                if subscription.wants(one)
            )
            for kind, subscription in self.subscriptions.items()
        )  # fmt: skip

    def _may_send(self, kind: ResourceType, subscription: Subscription, state: Snapshot) -> bool:
        if subscription.unacknowledged:
            if subscription.urgent >= state.urgent or kind is not ResourceType.ENDPOINTS:
                return False
            if len(subscription.unacknowledged) >= MAX_UNACKNOWLEDGED:
                raise ReceiverLimitError(f"{MAX_UNACKNOWLEDGED} answers of {kind.value} are not acknowledged")
        if kind is ResourceType.ROUTES and (clusters := self.subscriptions.get(ResourceType.CLUSTER)):
            needed = {
                name
                for one in state.resources[kind].values()
                if subscription.wants(one)
                for name in one.references
            }
            there = {name for name in needed if self._has(clusters, name, state)}
            return not clusters.unacknowledged and there == needed
        return True

    @staticmethod
    def _has(clusters: Subscription, name: str, state: Snapshot) -> bool:
        """Whether a receiver has a cluster, or does not subscribe to it (it will, by name)."""
        wanted = state.resources[ResourceType.CLUSTER].get(name)
        if wanted is None or not clusters.wants(wanted):
            return True
        return name in clusters.sent or name in clusters.initial_versions or name in clusters.rejected

    def _retained_clusters(
        self, kind: ResourceType, subscription: Subscription, state: Snapshot
    ) -> dict[str, Resource]:
        """Removed clusters to which the receiver's routes still refer."""
        routes = self.subscriptions.get(ResourceType.ROUTES)
        if kind is not ResourceType.CLUSTER or routes is None:
            return {}
        # State of the world cannot express removed routes: a receiver unsubscribes from them.
        removed_routes = (
            set() if self.delta else routes.sent.keys() - state.resources[ResourceType.ROUTES].keys()
        )
        used = {
            name for one in routes.sent.values() if one.name not in removed_routes for name in one.references
        }
        there = state.resources[kind]
        return {name: one for name, one in subscription.sent.items() if name in used and name not in there}

    def _unverified_clusters(self, kind: ResourceType, subscription: Subscription) -> set[str]:
        """Clusters that the receiver had initially, while its initial routes may refer to them."""
        routes = self.subscriptions.get(ResourceType.ROUTES)
        return (
            set(subscription.initial_versions)
            if kind is ResourceType.CLUSTER and routes and routes.initial_versions
            else set()
        )

    def _isolate_suspect(
        self, kind: ResourceType, subscription: Subscription, state: Snapshot
    ) -> Response | None:
        """The response with the next suspect alone; None if there is none."""
        while subscription.suspects:
            one = state.resources[kind].get(subscription.suspects.popleft())
            if one and subscription.wants(one) and subscription.rejected.get(one.name) != one.version:
                return self._response(kind, state.versions[kind], (one,), (), state)
        return None

    def _response(
        self,
        kind: ResourceType,
        version: str,
        resources: Iterable[Resource],
        removed: Iterable[str],
        state: Snapshot,
    ) -> Response:
        self._nonce += 1
        subscription = self.subscriptions[kind]
        urgent = 0 <= subscription.urgent < state.urgent
        return Response(
            kind, state.number, version, str(self._nonce), tuple(resources), tuple(removed), urgent
        )

    def _full_response(
        self, kind: ResourceType, subscription: Subscription, state: Snapshot
    ) -> Response | None:
        visible = {name: one for name, one in state.resources[kind].items() if subscription.wants(one)}
        version = state.versions[kind]
        if kind.is_full_state:
            retained = self._retained_clusters(kind, subscription, state)
            wanted = {**visible, **retained}
            same = subscription.sent.keys() == wanted.keys() and all(
                subscription.sent[name].version == one.version for name, one in wanted.items()
            )
            if same and not subscription.response_due:
                return None
            subscription.sent = {name: one for name, one in subscription.sent.items() if name in wanted}
            return self._response(kind, version, wanted.values(), (), state)
        for name in subscription.sent.keys() - visible.keys():
            del subscription.sent[name]
        changed = [
            one for name, one in visible.items()
            if (name not in subscription.sent or subscription.sent[name].version != one.version)
            and subscription.rejected.get(name) != one.version
        ]  # fmt: skip
        return self._response(kind, version, changed, (), state) if changed else None

    def _delta_response(
        self, kind: ResourceType, subscription: Subscription, state: Snapshot
    ) -> Response | None:
        visible = {name: one for name, one in state.resources[kind].items() if subscription.wants(one)}
        retained = self._retained_clusters(kind, subscription, state).keys() | self._unverified_clusters(
            kind, subscription
        )
        has = {
            **subscription.initial_versions,
            **{name: one.version for name, one in subscription.sent.items()},
        }
        changed = [
            one for name, one in visible.items()
            if has.get(name) != one.version and subscription.rejected.get(name) != one.version
        ]  # fmt: skip
        for name, one in visible.items():  # unchanged initial versions count as sent
            if name in subscription.initial_versions and subscription.initial_versions[name] == one.version:
                subscription.sent[name] = one
        gone = [name for name in has if name not in visible and name not in retained]
        absent = [
            name
            for name in sorted(subscription.names)
            if name not in visible and name not in subscription.reported_missing
        ]
        removed = sorted(set(gone) | set(absent))
        subscription.initial_versions = {
            name: version for name, version in subscription.initial_versions.items() if name in retained
        }
        subscription.reported_missing |= set(absent)
        subscription.reported_missing -= visible.keys()
        if (
            not changed
            and not removed
            and not (subscription.response_due and subscription.wildcard and not subscription.sent)
        ):
            subscription.response_due = False
            return None
        return self._response(kind, state.versions[kind], changed, removed, state)
