"""Mutants of what docs/crossings.md promises of attempts."""

from __future__ import annotations

from tests.crossings.mutants import Mutant

FILE = "tests/crossings/test_attempts.py"
ENGINE, FORWARD = "firvane/engine.py", "firvane/net/forward.py"

MUTANTS = [
    Mutant(
        "what is not written when its client leaves is not written at all",
        ENGINE,
        """            self.give(api.ClientGone(flow.id))
            self._withdraw(flow)
            self._forget(flow)

    def hasten""",
        """            self.give(api.ClientGone(flow.id))
            self._forget(flow)

    def hasten""",
        f"{FILE} -k late_brings",
    ),
    Mutant(
        "a copy that comes up after the answer is not written",
        ENGINE,
        "        if flow.live and not flow.open:\n            self._withdraw(flow)\n",
        "",
        f"{FILE} -k after_the_answer",
    ),
    Mutant(
        "nor one that comes up after a long answer has begun",
        ENGINE,
        "forward.took))\n        self._withdraw(flow, forward)\n",
        "forward.took))\n",
        f"{FILE} -k after_the_answer",
    ),
    Mutant(
        "a long body goes out on one attempt alone",
        ENGINE,
        "            self.give(api.Spent(flow.id))\n            self._withdraw(flow, forward)\n",
        "            self.give(api.Spent(flow.id))\n",
        f"{FILE} -k long_body",
    ),
    Mutant(
        "nothing is written once its time is over",
        FORWARD,
        "return Ending.WITHDRAWN if now >= run.exchange.deadline else None",
        "return None",
        f"{FILE} -k time_is_over",
    ),
    Mutant(
        "a connection that stands as its run is given up is closed unused",
        FORWARD,
        "if run.over or connection.transport.is_closing():",
        "if connection.transport.is_closing():",
        f"{FILE} -k stands_already",
    ),
]
