"""What a router may use of its tenants' quotas: tokens granted in advance, and what it used without a grant.

A tenant that asks seldom here is asked for request by request; one that asks often is granted in advance what
it is expected to use in the next moments.
"""

from __future__ import annotations

from msgspec import Struct

from firvane.fleet.configuration.routes import Tenant
from firvane.fleet.tenancy.quota import AHEAD_LASTS

AHEAD_TIME = 0.5  # s of expected use that is asked for in advance
LEAST_AHEAD = 2.0  # requests of the present size, below which nothing is asked for in advance
GIVEN_BACK_LASTS = 0.25  # s; short, so that refusals in numbers put off little use into the next window
MEMORY = 2.0  # s over which use is averaged


def request_cost(tenant: Tenant, tokens: int | None) -> int:
    """What a request counts; `tokens` is what it tells of itself, in and out together, None if nothing."""
    if not tenant.counts_tokens:
        return 1
    return tenant.uncached_tokens if tokens is None else tokens


class _Use(Struct):
    tokens: float = 0.0  # granted in advance
    expires: float = 0.0
    spent: float = 0.0  # used without a grant, and not told of yet
    demand: float = 0.0  # a second
    noted_at: float = 0.0

    def fade(self, now: float) -> None:
        elapsed = max(0.0, now - self.noted_at)
        self.demand *= max(0.0, 1.0 - elapsed / MEMORY)
        self.noted_at = now


class Allowances:
    """The tenants that ask at one router, by their names. Times are monotonic seconds."""

    def __init__(self) -> None:
        self._uses: dict[str, _Use] = {}

    def take(self, name: str, cost: int, now: float) -> bool:
        """Use tokens that are here; False where they do not suffice."""
        use = self._uses.get(name)
        if use is None:
            use = self._uses[name] = _Use(noted_at=now)
        use.fade(now)
        use.demand += cost / MEMORY
        if now >= use.expires:
            use.tokens = 0.0
        if use.tokens < cost:
            return False
        use.tokens -= cost
        return True

    def ahead(self, name: str, cost: int) -> int:
        """What to ask for beyond a request's cost."""
        expected = AHEAD_TIME * self._uses[name].demand
        return int(expected) if expected >= LEAST_AHEAD * max(1, cost) else 0

    def spent(self, name: str) -> int:
        """What was used without a grant, to be told with the next ask."""
        return int(self._uses[name].spent)

    def granted(self, name: str, ahead: int, told: int, asked_at: float) -> None:
        """An ask was answered: these tokens came in advance, and so much was told as spent."""
        use = self._uses.setdefault(name, _Use(noted_at=asked_at))
        use.spent = max(0.0, use.spent - told)
        if ahead > 0:
            use.tokens += ahead
            use.expires = asked_at + AHEAD_LASTS

    def spend(self, name: str, cost: int) -> None:
        """A request runs a second time: it counts once more, without asking."""
        self._uses.setdefault(name, _Use()).spent += cost

    def give_back(self, name: str, cost: int, now: float) -> None:
        """A request that was paid for did not run: the next one may use its tokens, for a moment."""
        use = self._uses.setdefault(name, _Use(noted_at=now))
        if now >= use.expires:
            use.tokens, use.expires = 0.0, now + GIVEN_BACK_LASTS
        use.tokens += cost

    def forget_idle(self, now: float) -> None:
        """Drop tenants that have not asked lately."""
        for name in [
            name
            for name, use in self._uses.items()
            if now > use.noted_at + MEMORY and now >= use.expires and not use.spent
        ]:
            del self._uses[name]
