"""The xDS state of one receiver: its subscriptions, the resources that it has, and its next response.

Invariants:

1. The next response is computed when it can be sent, from the newest snapshot: nothing is queued, and a slow
   receiver skips intermediate snapshots.
2. One response of a type is unacknowledged at a time. The next waits for its ACK or NACK, unless it removes a
   backend: such a response is sent at once, up to `MAX_UNACKNOWLEDGED` unacknowledged responses; a receiver
   that exceeds this limit is disconnected.
3. A rejected resource (NACK) is not sent again until it changes; the receiver keeps its last version, and
   other resources are still sent. After a NACK of several resources each is sent once more in a response of
   its own, to identify the invalid one. A request with the nonce of an older response has no effect.
4. Make before break: types are sent in the order of `ResourceType`. A cluster to which the receiver's routes
   still refer is not removed, and routes are sent only when their clusters are acknowledged.
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
MAX_NAMES = 10_000  # subscribed by a receiver, of one type
MAX_VERSION_DIGITS = 18
WILDCARD = "*"


class Response(NamedTuple):
    """One discovery response; `removed` are names of resources (delta protocol only)."""

    kind: ResourceType
    list_version: int  # of the server list
    version: str  # digest of all resources of the type
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()
    urgent: bool = False  # whether it removes a backend


def write_version(list_version: int, digest: str) -> str:
    """Encode a version."""
    return f"{list_version}.{digest}"


class Version(NamedTuple):
    """A decoded version; `list_version` is -1 if no control service encoded it."""

    list_version: int
    digest: str


def read_version(text: str) -> Version:
    """Decode a version of a resource or a response."""
    version_number, dot, digest = text.partition(".")
    is_valid = (
        dot
        and version_number.isascii()
        and version_number.isdigit()
        and len(version_number) <= MAX_VERSION_DIGITS
    )
    return Version(int(version_number), digest) if is_valid else Version(-1, text)


class ReceiverLimitError(ControlError, ValueError):
    """A receiver exceeds a limit: too many names, no acknowledgements, or no node id."""


class Subscription:
    """A receiver's subscription to one resource type, and the versions that it has."""

    def __init__(self) -> None:
        self.wildcard = False
        self.names: set[str] = set()
        self.sent: dict[str, Resource] = {}  # the last version sent, by name
        self.initial_versions: dict[str, str] = {}  # that the receiver had when the stream began
        self.reported_missing: set[str] = set()
        self.rejected: dict[str, str] = {}  # rejected version, by name
        self.suspects: deque[str] = deque()  # names in a rejected response: each is sent again alone
        self.unacknowledged: deque[Response] = deque()  # neither ACKed nor NACKed
        self.last_nonce = ""  # of the last response that was ACKed or NACKed
        self.nack_reason = ""  # of a rejected resource that is still rejected
        self.response_due = True  # whether a request of this type is unanswered
        self.urgent = -1  # `Snapshot.urgent` of the last snapshot sent

    def includes(self, resource: Resource) -> bool:
        """Return whether the receiver subscribes to a resource."""
        return resource.name in self.names or (self.wildcard and not resource.on_demand)

    def add(self, names: set[str]) -> None:
        """Subscribe to names (delta); resources that were subscribed already are sent again."""
        for name in names:
            if name in self.names or self.wildcard:
                self.sent.pop(name, None)  # subscribed again: the receiver no longer has it
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
    """The subscriptions of one receiver's stream: handles requests and creates responses."""

    def __init__(self, delta: bool = False) -> None:
        self.delta = delta
        self.subscriptions: dict[ResourceType, Subscription] = {}
        self.responses_sent = 0
        self.nacks = 0
        self.known_list_version = -1  # newest server list of which it has resources, from any control service
        self._nonce = 0

    # Requests

    def on_request(
        self, kind: ResourceType, names: Iterable[str], version: str, nonce: str, error: str | None
    ) -> bool:
        """Handle a state-of-the-world request, which has all subscribed names.

        `*`, or no names in the first request, subscribes to all resources of the type (wildcard).

        `error` is the reason of a NACK of the response `nonce`. Returns whether the request had an effect.
        """
        subscription = self.subscriptions.get(kind)
        requested = set(names)
        is_first = False
        if subscription is None:
            subscription = self.subscriptions.setdefault(kind, Subscription())
            is_first = True
            self.known_list_version = max(self.known_list_version, read_version(version).list_version)
        if not is_first and nonce and not self._on_ack(subscription, nonce, error):
            return False
        self._check_limit(requested)
        if kind.is_full_state:
            subscription.wildcard = WILDCARD in requested or (
                not requested and (is_first or subscription.wildcard)
            )
        requested.discard(WILDCARD)
        if requested - subscription.names and not is_first:
            subscription.response_due = True
            for name in requested - subscription.names:
                subscription.sent.pop(name, None)
                subscription.rejected.pop(name, None)
        for name in subscription.names - requested:
            subscription.sent.pop(name, None)
        subscription.names = requested
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
        """Handle a delta request: names to subscribe and unsubscribe, and initial resource versions."""
        subscription = self.subscriptions.get(kind)
        subscribed = set(subscribe)
        unsubscribed = set(unsubscribe)
        if subscription is None:
            subscription = self._begin_delta(kind, versions)
            subscription.wildcard = not subscribed and kind.is_full_state
        elif nonce:
            self._on_ack(subscription, nonce, error)  # names count with any nonce: each is sent once
        if WILDCARD in subscribed:
            subscription.wildcard = True
        if WILDCARD in unsubscribed:
            subscription.wildcard = False
        self._check_limit(subscription.names | subscribed)
        subscription.add(subscribed - {WILDCARD})
        subscription.remove(unsubscribed)
        if subscribed:
            subscription.response_due = True
        return True

    def _begin_delta(self, kind: ResourceType, versions: Mapping[str, str]) -> Subscription:
        subscription = self.subscriptions.setdefault(kind, Subscription())
        self._check_limit(versions)
        for name, version in versions.items():
            list_version, subscription.initial_versions[name] = read_version(version)
            self.known_list_version = max(self.known_list_version, list_version)
        return subscription

    def _check_limit(self, names: Collection[str]) -> None:
        if len(names) > MAX_NAMES:
            raise ReceiverLimitError(f"asks for {len(names)} names, and {MAX_NAMES} are the most")

    def _on_ack(self, subscription: Subscription, nonce: str, error: str | None) -> bool:
        """Handle an ACK or a NACK of a response and all before it; returns whether it is of the last one."""
        index = next(
            (i for i, response in enumerate(subscription.unacknowledged) if response.nonce == nonce), None
        )
        if index is None:
            # A request that changes names repeats the last nonce; an unknown nonce has no effect.
            return not subscription.unacknowledged and nonce == subscription.last_nonce
        response = subscription.unacknowledged[index]
        for _ in range(index + 1):
            subscription.unacknowledged.popleft()
        subscription.last_nonce = response.nonce
        if error is None:
            for resource in response.resources:
                subscription.rejected.pop(resource.name, None)
            subscription.nack_reason = (
                subscription.nack_reason if subscription.rejected or subscription.suspects else ""
            )
        else:
            self.nacks += 1
            subscription.nack_reason = error
            if len(response.resources) > 1 and (self.delta or not response.kind.is_full_state):
                subscription.suspects.extend(resource.name for resource in response.resources)
            else:
                subscription.rejected.update(
                    (resource.name, resource.version) for resource in response.resources
                )
        return not subscription.unacknowledged

    # Responses

    def next_response(self, snapshot: Snapshot) -> Response | None:
        """Return the response that is due and record it as sent; None if no response is due."""
        for kind in ResourceType:
            subscription = self.subscriptions.get(kind)
            if subscription is None or not self._may_send(kind, subscription, snapshot):
                continue
            response = self._isolate_suspect(kind, subscription, snapshot)
            if response is None:
                response = (self._delta_response if self.delta else self._full_response)(
                    kind, subscription, snapshot
                )
                subscription.urgent = snapshot.urgent
            if response:
                subscription.unacknowledged.append(response)
                subscription.response_due = False
                for resource in response.resources:
                    subscription.sent[resource.name] = resource
                for name in response.removed:
                    subscription.sent.pop(name, None)
                self.responses_sent += 1
                return response
        return None

    def is_urgent(self, snapshot: Snapshot) -> bool:
        """Return whether a snapshot removes a backend that was sent before."""
        subscription = self.subscriptions.get(ResourceType.ENDPOINTS)
        return subscription is not None and 0 <= subscription.urgent < snapshot.urgent

    def is_converged(self, snapshot: Snapshot) -> bool:
        """Return whether the receiver has ACKed or rejected all subscribed resources of a snapshot."""
        return all(
            not subscription.unacknowledged
            and not subscription.suspects
            and all(
                (name in subscription.sent and subscription.sent[name].version == resource.version)
                or subscription.initial_versions.get(name) == resource.version
                or subscription.rejected.get(name) == resource.version
                for name, resource in snapshot.resources[kind].items()
                if subscription.includes(resource)
            )
            for kind, subscription in self.subscriptions.items()
        )  # fmt: skip

    def _may_send(self, kind: ResourceType, subscription: Subscription, snapshot: Snapshot) -> bool:
        if subscription.unacknowledged:
            if subscription.urgent >= snapshot.urgent or kind is not ResourceType.ENDPOINTS:
                return False
            if len(subscription.unacknowledged) >= MAX_UNACKNOWLEDGED:
                raise ReceiverLimitError(f"{MAX_UNACKNOWLEDGED} answers of {kind.value} are not acknowledged")
        if kind is ResourceType.ROUTES and (clusters := self.subscriptions.get(ResourceType.CLUSTER)):
            needed = {
                name
                for resource in snapshot.resources[kind].values()
                if subscription.includes(resource)
                for name in resource.references
            }
            present = {name for name in needed if self._has_cluster(clusters, name, snapshot)}
            return not clusters.unacknowledged and present == needed
        return True

    @staticmethod
    def _has_cluster(clusters: Subscription, name: str, snapshot: Snapshot) -> bool:
        """Return whether the receiver has a cluster, or has not subscribed to it yet."""
        cluster = snapshot.resources[ResourceType.CLUSTER].get(name)
        if cluster is None or not clusters.includes(cluster):
            return True
        return name in clusters.sent or name in clusters.initial_versions or name in clusters.rejected

    def _retained_clusters(
        self, kind: ResourceType, subscription: Subscription, snapshot: Snapshot
    ) -> dict[str, Resource]:
        """Return removed clusters to which the receiver's routes still refer."""
        routes = self.subscriptions.get(ResourceType.ROUTES)
        if kind is not ResourceType.CLUSTER or routes is None:
            return {}
        # The state-of-the-world protocol cannot express removed routes: a receiver unsubscribes from them.
        removed_routes = (
            set() if self.delta else routes.sent.keys() - snapshot.resources[ResourceType.ROUTES].keys()
        )
        referenced = {
            name
            for resource in routes.sent.values()
            if resource.name not in removed_routes
            for name in resource.references
        }
        current_clusters = snapshot.resources[kind]
        return {
            name: resource
            for name, resource in subscription.sent.items()
            if name in referenced and name not in current_clusters
        }

    def _unverified_clusters(self, kind: ResourceType, subscription: Subscription) -> set[str]:
        """Return clusters that the receiver had initially, while its initial routes may refer to them."""
        routes = self.subscriptions.get(ResourceType.ROUTES)
        return (
            set(subscription.initial_versions)
            if kind is ResourceType.CLUSTER and routes and routes.initial_versions
            else set()
        )

    def _isolate_suspect(
        self, kind: ResourceType, subscription: Subscription, snapshot: Snapshot
    ) -> Response | None:
        """Return a response with only the next suspect; None if there is no suspect."""
        while subscription.suspects:
            resource = snapshot.resources[kind].get(subscription.suspects.popleft())
            if (
                resource
                and subscription.includes(resource)
                and subscription.rejected.get(resource.name) != resource.version
            ):
                return self._response(kind, snapshot.versions[kind], (resource,), (), snapshot)
        return None

    def _response(
        self,
        kind: ResourceType,
        version: str,
        resources: Iterable[Resource],
        removed: Iterable[str],
        snapshot: Snapshot,
    ) -> Response:
        self._nonce += 1
        subscription = self.subscriptions[kind]
        urgent = 0 <= subscription.urgent < snapshot.urgent
        return Response(
            kind, snapshot.list_version, version, str(self._nonce), tuple(resources), tuple(removed), urgent
        )

    def _full_response(
        self, kind: ResourceType, subscription: Subscription, snapshot: Snapshot
    ) -> Response | None:
        visible = {
            name: resource
            for name, resource in snapshot.resources[kind].items()
            if subscription.includes(resource)
        }
        version = snapshot.versions[kind]
        if kind.is_full_state:
            retained = self._retained_clusters(kind, subscription, snapshot)
            required = {**visible, **retained}
            same = subscription.sent.keys() == required.keys() and all(
                subscription.sent[name].version == resource.version for name, resource in required.items()
            )
            if same and not subscription.response_due:
                return None
            subscription.sent = {
                name: resource for name, resource in subscription.sent.items() if name in required
            }
            return self._response(kind, version, required.values(), (), snapshot)
        for name in subscription.sent.keys() - visible.keys():
            del subscription.sent[name]
        changed = [
            resource for name, resource in visible.items()
            if (name not in subscription.sent or subscription.sent[name].version != resource.version)
            and subscription.rejected.get(name) != resource.version
        ]  # fmt: skip
        return self._response(kind, version, changed, (), snapshot) if changed else None

    def _delta_response(
        self, kind: ResourceType, subscription: Subscription, snapshot: Snapshot
    ) -> Response | None:
        visible = {
            name: resource
            for name, resource in snapshot.resources[kind].items()
            if subscription.includes(resource)
        }
        retained = self._retained_clusters(kind, subscription, snapshot).keys() | self._unverified_clusters(
            kind, subscription
        )
        known_versions = {
            **subscription.initial_versions,
            **{name: resource.version for name, resource in subscription.sent.items()},
        }
        changed = [
            resource for name, resource in visible.items()
            if known_versions.get(name) != resource.version
            and subscription.rejected.get(name) != resource.version
        ]  # fmt: skip
        for name, resource in visible.items():  # unchanged initial versions count as sent
            if (
                name in subscription.initial_versions
                and subscription.initial_versions[name] == resource.version
            ):
                subscription.sent[name] = resource
        withdrawn = [name for name in known_versions if name not in visible and name not in retained]
        missing = [
            name
            for name in sorted(subscription.names)
            if name not in visible and name not in subscription.reported_missing
        ]
        removed = sorted(set(withdrawn) | set(missing))
        subscription.initial_versions = {
            name: version for name, version in subscription.initial_versions.items() if name in retained
        }
        subscription.reported_missing |= set(missing)
        subscription.reported_missing -= visible.keys()
        if (
            not changed
            and not removed
            and not (subscription.response_due and subscription.wildcard and not subscription.sent)
        ):
            subscription.response_due = False
            return None
        return self._response(kind, snapshot.versions[kind], changed, removed, snapshot)
