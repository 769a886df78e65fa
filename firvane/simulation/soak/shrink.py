"""Shortens a plan that violates a rule while it still violates it; the caller supplies the check."""

from __future__ import annotations

from collections.abc import Callable

from firvane.simulation.soak.plan import Plan


def shrink(plan: Plan, still_fails: Callable[[Plan], bool], max_plays: int) -> Plan:
    """Remove runs of steps, halves first and single steps last; `still_fails` plays a plan."""
    plays, length = 0, max(1, len(plan.steps) // 2)
    while True:
        start = 0
        while start < len(plan.steps):
            if plays >= max_plays:
                return plan
            shorter = plan.without(set(range(start, min(start + length, len(plan.steps)))))
            plays += 1
            if still_fails(shorter):
                plan = shorter
            else:
                start += length
        if length == 1:
            return plan
        length //= 2
