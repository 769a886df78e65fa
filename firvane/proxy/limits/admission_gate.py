"""The gate in front of the decisions: turns away unseen what the decision module has said to turn away.

Rules that hold here and nowhere else:

1. The parts are the module's. What comes beyond a full line is turned away for want of a turn; nothing
   else is.
2. A part is followed exactly and without chance: of a tenant's requests every so many-th is turned away.
3. What was turned away is counted by tenant, and told to the module with the next pressure.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence


class Gate:
    """The parts to turn away, and the counts of what was."""

    def __init__(self, tenants: Sequence[bytes], crowded: Callable[[bool], bool]) -> None:
        """`tenants` in the settings' order; `crowded` tells whether there is no turn for another request.

        It is told whether that comes from one who asks far more than others do.
        """
        self.numbers = {name: i for i, name in enumerate(tenants)}
        self.crowded = crowded
        self.parts = [0.0] * max(1, len(tenants))
        self.owing = [0.0] * len(self.parts)  # what the parts have added up to since the last one turned away
        self.unseen = [0] * len(self.parts)  # turned away since this was last told
        self.again = False  # marked retries are turned away
        self.shut = False  # some part is turned away
        self.wished = self.overflowed = 0  # turned away by the parts; for want of a turn

    def name(self, tenants: Sequence[bytes]) -> None:
        """These from now on; who was there before has its number still."""
        self.numbers = {name: i for i, name in enumerate(tenants)}
        more = max(1, len(tenants)) - len(self.parts)
        self.parts += [0.0] * more
        self.owing += [0.0] * more
        self.unseen += [0] * more

    def set(self, parts: Sequence[float], again: bool = False) -> None:
        """The module's word: a part for each tenant, or one for all; `again`: and all marked retries."""
        self.again = again
        if len(parts) != len(self.parts):
            parts = [parts[0] if parts else 0.0] * len(self.parts)
        self.parts = [min(1.0, max(0.0, part)) for part in parts]
        self.shut = any(self.parts)

    def turns_away(self, tenant: bytes, greedy: bool = False, again: bool = False) -> bool:
        """Whether a request of this tenant's, a marked retry or not, is to be turned away; it is counted."""
        number = self.numbers.get(tenant, 0)
        if again and self.again:
            self.wished += 1
            self.unseen[number] += 1
            return True
        if part := self.parts[number]:
            owing = self.owing[number] + part
            if owing >= 1.0:
                self.owing[number] = owing - 1.0
                self.wished += 1
                self.unseen[number] += 1
                return True
            self.owing[number] = owing
        if self.crowded(greedy):
            self.overflowed += 1
            self.unseen[number] += 1
            return True
        return False

    def told(self) -> tuple[int, ...]:
        """What was turned away by tenant since the last call."""
        unseen, self.unseen = tuple(self.unseen), [0] * len(self.unseen)
        return unseen
