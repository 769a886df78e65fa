"""What is made of what peers say they hold, and of the room that a home lends.

Rules that hold here and nowhere else:

1. `FEW` peers are asked, drawn anew each round, and rounds are `AGAIN` seconds apart, then twice as long each
   time: a recovery of N proxies costs some 2 x `FEW` x N small datagrams a round, however large N is. A proxy
   answers `RATE` of them a second at the most.
2. A scale is believed as the median of those that were told, from `QUORUM` of them on, and kept within
   `BOUND` times what is remembered, where something is: no third of the peers moves it beyond what an honest
   one said.
3. A box is taken for cold when most of those that told say so, at the median of their ages. That can make it
   colder, never warmer: a word of others opens no box.
4. What was told counts for `FRESH` seconds.
5. Peers are warm when half of those asked have told, and over two in three of these say so and have had
   answers of late. With fewer the first to answer would decide; and a bare majority of a sample is too
   often a third that lies (five asked of twelve: one recovery in five). That a peer serves says nothing: in
   a recovery of all it does, too.
6. Room is lent by the home of a box alone, to one peer at a time, out of its own, and for `LENT` seconds:
   the home leaves it free meanwhile, and one that has gone takes its loans with it.
"""

from __future__ import annotations

from collections.abc import Iterable
from statistics import median

from firvane.core.balancing.records import Backend
from firvane.core.balancing.rows import Row
from firvane.proxy.limits.token_buckets import Rates
from firvane.proxy.recovery.messages import Held

FEW, AGAIN, RATE, QUORUM = 15, 1.0, 20.0, 2
BOUND = 4.0  # times by which peers may differ from memory
FRESH = 5.0  # s
LATELY = 2.0  # s within which a warm peer has had an answer
LENT = 1.0  # s
SPARE = 1.0  # attempts' room that a home keeps when it lends
NEEDY = 0.1  # part of what comes to a peer that it does not serve, from which on it is lent to


class Told:
    """What peers hold, as they said of late."""

    def __init__(self) -> None:
        self.held: dict[int, tuple[float, Held]] = {}  # by peer: when it came, and what
        self.stamps: dict[int, int] = {}
        self.rates = Rates(RATE, RATE)  # of answers, to all askers together

    def may_answer(self, now: float) -> bool:
        return self.rates.allow(0, now)

    def hear(self, sender: int, at: int, held: Held, now: float) -> None:
        if at > self.stamps.get(sender, -1):
            self.stamps[sender], self.held[sender] = at, (now, held)

    def fresh(self, now: float) -> list[tuple[float, Held]]:
        return [(at, held) for at, held in self.held.values() if now - at < FRESH]

    def warm(self, now: float, asked: int) -> int:
        """How many of those `asked` say that they are warm and had an answer of late; 0 where too few do."""
        fresh = [held for _, held in self.fresh(now)]
        warm = sum(held.warm and held.since <= LATELY for held in fresh)
        return warm if 2 * len(fresh) >= asked and 3 * warm > 2 * len(fresh) else 0

    def scale(self, now: float, remembered: float) -> float:
        """Answers a second and weight of a warm box; what is remembered where too few have told."""
        scales = [held.scale for _, held in self.fresh(now) if held.scale > 0.0]
        if len(scales) < QUORUM:
            return remembered
        told = median(scales)
        return min(max(told, remembered / BOUND), remembered * BOUND) if remembered else told

    def cold(self, now: float) -> dict[int, float]:
        """When those boxes started that most say are cold, by tag."""
        fresh = self.fresh(now)
        starts: dict[int, list[float]] = {}
        for at, held in fresh:
            for tag, age in held.cold.items():
                starts.setdefault(tag, []).append(at - age)
        return {tag: median(said) for tag, said in starts.items() if 2 * len(said) > max(1, len(fresh))}


class Loans:
    """What this proxy has lent, and what it was lent."""

    def __init__(self) -> None:
        self.out: dict[Backend, dict[int, tuple[int, float]]] = {}  # by box and peer: how many, until when
        self.had: dict[Backend, tuple[int, float]] = {}

    def lent(self, server: Backend, now: float) -> int:
        """Attempts that peers may have out at a box of this proxy's."""
        out = self.out.get(server)
        if not out:
            return 0
        for peer in [peer for peer, (_, until) in out.items() if until <= now]:
            del out[peer]
        return sum(most for most, _ in out.values())

    def lend(self, server: Backend, peer: int, most: int, now: float) -> None:
        self.out.setdefault(server, {})[peer] = most, now + LENT

    def take(self, server: Backend, most: int, now: float) -> None:
        self.had[server] = most, now + LENT

    def left(self, server: Backend, now: float) -> int:
        """Attempts that may be out from here at a box of another home."""
        most, until = self.had.get(server, (0, 0.0))
        return most if now < until else 0

    def clear(self) -> None:
        self.out.clear()
        self.had.clear()


def neediest(rows: Iterable[tuple[int, Row]], window: float) -> list[int]:
    """Peers that serve less than comes to them, those that lack most first."""
    short = [(row.arrivals - row.served * window, number, row.arrivals) for number, row in rows]
    return [number for lack, number, came in sorted(short, reverse=True) if lack > NEEDY * came + 1.0]
