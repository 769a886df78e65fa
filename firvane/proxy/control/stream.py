"""One receiver's stream: what it has asked for, what it has, and what it is to be told next.

Rules that hold here and nowhere else:

1. What is told next is worked out when it can be sent, from the newest state: nothing queues, and a receiver
   that is slow skips what came between.
2. One answer of a kind is out at a time. The next waits for its ACK or NACK, unless it takes something away:
   that goes at once, up to `UNHEARD` answers ahead; a receiver that hears none of them is given up.
3. What a receiver has refused (NACK) is not told again until it is another; it keeps what it had, and what
   else changes is told. Where one answer held several, each is told once more alone, so that the bad one is
   known. A request that answers an older answer than the last says nothing.
4. Make before break: kinds go in the order of `Kind`. A cluster to which routes that the receiver has still
   refer is not taken away, and routes go only where their clusters are acknowledged.
5. A version is the list's number and a digest: the number tells a receiver that comes from a service which
   has heard more (`floor`), the digest whether it has the same already.
6. What is asked for and is not there is told as such where the protocol can say it (delta), else by silence.
7. Both forms of the protocol, state of the world and delta, have these rules; they differ in what is written.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from firvane.proxy.control.types import Kind, Resource, State

UNHEARD = 8  # answers of one kind without an ACK, after which a receiver is not listening
MOST_NAMES = 10_000  # that one receiver may ask for of a kind
ANY = "*"


class Push(NamedTuple):
    """One answer. In delta `removed` are names that are gone; else `resources` tell all that counts."""

    kind: Kind
    number: int  # of the list
    version: str  # the digest of the set that it is a part of
    nonce: str
    resources: tuple[Resource, ...]
    removed: tuple[str, ...] = ()
    urgent: bool = False  # something that it was told of before is taken away


def write_version(number: int, digest: str) -> str:
    """As it goes over the wire."""
    return f"{number}.{digest}"


def read_version(text: str) -> tuple[int, str]:
    """The list's number and the digest; -1 where a version is not of this service's making."""
    number, dot, digest = text.partition(".")
    known = dot and number.isascii() and number.isdigit() and len(number) < 19
    return (int(number), digest) if known else (-1, text)


class TooMuch(ValueError):  # noqa: N818 - the receiver's fault, not the program's
    """A receiver asks for more than is kept for one, or hears nothing."""


class Watch:
    """What a receiver has of one kind."""

    def __init__(self) -> None:
        self.wild = False
        self.names: set[str] = set()
        self.held: dict[str, Resource] = {}  # as last sent
        self.known: dict[str, str] = {}  # versions that it said it had when it came
        self.missing: set[str] = set()  # told as not there
        self.refused: dict[str, str] = {}  # versions, by name
        self.suspects: deque[str] = deque()  # of an answer that was refused: told again one by one
        self.out: deque[Push] = deque()  # answers that are neither acknowledged nor refused
        self.last = ""  # nonce of the last answer that it has spoken of
        self.why = ""  # it refused something that it lacks still, in its words
        self.owes = True  # it has asked, and has had no answer of this kind
        self.urgent = -1  # the last state that took something away of which it was told

    def wants(self, resource: Resource) -> bool:
        return resource.name in self.names or (self.wild and not resource.named)


class Stream:
    """Told what a receiver writes, and asked what to write to it."""

    def __init__(self, delta: bool = False) -> None:
        self.delta = delta
        self.watches: dict[Kind, Watch] = {}
        self.pushed, self.refusals = 0, 0
        self.floor = -1  # the list's number that it has heard of elsewhere
        self._nonce = 0

    # What the receiver says

    def ask(self, kind: Kind, names: Iterable[str], version: str, nonce: str, error: str | None) -> bool:
        """State of the world: `names` are all that it wants; none at first, or `*`, is everything.

        `error` says why it refuses the answer that `nonce` names. Returns whether the request counted.
        """
        watch, wanted, first = self.watches.get(kind), set(names), False
        if watch is None:
            watch, first = self.watches.setdefault(kind, Watch()), True
            self.floor = max(self.floor, read_version(version)[0])
        if not first and nonce and not self._heard(watch, nonce, error):
            return False
        self._bounded(wanted)
        if kind.whole:
            watch.wild = ANY in wanted or (not wanted and (first or watch.wild))
        wanted.discard(ANY)
        if wanted - watch.names and not first:
            watch.owes = True
            for name in wanted - watch.names:
                watch.held.pop(name, None)
                watch.refused.pop(name, None)
        for name in watch.names - wanted:
            watch.held.pop(name, None)
        watch.names = wanted
        return True

    def change(
        self,
        kind: Kind,
        more: Iterable[str],
        less: Iterable[str],
        versions: Mapping[str, str],
        nonce: str,
        error: str | None,
    ) -> bool:
        """Delta: names that it wants from now on, and no more; `versions` that it has at the start."""
        watch, added, dropped = self.watches.get(kind), set(more), set(less)
        if watch is None:
            watch = self.watches.setdefault(kind, Watch())
            self._bounded(versions)
            for name, version in versions.items():
                number, watch.known[name] = read_version(version)
                self.floor = max(self.floor, number)
            watch.wild = not added and kind.whole
        elif nonce:
            self._heard(watch, nonce, error)  # names count whatever that was: each is said once
        if ANY in added:
            watch.wild = True
        if ANY in dropped:
            watch.wild = False
        self._bounded(watch.names | added)
        for name in added - {ANY}:
            if name in watch.names or watch.wild:
                watch.held.pop(name, None)  # asked for again: it has lost it
            watch.missing.discard(name)
            watch.refused.pop(name, None)
        watch.names |= added - {ANY}
        watch.names -= dropped
        for name in dropped:
            watch.known.pop(name, None)
            watch.missing.discard(name)
            if not (watch.wild and name in watch.held):
                watch.held.pop(name, None)
        if added:
            watch.owes = True
        return True

    def _bounded(self, names: Collection[str]) -> None:
        if len(names) > MOST_NAMES:
            raise TooMuch(f"asks for {len(names)} names, and {MOST_NAMES} are the most")

    def _heard(self, watch: Watch, nonce: str, error: str | None) -> bool:
        """An ACK or a NACK; whether it is of the last answer. Those before it are over with it."""
        index = next((i for i, push in enumerate(watch.out) if push.nonce == nonce), None)
        if index is None:
            # Answered before, and said again with other names: that counts. An unknown nonce does not.
            return not watch.out and nonce == watch.last
        push = watch.out[index]
        for _ in range(index + 1):
            watch.out.popleft()
        watch.last = push.nonce
        if error is None:
            for one in push.resources:
                watch.refused.pop(one.name, None)
            watch.why = watch.why if watch.refused or watch.suspects else ""
        else:
            self.refusals += 1
            watch.why = error
            if len(push.resources) > 1 and (self.delta or not push.kind.whole):
                watch.suspects.extend(one.name for one in push.resources)
            else:
                watch.refused.update((one.name, one.version) for one in push.resources)
        return not watch.out

    # What it is told

    def next(self, state: State) -> Push | None:
        """The answer that is due, if there is one. It counts as sent."""
        for kind in Kind:
            watch = self.watches.get(kind)
            if watch is None or not self._may(kind, watch, state):
                continue
            push = self._alone(kind, watch, state)
            if push is None:
                push = (self._delta if self.delta else self._whole)(kind, watch, state)
                watch.urgent = state.urgent
            if push:
                watch.out.append(push)
                watch.owes = False
                for one in push.resources:
                    watch.held[one.name] = one
                for name in push.removed:
                    watch.held.pop(name, None)
                self.pushed += 1
                return push
        return None

    def is_urgent(self, state: State) -> bool:
        """Whether something that it was told of has been taken away since."""
        watch = self.watches.get(Kind.ENDPOINTS)
        return watch is not None and 0 <= watch.urgent < state.urgent

    def converged(self, state: State) -> bool:
        """Whether it has acknowledged, or refused for good, all that it wants of a state."""
        return all(
            not watch.out
            and not watch.suspects
            and all(
                (name in watch.held and watch.held[name].version == one.version)
                or watch.known.get(name) == one.version
                or watch.refused.get(name) == one.version
                for name, one in state.resources[kind].items()
                if watch.wants(one)
            )
            for kind, watch in self.watches.items()
        )  # fmt: skip

    def _may(self, kind: Kind, watch: Watch, state: State) -> bool:
        if watch.out:
            if watch.urgent >= state.urgent or kind is not Kind.ENDPOINTS:
                return False
            if len(watch.out) >= UNHEARD:
                raise TooMuch(f"{UNHEARD} answers of {kind.value} are not acknowledged")
        if kind is Kind.ROUTES and (clusters := self.watches.get(Kind.CLUSTER)):
            needed = {
                name for one in state.resources[kind].values() if watch.wants(one) for name in one.refers
            }
            there = {name for name in needed if self._has(clusters, name, state)}
            return not clusters.out and there == needed
        return True

    @staticmethod
    def _has(clusters: Watch, name: str, state: State) -> bool:
        """Whether a receiver has a cluster, or does not hear of it here: then it will ask by name."""
        wanted = state.resources[Kind.CLUSTER].get(name)
        if wanted is None or not clusters.wants(wanted):
            return True
        return name in clusters.held or name in clusters.known or name in clusters.refused

    def _lingering(self, kind: Kind, watch: Watch, state: State) -> dict[str, Resource]:
        """Clusters that are gone and to which its routes still refer."""
        routes = self.watches.get(Kind.ROUTES)
        if kind is not Kind.CLUSTER or routes is None:
            return {}
        # State of the world has no word for routes that are gone: whoever had them asks for them no more.
        silent = set() if self.delta else routes.held.keys() - state.resources[Kind.ROUTES].keys()
        used = {name for one in routes.held.values() if one.name not in silent for name in one.refers}
        there = state.resources[kind]
        return {name: one for name, one in watch.held.items() if name in used and name not in there}

    def _unsure(self, kind: Kind, watch: Watch) -> set[str]:
        """Clusters that it came with, while it has routes that may refer to them."""
        routes = self.watches.get(Kind.ROUTES)
        return set(watch.known) if kind is Kind.CLUSTER and routes and routes.known else set()

    def _alone(self, kind: Kind, watch: Watch, state: State) -> Push | None:
        """The next one of an answer that was refused."""
        while watch.suspects:
            one = state.resources[kind].get(watch.suspects.popleft())
            if one and watch.wants(one) and watch.refused.get(one.name) != one.version:
                return self._say(kind, state.versions[kind], (one,), (), state)
        return None

    def _say(
        self, kind: Kind, version: str, resources: Iterable[Resource], removed: Iterable[str], state: State
    ) -> Push:
        self._nonce += 1
        watch = self.watches[kind]
        urgent = 0 <= watch.urgent < state.urgent
        return Push(kind, state.number, version, str(self._nonce), tuple(resources), tuple(removed), urgent)

    def _whole(self, kind: Kind, watch: Watch, state: State) -> Push | None:
        visible = {name: one for name, one in state.resources[kind].items() if watch.wants(one)}
        version = state.versions[kind]
        if kind.whole:
            lingering = self._lingering(kind, watch, state)
            wanted = {**visible, **lingering}
            same = watch.held.keys() == wanted.keys() and all(
                watch.held[name].version == one.version for name, one in wanted.items()
            )
            if same and not watch.owes:
                return None
            watch.held = {name: one for name, one in watch.held.items() if name in wanted}
            return self._say(kind, version, wanted.values(), (), state)
        for name in watch.held.keys() - visible.keys():
            del watch.held[name]
        changed = [
            one for name, one in visible.items()
            if (name not in watch.held or watch.held[name].version != one.version)
            and watch.refused.get(name) != one.version
        ]  # fmt: skip
        return self._say(kind, version, changed, (), state) if changed else None

    def _delta(self, kind: Kind, watch: Watch, state: State) -> Push | None:
        visible = {name: one for name, one in state.resources[kind].items() if watch.wants(one)}
        lingering = self._lingering(kind, watch, state).keys() | self._unsure(kind, watch)
        has = {**watch.known, **{name: one.version for name, one in watch.held.items()}}
        changed = [
            one for name, one in visible.items()
            if has.get(name) != one.version and watch.refused.get(name) != one.version
        ]  # fmt: skip
        for name, one in visible.items():  # what it came with and has still counts as sent
            if name in watch.known and watch.known[name] == one.version:
                watch.held[name] = one
        gone = [name for name in has if name not in visible and name not in lingering]
        absent = [name for name in sorted(watch.names) if name not in visible and name not in watch.missing]
        removed = sorted(set(gone) | set(absent))
        watch.known = {name: held for name, held in watch.known.items() if name in lingering}
        watch.missing |= set(absent)
        watch.missing -= visible.keys()
        if not changed and not removed and not (watch.owes and watch.wild and not watch.held):
            watch.owes = False
            return None
        return self._say(kind, state.versions[kind], changed, removed, state)
