"""The calls of a place's line door, as an operators' door has them: one line to a connection.

Rules that hold here and nowhere else:

1. What is read of a line is whole and well, or `Useless` with a reason that repeats nothing of it.
2. All but `place-status` carry the number of the roll that they are said in: a place refuses a lower one.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

from firvane.proxy.admin_api.calls import LONGEST, Useless


class Order(Enum):
    """What can be asked of a place."""

    STATUS = "place-status"
    CLAIM = "place-claim"
    REPLACE = "place-replace"
    BACK = "place-back"
    ABANDON = "place-abandon"


class Ordered(NamedTuple):
    """A call that is whole."""

    order: Order
    word: str = ""  # the version, or the name of a roll
    roll: int = 0


FORMS: dict[Order, str] = {
    Order.STATUS: "",
    Order.CLAIM: "ROLL NAME",
    Order.REPLACE: "VERSION ROLL",
    Order.BACK: "ROLL",
    Order.ABANDON: "ROLL",
}
ORDERS = {order.value: order for order in Order}


def line(order: Order, word: str = "", roll: int = 0) -> str:
    """A call as it is said."""
    form = FORMS[order].replace("VERSION", word).replace("NAME", word).replace("ROLL", str(roll))
    return f"{order.value} {form}".rstrip()


def ordered(data: bytes) -> Ordered:
    """The call that a line is, without its end; `Useless` where it is none."""
    if len(data) > LONGEST:
        raise Useless(f"a call has {LONGEST} bytes at the most")
    name, *words = data.decode("ascii", "replace").split() or [""]
    order = ORDERS.get(name)
    if order is None:
        raise Useless("unknown call: there are " + ", ".join(ORDERS))
    form = FORMS[order].split()
    if len(words) != len(form):
        raise Useless(f"the call is {order.value} {FORMS[order]}".rstrip())
    said = dict(zip(form, words, strict=True))
    roll, word = said.pop("ROLL", "0"), next(iter(said.values()), "")
    if not re.fullmatch("[0-9]{1,9}", roll):
        raise Useless(f"{order.value}: the roll is not a whole number")
    if said and not re.fullmatch("[A-Za-z0-9_.-]{1,40}", word):
        raise Useless(f"{order.value}: a name has letters, digits, '_', '.' and '-', up to 40")
    return Ordered(order, word, int(roll))


def told(fields: Mapping[str, str | int]) -> str:
    """A status as it is said: a word and its value on each line."""
    return "\n".join(f"{name} {value}" for name, value in fields.items())


def heard(answer: str) -> dict[str, str]:
    """A status as it was said; `ValueError` where the answer is none."""
    lines = answer.splitlines()
    if len(lines) < 2 or lines[-1] != ".":
        raise ValueError(answer.strip().removeprefix("-ERR ") or "nothing")
    return {name: value for name, _, value in (one.partition(" ") for one in lines[:-1])}
