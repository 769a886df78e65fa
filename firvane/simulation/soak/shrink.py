"""Makes a plan that breaks a rule shorter while it still breaks it; who plays it is handed in."""

from __future__ import annotations

from collections.abc import Callable

from firvane.simulation.soak.plan import Plan


def shrink(plan: Plan, still_fails: Callable[[Plan], bool], most_plays: int) -> Plan:
    """Leave parts out, halves first and single steps last; `still_fails` plays a plan."""
    plays, part = 0, max(1, len(plan.steps) // 2)
    while True:
        place = 0
        while place < len(plan.steps):
            if plays >= most_plays:
                return plan
            shorter = plan.without(set(range(place, min(place + part, len(plan.steps)))))
            plays += 1
            if still_fails(shorter):
                plan = shorter
            else:
                place += part
        if part == 1:
            return plan
        part //= 2
