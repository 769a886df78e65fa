"""What proxies say to one another in a recovery, on the peers' datagrams: a question, an answer, a loan.

Rules that hold here and nowhere else:

1. Each begins with a version that readers of rows do not know and leave alone: who has no recovery, or an
   older program, loses nothing by it.
2. Boxes go by their tag, the 16 bits that rows use. Ages go, never times: no two clocks need agree.
3. A message that does not fit its own counts is none, and changes nothing. None is longer than a datagram.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

VERSION = 4
MARK = bytes((VERSION,))
HEAD = struct.Struct("<BBQ")  # version, what it is, ms: a later one of a sender goes before an earlier
TELL = struct.Struct("<IffBB")  # version of the list, scale, s since an answer, warm, how many cold
COLD = struct.Struct("<HH")  # a tag, and its age in tenths of a second
LOAN = struct.Struct("<HB")  # a tag, and how many attempts may be out there
MOST = 55  # cold boxes in one message
ASKS, TELLS, LENDS = 1, 2, 3
NEVER = 1e6  # s since an answer, where there was none


class Ask(NamedTuple):
    """What do you hold?"""


class Held(NamedTuple):
    """What a proxy holds."""

    version: int  # of the list; 0: none from discovery itself
    scale: float  # answers a second and weight of a warm box; 0: not known
    since: float  # s since its last answer from any box
    warm: bool  # it is in no recovery itself
    cold: dict[int, float]  # s since the start of boxes that are cold, by tag


class Loan(NamedTuple):
    """The home of a box has room to spare there."""

    tag: int
    most: int  # attempts that may be out; 0 takes it back


Message = Ask | Held | Loan


def pack(message: Message, now: float) -> bytes:
    """As bytes; the youngest boxes go first where not all fit."""
    at = int(now * 1000)
    if isinstance(message, Ask):
        return HEAD.pack(VERSION, ASKS, at)
    if isinstance(message, Loan):
        return HEAD.pack(VERSION, LENDS, at) + LOAN.pack(message.tag, min(255, message.most))
    cold = sorted(message.cold.items(), key=lambda entry: (entry[1], entry[0]))[:MOST]
    since = min(NEVER, message.since)
    told = TELL.pack(message.version & 0xFFFFFFFF, message.scale, since, message.warm, len(cold))
    ages = b"".join(COLD.pack(tag, min(0xFFFF, int(10 * age))) for tag, age in cold)
    return HEAD.pack(VERSION, TELLS, at) + told + ages


def unpack(payload: bytes) -> tuple[int, Message]:
    """When it was said, in ms, and what; `ValueError` or `struct.error` where it is none."""
    version, what, at = HEAD.unpack_from(payload)
    rest = payload[HEAD.size :]
    if version != VERSION:
        raise ValueError("not a message of a recovery")
    if what == ASKS and not rest:
        return at, Ask()
    if what == LENDS:
        return at, Loan(*LOAN.unpack(rest))
    if what != TELLS:
        raise ValueError("a message that is not known")
    list_version, scale, since, warm, count = TELL.unpack_from(rest)
    cold = {tag: age / 10 for tag, age in COLD.iter_unpack(rest[TELL.size :])}
    if len(cold) != count or not (0.0 <= scale < 1e9) or not (0.0 <= since <= NEVER):
        raise ValueError("an answer that does not fit itself")
    return at, Held(list_version, scale, since, warm == 1, cold)
